//! Lines of batch files: the request of an item and the record of its end.

use model::ErrorKind;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// A well-formed item.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemRequest {
    /// The caller's name for the item.
    pub custom_id: String,
    /// Body to send.
    pub body: Map<String, Value>,
}

/// An item that cannot be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidItem {
    /// The caller's name for the item.
    pub custom_id: String,
    /// What is wrong with it.
    pub message: String,
}

/// How an attempt at an item ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Value,
    },
    /// The upstream ran it and failed, or may have run it.
    Failed {
        /// What went wrong.
        kind: ErrorKind,
        /// Tokens that arrived before.
        tokens: Vec<String>,
    },
    /// It certainly did not run.
    NotRun(ErrorKind),
    /// It was withdrawn in favour of other work.
    Preempted {
        /// Tokens generated so far.
        tokens: Vec<String>,
    },
}

/// One line of a result file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Index of the item in its chunk.
    pub item: u32,
    /// Whether the line belongs to the error file.
    pub is_error: bool,
    /// The line, without its end.
    pub line: String,
}

#[derive(Debug, Deserialize)]
struct Line {
    custom_id: String,
    #[serde(default)]
    method: Option<Value>,
    #[serde(default)]
    url: Option<Value>,
    #[serde(default)]
    body: Option<Value>,
}

/// Parses the line of an item whose job sends every item to `endpoint`.
///
/// # Errors
///
/// Returns what is wrong with the item.
pub fn parse_request(line: &str, endpoint: &str) -> Result<ItemRequest, InvalidItem> {
    let line: Line = serde_json::from_str(line).map_err(|error| InvalidItem {
        custom_id: String::new(),
        message: error.to_string(),
    })?;
    let message = match (&line.method, &line.url, &line.body) {
        (Some(Value::String(method)), _, _) if method != "POST" => {
            "method must be \"POST\"".to_owned()
        }
        (_, Some(url), _) if *url != json!(endpoint) => {
            format!("url must be the endpoint of the batch, {endpoint:?}")
        }
        (_, _, Some(Value::Object(_))) => String::new(),
        _ => "body must be an object".to_owned(),
    };
    match line.body {
        Some(Value::Object(body)) if message.is_empty() => Ok(ItemRequest {
            custom_id: line.custom_id,
            body,
        }),
        _ => Err(InvalidItem {
            custom_id: line.custom_id,
            message,
        }),
    }
}

impl ItemRecord {
    /// The record of an answer; statuses other than success go to the error
    /// file.
    #[must_use]
    pub fn answered(item: u32, id: &str, custom_id: &str, status: u16, body: &Value) -> Self {
        let is_error = !(200..300).contains(&status);
        let response = json!({"status_code": status, "request_id": id, "body": body});
        let error = if is_error {
            json!({"code": ErrorKind::UpstreamFailed.answer().code,
                "message": format!("the upstream answered with status {status}")})
        } else {
            Value::Null
        };
        Self::new(item, is_error, id, custom_id, &response, &error)
    }

    /// The record of an item that came to no answer.
    #[must_use]
    pub fn failed(item: u32, id: &str, custom_id: &str, kind: ErrorKind, message: &str) -> Self {
        let error = json!({"code": kind.answer().code, "message": message});
        Self::new(item, true, id, custom_id, &Value::Null, &error)
    }

    fn new(
        item: u32,
        is_error: bool,
        id: &str,
        custom_id: &str,
        response: &Value,
        error: &Value,
    ) -> Self {
        let line = json!({
            "id": id,
            "custom_id": custom_id,
            "response": response,
            "error": error,
        });
        Self {
            item,
            is_error,
            line: line.to_string(),
        }
    }
}
