//! Identifies the caller of a request from its headers.

use http::{HeaderMap, header};
use model::{CustomerId, ErrorKind};
use process::Refusal;

/// Header that selects the class of a request.
pub(crate) const CLASS_HEADER: &str = "redwingtack-class";
/// Header that identifies resends of the same request.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;
const BEARER_PREFIX: &str = "Bearer ";

/// The caller of a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Caller {
    /// Customer, identified by the API key.
    pub(crate) customer: CustomerId,
    /// Class that the caller requested.
    pub(crate) class: Option<String>,
    /// Key that all resends of the request carry.
    pub(crate) idempotency_key: Option<String>,
}

impl Caller {
    /// Reads the caller from the headers of a request. Refuses a request without
    /// an API key or with an idempotency key of invalid length.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Result<Self, Refusal> {
        let api_key = header_str(headers, header::AUTHORIZATION.as_str())
            .and_then(|value| value.strip_prefix(BEARER_PREFIX))
            .map(str::trim)
            .filter(|key| !key.is_empty())
            .ok_or_else(missing_api_key)?;
        let idempotency_key = header_str(headers, IDEMPOTENCY_KEY_HEADER);
        if idempotency_key
            .is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES)
        {
            let message = "Idempotency-Key must have 1 to 255 characters.";
            return Err(Refusal::new(ErrorKind::InvalidRequest, message));
        }
        Ok(Self {
            customer: CustomerId::new(api_key),
            class: header_str(headers, CLASS_HEADER).map(str::to_owned),
            idempotency_key: idempotency_key.map(str::to_owned),
        })
    }
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn missing_api_key() -> Refusal {
    let message = "No API key was sent. Send it as `Authorization: Bearer KEY`.";
    Refusal::new(ErrorKind::MissingApiKey, message)
}
