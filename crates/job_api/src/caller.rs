//! Reads the request headers that identify the caller and select options.

use model::{CustomerId, ErrorKind};
use salvo::http::{HeaderMap, header};

use crate::Refusal;

const CLASS_HEADER: &str = "redwingtack-class";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;
const BEARER_PREFIX: &str = "Bearer ";

/// Returns the customer, which the API key identifies.
pub(crate) fn customer(headers: &HeaderMap) -> Result<CustomerId, Refusal> {
    header_str(headers, header::AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix(BEARER_PREFIX))
        .map(str::trim)
        .filter(|key| !key.is_empty())
        .map(CustomerId::new)
        .ok_or_else(|| {
            let message = "No API key was sent. Send it as `Authorization: Bearer KEY`.";
            Refusal::new(ErrorKind::MissingApiKey, message)
        })
}

/// Returns the class that the caller requests.
pub(crate) fn class(headers: &HeaderMap) -> Option<&str> {
    header_str(headers, CLASS_HEADER)
}

/// Returns the idempotency key, which a request and its resends share.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    match header_str(headers, IDEMPOTENCY_KEY_HEADER) {
        Some(key) if key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES => {
            let message = "Idempotency-Key must have 1 to 255 characters.";
            Err(Refusal::new(ErrorKind::InvalidRequest, message))
        }
        key => Ok(key),
    }
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
