//! Ownership of keys, decided by rendezvous hashing over a view.
//!
//! Each program computes owners from its own view. Two views may differ for a
//! moment, in which a key has two owners or none. Everything that relies on an
//! owner must therefore stay correct with several owners; only capacity may
//! suffer.

use model::{InstanceEntry, InstanceRole, Liveness, Region, UpstreamEntry, View};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the batch program that decides how much batch work `upstream` gets.
/// Programs in the region of the upstream are preferred to those in other
/// regions. Returns `None` if the view has no batch program that is live or
/// suspect.
#[must_use]
pub fn batch_window_owner<'a>(
    view: &'a View,
    upstream: &UpstreamEntry,
) -> Option<&'a InstanceEntry> {
    let key = upstream.id.as_str();
    owner_in_region(view, InstanceRole::Batch, &upstream.region, key)
        .or_else(|| owner(view, InstanceRole::Batch, key))
}

/// Returns the entry program of `region` that coalesces requests with the
/// idempotency key `key`, or `None` if the view has no such program that is
/// live or suspect.
#[must_use]
pub fn idempotency_key_home<'a>(
    view: &'a View,
    region: &Region,
    key: &str,
) -> Option<&'a InstanceEntry> {
    owner_in_region(view, InstanceRole::Entry, region, key)
}

/// Returns the control program that should issue orders to the engines of
/// `region`. The lease with a fencing token in the table is authoritative; this
/// choice only avoids contention for the lease.
#[must_use]
pub fn order_issuer<'a>(view: &'a View, region: &Region) -> Option<&'a InstanceEntry> {
    owner_in_region(view, InstanceRole::Control, region, "orders")
}

/// Returns the rendezvous hashing weight of `candidate` for `key`. The
/// candidate with the highest weight owns the key.
#[must_use]
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

fn owner<'a>(view: &'a View, role: InstanceRole, key: &str) -> Option<&'a InstanceEntry> {
    choose(view, key, |entry| entry.role == role)
}

fn owner_in_region<'a>(
    view: &'a View,
    role: InstanceRole,
    region: &Region,
    key: &str,
) -> Option<&'a InstanceEntry> {
    choose(view, key, |entry| {
        entry.role == role && entry.region == *region
    })
}

/// Returns the live candidate with the highest weight, or the suspect one with
/// the highest weight if no candidate is live.
fn choose<'a>(
    view: &'a View,
    key: &str,
    is_candidate: impl Fn(&InstanceEntry) -> bool,
) -> Option<&'a InstanceEntry> {
    let best = |liveness: Liveness| {
        view.instances
            .iter()
            .filter(|entry| entry.liveness == liveness && is_candidate(entry))
            .max_by_key(|entry| rendezvous_weight(key, entry.id.as_str()))
    };
    best(Liveness::Live).or_else(|| best(Liveness::Suspect))
}
