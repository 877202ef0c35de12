//! Admits jobs to routes that limit the tokens of waiting items. `ledger` decides; this
//! module reads the changes of the store on which a decision rests, and writes the
//! decision.
//!
//! A job that is stored but not admitted has been acknowledged to nobody. Any instance
//! may therefore decide about it: the one that stored it, one where it is submitted
//! again, or one that takes it over. All of them write under the condition of the
//! record's version, so only one decision takes effect.

use std::{rc::Rc, time::Duration};

use gateway::RouteKind;
use http::Response;
use ledger::{Admission, AdmissionRequest, CommitOutcome, JobRecord, StoredJob};
use model::{CustomerName, JobId};
use platform::StoreError;
use tokio::time::sleep;

use super::{
    ownership,
    storage::{JobRows, RemoveOutcome},
};
use crate::{
    answer::{self, AnswerBody},
    feeds::read_job_changes,
    node::Node,
};

/// Time for which a read of job changes waits while a decision depends on another job,
/// milliseconds.
const UNDECIDED_WAIT_MS: u64 = 50;
/// Delay before a failed read or write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between checks of whether another task has finished with a job.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A job that does not fit on its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Excess {
    route: String,
    customer: Option<CustomerName>,
    tokens: u64,
    tokens_max: u64,
    waiting_tokens: u64,
}

/// What was decided about a stored job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Decision {
    /// The job is admitted and stays stored.
    Accepted(StoredJob),
    /// The job did not fit and was removed. A write with an unknown outcome may still store it
    /// again.
    Refused(Excess),
    /// There is no such job.
    Absent,
    /// The store did not answer in time.
    Unknown,
}

/// Returns whether a job that is not stored exceeds the limit of its route, judging by the
/// changes read so far.
pub(super) fn excess_before_storing(node: &Node, record: &JobRecord) -> Option<Excess> {
    match decide(node, record, None) {
        (Admission::Refused { .. }, excess) => excess,
        _ => None,
    }
}

/// Logs a refusal and returns its answer, which tells when the job is expected to fit.
pub(super) fn refuse(node: &Node, id: &JobId, excess: &Excess) -> Response<AnswerBody> {
    let now_ms = node.now_ms();
    let request = AdmissionRequest {
        route: &excess.route,
        customer: excess.customer.as_ref(),
        tokens: excess.tokens,
        tokens_max: excess.tokens_max,
        version: None,
    };
    let directory = node.directory.borrow();
    let retry_after_ms = directory.admission_retry_ms(&request, rand::random(), now_ms);
    log::warn!(
        "event=job_refused job={id} reason=waiting_tokens route={} customer={} tokens={} waiting_tokens={} tokens_max={} count_age_ms={} retry_after_ms={retry_after_ms}",
        excess.route,
        excess
            .customer
            .as_ref()
            .map_or("none", CustomerName::as_str),
        excess.tokens,
        excess.waiting_tokens,
        excess.tokens_max,
        now_ms.saturating_sub(node.jobs_fed_at_ms.get())
    );
    node.metrics.on_job_refused();
    answer::too_many_requests(retry_after_ms, "too many tokens wait on this route")
}

/// Waits until the job records have been read after the start of the process. Returns
/// whether they were read in time.
pub(super) async fn wait_for_jobs(node: &Node, deadline_ms: u64) -> bool {
    while !node.has_read_jobs.get() && node.now_ms() < deadline_ms {
        sleep(POLL_INTERVAL).await;
    }
    node.has_read_jobs.get()
}

/// Waits until no other task of this instance submits or loads the job.
pub(super) async fn wait_until_loaded(node: &Node, id: &JobId, deadline_ms: u64) {
    while node.runner.borrow().is_loading(id) && node.now_ms() < deadline_ms {
        sleep(POLL_INTERVAL).await;
    }
}

