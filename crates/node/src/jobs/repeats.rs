//! Answers submissions that come again after their route is gone, and tells which of them need no
//! key: a job outlives its route, and the configuration that it was accepted by.

use std::rc::Rc;

use gateway::{KeyDigest, RouteTable, normalize_host};
use http::{Method, Response, request};
use ledger::JobRecord;
use model::JobId;
use platform::StoreError;

use super::{
    accept::answer_repeat,
    calls::knows_jobs_on,
    ownership,
    query::{cached_record, has_fresh_records, not_found},
    storage::JobRows,
};
use crate::{
    answer::AnswerBody,
    customers::{self, CallId, KeyedCall},
    dispatch::host_of,
    node::Node,
};

/// Returns the id of the job that a request submits again although no route for jobs covers its
/// path any more. The store is asked only about a path that no route covers on a host with jobs,
/// while the records that this instance follows are behind: a crowd of requests to paths that
/// never existed must not use up the calls to the store.
///
/// # Errors
///
/// Returns an error if the store has to be asked and does not answer.
pub(crate) async fn repeated_job(
    node: &Rc<Node>,
    routes: &RouteTable,
    parts: &request::Parts,
    request_id: &str,
) -> Result<Option<JobId>, StoreError> {
    if parts.method != Method::POST {
        return Ok(None);
    }
    let id = JobId::new(request_id);
    let host = &*normalize_host(host_of(parts));
    let path = parts.uri.path();
    let is_same = |record: &JobRecord| is_submitted_at(record, host, path);
    if let Some(record) = cached_record(node, &id) {
        return Ok(is_same(&record).then_some(id));
    }
    let may_have_jobs = knows_jobs_on(node, host)
        || !node.has_read_jobs.get()
        || node.store_health.is_unreachable();
    let may_be_unknown = may_have_jobs && !has_fresh_records(node);
    if routes.find(host, path).is_some() || !may_be_unknown {
        return Ok(None);
    }
    let stored = JobRows::new(node).read_record(&id).await?;
    let Some((record, version)) = stored.filter(|(record, _)| is_same(record)) else {
        return Ok(None);
    };
    ownership::apply_record(node, &id, record, version);
    Ok(Some(id))
}

/// Returns whether a request submits an accepted job of nobody again. It was accepted before the
/// first configuration with customers, and its callers may have no key.
pub(crate) fn repeats_job_of_nobody(node: &Node, parts: &request::Parts, request_id: &str) -> bool {
    let host = normalize_host(host_of(parts));
    cached_record(node, &JobId::new(request_id)).is_some_and(|record| {
        record.is_admitted
            && record.customer.is_none()
            && is_submitted_at(&record, &host, parts.uri.path())
    })
}

fn is_submitted_at(record: &JobRecord, host: &str, path: &str) -> bool {
    *record.path == *path && *record.host == *host
}

/// Answers the repeat of a submission once its body has been read. `key` is the digest of the
/// caller's key.
pub(crate) async fn answer_repeated_job(
    node: &Rc<Node>,
    id: &JobId,
    key: Option<&KeyDigest>,
    answer_by_ms: u64,
) -> Response<AnswerBody> {
    let belongs_to_nobody = cached_record(node, id).is_some_and(|record| record.customer.is_none());
    let call = KeyedCall {
        id: CallId::Job(id),
        key,
    };
    let customer = match customers::authenticate(node, call, |_| belongs_to_nobody).await {
        Ok(customer) => customer,
        Err(refusal) => return refusal.answer(),
    };
    let caller = customer.as_ref().map(|customer| &customer.name);
    answer_repeat(node, id, caller, answer_by_ms)
        .await
        .unwrap_or_else(|| not_found(id))
}
