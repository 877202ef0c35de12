//! Finds out on behalf of which customer a caller sends a request, and whether the keys of the
//! configuration may be accepted now.
//!
//! Callers do not retry after a 401. Before an instance answers so, it makes sure that the
//! newest configuration does not have the key either; if it cannot, it refuses the request as
//! not run, and another instance can serve it.

use std::{fmt, rc::Rc, sync::Arc, time::Duration};

use gateway::{Customer, KeyDigest, RouteTable};
use http::{Response, StatusCode};
use model::JobId;
use tokio::time::timeout;

use crate::{
    answer::{self, AnswerBody},
    clock::boot_ms,
    freshness_check::{self, Subject},
    node::Node,
};

/// Time in which it must turn out whether the newest configuration has a key.
const UNKNOWN_KEY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which an expired lease must be renewed before a request is refused.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Retry-after hint if the keys cannot be confirmed, milliseconds. The hint is short because
/// other instances can serve the request.
const UNCONFIRMED_RETRY_AFTER_MS: u64 = 10;

/// A request whose customer is to be found.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyedCall<'a> {
    pub(crate) id: CallId<'a>,
    /// Digest of the caller's key.
    pub(crate) key: Option<&'a KeyDigest>,
}

/// Which request a log line is about.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CallId<'a> {
    Request(&'a str),
    /// A request about a job.
    Job(&'a JobId),
}

/// Why a request is refused because of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyRefusal {
    /// No customer has the key, or the request brings none.
    Unknown,
    /// It cannot be made sure that the configuration in force is the newest one.
    Unconfirmed,
}

/// No customer of a configuration has the key of a request.
#[derive(Debug, Clone, Copy)]
struct NoCustomer;

impl fmt::Display for CallId<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(id) => write!(f, "request={id}"),
            Self::Job(id) => write!(f, "job={id}"),
        }
    }
}

impl KeyRefusal {
    /// Returns the answer for the caller.
    pub(crate) fn answer(self) -> Response<AnswerBody> {
        match self {
            Self::Unknown => answer::text(StatusCode::UNAUTHORIZED, "unknown key"),
            Self::Unconfirmed => answer::service_unavailable(
                UNCONFIRMED_RETRY_AFTER_MS,
                "this instance cannot confirm the keys of customers",
            ),
        }
    }
}

/// Returns the customer of a request by the configuration in force, or `None` if the request
/// needs no key. `is_public` says whether a configuration lets the request in without a key.
///
/// The time of this check counts for the whole request: what an accepted request still needs,
/// such as retries, is not refused later.
///
/// # Errors
///
/// Returns why the request is refused.
pub(crate) async fn authenticate(
    node: &Rc<Node>,
    call: KeyedCall<'_>,
    is_public: impl Fn(&RouteTable) -> bool,
) -> Result<Option<Arc<Customer>>, KeyRefusal> {
    let arrived_ms = boot_ms();
    let find = || find_customer(node, call, &is_public);
    let Ok(mut customer) = find() else {
        let is_checked = |key| node.unknown_keys.borrow().is_unknown(key, arrived_ms);
        if call.key.is_some_and(is_checked) {
            return Err(refuse_unknown(node, call));
        }
        if !make_sure(node, arrived_ms).await {
            return Err(refuse_unconfirmed(node, call.id, None));
        }
        return find().map_err(|NoCustomer| {
            if let Some(key) = call.key {
                node.unknown_keys
                    .borrow_mut()
                    .record_unknown(*key, arrived_ms);
            }
            refuse_unknown(node, call)
        });
    };
    let may_accept =
        |customer: &Option<_>| customer.is_none() || node.key_lease.borrow().is_valid(boot_ms());
    if !may_accept(&customer) {
        renew_lease(node).await;
        // The lease is valid again only by the configuration that is in force now.
        customer = find().map_err(|NoCustomer| refuse_unknown(node, call))?;
    }
    if !may_accept(&customer) {
        return Err(refuse_unconfirmed(node, call.id, customer.as_deref()));
    }
    Ok(customer)
}

/// Tries to renew the lease on accepting keys at once, unless it is known that the store cannot
/// be reached.
async fn renew_lease(node: &Rc<Node>) {
    if !node.store_health.is_unreachable() {
        let renewal = freshness_check::confirm(node, Subject::Config);
        // The lease says whether it was renewed.
        let _ = timeout(RENEWAL_TIMEOUT, renewal).await;
    }
}

fn find_customer(
    node: &Node,
    call: KeyedCall<'_>,
    is_public: impl Fn(&RouteTable) -> bool,
) -> Result<Option<Arc<Customer>>, NoCustomer> {
    let Some(routes) = node.routes() else {
        return Err(NoCustomer);
    };
    let Some(customers) = &routes.customers else {
        return Ok(None);
    };
    let customer = call.key.and_then(|key| customers.find(key)).cloned();
    match (is_public(&routes), call.id) {
        (true, CallId::Request(_)) => Ok(None),
        // The host may have jobs of both kinds.
        (true, CallId::Job(_)) => Ok(customer),
        (false, _) => customer.map(Some).ok_or(NoCustomer),
    }
}

/// Returns whether the configuration in force is the newest one at `since_ms` or later.
async fn make_sure(node: &Rc<Node>, since_ms: u64) -> bool {
    let is_confirmed = || node.key_lease.borrow().is_confirmed_since(since_ms);
    if is_confirmed() {
        return true;
    }
    let check = freshness_check::confirm(node, Subject::Config);
    // The answer confirms nothing if it brings a configuration that cannot be read.
    let _ = timeout(UNKNOWN_KEY_TIMEOUT, check).await;
    is_confirmed()
}

fn refuse_unknown(node: &Node, call: KeyedCall<'_>) -> KeyRefusal {
    let unknown_keys = node.unknown_keys.borrow();
    let removal = call.key.and_then(|key| unknown_keys.removal(key));
    let reason = match (call.key, removal) {
        (None, _) => "no_key",
        (Some(_), None) => "unknown_key",
        (Some(_), Some(_)) => "key_taken_away",
    };
    let customer = removal.map_or("none", |removal| removal.customer.name.as_str());
    let removed_by = removal.map_or(0, |removal| removal.config_version);
    log::warn!(
        "event=request_refused {} reason={reason} customer={customer} removed_by={removed_by} {}",
        call.id,
        ConfirmationState(node)
    );
    node.metrics.on_key_refusal(reason);
    KeyRefusal::Unknown
}

fn refuse_unconfirmed(node: &Node, id: CallId<'_>, customer: Option<&Customer>) -> KeyRefusal {
    log::warn!(
        "event=request_refused {id} reason=keys_unconfirmed customer={} {} retry_after_ms={UNCONFIRMED_RETRY_AFTER_MS}",
        customer.map_or("none", |customer| customer.name.as_str()),
        ConfirmationState(node)
    );
    node.metrics
        .on_refusal("keys_unconfirmed", UNCONFIRMED_RETRY_AFTER_MS);
    KeyRefusal::Unconfirmed
}

/// What a log line says about the configuration in force and its last confirmation.
struct ConfirmationState<'a>(&'a Node);

impl fmt::Display for ConfirmationState<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.0.routes().map_or(0, |routes| routes.version);
        write!(f, "config_version={version}")?;
        match self.0.key_lease.borrow().last_confirmation(boot_ms()) {
            Some((age_ms, source)) => write!(
                f,
                " confirmed_age_ms={age_ms} confirmed_by={}",
                source.as_str()
            ),
            None => write!(f, " confirmed_by=none"),
        }
    }
}