/// Decides about a stored job unless that has been done, and writes the decision.
pub(super) async fn settle_job(node: &Rc<Node>, id: &JobId, deadline_ms: u64) -> Decision {
    let mut wait_ms = 0;
    while node.now_ms() < deadline_ms {
        let Some(job) = node.directory.borrow().job(id).cloned() else {
            return Decision::Absent;
        };
        if job.record.is_admitted || !job.record.is_open() {
            return Decision::Accepted(job);
        }
        let must_read = wait_ms > 0 || node.jobs_fed_version() < job.version;
        if must_read && let Err(error) = read_job_changes(node, wait_ms).await {
            log::warn!(
                "event=job_not_decided job={id} error={}",
                process::quote(&error)
            );
            sleep(RETRY_DELAY).await;
            continue;
        }
        if !node.has_read_jobs.get() || node.jobs_fed_version() < job.version {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let written = match decide(node, &job.record, Some(job.version)) {
            (Admission::Undecided, _) => {
                wait_ms = UNDECIDED_WAIT_MS;
                continue;
            }
            (Admission::Refused { .. }, Some(excess)) => match remove(node, &job).await {
                Ok(true) => return Decision::Refused(excess),
                Ok(false) => Ok(()),
                Err(error) => Err(error),
            },
            _ => confirm(node, &job).await,
        };
        if let Err(error) = written {
            log::warn!(
                "event=decision_not_written job={id} error={}",
                process::quote(&error)
            );
            sleep(RETRY_DELAY).await;
        }
    }
    Decision::Unknown
}

/// Decides with the changes read so far, and with the limit of the newest configuration.
/// `version` is that of the record, or `None` if the job is not stored.
fn decide(node: &Node, record: &JobRecord, version: Option<u64>) -> (Admission, Option<Excess>) {
    let Some(tokens_max) = limit(node, record) else {
        return (Admission::Admitted, None);
    };
    let request = AdmissionRequest {
        route: &record.route,
        customer: record.customer.as_ref(),
        tokens: record.waiting_tokens(),
        tokens_max,
        version,
    };
    let now_ms = node.now_ms();
    let admission = node.directory.borrow().decide_admission(&request, now_ms);
    let excess = match admission {
        Admission::Refused { waiting_tokens } => Some(Excess {
            route: record.route.to_string(),
            customer: record.customer.clone(),
            tokens: request.tokens,
            tokens_max,
            waiting_tokens,
        }),
        Admission::Admitted | Admission::Undecided => None,
    };
    (admission, excess)
}

fn limit(node: &Node, record: &JobRecord) -> Option<u64> {
    let routes = node.routes()?;
    match routes.find(&record.host, &record.path)?.kind {
        RouteKind::Batch(terms) => terms.waiting_tokens_max,
        _ => None,
    }
}

/// Rewrites a record as admitted, and applies the record that is stored then.
async fn confirm(node: &Rc<Node>, job: &StoredJob) -> Result<(), StoreError> {
    let mut record = JobRecord::clone(&job.record);
    record.is_admitted = true;
    let rows = JobRows::new(node);
    let outcome = rows.replace_record(&job.id, &record, job.version, &[]);
    match outcome.await? {
        CommitOutcome::Committed { version } => {
            log::debug!("event=job_admitted job={} version={version}", job.id);
            ownership::apply_record(node, &job.id, record, version);
        }
        CommitOutcome::Conflict(Some((record, version))) => {
            ownership::apply_record(node, &job.id, record, version);
        }
        CommitOutcome::Conflict(None) => {
            ownership::apply_removal(node, &job.id, job.version);
        }
        CommitOutcome::NotConfirmed => {}
    }
    Ok(())
}

/// Removes a job that does not fit. Returns false if its record was changed before.
async fn remove(node: &Rc<Node>, job: &StoredJob) -> Result<bool, StoreError> {
    let rows = JobRows::new(node);
    match rows.remove_refused(&job.id, job.version).await? {
        RemoveOutcome::Removed => {
            ownership::apply_removal(node, &job.id, job.version);
            Ok(true)
        }
        RemoveOutcome::Changed { record, version } => {
            ownership::apply_record(node, &job.id, record, version);
            Ok(false)
        }
    }
}
