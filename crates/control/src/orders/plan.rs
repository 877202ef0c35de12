//! Placement of models on engines, derived from the configured models, their
//! latency targets and the load that engines report.

use model::{Class, ClassTarget, FleetConfig, ModelName, UpstreamId};
use upstream::OrderAction;

/// Maximum number of models on one engine. An engine with more is ordered to
/// unload one, and an engine with this many gets no model to relieve others.
const MAX_MODELS_PER_ENGINE: usize = 3;
/// Expected time to prefill one waiting prompt token, in microseconds.
const PREFILL_TOKEN_US: u64 = 50;
/// Expected time that each running sequence adds to the time between tokens, in
/// microseconds.
const PER_SEQUENCE_US: u64 = 300;
/// Expected time between tokens on an otherwise idle engine, in microseconds.
const DECODE_STEP_US: u64 = 12_000;
/// Utilization of a model's least utilized engine, in percent, from which the
/// model is loaded on another engine.
const BUSY_PERCENT: u64 = 70;
/// Utilization, in percent, below which an engine can take another model.
const IDLE_PERCENT: u64 = 30;
/// Target for the time to first token of a model without an online class, in
/// microseconds.
const BATCH_FIRST_TOKEN_US: u64 = 10_000_000;
/// Target for the time between tokens of a model without an online class, in
/// microseconds.
const BATCH_BETWEEN_TOKENS_US: u64 = 1_000_000;
const US_PER_MS: u64 = 1_000;

/// State of an engine according to its last load report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Identifies the engine.
    pub id: UpstreamId,
    /// Loaded models, sorted.
    pub models: Vec<ModelName>,
    /// Number of sequences being decoded.
    pub running: u32,
    /// Number of prompt tokens that are admitted but not yet prefilled.
    pub waiting_prompt_tokens: u32,
}

/// Latency targets of a model, in microseconds.
#[derive(Debug, Clone, Copy)]
struct LatencyTarget {
    first_token_us: u64,
    between_tokens_us: u64,
}

/// Returns the most urgent order for one of the region's `engines`, if any. In
/// order of urgency: load a configured model that no engine of the region has
/// and that is not `covered` by another region; load a model on another engine
/// because its engines are too busy for its target; unload a model from an
/// engine that has more than the maximum number of models.
#[must_use]
pub fn plan_order(
    config: &FleetConfig,
    engines: &[EngineState],
    covered: &[ModelName],
) -> Option<(UpstreamId, OrderAction)> {
    let configured: Vec<(&ModelName, LatencyTarget)> = config
        .models
        .iter()
        .map(|entry| (&entry.model, latency_target(config, &entry.model)))
        .collect();
    plan_missing_model(&configured, engines, covered)
        .or_else(|| plan_busy_model(&configured, engines))
        .or_else(|| plan_unload(&configured, engines))
}

/// Loads a model that is missing in the region on the engine with the fewest
/// models.
fn plan_missing_model(
    configured: &[(&ModelName, LatencyTarget)],
    engines: &[EngineState],
    covered: &[ModelName],
) -> Option<(UpstreamId, OrderAction)> {
    let (model, _) = configured.iter().find(|(model, _)| {
        !covered.contains(model) && !engines.iter().any(|engine| hosts(engine, model))
    })?;
    let engine = engines
        .iter()
        .min_by_key(|engine| (engine.models.len(), load_key(engine), &engine.id))?;
    Some(load_order(engine, model))
}

