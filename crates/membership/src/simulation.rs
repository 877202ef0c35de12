//! Discrete-event simulation of many membership cores in virtual time, for
//! tests and measurements.
//!
//! The simulation delivers frames after fixed delays, provides the platform's
//! list and the configuration row, and can pause, kill or isolate nodes. It
//! contains no protocol logic.

mod topology;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use model::{FleetConfig, Region};

pub use self::topology::Topology;
use self::topology::{EPOCH_MS, node_record, region, upstream};
use crate::{Action, Fleet, GossipFrame, GossipRequest, ListedNode, Listing, NodeRecord};

/// Interval between ticks of a core.
pub const TICK_MS: u64 = 100;
/// One-way delay within a region.
const REGION_DELAY_MS: u64 = 1;
/// One-way delay between regions.
const CROSS_REGION_DELAY_MS: u64 = 30;
/// Delay of the platform's responses.
const PLATFORM_DELAY_MS: u64 = 10;
/// Time-out of a configuration read while the platform is down.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Traffic of one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Number of requests and responses sent.
    pub frames_sent: u64,
    /// Number of requests and responses received. Frames count as received when
    /// they are sent.
    pub frames_received: u64,
    /// Bytes sent, as counted by the cluster's frame size function.
    pub bytes_sent: u64,
    /// Bytes received, as counted by the cluster's frame size function.
    pub bytes_received: u64,
}

/// Simulated nodes, each with a core, their network and the platform.
pub struct Cluster {
    now_ms: u64,
    topology: Topology,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<Scheduled>>,
    next_sequence: u64,
    partitions: Vec<(Region, Region)>,
    isolated_nodes: Vec<usize>,
    config: Option<Arc<FleetConfig>>,
    listing: Arc<Listing>,
    seeds: Vec<String>,
    platform_down: bool,
    platform_reads: u64,
    frame_size: fn(&GossipFrame) -> u64,
}

struct Node {
    fleet: Option<Fleet>,
    record: NodeRecord,
    paused_until_ms: u64,
    /// Distinguishes runs, so that events for an earlier run are dropped.
    run_id: u64,
    traffic: Traffic,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at_ms: u64,
    sequence: u64,
    target: usize,
    run_id: u64,
    event: Event,
}

#[derive(Debug)]
enum Event {
    Tick,
    Request {
        from: usize,
        run_id: u64,
        request: Box<GossipRequest>,
    },
    Response {
        id: u64,
        frame: Box<GossipFrame>,
    },
    Failure {
        id: u64,
    },
    ConfigRead {
        config: Option<Arc<FleetConfig>>,
    },
    ListingRead,
}

// Only time and sequence number order the queue, so all events compare as equal.
impl PartialEq for Event {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl Node {
    fn new(topology: Topology, index: usize) -> Self {
        Self {
            fleet: None,
            record: node_record(topology, index),
            paused_until_ms: 0,
            run_id: 0,
            traffic: Traffic::default(),
        }
    }
}

impl Cluster {
    /// Creates a cluster and starts all its nodes within one tick.
    #[must_use]
    pub fn new(topology: Topology) -> Self {
        let nodes: Vec<Node> = (0..topology.nodes)
            .map(|index| Node::new(topology, index))
            .collect();
        let mut cluster = Self {
            now_ms: EPOCH_MS,
            topology,
            nodes,
            events: BinaryHeap::new(),
            next_sequence: 0,
            partitions: Vec::new(),
            isolated_nodes: Vec::new(),
            config: None,
            listing: Arc::new(Listing::default()),
            seeds: Vec::new(),
            platform_down: false,
            platform_reads: 0,
            frame_size: |_| 0,
        };
        cluster.set_listed_upstreams(|_| true);
        for index in 0..topology.nodes {
            cluster.start(index);
        }
        cluster
    }

    /// Sets the function that returns the size of a frame in bytes.
    #[must_use]
    pub fn with_frame_size(mut self, frame_size: fn(&GossipFrame) -> u64) -> Self {
        self.frame_size = frame_size;
        self
    }

    /// Returns the current virtual time, Unix milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the core of a node, or `None` if the node was killed.
    #[must_use]
    pub fn fleet(&self, index: usize) -> Option<&Fleet> {
        self.nodes[index].fleet.as_ref()
    }

