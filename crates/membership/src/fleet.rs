//! The core of a control program: what it knows and what it does next.

use std::sync::Arc;

use model::{FleetConfig, InstanceId, InstanceRole, Liveness, Region};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    GossipFrame, NodeRecord, Program, RegionReachability, RegionSummary,
    digest::Digest,
    exchange::{Ask, Target},
    listing::Contact,
    node::NodeTable,
    region::RegionTable,
    rumor::{Audience, RumorQueue, Subject},
    upstream::UpstreamTable,
};

/// Time between two probes.
pub(crate) const PROBE_INTERVAL_MS: u64 = 500;
/// Time after which a question to a node of the region counts as failed.
pub(crate) const PROBE_TIMEOUT_MS: u64 = 600;
/// Time after which a question to another region counts as failed.
pub(crate) const ACROSS_TIMEOUT_MS: u64 = 1_500;
/// Time that a suspected node has to speak up before it is held to be dead.
pub(crate) const SUSPICION_MS: u64 = 2_000;
/// Silence of all nodes and the platform after which a node blames its own
/// links and holds nobody to be dead.
pub(crate) const ISOLATION_MS: u64 = 2_500;
/// Gap between ticks after which a node distrusts what it knows.
pub(crate) const GAP_MS: u64 = 1_000;
/// Time after which a program that fell silent is held to be dead.
pub(crate) const PROGRAM_SILENCE_MS: u64 = 2_000;
/// Time that the dead are remembered, so that old news cannot revive them.
pub(crate) const TOMBSTONE_MS: u64 = 600_000;

/// What the program around the core has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a question and report the answer with [`Fleet::on_response`] or
    /// [`Fleet::on_request_failed`].
    SendRequest(Box<GossipRequest>),
    /// Read the configuration from the table and report it with
    /// [`Fleet::on_config_read`] or [`Fleet::on_config_read_failed`].
    ReadConfig,
    /// Read the platform's list and report it with [`Fleet::on_listing_read`].
    ReadListing,
}

/// A question to another control program.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipRequest {
    /// Number of the question within this program.
    pub id: u64,
    /// Peer address, `IP:PORT`.
    pub address: String,
    /// The question.
    pub frame: GossipFrame,
    /// Time at which it counts as failed, on the clock given to the core.
    pub deadline_ms: u64,
}

/// What a control program knows of the fleet.
///
/// Times given to it are Unix milliseconds that never go back.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) own: NodeRecord,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) nodes: NodeTable,
    pub(crate) upstreams: UpstreamTable,
    pub(crate) regions: RegionTable,
    pub(crate) contacts: Vec<Contact>,
    pub(crate) seeds: Vec<String>,
    pub(crate) digest: Digest,
    pub(crate) rumors: RumorQueue,
    pub(crate) programs_seen: Vec<(InstanceRole, u64)>,
    pub(crate) asked: Vec<Asked>,
    pub(crate) actions: Vec<Action>,
    pub(crate) next_question: u64,
    pub(crate) rng: SmallRng,
    pub(crate) neighbors: Vec<InstanceId>,
    /// Whether this node talks to other regions on behalf of its own.
    pub(crate) is_delegate: bool,
    /// Configuration whose arrival from a peer is awaited until then.
    pub(crate) config_due_at_ms: u64,
    pub(crate) confirmed: Confirmed,
    /// Highest version that a peer named since the last start or gap.
    pub(crate) heard_version: u64,
    /// Summary of the own region, kept by delegates.
    pub(crate) summary: RegionSummary,
    /// Highest configuration version that was pushed to other regions.
    pub(crate) pushed_version: u64,
    pub(crate) links_outdated: bool,
    pub(crate) news_pending: bool,
    pub(crate) sync: Sync,
    pub(crate) timers: Timers,
    pub(crate) revision: u64,
}

/// What somebody else has confirmed.
#[derive(Debug, Default)]
pub(crate) struct Confirmed {
    /// The configuration, since the last start or gap.
    pub(crate) config: bool,
    /// The upstreams, from the list or from a peer, since the start.
    pub(crate) region: bool,
}

/// A question that has not been answered.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) id: u64,
    pub(crate) target: Option<InstanceId>,
    pub(crate) address: String,
    /// Region that was asked, if it is another one.
    pub(crate) across: Option<Region>,
    pub(crate) wants_config: bool,
}

/// Whether the node can confirm its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sync {
    /// Heard from the table or from a peer since start and since the last gap.
    Done,
    /// Has heard from nobody; reads the table again at `read_at_ms`.
    Waiting { read_at_ms: u64, failures: u32 },
}

/// Times of the recurring duties.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pub(crate) last_tick_ms: u64,
    pub(crate) probe_at_ms: u64,
    pub(crate) probe_index: usize,
    pub(crate) across_at_ms: u64,
    pub(crate) across_turn: usize,
    pub(crate) across_index: usize,
    pub(crate) outreach_at_ms: u64,
    pub(crate) push_at_ms: u64,
    pub(crate) config_slot: u64,
    pub(crate) listing_slot: u64,
    pub(crate) summary_at_ms: u64,
    pub(crate) resync_at_ms: u64,
    pub(crate) changed_at_ms: u64,
    /// Last answer or question of any node or of the platform.
    pub(crate) heard_at_ms: u64,
}

