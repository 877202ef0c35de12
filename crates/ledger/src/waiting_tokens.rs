//! Limit on the tokens of the items that wait on a route, for each customer by itself.
//!
//! Load pattern: callers submit jobs at all instances at once, faster than the items
//! finish. No instance sees what the others accepted in the last milliseconds, but the
//! store gives every write a version from a single counter. An instance therefore
//! stores a job first and decides afterwards: it reads all changes up to the version of
//! its own write, and admits the job only if it fits besides every admitted job and
//! every job with a lower version. The decision is written before the caller is
//! answered: the record is marked as admitted, or removed. A job thus counts for all
//! jobs with higher versions from the moment it is stored, so the limit holds without a
//! shared counter, and no part of it lies idle at one instance while another needs it.
//!
//! Nobody can see whether a job without a written decision is going to be removed. Such
//! a job is *undecided* for a short time, in which jobs with higher versions that would
//! fit without it wait. Afterwards it counts as admitted.

use std::sync::Arc;

use model::{CustomerName, JobId};

use crate::{
    directory::{Directory, StoredJob},
    record::JobRecord,
};

/// Time after which a stored job without a written decision counts as admitted,
/// milliseconds.
const DECISION_WINDOW_MS: u64 = 500;
/// Time constant of the measured rate at which tokens finish, milliseconds.
const RATE_WINDOW_MS: f64 = 5_000.0;
/// Time after which the measured rate is of no use, milliseconds.
const IDLE_AFTER_MS: u64 = 60_000;
/// Retry delay while no token has finished, milliseconds.
const RETRY_DEFAULT_MS: f64 = 1_000.0;
/// Limits of the retry delay, milliseconds.
const RETRY_MIN_MS: f64 = 200.0;
const RETRY_MAX_MS: f64 = 30_000.0;

/// A job that is to be admitted to a route with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Customer to which the job belongs, if any.
    pub customer: Option<&'a CustomerName>,
    /// Tokens of the job's items.
    pub tokens: u64,
    /// Maximum number of tokens of the customer that may wait on the route.
    pub tokens_max: u64,
    /// Version of the job's record, or `None` if the job is not stored yet.
    pub version: Option<u64>,
}

/// Decision about an [`AdmissionRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job fits. A job that is not stored yet has to be stored and decided again.
    Admitted,
    /// The job does not fit.
    Refused {
        /// Tokens of the customer that wait on the route.
        waiting_tokens: u64,
    },
    /// The job fits only if an undecided job is removed.
    Undecided,
}

/// Waiting tokens of every route and customer.
#[derive(Debug, Default)]
pub(crate) struct WaitingTokens {
    /// Sorted by route name and customer.
    rows: Vec<TokenRow>,
}

/// Waiting tokens of one customer on one route.
#[derive(Debug)]
struct TokenRow {
    route: Arc<str>,
    customer: Option<CustomerName>,
    /// Tokens of the jobs whose records say that they are admitted.
    admitted: u64,
    /// The other jobs, sorted by version.
    unconfirmed: Vec<UnconfirmedJob>,
    finished: FinishedRate,
}

/// A job that may still be removed.
#[derive(Debug)]
struct UnconfirmedJob {
    id: JobId,
    version: u64,
    tokens: u64,
    /// When the job counts as admitted.
    admitted_at_ms: u64,
}

/// Exponentially decaying rate at which tokens finish.
#[derive(Debug, Default)]
struct FinishedRate {
    /// Tokens that finished, weighted by their age.
    tokens: f64,
    updated_ms: u64,
}

impl Directory {
    /// Decides whether a job fits. Before the job is stored, this tells whether it is
    /// worth storing. Afterwards, the directory must include every change up to the
    /// version of the job.
    #[must_use]
    pub fn decide_admission(&self, request: &AdmissionRequest<'_>, now_ms: u64) -> Admission {
        let Some(row) = self.waiting.row(request.route, request.customer) else {
            return TokenRow::new(request.route.into(), None).decide(request, now_ms);
        };
        row.decide(request, now_ms)
    }

    /// Returns when a refused job is expected to fit, as a delay in milliseconds.
    /// `spread` between 0 and 1 selects a point of a range of delays, so that callers
    /// that were refused together do not return together.
    #[must_use]
    pub fn admission_retry_ms(
        &self,
        request: &AdmissionRequest<'_>,
        spread: f64,
        now_ms: u64,
    ) -> u64 {
        let row = self.waiting.row(request.route, request.customer);
        let delay_ms = row.and_then(|row| row.delay_until_fit_ms(request, now_ms));
        let delay_ms = delay_ms.unwrap_or(RETRY_DEFAULT_MS) * (1.0 + spread);
        round_ms(delay_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS))
    }

    /// Returns the tokens of a customer that wait on a route, including those of undecided jobs.
    #[must_use]
    pub fn waiting_tokens(&self, route: &str, customer: Option<&CustomerName>) -> u64 {
        self.waiting
            .row(route, customer)
            .map_or(0, |row| row.admitted + row.unconfirmed_tokens(|_| true))
    }
}

