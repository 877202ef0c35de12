//! The membership state machine of a control program: its state, constants and
//! pending actions.

use std::sync::Arc;

use model::{FleetConfig, InstanceId, InstanceRole, Liveness, Region};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    GossipFrame, NodeRecord, Program, RegionReachability, RegionSummary,
    digest::Digest,
    exchange::{RequestKind, Target},
    listing::Contact,
    node::NodeTable,
    region::RegionTable,
    rumor::{Audience, RumorQueue, Subject},
    upstream::UpstreamTable,
};

/// Interval between probes.
pub(crate) const PROBE_INTERVAL_MS: u64 = 500;
/// Time-out of a request to a node of the own region.
pub(crate) const PROBE_TIMEOUT_MS: u64 = 600;
/// Time-out of a request to another region.
pub(crate) const CROSS_REGION_TIMEOUT_MS: u64 = 1_500;
/// Suspicion time-out: time that a suspect node has to refute the suspicion
/// before it is declared dead.
pub(crate) const SUSPICION_TIMEOUT_MS: u64 = 2_000;
/// Time without a message from any node or the platform after which a node
/// attributes the silence to its own network links and declares no node dead.
pub(crate) const ISOLATION_TIMEOUT_MS: u64 = 2_500;
/// Gap between ticks after which a node treats its state as stale.
pub(crate) const TICK_GAP_MAX_MS: u64 = 1_000;
/// Time without a registration after which a program on this node counts as
/// dead.
pub(crate) const PROGRAM_TIMEOUT_MS: u64 = 2_000;
/// Time that tombstones of dead nodes and upstreams are kept, so that old
/// records cannot revive them.
pub(crate) const TOMBSTONE_RETENTION_MS: u64 = 600_000;

/// An operation that the caller of the core must execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request, and report the outcome with [`Fleet::on_response`] or
    /// [`Fleet::on_request_failed`].
    SendRequest(Box<GossipRequest>),
    /// Read the configuration row from the table, and report the outcome with
    /// [`Fleet::on_config_read`] or [`Fleet::on_config_read_failed`].
    ReadConfig,
    /// Read the platform's list, and report it with [`Fleet::on_listing_read`].
    /// A failure is not reported.
    ReadListing,
}

/// A gossip request to another control program.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipRequest {
    /// Identifies the request within this program.
    pub id: u64,
    /// Address of the peer, `IP:PORT`.
    pub address: String,
    /// The frame to send.
    pub frame: GossipFrame,
    /// Time at which the request counts as failed, milliseconds on the clock
    /// that the caller passes to the core.
    pub deadline_ms: u64,
}

/// The core of one control program: what it knows of the fleet, and the gossip
/// protocol that keeps this knowledge up to date.
///
/// The methods perform no I/O. Collect the resulting operations with
/// [`Fleet::take_actions`] after each call. All `now_ms` arguments are Unix
/// milliseconds and must never decrease.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) local_node: NodeRecord,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) nodes: NodeTable,
    pub(crate) upstreams: UpstreamTable,
    pub(crate) regions: RegionTable,
    pub(crate) contacts: Vec<Contact>,
    pub(crate) seeds: Vec<String>,
    pub(crate) digest: Digest,
    pub(crate) rumors: RumorQueue,
    pub(crate) program_heartbeats: Vec<(InstanceRole, u64)>,
    pub(crate) requests: Vec<PendingRequest>,
    pub(crate) actions: Vec<Action>,
    pub(crate) next_request_id: u64,
    pub(crate) rng: SmallRng,
    pub(crate) neighbors: Vec<InstanceId>,
    /// Whether this node contacts other regions on behalf of its own region.
    pub(crate) is_delegate: bool,
    /// Time until which a configuration requested from a peer is awaited; until
    /// then other peers that announce a newer version are not asked for it.
    pub(crate) config_fetch_until_ms: u64,
    pub(crate) confirmed: Confirmed,
    /// Highest configuration version that a peer announced since the start or
    /// the last gap between ticks.
    pub(crate) max_peer_version: u64,
    /// Summary of the own region, which delegates send to other regions.
    pub(crate) summary: RegionSummary,
    /// Configuration version in force at the last push. Delegates push to other
    /// regions if the version has increased since.
    pub(crate) pushed_version: u64,
    pub(crate) neighbors_outdated: bool,
    pub(crate) is_push_pending: bool,
    pub(crate) sync_state: SyncState,
    pub(crate) timers: Timers,
    pub(crate) revision: u64,
}