    /// Returns the cores of all running nodes with their indices.
    pub fn fleets(&self) -> impl Iterator<Item = (usize, &Fleet)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(index, node)| Some((index, node.fleet.as_ref()?)))
    }

    /// Returns the traffic of a node since the start or the last reset.
    #[must_use]
    pub fn traffic(&self, index: usize) -> Traffic {
        self.nodes[index].traffic
    }

    /// Resets the counts of traffic and platform reads.
    pub fn reset_counters(&mut self) {
        self.platform_reads = 0;
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    /// Returns the number of platform reads since the start or last reset.
    #[must_use]
    pub fn platform_reads(&self) -> u64 {
        self.platform_reads
    }

    /// Calls `update` with the core of a node and the current time, and executes
    /// the resulting actions. Does nothing if the node was killed.
    pub fn with_fleet(&mut self, index: usize, update: impl FnOnce(&mut Fleet, u64)) {
        let now_ms = self.now_ms;
        if let Some(fleet) = &mut self.nodes[index].fleet {
            update(fleet, now_ms);
            self.execute_actions(index);
        }
    }

    /// Commits a configuration in the table and reports it to node `index`, as
    /// the operators' API on that node does.
    pub fn apply_config(&mut self, index: usize, config: FleetConfig) {
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        self.with_fleet(index, |fleet, now_ms| {
            fleet.on_config_read(Some(config), now_ms);
            fleet.tick(now_ms);
        });
    }

    /// Sets whether the platform is down, so that reads fail.
    pub fn set_platform_down(&mut self, down: bool) {
        self.platform_down = down;
    }

    /// Replaces the platform's list by all nodes and the upstreams for whose
    /// index `is_listed` returns true.
    pub fn set_listed_upstreams(&mut self, is_listed: impl Fn(usize) -> bool) {
        let topology = self.topology;
        let nodes = self.nodes.iter().map(|node| ListedNode {
            id: node.record.id.clone(),
            region: node.record.region.clone(),
            failure_domain: node.record.failure_domain.clone(),
            peer_address: node.record.peer_address.clone(),
        });
        let upstreams = (0..topology.upstreams).filter(|index| is_listed(*index));
        self.listing = Arc::new(Listing {
            nodes: nodes.collect(),
            upstreams: upstreams.map(|index| upstream(topology, index)).collect(),
        });
    }

    /// Sets the seeds of all nodes that are started from now on to the
    /// addresses of the given nodes.
    pub fn set_seeds(&mut self, indices: &[usize]) {
        let addresses = indices.iter().map(|index| {
            let node = &self.nodes[*index];
            node.record.peer_address.clone()
        });
        self.seeds = addresses.collect();
    }

    /// Partitions two regions from each other, or restores the links between
    /// them.
    pub fn set_partitioned(&mut self, a: usize, b: usize, partitioned: bool) {
        let pair = (region(a), region(b));
        self.partitions.retain(|known| *known != pair);
        if partitioned {
            self.partitions.push(pair);
        }
    }

    /// Isolates a node from all others, or restores its links.
    pub fn set_isolated(&mut self, index: usize, isolated: bool) {
        self.isolated_nodes.retain(|known| *known != index);
        if isolated {
            self.isolated_nodes.push(index);
        }
    }

    /// Pauses a node for `duration_ms`. Events for it are delivered when the
    /// pause ends.
    pub fn pause(&mut self, index: usize, duration_ms: u64) {
        self.nodes[index].paused_until_ms = self.now_ms + duration_ms;
    }

    /// Kills a node immediately, without a planned shutdown.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].fleet = None;
        self.nodes[index].run_id += 1;
    }

    /// Starts a node, or restarts one that was killed.
    pub fn start(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        node.record.incarnation = now_ms;
        node.paused_until_ms = 0;
        node.run_id += 1;
        let seed = u64::try_from(index).unwrap_or(0);
        node.fleet = Some(Fleet::new(
            node.record.clone(),
            self.seeds.clone(),
            seed,
            now_ms,
        ));
        self.execute_actions(index);
        // Offsets the ticks of different nodes from each other.
        let offset_ms = seed * 37 % TICK_MS;
        self.schedule(now_ms + 1 + offset_ms, index, Event::Tick);
    }

    /// Advances virtual time by `duration_ms`.
    pub fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(Reverse(next)) = self.events.peek() {
            if next.at_ms > end_ms {
                break;
            }
            if let Some(Reverse(next)) = self.events.pop() {
                self.now_ms = self.now_ms.max(next.at_ms);
                self.handle_event(next);
            }
        }
        self.now_ms = end_ms;
    }

    /// Advances virtual time until `condition` holds and returns the elapsed
    /// milliseconds, or `None` if `condition` does not hold within `within_ms`.
    pub fn run_until(&mut self, within_ms: u64, condition: impl Fn(&Self) -> bool) -> Option<u64> {
        let started_ms = self.now_ms;
        while !condition(self) {
            if self.now_ms >= started_ms + within_ms {
                return None;
            }
            self.run_for(TICK_MS / 10);
        }
        Some(self.now_ms - started_ms)
    }

    fn handle_event(&mut self, scheduled: Scheduled) {
        let index = scheduled.target;
        let node = &self.nodes[index];
        if node.run_id != scheduled.run_id {
            self.refuse_connection(scheduled.event);
            return;
        }
        if node.paused_until_ms > self.now_ms {
            let at_ms = node.paused_until_ms;
            self.schedule(at_ms, index, scheduled.event);
            return;
        }
        self.deliver_event(index, scheduled.event);
        self.execute_actions(index);
    }

    fn deliver_event(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        let Some(fleet) = &mut self.nodes[index].fleet else {
            return;
        };
        match event {
            Event::Tick => {
                fleet.tick(now_ms);
                self.schedule(now_ms + TICK_MS, index, Event::Tick);
            }
            Event::Request {
                from,
                run_id,
                request,
            } => {
                let GossipRequest { id, frame, .. } = *request;
                let response = fleet.on_request(frame, now_ms);
                self.send_response(index, from, run_id, id, response);
            }
            Event::Response { id, frame } => fleet.on_response(id, *frame, now_ms),
            Event::Failure { id } => fleet.on_request_failed(id, now_ms),
            Event::ConfigRead { config } if !self.platform_down => {
                fleet.on_config_read(config, now_ms);
            }
            Event::ConfigRead { .. } => fleet.on_config_read_failed(now_ms),
            Event::ListingRead if self.platform_down => {}
            Event::ListingRead => fleet.on_listing_read(&Arc::clone(&self.listing), now_ms),
        }
    }

    /// Fails a request to a killed node immediately, as the closed port of an
    /// ended program refuses connections.
    fn refuse_connection(&mut self, event: Event) {
        if let Event::Request {
            from,
            run_id,
            request,
        } = event
            && self.nodes[from].run_id == run_id
        {
            let id = request.id;
            self.schedule(self.now_ms + REGION_DELAY_MS, from, Event::Failure { id });
        }
    }

    fn send_response(&mut self, from: usize, to: usize, run_id: u64, id: u64, frame: GossipFrame) {
        if self.nodes[to].run_id != run_id || self.is_blocked(from, to) {
            return;
        }
        self.count_traffic(from, to, &frame);
        let at_ms = self.now_ms + self.delay_ms(from, to);
        let frame = Box::new(frame);
        self.schedule(at_ms, to, Event::Response { id, frame });
    }

    fn execute_actions(&mut self, index: usize) {
        let Some(fleet) = &mut self.nodes[index].fleet else {
            return;
        };
        for action in fleet.take_actions() {
            match action {
                Action::SendRequest(request) => self.send_request(index, request),
                Action::ReadConfig => {
                    // A paused node may receive the current row much later.
                    let config = self.config.clone();
                    self.start_platform_read(index, Event::ConfigRead { config });
                }
                Action::ReadListing => self.start_platform_read(index, Event::ListingRead),
            }
        }
    }

    fn send_request(&mut self, from: usize, request: Box<GossipRequest>) {
        let id = request.id;
        // The core ignores the failure of a request that was answered before.
        self.schedule(request.deadline_ms, from, Event::Failure { id });
        let Some(to) = self.node_index(&request.address) else {
            return;
        };
        if self.is_blocked(from, to) {
            return;
        }
        self.count_traffic(from, to, &request.frame);
        let at_ms = self.now_ms + self.delay_ms(from, to);
        let run_id = self.nodes[from].run_id;
        let event = Event::Request {
            from,
            run_id,
            request,
        };
        self.schedule(at_ms, to, event);
    }

    fn start_platform_read(&mut self, index: usize, event: Event) {
        self.platform_reads += 1;
        if !self.platform_down {
            self.schedule(self.now_ms + PLATFORM_DELAY_MS, index, event);
        } else if let Event::ConfigRead { .. } = event {
            let at_ms = self.now_ms + PLATFORM_TIMEOUT_MS;
            self.schedule(at_ms, index, event);
        }
    }

    fn schedule(&mut self, at_ms: u64, target: usize, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.events.push(Reverse(Scheduled {
            at_ms,
            sequence,
            target,
            run_id: self.nodes[target].run_id,
            event,
        }));
    }

    fn count_traffic(&mut self, from: usize, to: usize, frame: &GossipFrame) {
        let bytes = (self.frame_size)(frame);
        let sender = &mut self.nodes[from].traffic;
        sender.frames_sent += 1;
        sender.bytes_sent += bytes;
        let receiver = &mut self.nodes[to].traffic;
        receiver.frames_received += 1;
        receiver.bytes_received += bytes;
    }

    fn is_blocked(&self, a: usize, b: usize) -> bool {
        let (from, to) = (&self.nodes[a].record.region, &self.nodes[b].record.region);
        let is_isolated = self.isolated_nodes.contains(&a) || self.isolated_nodes.contains(&b);
        is_isolated
            || self
                .partitions
                .iter()
                .any(|(x, y)| (x == from && y == to) || (x == to && y == from))
    }

    fn delay_ms(&self, a: usize, b: usize) -> u64 {
        if self.nodes[a].record.region == self.nodes[b].record.region {
            REGION_DELAY_MS
        } else {
            CROSS_REGION_DELAY_MS
        }
    }

    fn node_index(&self, address: &str) -> Option<usize> {
        let index: usize = address.strip_prefix("node:")?.parse().ok()?;
        (index < self.nodes.len()).then_some(index)
    }
}
