//! Stored form of a service's answer, as part of a claim's row.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use store::{RateLimitedStore, StoreError};
use upstream::ServiceAnswer;
use uuid::Uuid;

/// Maximum size of a body that is stored in the row itself.
const INLINE_MAX_BYTES: usize = 16 * 1024;

/// A service's answer that is stored for resends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: StoredBody,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StoredBody {
    /// Body in the row, encoded as base64.
    Inline(String),
    /// Name of the object that holds the body.
    Object(String),
}

impl StoredAnswer {
    /// Converts an answer to its stored form. Stores the body as an object if it
    /// exceeds [`INLINE_MAX_BYTES`].
    pub(crate) async fn store(
        answer: &ServiceAnswer,
        store: &RateLimitedStore,
    ) -> Result<Self, StoreError> {
        let body = if answer.body.len() <= INLINE_MAX_BYTES {
            StoredBody::Inline(BASE64_STANDARD.encode(&answer.body))
        } else {
            let name = format!("claim-answer/{}", Uuid::new_v4().simple());
            store.put_object(&name, answer.body.clone()).await?;
            StoredBody::Object(name)
        };
        Ok(Self {
            status: answer.status.as_u16(),
            headers: headers_to_strings(&answer.headers),
            body,
        })
    }

    /// Restores the answer, and reads its body from the object store if the body is
    /// stored as an object.
    pub(crate) async fn load(self, store: &RateLimitedStore) -> Result<ServiceAnswer, StoreError> {
        let body = match self.body {
            StoredBody::Inline(encoded) => BASE64_STANDARD
                .decode(encoded)
                .map(Bytes::from)
                .map_err(|error| StoreError::Protocol(error.to_string()))?,
            StoredBody::Object(name) => store
                .object(&name, None)
                .await?
                .ok_or_else(|| StoreError::Protocol(format!("object {name} is missing")))?,
        };
        let status = StatusCode::from_u16(self.status)
            .map_err(|error| StoreError::Protocol(error.to_string()))?;
        Ok(ServiceAnswer {
            status,
            headers: headers_from_strings(&self.headers),
            body,
        })
    }
}

fn headers_to_strings(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

fn headers_from_strings(headers: &[(String, String)]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::try_from(name.as_str()).ok()?;
            let value = HeaderValue::try_from(value.as_str()).ok()?;
            Some((name, value))
        })
        .collect()
}
