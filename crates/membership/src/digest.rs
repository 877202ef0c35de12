//! Digests by which two nodes find out whether they know the same.
//!
//! Each row belongs to a bucket. A bucket's digest is the exclusive or of its
//! rows' hashes, so that a change costs two hashes whatever the size of the
//! tables. Dead rows count for nothing: nodes forget them at different times.

use model::{Liveness, UpstreamKind};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{NodeRecord, UpstreamRecord};

/// Buckets that rows are spread over.
pub(crate) const BUCKETS: usize = 64;

/// Digests of a node's tables.
#[derive(Debug)]
pub(crate) struct Digest {
    buckets: [u64; BUCKETS],
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKETS],
        }
    }
}

impl Digest {
    pub(crate) fn replace_node(&mut self, old: Option<&NodeRecord>, new: Option<&NodeRecord>) {
        for rumor in old.into_iter().chain(new) {
            if rumor.liveness != Liveness::Dead {
                self.buckets[bucket_of(rumor.id.as_str())] ^= node_hash(rumor);
            }
        }
    }

    pub(crate) fn replace_upstream(
        &mut self,
        old: Option<&UpstreamRecord>,
        new: Option<&UpstreamRecord>,
    ) {
        for rumor in old.into_iter().chain(new) {
            if rumor.entry.liveness != Liveness::Dead {
                self.buckets[bucket_of(rumor.entry.id.as_str())] ^= upstream_hash(rumor);
            }
        }
    }

    /// Digest of everything.
    pub(crate) fn root(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for bucket in self.buckets {
            hasher.update(&bucket.to_le_bytes());
        }
        hasher.digest()
    }

    /// Digest of each bucket, shortened.
    pub(crate) fn buckets(&self) -> Vec<u32> {
        self.buckets.iter().map(|bucket| shorten(*bucket)).collect()
    }

    /// The first `limit` buckets that differ from the `theirs` of a peer.
    pub(crate) fn differing(&self, theirs: &[u32], limit: usize) -> Vec<bool> {
        let mut left = limit;
        self.buckets
            .iter()
            .enumerate()
            .map(|(index, bucket)| {
                let differs = left > 0 && theirs.get(index) != Some(&shorten(*bucket));
                left -= usize::from(differs);
                differs
            })
            .collect()
    }
}

/// Bucket that the row with this id belongs to.
pub(crate) fn bucket_of(id: &str) -> usize {
    // The remainder is below `BUCKETS` and fits any integer type.
    usize::try_from(xxh3_64(id.as_bytes()) % BUCKETS as u64).unwrap_or(0)
}

fn shorten(bucket: u64) -> u32 {
    let [a, b, c, d, ..] = bucket.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

fn node_hash(rumor: &NodeRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(b"node");
    hasher.update(rumor.id.as_str().as_bytes());
    hasher.update(&rumor.incarnation.to_le_bytes());
    hasher.update(&[rumor.liveness as u8]);
    hasher.digest()
}

fn upstream_hash(rumor: &UpstreamRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(b"upstream");
    hasher.update(rumor.entry.id.as_str().as_bytes());
    hasher.update(&rumor.incarnation.to_le_bytes());
    hasher.update(&rumor.seen_at_ms.to_le_bytes());
    hasher.update(&[rumor.entry.liveness as u8]);
    hasher.update(rumor.entry.address.as_bytes());
    if let UpstreamKind::Engine { models } = &rumor.entry.kind {
        for model in models {
            hasher.update(model.as_str().as_bytes());
            hasher.update(&[0]);
        }
    }
    hasher.digest()
}
