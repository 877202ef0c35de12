//! Lines of batch files: the request of an item in the input file, and its
//! record in a result file.

use model::ErrorKind;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// The request of a valid item.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemRequest {
    /// Identifier that the caller gave the item.
    pub custom_id: String,
    /// Request body to send.
    pub body: Map<String, Value>,
}

/// An item whose request is invalid, so that it is never sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidItem {
    /// Identifier that the caller gave the item; empty if the line cannot be
    /// parsed.
    pub custom_id: String,
    /// Description of the fault.
    pub message: String,
}

/// Outcome of an attempt at an item.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream answered, with any status.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Value,
    },
    /// The attempt failed after the upstream ran the item or may have run it.
    Failed {
        /// Kind of the error.
        kind: ErrorKind,
        /// Tokens that arrived before the failure.
        tokens: Vec<String>,
    },
    /// The attempt failed and the item is known not to have run.
    NotRun(ErrorKind),
    /// The item was preempted in favour of other work.
    Preempted {
        /// Tokens generated so far.
        tokens: Vec<String>,
    },
}

/// Result of an item, as one line of a result file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Index of the item in its chunk.
    pub item: u32,
    /// Whether the line belongs to the error file.
    pub is_error: bool,
    /// The line, without the line terminator.
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

/// Parses the line of an item of a job that sends every item to `endpoint`.
///
/// # Errors
///
/// Returns [`InvalidItem`] if the line is not valid JSON, names another method
/// or URL, or has no JSON object as its body.
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
        _ => "body must be a JSON object".to_owned(),
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
    /// Creates the record of an answer. Answers with a status outside 200 to
    /// 299 go to the error file.
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

    /// Creates the record of an item that got no answer, for the error file.
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
