//! Rate limit of an instance's calls to the store, for following the changes of
//! a table and for its heartbeats.
//!
//! Load pattern: all instances start at the same moment and follow tables that
//! change all the time. Before an instance knows how many others there are, it
//! must not call as if it were the only one. Together the instances would use up
//! the whole rate of the store, and none of them would discover the others.

/// Number of instances assumed until the actual number is known.
const ASSUMED_INSTANCES: u64 = 500;

/// Returns the minimum time between two calls of one instance, in milliseconds,
/// such that the calls of all instances together take at most the fraction
/// `1 / divisor` of the store's rate. `instances` is `None` until their number is
/// known.
#[must_use]
pub fn call_interval_ms(instances: Option<u64>, calls_per_s: u64, divisor: u64) -> u64 {
    let budget_per_s = (calls_per_s / divisor.max(1)).max(1);
    instances.unwrap_or(ASSUMED_INSTANCES) * 1_000 / budget_per_s
}
