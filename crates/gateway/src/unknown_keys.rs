//! Keys that no customer has.
//!
//! Load pattern: a caller goes on sending a wrong key, or one that was taken away, as fast as
//! it can. It costs a call to the store to be sure that the newest configuration does not have
//! the key either. The digests of such keys are kept for a short time, and callers that bring
//! one of them again get their answer at once.

use std::sync::Arc;

use crate::customers::{Customer, CustomerTable, KeyDigest};

/// Time for which a key counts as unknown after this was made sure, milliseconds. A new
/// version of the configuration ends it earlier.
const UNKNOWN_TTL_MS: u64 = 1_000;
/// Maximum number of unknown keys that are kept.
const UNKNOWN_MAX: usize = 256;
/// Maximum number of removed keys that are kept.
const REMOVED_MAX: usize = 256;

/// Unknown and removed keys.
#[derive(Debug, Default)]
pub struct UnknownKeys {
    /// Sorted by digest.
    unknown: Vec<UnknownKey>,
    /// The last keys that a new version removed, oldest first.
    removed: Vec<RemovedKey>,
}

#[derive(Debug)]
struct UnknownKey {
    digest: KeyDigest,
    expires_at_ms: u64,
}

/// A key that a version of the configuration took away.
#[derive(Debug, Clone, PartialEq)]
pub struct RemovedKey {
    digest: KeyDigest,
    /// The customer that had the key.
    pub customer: Arc<Customer>,
    /// The first version without the key that this instance read.
    pub config_version: u64,
}

impl UnknownKeys {
    /// Records that the newest configuration does not have a key.
    pub fn record_unknown(&mut self, digest: KeyDigest, now_ms: u64) {
        self.unknown.retain(|key| now_ms < key.expires_at_ms);
        let expires_at_ms = now_ms + UNKNOWN_TTL_MS;
        match self.find(&digest) {
            Ok(index) => self.unknown[index].expires_at_ms = expires_at_ms,
            Err(index) if self.unknown.len() < UNKNOWN_MAX => self.unknown.insert(
                index,
                UnknownKey {
                    digest,
                    expires_at_ms,
                },
            ),
            Err(_) => {}
        }
    }

    /// Returns whether it was made sure lately that the newest configuration does not have a
    /// key.
    #[must_use]
    pub fn is_unknown(&self, digest: &KeyDigest, now_ms: u64) -> bool {
        self.find(digest)
            .is_ok_and(|index| now_ms < self.unknown[index].expires_at_ms)
    }

    /// Records that a version of the configuration replaces another one.
    pub fn record_version(
        &mut self,
        old: Option<&CustomerTable>,
        new: Option<&CustomerTable>,
        config_version: u64,
    ) {
        self.unknown.clear();
        let is_kept = |digest: &KeyDigest| new.is_some_and(|new| new.find(digest).is_some());
        let removed = old.into_iter().flat_map(CustomerTable::keys);
        let removed = removed.filter(|(digest, _)| !is_kept(digest));
        self.removed
            .extend(removed.map(|(digest, customer)| RemovedKey {
                digest: *digest,
                customer: Arc::clone(customer),
                config_version,
            }));
        let excess = self.removed.len().saturating_sub(REMOVED_MAX);
        self.removed.drain(..excess);
    }

    /// Returns the last removal of a key.
    #[must_use]
    pub fn removal(&self, digest: &KeyDigest) -> Option<&RemovedKey> {
        self.removed.iter().rfind(|key| key.digest == *digest)
    }

    fn find(&self, digest: &KeyDigest) -> Result<usize, usize> {
        self.unknown.binary_search_by_key(digest, |key| key.digest)
    }
}
