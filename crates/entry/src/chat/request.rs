//! Validates a chat request and determines its class.

use model::{Class, ClassTarget, ErrorKind, FleetConfig};
use process::Refusal;
use serde_json::Value;
use upstream::ChatRequest;

use crate::caller::Caller;

const STREAM_OPTIONS: &str = "stream_options";

/// A validated chat request.
#[derive(Debug)]
pub(crate) struct ParsedChat {
    /// Request as it is sent to engines, which always stream their answer.
    pub(crate) request: ChatRequest,
    /// Whether the caller requested server-sent events.
    pub(crate) is_streamed: bool,
    /// Whether the caller requested token counts in the stream.
    pub(crate) include_usage: bool,
}

impl ParsedChat {
    /// Parses and validates a request body.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let mut request: ChatRequest = serde_json::from_slice(body).map_err(|error| {
            let message = format!("The body is not a valid chat request: {error}.");
            Refusal::new(ErrorKind::InvalidRequest, message)
        })?;
        check_parameters(&request)?;
        let include_usage = request
            .other
            .remove(STREAM_OPTIONS)
            .and_then(|options| options.get("include_usage").and_then(Value::as_bool))
            .unwrap_or(false);
        let is_streamed = std::mem::replace(&mut request.stream, true);
        Ok(Self {
            request,
            is_streamed,
            include_usage,
        })
    }
}

/// Returns the class that the caller requested, or the model's default class.
pub(crate) fn online_class(
    config: &FleetConfig,
    caller: &Caller,
    parsed: &ParsedChat,
) -> Result<Class, Refusal> {
    let model = &parsed.request.model;
    let Some(defaults) = config.model_defaults(model) else {
        let message = format!("The model {model:?} does not exist.");
        return Err(Refusal::new(ErrorKind::UnknownModel, message).with_param("model"));
    };
    let name = match (&caller.class, &defaults.online_class) {
        (Some(name), _) => name.as_str(),
        (None, Some(name)) => name.as_str(),
        (None, None) => {
            let message = format!(
                "The model {model:?} has no default class; name a class in the header redwingtack-class."
            );
            return Err(Refusal::new(ErrorKind::UnknownClass, message));
        }
    };
    let class = config
        .class(name)
        .filter(|class| matches!(class.target, ClassTarget::Online { .. }))
        .ok_or_else(|| {
            let message = format!("There is no online class {name:?}.");
            Refusal::new(ErrorKind::UnknownClass, message)
        })?;
    Ok(class.clone())
}

fn check_parameters(request: &ChatRequest) -> Result<(), Refusal> {
    if request.messages.is_empty() {
        let message = "messages must contain at least one message.";
        return Err(Refusal::new(ErrorKind::InvalidRequest, message).with_param("messages"));
    }
    if request.max_tokens == Some(0) || request.max_completion_tokens == Some(0) {
        let message = "max_tokens must be at least 1.";
        return Err(Refusal::new(ErrorKind::InvalidRequest, message).with_param("max_tokens"));
    }
    if !request.continue_from_tokens.is_empty() {
        let message = "continue_from_tokens is not a parameter of this interface.";
        return Err(
            Refusal::new(ErrorKind::InvalidRequest, message).with_param("continue_from_tokens")
        );
    }
    let choice_count = request.other.get("n").and_then(Value::as_u64);
    if choice_count.is_some_and(|n| n != 1) {
        let message = "n must be 1.";
        return Err(Refusal::new(ErrorKind::InvalidRequest, message).with_param("n"));
    }
    Ok(())
}
