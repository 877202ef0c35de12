//! How often an instance may call the store, for changes of a table or with its
//! heartbeat.
//!
//! Load pattern: all instances start at the same moment and follow tables that
//! change all the time. Before an instance knows how many others there are, it
//! must not read as if it were alone: together they would take the whole rate
//! of the store, and nobody would get to know the others.

/// Other instances assumed as long as they are not known.
const ASSUMED_INSTANCES: u64 = 500;

/// Shortest time between two calls of an instance, milliseconds, so that the
/// calls of all take one part in `share` of the store's rate. `instances` is
/// absent as long as it is not known.
#[must_use]
pub fn call_interval_ms(instances: Option<u64>, calls_per_s: u64, share: u64) -> u64 {
    let budget_per_s = (calls_per_s / share.max(1)).max(1);
    instances.unwrap_or(ASSUMED_INSTANCES) * 1_000 / budget_per_s
}
