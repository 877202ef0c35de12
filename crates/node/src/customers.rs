//! Finds out on behalf of which customer a caller sends a request.

use std::sync::Arc;

use gateway::{Customer, Route, RouteTable};
use http::{Response, StatusCode};
use platform::RequestHeaders;

use crate::answer::{self, AnswerBody};

/// Why a request is refused because of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyRefusal {
    /// No customer has the key.
    Unknown,
}

impl KeyRefusal {
    /// Returns the answer for the caller.
    pub(crate) fn answer(self) -> Response<AnswerBody> {
        match self {
            Self::Unknown => answer::text(StatusCode::UNAUTHORIZED, "unknown key"),
        }
    }
}

/// Returns the customer of a request, or `None` if the request needs no key.
///
/// # Errors
///
/// Returns why the request is refused.
pub(crate) fn identify(
    routes: &RouteTable,
    route: Option<&Route>,
    headers: &RequestHeaders,
) -> Result<Option<Arc<Customer>>, KeyRefusal> {
    let Some(customers) = &routes.customers else {
        return Ok(None);
    };
    if route.is_some_and(|route| route.is_public) {
        return Ok(None);
    }
    let customer = headers.key.as_ref().and_then(|key| customers.find(key));
    if let Some(customer) = customer {
        return Ok(Some(Arc::clone(customer)));
    }
    log::warn!(
        "event=request_refused request={} reason=unknown_key config_version={}",
        headers.request_id,
        routes.version
    );
    Err(KeyRefusal::Unknown)
}
