//! Deterministic subsetting: which upstreams an entry program uses.
//!
//! Upstreams are placed on a ring in the order of a hash of their names. Entry
//! programs start at evenly spaced positions of the ring, by their rank among
//! the entry programs of their region, and use the upstreams that follow. The
//! number of entry programs that use an upstream thus differs by at most one
//! between upstreams, which hashing each pair independently would not achieve.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the indices of `names` in ring order.
#[must_use]
pub fn ring_order<'a>(names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut order: Vec<(u64, usize)> = names
        .enumerate()
        .map(|(index, name)| (xxh3_64(name.as_bytes()), index))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, index)| index).collect()
}

/// Returns the members of the ring `order` that an entry program uses: `size` of
/// them, or all if there are fewer. `rank` is the rank of the entry program
/// among `entries` entry programs, starting at zero.
#[must_use]
pub fn subset(order: &[usize], rank: usize, entries: usize, size: usize) -> Vec<usize> {
    if order.is_empty() {
        return Vec::new();
    }
    let start = rank % entries.max(1) * order.len() / entries.max(1);
    let size = size.min(order.len());
    (0..size)
        .map(|offset| order[(start + offset) % order.len()])
        .collect()
}