/// Parts of the state that the table, the list or a peer has confirmed.
#[derive(Debug, Default)]
pub(crate) struct Confirmed {
    /// Whether the configuration was confirmed since the start or the last gap
    /// between ticks.
    pub(crate) config: bool,
    /// Whether the upstreams were learned from the list or from a peer since
    /// the start.
    pub(crate) region: bool,
}

/// A request that has neither been answered nor failed.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) id: u64,
    pub(crate) target: Option<InstanceId>,
    pub(crate) address: String,
    /// Region of the target, if it is not the own region.
    pub(crate) remote_region: Option<Region>,
    pub(crate) wants_config: bool,
}

/// Whether the node has synced with the rest of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SyncState {
    /// The configuration and the upstreams were confirmed since the start, and
    /// the configuration also since the last gap between ticks.
    Synced,
    /// Confirmation is missing; the table is read again at `read_at_ms`.
    Waiting { read_at_ms: u64, failures: u32 },
}

/// Due times and cursors of the recurring tasks.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pub(crate) last_tick_ms: u64,
    pub(crate) probe_at_ms: u64,
    pub(crate) probe_index: usize,
    pub(crate) cross_region_at_ms: u64,
    pub(crate) next_region_index: usize,
    /// Number of failed requests to other regions, by which the choice of the
    /// next node to contact is rotated.
    pub(crate) contact_offset: usize,
    pub(crate) reconnect_at_ms: u64,
    pub(crate) push_at_ms: u64,
    /// Index of the last interval in which this node checked whether it is its
    /// turn to read the configuration row.
    pub(crate) config_slot: u64,
    /// Index of the last interval in which this node checked whether it is its
    /// turn to read the platform's list.
    pub(crate) listing_slot: u64,
    pub(crate) summary_at_ms: u64,
    pub(crate) anti_entropy_at_ms: u64,
    /// Time of the last change of a node or upstream record.
    pub(crate) changed_at_ms: u64,
    /// Time of the last request or response from any node, or of the last
    /// successful read from the platform.
    pub(crate) last_heard_at_ms: u64,
}

impl Fleet {
    /// Creates the state of a starting node, which knows only itself and the
    /// peer addresses of `seeds`. `random_seed` seeds the jitter and the choice
    /// of gossip targets.
    #[must_use]
    pub fn new(local_node: NodeRecord, seeds: Vec<String>, random_seed: u64, now_ms: u64) -> Self {
        let mut fleet = Self {
            config: Arc::default(),
            nodes: NodeTable::default(),
            upstreams: UpstreamTable::default(),
            regions: RegionTable::default(),
            contacts: Vec::new(),
            seeds,
            digest: Digest::default(),
            rumors: RumorQueue::default(),
            program_heartbeats: Vec::new(),
            requests: Vec::new(),
            actions: Vec::new(),
            next_request_id: 1,
            rng: SmallRng::seed_from_u64(random_seed),
            neighbors: Vec::new(),
            is_delegate: false,
            config_fetch_until_ms: 0,
            confirmed: Confirmed::default(),
            max_peer_version: 0,
            summary: RegionSummary {
                region: local_node.region.clone(),
                created_at_ms: 0,
                live_nodes: 0,
                non_live_nodes: 0,
                sample: Vec::new(),
                reachability: RegionReachability::default(),
            },
            pushed_version: 0,
            neighbors_outdated: true,
            is_push_pending: false,
            sync_state: SyncState::Waiting {
                read_at_ms: now_ms,
                failures: 0,
            },
            timers: Timers {
                last_tick_ms: now_ms,
                ..Timers::default()
            },
            revision: now_ms,
            local_node,
        };
        fleet.announce_local_node(now_ms);
        fleet.request_initial_state(now_ms);
        fleet
    }

    /// Returns the record of this node.
    #[must_use]
    pub fn local_node(&self) -> &NodeRecord {
        &self.local_node
    }

