//! Checks batches against the configuration and the upstreams.

use model::{Class, ClassTarget, ErrorKind, ModelName, UpstreamKind, View};

use crate::Refusal;

/// Endpoint of chat completions, the only one that engines serve.
const CHAT_ENDPOINT: &str = "/v1/chat/completions";
/// Path prefix of the endpoints of plain services.
const SERVICE_ENDPOINT_PREFIX: &str = "/services/";
/// Maximum completion window, in milliseconds: seven days.
const COMPLETION_WINDOW_MAX_MS: u64 = 7 * 24 * 3_600_000;

/// Refuses models that are neither configured nor served by an engine.
pub(crate) fn models(view: &View, models: &[ModelName]) -> Result<(), Refusal> {
    let is_known = |model: &ModelName| {
        view.config.model_defaults(model.as_str()).is_some()
            || view.upstreams.iter().any(|entry| entry.serves_model(model))
    };
    match models.iter().find(|model| !is_known(model)) {
        Some(model) => {
            let message = format!("The model {:?} does not exist.", model.as_str());
            Err(Refusal::new(ErrorKind::UnknownModel, message).with_param("model"))
        }
        None => Ok(()),
    }
}

/// Refuses endpoints that neither engines nor a known service serve.
pub(crate) fn endpoint(view: &View, endpoint: &str) -> Result<(), Refusal> {
    if endpoint == CHAT_ENDPOINT {
        return Ok(());
    }
    let Some(path) = endpoint.strip_prefix(SERVICE_ENDPOINT_PREFIX) else {
        let message = format!(
            "`endpoint` is {endpoint:?}; it must be {CHAT_ENDPOINT:?} or begin with {SERVICE_ENDPOINT_PREFIX:?}."
        );
        return Err(Refusal::invalid_param("endpoint", message));
    };
    let service = path.split('/').next().unwrap_or_default();
    let is_upstream = view.upstreams.iter().any(|entry| match &entry.kind {
        UpstreamKind::Service { service: name } => name.as_str() == service,
        UpstreamKind::Engine { .. } => false,
    });
    if is_upstream || view.config.service_class(service).is_some() {
        return Ok(());
    }
    let message = format!("The service {service:?} does not exist.");
    Err(Refusal::new(ErrorKind::UnknownService, message).with_param("endpoint"))
}

/// Returns the class of a batch: the requested one, or else the default batch
/// class of the first model that has one.
pub(crate) fn class<'a>(
    view: &'a View,
    requested: Option<&str>,
    models: &[ModelName],
) -> Result<Option<&'a Class>, Refusal> {
    let Some(name) = requested else {
        let mut defaults = models
            .iter()
            .filter_map(|model| view.config.model_defaults(model.as_str()));
        let name = defaults.find_map(|defaults| defaults.batch_class.as_ref());
        return Ok(name.and_then(|name| view.config.class(name.as_str())));
    };
    match view.config.class(name) {
        Some(class) if matches!(class.target, ClassTarget::Batch { .. }) => Ok(Some(class)),
        _ => {
            let message = format!("There is no batch class {name:?}.");
            Err(Refusal::new(ErrorKind::UnknownClass, message))
        }
    }
}

/// Returns the time allowed from acceptance to the last result, in milliseconds:
/// the target of the class or the requested completion window, whichever is
/// shorter.
pub(crate) fn completion_limit_ms(class: Option<&Class>, window: &str) -> Result<u64, Refusal> {
    let window_ms = parse_window_ms(window)
        .filter(|window_ms| (1..=COMPLETION_WINDOW_MAX_MS).contains(window_ms))
        .ok_or_else(|| {
            let message =
                "`completion_window` must be a duration from \"1s\" to \"168h\", such as \"24h\".";
            Refusal::invalid_param("completion_window", message)
        })?;
    let target_ms = match class.map(|class| &class.target) {
        Some(ClassTarget::Batch { complete_within_ms }) => *complete_within_ms,
        _ => window_ms,
    };
    Ok(target_ms.min(window_ms))
}

fn parse_window_ms(window: &str) -> Option<u64> {
    let unit_at = window.len().checked_sub(1)?;
    let (number, unit) = window.split_at_checked(unit_at)?;
    let unit_ms = match unit {
        "h" => 3_600_000,
        "m" => 60_000,
        "s" => 1_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(unit_ms)
}
