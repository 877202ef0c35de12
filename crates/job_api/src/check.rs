//! Checks of a batch against the configuration and the upstreams.

use model::{Class, ClassTarget, ErrorKind, ModelName, UpstreamKind, View};

use crate::Refusal;

/// Path of the endpoint that engines serve.
const CHAT_ENDPOINT: &str = "/v1/chat/completions";
/// Prefix of the endpoints of plain services.
const SERVICE_PREFIX: &str = "/services/";
/// Longest completion window, milliseconds.
const WINDOW_MAX_MS: u64 = 7 * 24 * 3_600_000;

/// Refuses models that neither the configuration nor an engine knows.
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

/// Refuses endpoints that nothing here serves.
pub(crate) fn endpoint(view: &View, endpoint: &str) -> Result<(), Refusal> {
    if endpoint == CHAT_ENDPOINT {
        return Ok(());
    }
    let Some(path) = endpoint.strip_prefix(SERVICE_PREFIX) else {
        let message = format!("`endpoint` must be {CHAT_ENDPOINT:?} or a path of a service.");
        return Err(Refusal::invalid("endpoint", message));
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

/// Finds the class of a batch: the one asked for, else the default of the
/// first model that has one.
pub(crate) fn class<'a>(
    view: &'a View,
    asked: Option<&str>,
    models: &[ModelName],
) -> Result<Option<&'a Class>, Refusal> {
    let Some(name) = asked else {
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

/// Time from acceptance to the last result, milliseconds: the class's target,
/// or a shorter window that the caller asked for.
pub(crate) fn within_ms(class: Option<&Class>, window: &str) -> Result<u64, Refusal> {
    let window_ms = window_ms(window)
        .filter(|window_ms| (1..=WINDOW_MAX_MS).contains(window_ms))
        .ok_or_else(|| {
            let message = "`completion_window` must be a time up to \"168h\", such as \"24h\".";
            Refusal::invalid("completion_window", message)
        })?;
    let target_ms = match class.map(|class| &class.target) {
        Some(ClassTarget::Batch { complete_within_ms }) => *complete_within_ms,
        _ => window_ms,
    };
    Ok(target_ms.min(window_ms))
}

fn window_ms(window: &str) -> Option<u64> {
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