/// Loads the model with the highest utilization on another engine, if an idle
/// one has room for it.
fn plan_busy_model(
    configured: &[(&ModelName, LatencyTarget)],
    engines: &[EngineState],
) -> Option<(UpstreamId, OrderAction)> {
    let busy_models = configured.iter().filter_map(|(model, target)| {
        let utilization = lowest_utilization_percent(model, *target, engines)?;
        (utilization >= BUSY_PERCENT).then_some((utilization, *model, *target))
    });
    let (_, model, target) =
        busy_models.max_by_key(|(utilization, model, _)| (*utilization, *model))?;
    let engine = engines
        .iter()
        .filter(|engine| !hosts(engine, model) && engine.models.len() < MAX_MODELS_PER_ENGINE)
        .filter(|engine| utilization_percent(engine, target) < IDLE_PERCENT)
        .min_by_key(|engine| (load_key(engine), engine.models.len(), &engine.id))?;
    Some(load_order(engine, model))
}

/// Unloads a model from an engine that has too many: a model that is not
/// configured if there is one, otherwise a model that another engine has too.
fn plan_unload(
    configured: &[(&ModelName, LatencyTarget)],
    engines: &[EngineState],
) -> Option<(UpstreamId, OrderAction)> {
    let engine = engines
        .iter()
        .find(|engine| engine.models.len() > MAX_MODELS_PER_ENGINE)?;
    let is_configured = |model: &ModelName| configured.iter().any(|(name, _)| *name == model);
    let copies = |model: &ModelName| engines.iter().filter(|engine| hosts(engine, model)).count();
    let model = engine
        .models
        .iter()
        .filter(|model| !is_configured(model) || copies(model) > 1)
        .max_by_key(|model| (!is_configured(model), copies(model)))?;
    let action = OrderAction::Unload {
        model: model.clone(),
    };
    Some((engine.id.clone(), action))
}

/// Returns the order to load `model` on `engine`.
fn load_order(engine: &EngineState, model: &ModelName) -> (UpstreamId, OrderAction) {
    let action = OrderAction::Load {
        model: model.clone(),
    };
    (engine.id.clone(), action)
}

/// Returns the utilization of the least utilized engine that has the model, in
/// percent; `None` if no engine has it.
fn lowest_utilization_percent(
    model: &ModelName,
    target: LatencyTarget,
    engines: &[EngineState],
) -> Option<u64> {
    let serving = engines.iter().filter(|engine| hosts(engine, model));
    serving
        .map(|engine| utilization_percent(engine, target))
        .min()
}

/// Returns the expected latency of the engine under its load, in percent of the
/// target: the higher one of time to first token and time between tokens.
fn utilization_percent(engine: &EngineState, target: LatencyTarget) -> u64 {
    let first_token_us =
        DECODE_STEP_US + u64::from(engine.waiting_prompt_tokens) * PREFILL_TOKEN_US;
    let between_tokens_us = DECODE_STEP_US + u64::from(engine.running) * PER_SEQUENCE_US;
    let first_token_percent = first_token_us * 100 / target.first_token_us.max(1);
    let between_tokens_percent = between_tokens_us * 100 / target.between_tokens_us.max(1);
    first_token_percent.max(between_tokens_percent)
}

/// Returns the load of the engine as a key for comparisons.
fn load_key(engine: &EngineState) -> (u32, u32) {
    (engine.running, engine.waiting_prompt_tokens)
}

fn hosts(engine: &EngineState, model: &ModelName) -> bool {
    engine.models.binary_search(model).is_ok()
}

/// Returns the targets of the model's online class, or the batch targets if it
/// has none.
fn latency_target(config: &FleetConfig, model: &ModelName) -> LatencyTarget {
    let defaults = config.model_defaults(model.as_str());
    let class = defaults
        .and_then(|defaults| defaults.online_class.as_ref())
        .and_then(|class| config.class(class.as_str()));
    match class.map(|class: &Class| &class.target) {
        Some(ClassTarget::Online {
            first_token_ms,
            between_tokens_ms,
            ..
        }) => LatencyTarget {
            first_token_us: first_token_ms * US_PER_MS,
            between_tokens_us: between_tokens_ms * US_PER_MS,
        },
        _ => LatencyTarget {
            first_token_us: BATCH_FIRST_TOKEN_US,
            between_tokens_us: BATCH_BETWEEN_TOKENS_US,
        },
    }
}