    /// Returns the configuration in force on this node.
    #[must_use]
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Returns whether this node may let its programs accept new work. This
    /// requires that the table or a peer has confirmed the configuration since
    /// the node started and since its last pause, and that the node has learned
    /// the upstreams from the list or from a peer.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.sync_state == SyncState::Synced
    }

    /// Returns and clears the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Begins a planned shutdown by announcing this node as leaving.
    pub fn leave(&mut self, now_ms: u64) {
        self.local_node.liveness = Liveness::Leaving;
        self.bump_incarnation(now_ms);
    }

    /// Records that a program on this node runs. Programs must register
    /// repeatedly, as a heartbeat; one that does not register within the
    /// time-out is removed.
    pub fn register_program(&mut self, program: &Program, now_ms: u64) {
        let programs = &mut self.local_node.programs;
        match programs.binary_search_by_key(&program.role, |known| known.role) {
            Ok(index) if program.incarnation < programs[index].incarnation => return,
            Ok(index) if programs[index] == *program => {
                self.record_heartbeat(program.role, now_ms);
                return;
            }
            Ok(index) => programs[index] = program.clone(),
            Err(index) => programs.insert(index, program.clone()),
        }
        self.record_heartbeat(program.role, now_ms);
        self.bump_incarnation(now_ms);
    }

    /// Adopts a configuration if its version is higher than the current one,
    /// and returns whether it did.
    pub(crate) fn adopt_config(&mut self, config: Arc<FleetConfig>) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.config = config;
        self.revision += 1;
        self.is_push_pending = true;
        true
    }

    /// Records that the table or a peer has confirmed the configuration.
    pub(crate) fn mark_config_confirmed(&mut self) {
        self.confirmed.config = true;
        self.finish_sync();
    }

    /// Records that the upstreams of the region are known.
    pub(crate) fn mark_region_known(&mut self) {
        self.confirmed.region = true;
        self.finish_sync();
    }

    fn finish_sync(&mut self) {
        if self.confirmed.config && self.confirmed.region && self.sync_state != SyncState::Synced {
            self.sync_state = SyncState::Synced;
            self.revision += 1;
        }
    }

    /// Increases this node's incarnation and spreads its record.
    pub(crate) fn bump_incarnation(&mut self, now_ms: u64) {
        self.local_node.incarnation += 1;
        self.announce_local_node(now_ms);
    }

    /// Removes the programs on this node that did not register within the
    /// time-out.
    pub(crate) fn expire_programs(&mut self, now_ms: u64) {
        let expired: Vec<InstanceRole> = self
            .program_heartbeats
            .iter()
            .filter(|(_, seen_at_ms)| seen_at_ms + PROGRAM_TIMEOUT_MS <= now_ms)
            .map(|(role, _)| *role)
            .collect();
        if expired.is_empty() {
            return;
        }
        self.program_heartbeats
            .retain(|(role, _)| !expired.contains(role));
        self.local_node
            .programs
            .retain(|program| !expired.contains(&program.role));
        self.bump_incarnation(now_ms);
    }

    /// Requests the configuration from every seed, and reads the configuration
    /// row and the platform's list.
    pub(crate) fn request_initial_state(&mut self, now_ms: u64) {
        self.actions.push(Action::ReadConfig);
        self.actions.push(Action::ReadListing);
        for address in self.seeds.clone() {
            self.send_request(
                Target::by_address(&address),
                RequestKind::FetchConfig,
                now_ms,
            );
        }
    }

    pub(crate) fn is_own_region(&self, region: &Region) -> bool {
        self.local_node.region == *region
    }

    fn announce_local_node(&mut self, now_ms: u64) {
        let record = self.local_node.clone();
        let id = record.id.clone();
        self.nodes.merge(record, now_ms, &mut self.digest);
        self.rumors.push(Subject::Node(id), Audience::Local);
        self.neighbors_outdated = true;
        self.is_push_pending = true;
        self.timers.changed_at_ms = now_ms;
        self.revision += 1;
    }

    fn record_heartbeat(&mut self, role: InstanceRole, now_ms: u64) {
        match self
            .program_heartbeats
            .iter_mut()
            .find(|(seen, _)| *seen == role)
        {
            Some((_, seen_at_ms)) => *seen_at_ms = now_ms,
            None => self.program_heartbeats.push((role, now_ms)),
        }
    }
}