impl Fleet {
    /// Starts with nothing but the own state and the addresses of `seeds`.
    #[must_use]
    pub fn new(own: NodeRecord, seeds: Vec<String>, random_seed: u64, now_ms: u64) -> Self {
        let mut fleet = Self {
            config: Arc::default(),
            nodes: NodeTable::default(),
            upstreams: UpstreamTable::default(),
            regions: RegionTable::default(),
            contacts: Vec::new(),
            seeds,
            digest: Digest::default(),
            rumors: RumorQueue::default(),
            programs_seen: Vec::new(),
            asked: Vec::new(),
            actions: Vec::new(),
            next_question: 1,
            rng: SmallRng::seed_from_u64(random_seed),
            neighbors: Vec::new(),
            is_delegate: false,
            config_due_at_ms: 0,
            confirmed: Confirmed::default(),
            heard_version: 0,
            summary: RegionSummary {
                region: own.region.clone(),
                made_at_ms: 0,
                live: 0,
                other: 0,
                sample: Vec::new(),
                contact: RegionReachability::default(),
            },
            pushed_version: 0,
            links_outdated: true,
            news_pending: false,
            sync: Sync::Waiting {
                read_at_ms: now_ms,
                failures: 0,
            },
            timers: Timers {
                last_tick_ms: now_ms,
                ..Timers::default()
            },
            revision: now_ms,
            own,
        };
        fleet.announce_own(now_ms);
        fleet.greet(now_ms);
        fleet
    }

    /// The node itself.
    #[must_use]
    pub fn local_node(&self) -> &NodeRecord {
        &self.own
    }

    /// Configuration in force here.
    #[must_use]
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Whether this node may let programs take new work: the table or a peer has
    /// confirmed its configuration since it started and since it was last paused,
    /// and it has got to know the upstreams, from the list or from a peer.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.sync == Sync::Done
    }

    /// What to do next; empties the list.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Begins the planned stop: the node is leaving from now on.
    pub fn leave(&mut self, now_ms: u64) {
        self.own.liveness = Liveness::Leaving;
        self.change_own(now_ms);
    }

    /// Notes that a program on this node runs. Programs register again and
    /// again; one that falls silent is held to be dead.
    pub fn register_program(&mut self, program: &Program, now_ms: u64) {
        let programs = &mut self.own.programs;
        match programs.binary_search_by_key(&program.role, |known| known.role) {
            Ok(index) if program.incarnation < programs[index].incarnation => return,
            Ok(index) if programs[index] == *program => {
                self.mark_seen(program.role, now_ms);
                return;
            }
            Ok(index) => programs[index] = program.clone(),
            Err(index) => programs.insert(index, program.clone()),
        }
        self.mark_seen(program.role, now_ms);
        self.change_own(now_ms);
    }

    /// Takes over a configuration if its version is higher; returns whether.
    pub(crate) fn adopt(&mut self, config: Arc<FleetConfig>) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.config = config;
        self.revision += 1;
        self.news_pending = true;
        true
    }

    /// Marks that the configuration was confirmed by somebody else.
    pub(crate) fn mark_config_confirmed(&mut self) {
        self.confirmed.config = true;
        self.finish_sync();
    }

    /// Marks that the upstreams are known.
    pub(crate) fn mark_region_known(&mut self) {
        self.confirmed.region = true;
        self.finish_sync();
    }

    fn finish_sync(&mut self) {
        if self.confirmed.config && self.confirmed.region && self.sync != Sync::Done {
            self.sync = Sync::Done;
            self.revision += 1;
        }
    }

    /// Raises the own incarnation and spreads the own state.
    pub(crate) fn change_own(&mut self, now_ms: u64) {
        self.own.incarnation += 1;
        self.announce_own(now_ms);
    }

    /// Drops programs that fell silent.
    pub(crate) fn drop_silent_programs(&mut self, now_ms: u64) {
        let silent: Vec<InstanceRole> = self
            .programs_seen
            .iter()
            .filter(|(_, seen_at_ms)| seen_at_ms + PROGRAM_SILENCE_MS <= now_ms)
            .map(|(role, _)| *role)
            .collect();
        if silent.is_empty() {
            return;
        }
        self.programs_seen
            .retain(|(role, _)| !silent.contains(role));
        self.own
            .programs
            .retain(|program| !silent.contains(&program.role));
        self.change_own(now_ms);
    }

    /// Asks every seed for the configuration and the table for its row.
    pub(crate) fn greet(&mut self, now_ms: u64) {
        self.actions.push(Action::ReadConfig);
        self.actions.push(Action::ReadListing);
        for address in self.seeds.clone() {
            self.ask(Target::unknown(&address), Ask::Config, now_ms);
        }
    }

    pub(crate) fn is_own_region(&self, region: &Region) -> bool {
        self.own.region == *region
    }

    fn announce_own(&mut self, now_ms: u64) {
        let rumor = self.own.clone();
        let id = rumor.id.clone();
        self.nodes.merge(rumor, now_ms, &mut self.digest);
        self.rumors.push(Subject::Node(id), Audience::Region);
        self.links_outdated = true;
        self.news_pending = true;
        self.timers.changed_at_ms = now_ms;
        self.revision += 1;
    }

    fn mark_seen(&mut self, role: InstanceRole, now_ms: u64) {
        match self
            .programs_seen
            .iter_mut()
            .find(|(seen, _)| *seen == role)
        {
            Some((_, seen_at_ms)) => *seen_at_ms = now_ms,
            None => self.programs_seen.push((role, now_ms)),
        }
    }
}