impl WaitingTokens {
    /// Replaces what a job contributes, when its record changed from `old` to `new`.
    pub(crate) fn replace(
        &mut self,
        old: Option<&StoredJob>,
        new: Option<&StoredJob>,
        now_ms: u64,
    ) {
        if let Some(old) = old {
            self.row_mut(&old.record, now_ms).remove(old);
        }
        if let Some(new) = new {
            self.row_mut(&new.record, now_ms).insert(new, now_ms);
        }
        if let (Some(old), Some(new)) = (old, new) {
            let waiting = |job: &StoredJob| job.record.waiting_tokens();
            let finished = waiting(old).saturating_sub(waiting(new));
            let row = self.row_mut(&new.record, now_ms);
            row.finished.add(finished, now_ms);
        }
    }

    fn row(&self, route: &str, customer: Option<&CustomerName>) -> Option<&TokenRow> {
        let index = self.find(route, customer).ok()?;
        Some(&self.rows[index])
    }

    /// Returns the row to which a job counts. A new row takes the place of those in which
    /// nothing has happened for long.
    fn row_mut(&mut self, record: &JobRecord, now_ms: u64) -> &mut TokenRow {
        let customer = record.customer.as_ref();
        if self.find(&record.route, customer).is_err() {
            self.rows.retain(|row| !row.is_idle(now_ms));
        }
        let index = match self.find(&record.route, customer) {
            Ok(index) => index,
            Err(index) => {
                let row = TokenRow::new(Arc::clone(&record.route), customer.cloned());
                self.rows.insert(index, row);
                index
            }
        };
        &mut self.rows[index]
    }

    fn find(&self, route: &str, customer: Option<&CustomerName>) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&*row.route, row.customer.as_ref()).cmp(&(route, customer)))
    }
}

impl TokenRow {
    fn new(route: Arc<str>, customer: Option<CustomerName>) -> Self {
        Self {
            route,
            customer,
            admitted: 0,
            unconfirmed: Vec::new(),
            finished: FinishedRate::default(),
        }
    }

    fn insert(&mut self, job: &StoredJob, now_ms: u64) {
        let tokens = job.record.waiting_tokens();
        if job.record.is_admitted {
            self.admitted += tokens;
        } else if tokens > 0 {
            let index = self.position(job.version);
            self.unconfirmed.insert(
                index,
                UnconfirmedJob {
                    id: job.id.clone(),
                    version: job.version,
                    tokens,
                    admitted_at_ms: now_ms + DECISION_WINDOW_MS,
                },
            );
        }
    }

    fn remove(&mut self, job: &StoredJob) {
        if job.record.is_admitted {
            self.admitted -= job.record.waiting_tokens();
        } else {
            self.unconfirmed.retain(|other| other.id != job.id);
        }
    }

    /// Returns whether the row holds nothing that a decision needs.
    fn is_idle(&self, now_ms: u64) -> bool {
        let is_empty = self.admitted == 0 && self.unconfirmed.is_empty();
        is_empty && now_ms >= self.finished.updated_ms + IDLE_AFTER_MS
    }

    fn position(&self, version: u64) -> usize {
        self.unconfirmed
            .partition_point(|other| other.version < version)
    }

    fn decide(&self, request: &AdmissionRequest<'_>, now_ms: u64) -> Admission {
        let is_earlier =
            |other: &UnconfirmedJob| request.version.is_none_or(|own| other.version < own);
        let is_decided = |other: &UnconfirmedJob| now_ms >= other.admitted_at_ms;
        let decided = self.unconfirmed_tokens(|other| is_earlier(other) && is_decided(other));
        let undecided = self.unconfirmed_tokens(|other| is_earlier(other) && !is_decided(other));
        let waiting_tokens = self.admitted + decided;
        if waiting_tokens + undecided + request.tokens <= request.tokens_max {
            Admission::Admitted
        } else if waiting_tokens + request.tokens > request.tokens_max {
            Admission::Refused { waiting_tokens }
        } else {
            Admission::Undecided
        }
    }

    fn unconfirmed_tokens(&self, is_counted: impl Fn(&UnconfirmedJob) -> bool) -> u64 {
        let counted = self.unconfirmed.iter().filter(|other| is_counted(other));
        counted.map(|other| other.tokens).sum()
    }

    /// Returns how long it takes until enough tokens have finished for the job to fit,
    /// or `None` if no tokens finish or the job never fits.
    fn delay_until_fit_ms(&self, request: &AdmissionRequest<'_>, now_ms: u64) -> Option<f64> {
        if request.tokens > request.tokens_max {
            return None;
        }
        let waiting = self.admitted + self.unconfirmed_tokens(|_| true);
        let excess = (waiting + request.tokens).saturating_sub(request.tokens_max);
        let tokens_per_ms = self.finished.tokens_per_ms(now_ms);
        let delay_ms = to_f64(excess) / tokens_per_ms;
        (tokens_per_ms > 0.0).then_some(delay_ms)
    }
}

impl FinishedRate {
    fn add(&mut self, tokens: u64, now_ms: u64) {
        self.tokens = self.decayed(now_ms) + to_f64(tokens);
        self.updated_ms = now_ms;
    }

    fn tokens_per_ms(&self, now_ms: u64) -> f64 {
        self.decayed(now_ms) / RATE_WINDOW_MS
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = to_f64(now_ms.saturating_sub(self.updated_ms));
        self.tokens * (-age_ms / RATE_WINDOW_MS).exp()
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value was clamped to a positive range"
)]
fn round_ms(ms: f64) -> u64 {
    ms.round() as u64
}
