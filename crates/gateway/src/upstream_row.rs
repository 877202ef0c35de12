//! What an instance knows of one upstream.

use crate::{
    UpstreamEntry, UpstreamLoad, UpstreamState,
    connectivity::Connectivity,
    health::Health,
    identity::Identity,
    kept_prompts::KeptPrompts,
    moving_average::MovingAverage,
    peer_loads::PeerLoad,
    peers::{incarnation_hash, upstream_hash},
    stream_origins::VersionHash,
    upstream_speed::{AnswerDelays, UpstreamSpeed},
    weights::Weights,
};

/// What this instance knows of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamRow {
    pub(crate) entry: UpstreamEntry,
    pub(crate) hash: u64,
    /// Hash of the incarnation.
    pub(crate) incarnation: u64,
    pub(crate) version: VersionHash,
    /// Until when another process may listen at the address whose registration has not been
    /// read yet, because this incarnation has crashed.
    pub(crate) may_be_succeeded_until_ms: u64,
    /// When the row is removed because its registration disappeared. `None`
    /// while the upstream is registered.
    pub(crate) remove_at_ms: Option<u64>,
    pub(crate) warmed_up_at_ms: u64,
    /// Whether this incarnation said that it is leaving.
    pub(crate) is_leaving: bool,
    pub(crate) connectivity: Connectivity,
    pub(crate) health: Health,
    pub(crate) identity: Identity,
    pub(crate) weights: Weights,
    pub(crate) own_load: UpstreamLoad,
    pub(crate) peer_load: PeerLoad,
    pub(crate) round_trip_ms: MovingAverage,
    pub(crate) speed: UpstreamSpeed,
    pub(crate) delays: AnswerDelays,
    pub(crate) kept_prompts: KeptPrompts,
}

impl UpstreamRow {
    pub(crate) fn new(entry: UpstreamEntry, peer_load: PeerLoad, now_ms: u64) -> Self {
        let hash = upstream_hash(&entry.id);
        let load = UpstreamLoad {
            upstream: hash,
            ..UpstreamLoad::default()
        };
        let mut weights = Weights::default();
        if let Some(version) = entry.weights {
            weights.record_statement(version, now_ms);
        }
        Self {
            warmed_up_at_ms: now_ms + entry.warm_up_remaining_ms,
            incarnation: incarnation_hash(&entry.id, entry.started_unix_ms),
            version: VersionHash::new(&entry.version),
            may_be_succeeded_until_ms: 0,
            entry,
            hash,
            remove_at_ms: None,
            is_leaving: false,
            connectivity: Connectivity::default(),
            health: Health::default(),
            identity: Identity::default(),
            weights,
            own_load: load,
            peer_load,
            round_trip_ms: MovingAverage::default(),
            speed: UpstreamSpeed::default(),
            delays: AnswerDelays::default(),
            kept_prompts: KeptPrompts::default(),
        }
    }

    pub(crate) fn is_same_incarnation(&self, entry: &UpstreamEntry) -> bool {
        self.entry.started_unix_ms == entry.started_unix_ms && self.entry.address == entry.address
    }

    /// Returns whether the upstream is registered as ready and has not said that it is
    /// leaving.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == UpstreamState::Ready && !self.is_leaving
    }

    /// Returns whether requests may be sent to the upstream, which is the one at its address.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.health.is_usable(now_ms) && !self.identity.is_doubted(now_ms)
    }

    /// Returns whether the upstream is sure to run a version of the software.
    pub(crate) fn runs(&self, version: VersionHash, now_ms: u64) -> bool {
        self.version == version && now_ms >= self.may_be_succeeded_until_ms
    }

    /// Returns the number of online requests of all instances.
    pub(crate) fn online(&self) -> u32 {
        u32::from(self.own_load.online) + self.peer_load.online
    }

    /// Returns the number of batch items of all instances.
    pub(crate) fn batch(&self) -> u32 {
        u32::from(self.own_load.batch) + self.peer_load.batch
    }

    /// Returns the number of preemptible batch items of all instances.
    pub(crate) fn preemptible(&self) -> u32 {
        u32::from(self.own_load.preemptible) + self.peer_load.preemptible
    }

    /// Returns the number of online requests and batch items of all instances.
    pub(crate) fn load(&self) -> u32 {
        self.online() + self.batch()
    }
}
