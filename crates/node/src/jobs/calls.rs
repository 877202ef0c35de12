//! Tells which requests are calls about jobs, and authenticates their callers.
//!
//! A job outlives its route. Until its results expire, it can be read and ended on the host on
//! which it was submitted, whether or not a route for jobs is left there.

use std::{rc::Rc, sync::Arc};

use gateway::{KeyDigest, RouteTable, normalize_host};
use http::{Response, request};
use ledger::JobRecord;
use model::JobId;
use platform::StoreError;

use super::query::{
    answer_query, cached_record, has_fresh_records, pass_on_query, store_unavailable, stored_record,
};
use crate::{
    answer::AnswerBody,
    customers::{self, CallId, KeyRefusal, KeyedCall},
    dispatch::host_of,
    node::Node,
};

/// Answers a request if it is a call about a job. Otherwise returns `None`, and the request
/// belongs to a route. `key` is the digest of the caller's key.
pub(crate) async fn answer_call(
    node: &Rc<Node>,
    routes: &RouteTable,
    parts: &request::Parts,
    key: Option<&KeyDigest>,
) -> Option<Response<AnswerBody>> {
    let query = platform::decode_job_call(&parts.method, &parts.uri, &parts.headers)?;
    let host = host_of(parts);
    let record = if routes.has_batch_route(host) {
        cached_record(node, &query.job)
    } else {
        match record_on_host(node, routes, parts, &query.job).await {
            Ok(Some(record)) => Some(record),
            Ok(None) => return None,
            Err(error) => {
                log::warn!(
                    "event=job_query_failed job={} error={}",
                    query.job,
                    process::quote(&error)
                );
                let response = pass_on_query(node, &query, parts).await;
                return Some(response.unwrap_or_else(store_unavailable));
            }
        }
    };
    let belongs_to_nobody = record.is_some_and(|record| record.customer.is_none());
    let is_public = |routes: &RouteTable| belongs_to_nobody || routes.has_public_batch_route(host);
    let call = KeyedCall {
        id: CallId::Job(&query.job),
        key,
    };
    Some(match customers::authenticate(node, call, is_public).await {
        Ok(customer) => answer_query(node, query, customer.as_deref(), parts).await,
        Err(KeyRefusal::Unknown) => KeyRefusal::Unknown.answer(),
        Err(KeyRefusal::Unconfirmed) => pass_on_query(node, &query, parts)
            .await
            .unwrap_or_else(|| KeyRefusal::Unconfirmed.answer()),
    })
}

/// Returns the record of a job that was submitted on the host of a request, on which no route
/// for jobs is left.
///
/// # Errors
///
/// Returns an error if the store has to be asked and does not answer.
async fn record_on_host(
    node: &Node,
    routes: &RouteTable,
    parts: &request::Parts,
    id: &JobId,
) -> Result<Option<Arc<JobRecord>>, StoreError> {
    let host = normalize_host(host_of(parts));
    let record = match cached_record(node, id) {
        Some(record) => Some(record),
        None if is_left_to_route(node, routes, parts, &host) => None,
        None => stored_record(node, id).await?,
    };
    Ok(record.filter(|record| *record.host == *host))
}

/// Returns whether a request about a job that is not cached is left to a route that covers its
/// path, without a call to the store: no other instance can have shown such a job, or none of
/// this host is known.
fn is_left_to_route(node: &Node, routes: &RouteTable, parts: &request::Parts, host: &str) -> bool {
    let is_covered = routes.find(host, parts.uri.path()).is_some();
    is_covered && (has_fresh_records(node) || !knows_jobs_on(node, host))
}

/// Returns whether this instance knows a job that was submitted on `host`.
pub(super) fn knows_jobs_on(node: &Node, host: &str) -> bool {
    let directory = node.directory.borrow();
    directory.jobs().any(|job| *job.record.host == *host)
}
