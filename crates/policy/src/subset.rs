//! Deterministic subsets: which upstreams an entry talks to.
//!
//! Upstreams stand on a ring in the order of a hash of their names. Entries
//! start at evenly spaced places of the ring, by their rank among the live
//! entries, and take the upstreams that follow. Every upstream is thus covered
//! by the same number of entries, give or take one, which independent hashing
//! does not give.

use xxhash_rust::xxh3::xxh3_64;

/// Sorts names into ring order; returns indices into `names`.
#[must_use]
pub fn ring_order<'a>(names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut order: Vec<(u64, usize)> = names
        .enumerate()
        .map(|(index, name)| (xxh3_64(name.as_bytes()), index))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, index)| index).collect()
}

/// The part of a ring that the entry of rank `rank` among `entries` talks to.
#[must_use]
pub fn subset(order: &[usize], rank: usize, entries: usize, size: usize) -> Vec<usize> {
    if order.is_empty() {
        return Vec::new();
    }
    let start = rank % entries.max(1) * order.len() / entries.max(1);
    let size = size.min(order.len());
    (0..size)
        .map(|step| order[(start + step) % order.len()])
        .collect()
}
