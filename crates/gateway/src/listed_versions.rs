//! The list of a service's software versions, which outlives all instances.
//!
//! Load pattern: every instance is lost at once, in the middle of a change of versions, and
//! callers come back to take up their streams at instances that hold no record. The versions
//! that are registered then do not tell which ones began those streams.
//!
//! The list is one row of a service in the store. A version is in it before any instance
//! sends requests there, and stays until no stream that began there may be taken up. So the
//! versions of all streams of earlier instances are among those of the list. It is written
//! only when versions change.
//!
//! All times are milliseconds on the store's clock.

use model::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};

use crate::{UpstreamEntry, version_history::VERSION_MEMORY_MS};

/// Time for which another instance may act on a copy of the list or of the registrations,
/// milliseconds.
const STALE_COPY_MAX_MS: u64 = 30_000;

/// Name in the list in place of versions that are not known. No upstream has it.
const UNKNOWN_VERSIONS: &str = "";

/// Versions of a service at which streams may have begun that callers may still take up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVersions {
    /// In the order in which they were listed.
    pub versions: Vec<ListedVersion>,
}

/// A version in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// When it was listed.
    pub listed_at_ms: u64,
    /// When an instance announced that it would remove the version.
    pub removal_announced_at_ms: Option<u64>,
}

/// What has to be done before requests may be sent to a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// The version must be written into the list.
    Write,
    /// It was listed so lately that registrations must be read again: it may have come and
    /// gone before it was listed, unseen by instances that have read the list since then.
    ReadRegistrations,
    /// Nothing.
    Done,
}

/// A version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: SoftwareVersion,
}

impl ListedVersions {
    /// Creates the list that replaces one that cannot be read. It stands for versions that
    /// nobody knows, so that none counts as the only one.
    #[must_use]
    pub fn new_for_unreadable(now_ms: u64) -> Self {
        Self::default().with_version(&SoftwareVersion::new(UNKNOWN_VERSIONS), now_ms)
    }

    /// Returns what has to be done before requests may be sent to a version.
    #[must_use]
    pub fn listing(&self, version: &SoftwareVersion, now_ms: u64) -> Listing {
        match self.find(version) {
            None => Listing::Write,
            Some(listed) if listed.removal_announced_at_ms.is_some() => Listing::Write,
            Some(listed) if now_ms < listed.listed_at_ms + STALE_COPY_MAX_MS => {
                Listing::ReadRegistrations
            }
            Some(_) => Listing::Done,
        }
    }

    /// Adds a version, or takes back its announced removal.
    #[must_use]
    pub fn with_version(mut self, version: &SoftwareVersion, now_ms: u64) -> Self {
        self.versions.retain(|listed| listed.version != *version);
        self.versions.push(ListedVersion {
            version: version.clone(),
            listed_at_ms: now_ms,
            removal_announced_at_ms: None,
        });
        self
    }

    /// Takes the next step to remove versions that have not been registered for as long as
    /// streams may be taken up: announces the removal or, some time later, removes them. An
    /// instance that begins to use such a version meanwhile takes the announcement back.
    /// Returns `None` if there is nothing to do.
    #[must_use]
    pub fn without_unused(
        &self,
        is_used: impl Fn(&SoftwareVersion) -> bool,
        now_ms: u64,
    ) -> Option<Self> {
        let mut next = self.clone();
        next.versions.retain(|listed| {
            let removed_at_ms = listed.removal_announced_at_ms;
            let is_due = removed_at_ms.is_some_and(|at_ms| at_ms + STALE_COPY_MAX_MS <= now_ms);
            is_used(&listed.version) || !is_due
        });
        for listed in &mut next.versions {
            let is_old = listed.listed_at_ms + VERSION_MEMORY_MS <= now_ms;
            if is_old && listed.removal_announced_at_ms.is_none() && !is_used(&listed.version) {
                listed.removal_announced_at_ms = Some(now_ms);
            }
        }
        (next != *self).then_some(next)
    }

    fn find(&self, version: &SoftwareVersion) -> Option<&ListedVersion> {
        let mut versions = self.versions.iter();
        versions.find(|listed| listed.version == *version)
    }
}

/// Returns the versions of registrations that have to be looked up in the list, sorted:
/// those for which `is_in_use` does not hold.
#[must_use]
pub fn versions_to_list(
    registered: &[UpstreamEntry],
    is_in_use: impl Fn(&UpstreamEntry) -> bool,
) -> Vec<ServiceVersion> {
    let mut versions: Vec<_> = registered
        .iter()
        .filter(|entry| !is_in_use(entry))
        .map(|entry| ServiceVersion {
            service: entry.service.clone(),
            version: entry.version.clone(),
        })
        .collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}
