//! Which software versions of a service were registered lately.
//!
//! Load pattern: nearly always, a service has a single version, and streams may go on at any
//! of its upstreams without a record of where they began. This is certain only if no other
//! version was registered for as long as a stream may be taken up. An instance that has just
//! started learns of earlier versions from the list of the service ([`ListedVersions`]).
//!
//! All times are milliseconds on the store's clock.

use model::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};

use crate::{
    ListedVersions, UpstreamTable,
    batch_plan::service_hash,
    stream_origins::{STREAM_LIFETIME_MS, VersionHash},
};

/// Time for which an upstream whose registration ended may still begin streams, at instances
/// that have not read of the end, milliseconds.
const LEAVING_MS: u64 = 30_000;
/// Time for which versions are remembered, milliseconds: streams that began there may be
/// taken up for so long.
pub(crate) const VERSION_MEMORY_MS: u64 = LEAVING_MS + STREAM_LIFETIME_MS;
/// The time from which every version is known if the lists of versions were read.
pub const FROM_THE_START_MS: u64 = 0;
/// Maximum number of versions without a registration that are remembered. If there are more,
/// the time of observation begins anew.
const VANISHED_MAX: usize = 64;

/// What an instance has observed of registrations, for its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedVersions {
    /// From when on every registration is known.
    pub since_ms: u64,
    /// Version of the store up to which every registration is known.
    pub until_version: u64,
    /// Versions whose registrations ended in this time.
    pub vanished: Vec<VanishedVersion>,
}

/// A version that is registered no more, or was not for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VanishedVersion {
    /// Hash of the service, or `None` if only the id of the upstream was seen.
    pub service: Option<u64>,
    /// The version, or `None` if only the id of the upstream was seen.
    pub version: Option<VersionHash>,
    /// When its last known registration ended.
    pub at_ms: u64,
}

/// The registrations that one instance has observed.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// `None` until the registrations have been read.
    since_ms: Option<u64>,
    /// Version of the store from which on this instance, or a peer whose observations it took
    /// over, has read every change.
    since_version: u64,
    until_version: u64,
    vanished: Vec<VanishedVersion>,
}

impl VersionHistory {
    /// Records that all registrations were read at a version of the store. `since_ms` is the
    /// time from which every earlier version is known, or [`FROM_THE_START_MS`].
    pub fn record_snapshot(&mut self, store_version: u64, since_ms: u64) {
        self.since_ms = Some(since_ms);
        self.since_version = store_version;
        self.until_version = store_version;
    }

    /// Records that all changes of registrations up to a version of the store are known.
    pub fn record_changes(&mut self, store_version: u64) {
        self.until_version = self.until_version.max(store_version);
    }

    /// Records that a registration of a version ended.
    pub fn record_vanished(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now_ms: u64,
    ) {
        self.add_vanished(VanishedVersion {
            service: Some(service_hash(service)),
            version: Some(VersionHash::new(version)),
            at_ms: now_ms,
        });
    }

    /// Records that a registration ended whose beginning was not seen.
    pub fn record_unseen(&mut self, now_ms: u64) {
        self.add_vanished(VanishedVersion {
            service: None,
            version: None,
            at_ms: now_ms,
        });
    }

    /// Records the list of a service's versions. Streams may have begun at any of them until
    /// now, at other instances or at an earlier incarnation of this one.
    pub fn record_listed(&mut self, service: &ServiceName, list: &ListedVersions, now_ms: u64) {
        for listed in &list.versions {
            self.record_vanished(service, &listed.version, now_ms);
        }
    }

    /// Returns whether streams that began at a version may still be taken up, although the
    /// version may be registered no more.
    #[must_use]
    pub fn has_vanished_lately(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now_ms: u64,
    ) -> bool {
        let service = Some(service_hash(service));
        let version = Some(VersionHash::new(version));
        self.vanished.iter().any(|vanished| {
            vanished.service == service
                && vanished.version == version
                && now_ms < vanished.at_ms + VERSION_MEMORY_MS
        })
    }

    /// Takes over what a peer has observed, if it joins on to what this instance has.
    pub fn receive(&mut self, peer: &ObservedVersions) {
        let Some(since_ms) = self.since_ms else {
            return;
        };
        if peer.since_ms >= since_ms || peer.until_version < self.since_version {
            return;
        }
        self.since_ms = Some(peer.since_ms);
        for vanished in &peer.vanished {
            self.add_vanished(*vanished);
        }
    }

    /// Returns what peers may take over, or `None` if nothing has been observed.
    #[must_use]
    pub fn observed(&self) -> Option<ObservedVersions> {
        Some(ObservedVersions {
            since_ms: self.since_ms?,
            until_version: self.until_version,
            vanished: self.vanished.clone(),
        })
    }

    /// Returns whether the observed time covers all streams that may still be taken up.
    #[must_use]
    pub fn is_complete(&self, now_ms: u64) -> bool {
        self.since_ms.is_some_and(|since_ms| {
            since_ms == FROM_THE_START_MS || since_ms + VERSION_MEMORY_MS <= now_ms
        })
    }

    /// Returns the version of a service at which every stream began that may still be taken
    /// up, or `None` if there may be several.
    #[must_use]
    pub fn only_version(
        &self,
        service: &ServiceName,
        table: &UpstreamTable,
        now_ms: u64,
    ) -> Option<SoftwareVersion> {
        if !self.is_complete(now_ms) {
            return None;
        }
        let only = table.single_version(service)?;
        let has_others = self.others(service, &only, now_ms).next().is_some();
        (!has_others).then_some(only)
    }

    /// Returns the time for which [`Self::only_version`] stays unknown, unless registrations
    /// change, but at most the time for which streams may be taken up. Milliseconds.
    #[must_use]
    pub fn unproven_for_ms(
        &self,
        service: &ServiceName,
        table: &UpstreamTable,
        now_ms: u64,
    ) -> u64 {
        let Some(only) = table.single_version(service) else {
            return STREAM_LIFETIME_MS;
        };
        let others = self.others(service, &only, now_ms);
        let left_ms = others.map(|other| other.at_ms + VERSION_MEMORY_MS - now_ms);
        left_ms.max().unwrap_or(0).min(STREAM_LIFETIME_MS)
    }

    /// Returns the versions other than `only` at which streams may have begun that may still
    /// be taken up.
    fn others(
        &self,
        service: &ServiceName,
        only: &SoftwareVersion,
        now_ms: u64,
    ) -> impl Iterator<Item = &VanishedVersion> {
        let hash = service_hash(service);
        let only = Some(VersionHash::new(only));
        self.vanished.iter().filter(move |vanished| {
            now_ms < vanished.at_ms + VERSION_MEMORY_MS
                && vanished.service.is_none_or(|service| service == hash)
                && vanished.version != only
        })
    }

    /// Forgets versions that vanished before any stream that may still be taken up.
    pub fn expire(&mut self, now_ms: u64) {
        self.vanished
            .retain(|vanished| now_ms < vanished.at_ms + VERSION_MEMORY_MS);
    }

    fn add_vanished(&mut self, added: VanishedVersion) {
        let same = self
            .vanished
            .iter_mut()
            .find(|known| known.service == added.service && known.version == added.version);
        if let Some(known) = same {
            known.at_ms = known.at_ms.max(added.at_ms);
            return;
        }
        self.vanished.push(added);
        if self.vanished.len() > VANISHED_MAX {
            self.vanished.clear();
            self.since_ms = self.since_ms.map(|since_ms| since_ms.max(added.at_ms));
        }
    }
}
