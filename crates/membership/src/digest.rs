//! Digests for anti-entropy, by which two nodes detect whether their tables
//! agree.
//!
//! Each row belongs to a bucket. The digest of a bucket is the exclusive or of
//! the hashes of its rows, so a change costs two hashes whatever the size of
//! the tables. Tombstones (dead rows) are left out because nodes purge them at
//! different times.

use model::{Liveness, UpstreamKind};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{NodeRecord, UpstreamRecord};

/// Number of buckets that the rows are distributed over.
pub(crate) const BUCKET_COUNT: usize = 64;

/// Bucket digests of a node's tables.
#[derive(Debug)]
pub(crate) struct Digest {
    buckets: [u64; BUCKET_COUNT],
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKET_COUNT],
        }
    }
}

impl Digest {
    pub(crate) fn replace_node(&mut self, old: Option<&NodeRecord>, new: Option<&NodeRecord>) {
        for record in old.into_iter().chain(new) {
            if record.liveness != Liveness::Dead {
                self.buckets[bucket_of(record.id.as_str())] ^= node_hash(record);
            }
        }
    }

    pub(crate) fn replace_upstream(
        &mut self,
        old: Option<&UpstreamRecord>,
        new: Option<&UpstreamRecord>,
    ) {
        for record in old.into_iter().chain(new) {
            if record.entry.liveness != Liveness::Dead {
                self.buckets[bucket_of(record.entry.id.as_str())] ^= upstream_hash(record);
            }
        }
    }

    /// Returns the digest of all buckets.
    pub(crate) fn root(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for bucket in self.buckets {
            hasher.update(&bucket.to_le_bytes());
        }
        hasher.digest()
    }

    /// Returns the digest of each bucket, truncated to 32 bits.
    pub(crate) fn buckets(&self) -> Vec<u32> {
        self.buckets
            .iter()
            .map(|bucket| truncate(*bucket))
            .collect()
    }

    /// Returns a flag for each bucket that is true for the first `limit`
    /// buckets that differ from `peer_digests`.
    pub(crate) fn differing(&self, peer_digests: &[u32], limit: usize) -> Vec<bool> {
        let mut remaining = limit;
        self.buckets
            .iter()
            .enumerate()
            .map(|(index, bucket)| {
                let differs = remaining > 0 && peer_digests.get(index) != Some(&truncate(*bucket));
                remaining -= usize::from(differs);
                differs
            })
            .collect()
    }
}

/// Returns the bucket of the row with this id.
pub(crate) fn bucket_of(id: &str) -> usize {
    // The remainder is less than `BUCKET_COUNT`, so the conversion cannot fail.
    usize::try_from(xxh3_64(id.as_bytes()) % BUCKET_COUNT as u64).unwrap_or(0)
}

fn truncate(bucket: u64) -> u32 {
    let [a, b, c, d, ..] = bucket.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

fn node_hash(record: &NodeRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(b"node");
    hasher.update(record.id.as_str().as_bytes());
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&[record.liveness as u8]);
    hasher.digest()
}

fn upstream_hash(record: &UpstreamRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(b"upstream");
    hasher.update(record.entry.id.as_str().as_bytes());
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&record.seen_at_ms.to_le_bytes());
    hasher.update(&[record.entry.liveness as u8]);
    hasher.update(record.entry.address.as_bytes());
    if let UpstreamKind::Engine { models } = &record.entry.kind {
        for model in models {
            hasher.update(model.as_str().as_bytes());
            hasher.update(&[0]);
        }
    }
    hasher.digest()
}
