//! Which engine should have which model: derived from the configured models,
//! their targets and the load that engines report.

use model::{Class, ClassTarget, FleetConfig, ModelName, UpstreamId};
use upstream::OrderAction;

/// Models of one engine beyond which one is dropped before another is loaded.
const ENGINE_MODELS_MAX: usize = 3;
/// Expected time of a prompt token that waits, microseconds.
const PROMPT_TOKEN_US: u64 = 50;
/// Expected time that each running sequence adds between tokens, microseconds.
const SEQUENCE_US: u64 = 300;
/// Expected time between tokens of an engine that runs one sequence,
/// microseconds.
const STEP_US: u64 = 12_000;
/// Share of a target that engines use up before a model gets another engine,
/// percent.
const BUSY_PERCENT: u64 = 70;
/// Share of a target below which an engine can take another model, percent.
const IDLE_PERCENT: u64 = 30;
/// Targets of a model without an online class, microseconds.
const BATCH_FIRST_TOKEN_US: u64 = 10_000_000;
const BATCH_BETWEEN_TOKENS_US: u64 = 1_000_000;
const US_PER_MS: u64 = 1_000;

/// An engine as its last report shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The engine.
    pub id: UpstreamId,
    /// Models loaded, sorted.
    pub models: Vec<ModelName>,
    /// Sequences being decoded.
    pub running: u32,
    /// Prompt tokens admitted but not yet prefilled.
    pub waiting_prompt_tokens: u32,
}

/// Targets of a model, microseconds.
#[derive(Debug, Clone, Copy)]
struct Target {
    first_token_us: u64,
    between_tokens_us: u64,
}

/// The most urgent order to one of the region's `engines`, if any: a model that
/// neither they nor another region (`covered`) has comes first, then a model
/// whose engines are too busy for its target, then an engine with more models
/// than it should have.
#[must_use]
pub fn plan_order(
    config: &FleetConfig,
    engines: &[EngineState],
    covered: &[ModelName],
) -> Option<(UpstreamId, OrderAction)> {
    let wanted: Vec<(&ModelName, Target)> = config
        .models
        .iter()
        .map(|entry| (&entry.model, target(config, &entry.model)))
        .collect();
    missing(&wanted, engines, covered)
        .or_else(|| busy(&wanted, engines))
        .or_else(|| crowded(&wanted, engines))
}

fn missing(
    wanted: &[(&ModelName, Target)],
    engines: &[EngineState],
    covered: &[ModelName],
) -> Option<(UpstreamId, OrderAction)> {
    let (model, _) = wanted.iter().find(|(model, _)| {
        !covered.contains(model) && !engines.iter().any(|engine| has(engine, model))
    })?;
    let engine = engines
        .iter()
        .min_by_key(|engine| (engine.models.len(), load(engine), &engine.id))?;
    Some(load_order(engine, model))
}

fn busy(
    wanted: &[(&ModelName, Target)],
    engines: &[EngineState],
) -> Option<(UpstreamId, OrderAction)> {
    let pressed = wanted.iter().filter_map(|(model, target)| {
        let pressure = least_pressure(model, *target, engines)?;
        (pressure >= BUSY_PERCENT).then_some((pressure, *model, *target))
    });
    let (_, model, target) = pressed.max_by_key(|(pressure, model, _)| (*pressure, *model))?;
    let engine = engines
        .iter()
        .filter(|engine| !has(engine, model) && engine.models.len() < ENGINE_MODELS_MAX)
        .filter(|engine| pressure(engine, target) < IDLE_PERCENT)
        .min_by_key(|engine| (load(engine), engine.models.len(), &engine.id))?;
    Some(load_order(engine, model))
}

/// Only a model that another engine has too is dropped, and first one that no
/// configuration names.
fn crowded(
    wanted: &[(&ModelName, Target)],
    engines: &[EngineState],
) -> Option<(UpstreamId, OrderAction)> {
    let engine = engines
        .iter()
        .find(|engine| engine.models.len() > ENGINE_MODELS_MAX)?;
    let is_wanted = |model: &ModelName| wanted.iter().any(|(wanted, _)| *wanted == model);
    let holders = |model: &ModelName| engines.iter().filter(|engine| has(engine, model)).count();
    let model = engine
        .models
        .iter()
        .filter(|model| !is_wanted(model) || holders(model) > 1)
        .max_by_key(|model| (!is_wanted(model), holders(model)))?;
    let action = OrderAction::Unload {
        model: model.clone(),
    };
    Some((engine.id.clone(), action))
}

fn load_order(engine: &EngineState, model: &ModelName) -> (UpstreamId, OrderAction) {
    let action = OrderAction::Load {
        model: model.clone(),
    };
    (engine.id.clone(), action)
}

/// Pressure at the least busy engine that has the model.
fn least_pressure(model: &ModelName, target: Target, engines: &[EngineState]) -> Option<u64> {
    let holders = engines.iter().filter(|engine| has(engine, model));
    holders.map(|engine| pressure(engine, target)).min()
}

/// Share of the target that the engine's load uses up, percent.
fn pressure(engine: &EngineState, target: Target) -> u64 {
    let first_token_us = STEP_US + u64::from(engine.waiting_prompt_tokens) * PROMPT_TOKEN_US;
    let between_tokens_us = STEP_US + u64::from(engine.running) * SEQUENCE_US;
    let first = first_token_us * 100 / target.first_token_us.max(1);
    let between = between_tokens_us * 100 / target.between_tokens_us.max(1);
    first.max(between)
}

fn load(engine: &EngineState) -> (u32, u32) {
    (engine.running, engine.waiting_prompt_tokens)
}

fn has(engine: &EngineState, model: &ModelName) -> bool {
    engine.models.binary_search(model).is_ok()
}

fn target(config: &FleetConfig, model: &ModelName) -> Target {
    let defaults = config.model_defaults(model.as_str());
    let class = defaults
        .and_then(|defaults| defaults.online_class.as_ref())
        .and_then(|class| config.class(class.as_str()));
    match class.map(|class: &Class| &class.target) {
        Some(ClassTarget::Online {
            first_token_ms,
            between_tokens_ms,
            ..
        }) => Target {
            first_token_us: first_token_ms * US_PER_MS,
            between_tokens_us: between_tokens_ms * US_PER_MS,
        },
        _ => Target {
            first_token_us: BATCH_FIRST_TOKEN_US,
            between_tokens_us: BATCH_BETWEEN_TOKENS_US,
        },
    }
}
