//! Steps many cores in virtual time, for tests and measurements.
//!
//! It delivers frames after fixed delays, plays the table row and the list of
//! the platform, and lets nodes be paused, killed or cut off. It decides
//! nothing.

mod topology;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use model::{FleetConfig, Region};

pub use self::topology::Topology;
use self::topology::{EPOCH_MS, own_rumor, region, upstream};
use crate::{Action, Fleet, GossipFrame, GossipRequest, ListedNode, Listing, NodeRecord};

/// Time between two ticks of a core.
pub const TICK_MS: u64 = 100;
/// One-way delay within a region.
const NEAR_MS: u64 = 1;
/// One-way delay between regions.
const FAR_MS: u64 = 30;
/// Delay of the platform's answers.
const PLATFORM_MS: u64 = 10;
/// Time after which an unreachable platform is given up.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// What one node sent and received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Questions and answers sent.
    pub frames_sent: u64,
    /// Questions and answers received.
    pub frames_received: u64,
    /// Bytes sent, as the cluster's measure counts them.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// Many cores with the network and the platform between them.
pub struct Cluster {
    now_ms: u64,
    shape: Topology,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<Scheduled>>,
    next_event: u64,
    cuts: Vec<(Region, Region)>,
    isolated: Vec<usize>,
    config: Option<Arc<FleetConfig>>,
    listing: Arc<Listing>,
    seeds: Vec<String>,
    platform_down: bool,
    platform_reads: u64,
    measure: fn(&GossipFrame) -> u64,
}

struct Node {
    fleet: Option<Fleet>,
    own: NodeRecord,
    paused_until_ms: u64,
    /// Distinguishes runs, so that news for an earlier one is dropped.
    run: u64,
    traffic: Traffic,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at_ms: u64,
    number: u64,
    target: usize,
    run: u64,
    event: Event,
}

#[derive(Debug)]
enum Event {
    Tick,
    Request {
        from: usize,
        run: u64,
        question: Box<GossipRequest>,
    },
    Answer {
        id: u64,
        frame: Box<GossipFrame>,
    },
    NoAnswer {
        id: u64,
    },
    Config {
        config: Option<Arc<FleetConfig>>,
    },
    Listing,
}

// The queue orders events by time and number; their content plays no part.
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
    fn new(shape: Topology, index: usize) -> Self {
        Self {
            fleet: None,
            own: own_rumor(shape, index),
            paused_until_ms: 0,
            run: 0,
            traffic: Traffic::default(),
        }
    }
}

impl Cluster {
    /// Starts all nodes of `shape` within one tick.
    #[must_use]
    pub fn new(shape: Topology) -> Self {
        let nodes: Vec<Node> = (0..shape.nodes)
            .map(|index| Node::new(shape, index))
            .collect();
        let mut cluster = Self {
            now_ms: EPOCH_MS,
            shape,
            nodes,
            events: BinaryHeap::new(),
            next_event: 0,
            cuts: Vec::new(),
            isolated: Vec::new(),
            config: None,
            listing: Arc::new(Listing::default()),
            seeds: Vec::new(),
            platform_down: false,
            platform_reads: 0,
            measure: |_| 0,
        };
        cluster.set_listed_upstreams(|_| true);
        for index in 0..shape.nodes {
            cluster.start(index);
        }
        cluster
    }

    /// Counts the bytes of frames by `measure`.
    #[must_use]
    pub fn with_frame_size(mut self, measure: fn(&GossipFrame) -> u64) -> Self {
        self.measure = measure;
        self
    }

    /// Time now, Unix milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// The core of a node, unless it was killed.
    #[must_use]
    pub fn fleet(&self, index: usize) -> Option<&Fleet> {
        self.nodes[index].fleet.as_ref()
    }

    /// Cores of all running nodes with their numbers.
    pub fn fleets(&self) -> impl Iterator<Item = (usize, &Fleet)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(index, node)| Some((index, node.fleet.as_ref()?)))
    }

    /// Traffic of each node since the start or the last reset.
    #[must_use]
    pub fn traffic(&self, index: usize) -> Traffic {
        self.nodes[index].traffic
    }

    /// Forgets the traffic so far.
    pub fn reset_counters(&mut self) {
        self.platform_reads = 0;
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    /// Reads of the platform since the start or the last reset.
    #[must_use]
    pub fn platform_reads(&self) -> u64 {
        self.platform_reads
    }

    /// Gives an event to the core of a running node.
    pub fn with_fleet(&mut self, index: usize, event: impl FnOnce(&mut Fleet, u64)) {
        let now_ms = self.now_ms;
        if let Some(fleet) = &mut self.nodes[index].fleet {
            event(fleet, now_ms);
            self.perform(index);
        }
    }

    /// Commits a configuration in the table and tells node `index`, as the
    /// operators' API there does.
    pub fn apply_config(&mut self, index: usize, config: FleetConfig) {
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        self.with_fleet(index, |fleet, now_ms| {
            fleet.on_config_read(Some(config), now_ms);
            fleet.tick(now_ms);
        });
    }

    /// Sets whether the platform answers.
    pub fn set_platform_down(&mut self, down: bool) {
        self.platform_down = down;
    }

    /// Lists the upstreams for which `is_listed` holds, and all nodes.
    pub fn set_listed_upstreams(&mut self, is_listed: impl Fn(usize) -> bool) {
        let shape = self.shape;
        let nodes = self.nodes.iter().map(|node| ListedNode {
            id: node.own.id.clone(),
            region: node.own.region.clone(),
            failure_domain: node.own.failure_domain.clone(),
            peer_address: node.own.peer_address.clone(),
        });
        let upstreams = (0..shape.upstreams).filter(|index| is_listed(*index));
        self.listing = Arc::new(Listing {
            nodes: nodes.collect(),
            upstreams: upstreams.map(|index| upstream(shape, index)).collect(),
        });
    }

    /// Gives the nodes that start from now on the addresses of some others.
    pub fn set_seeds(&mut self, indices: &[usize]) {
        let addresses = indices.iter().map(|index| {
            let node = &self.nodes[*index];
            node.own.peer_address.clone()
        });
        self.seeds = addresses.collect();
    }

    /// Cuts or restores the links between two regions.
    pub fn set_partitioned(&mut self, a: usize, b: usize, cut: bool) {
        let pair = (region(a), region(b));
        self.cuts.retain(|known| *known != pair);
        if cut {
            self.cuts.push(pair);
        }
    }

    /// Cuts a node off from all others, or restores its links.
    pub fn set_isolated(&mut self, index: usize, isolated: bool) {
        self.isolated.retain(|known| *known != index);
        if isolated {
            self.isolated.push(index);
        }
    }

    /// Stops a node from doing anything for `for_ms`; what arrives waits.
    pub fn pause(&mut self, index: usize, for_ms: u64) {
        self.nodes[index].paused_until_ms = self.now_ms + for_ms;
    }

    /// Ends a node at once.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].fleet = None;
        self.nodes[index].run += 1;
    }

    /// Starts a node anew that was killed.
    pub fn start(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        node.own.incarnation = now_ms;
        node.paused_until_ms = 0;
        node.run += 1;
        let seed = u64::try_from(index).unwrap_or(0);
        node.fleet = Some(Fleet::new(
            node.own.clone(),
            self.seeds.clone(),
            seed,
            now_ms,
        ));
        self.perform(index);
        // Ticks of different nodes fall on different moments.
        let offset_ms = seed * 37 % TICK_MS;
        self.schedule(now_ms + 1 + offset_ms, index, Event::Tick);
    }

    /// Lets `for_ms` pass.
    pub fn run_for(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(Reverse(next)) = self.events.peek() {
            if next.at_ms > end_ms {
                break;
            }
            if let Some(Reverse(next)) = self.events.pop() {
                self.now_ms = self.now_ms.max(next.at_ms);
                self.handle(next);
            }
        }
        self.now_ms = end_ms;
    }

    /// Lets time pass until `condition` holds and returns how long that took,
    /// or `None` once `within_ms` have passed.
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

    fn handle(&mut self, scheduled: Scheduled) {
        let index = scheduled.target;
        let node = &self.nodes[index];
        if node.run != scheduled.run {
            self.refuse(scheduled.event);
            return;
        }
        if node.paused_until_ms > self.now_ms {
            let at_ms = node.paused_until_ms;
            self.schedule(at_ms, index, scheduled.event);
            return;
        }
        self.dispatch(index, scheduled.event);
        self.perform(index);
    }

    fn dispatch(&mut self, index: usize, event: Event) {
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
                run,
                question,
            } => {
                let GossipRequest { id, frame, .. } = *question;
                let answer = fleet.on_request(frame, now_ms);
                self.answer(index, from, run, id, answer);
            }
            Event::Answer { id, frame } => fleet.on_response(id, *frame, now_ms),
            Event::NoAnswer { id } => fleet.on_request_failed(id, now_ms),
            Event::Config { config } if !self.platform_down => {
                fleet.on_config_read(config, now_ms);
            }
            Event::Config { .. } => fleet.on_config_read_failed(now_ms),
            Event::Listing if self.platform_down => {}
            Event::Listing => fleet.on_listing_read(&Arc::clone(&self.listing), now_ms),
        }
    }

    /// A killed program's port refuses connections at once.
    fn refuse(&mut self, event: Event) {
        if let Event::Request {
            from,
            run,
            question,
        } = event
            && self.nodes[from].run == run
        {
            let id = question.id;
            self.schedule(self.now_ms + NEAR_MS, from, Event::NoAnswer { id });
        }
    }

    fn answer(&mut self, from: usize, to: usize, run: u64, id: u64, frame: GossipFrame) {
        if self.nodes[to].run != run || self.is_cut(from, to) {
            return;
        }
        self.count(from, to, &frame);
        let at_ms = self.now_ms + self.delay_ms(from, to);
        let frame = Box::new(frame);
        self.schedule(at_ms, to, Event::Answer { id, frame });
    }

    fn perform(&mut self, index: usize) {
        let Some(fleet) = &mut self.nodes[index].fleet else {
            return;
        };
        for action in fleet.take_actions() {
            match action {
                Action::SendRequest(question) => self.ask(index, question),
                Action::ReadConfig => {
                    // The row as it is now; the answer may come much later.
                    let config = self.config.clone();
                    self.read(index, Event::Config { config });
                }
                Action::ReadListing => self.read(index, Event::Listing),
            }
        }
    }

    fn ask(&mut self, from: usize, question: Box<GossipRequest>) {
        let id = question.id;
        // The core ignores the failure of a question that was answered.
        self.schedule(question.deadline_ms, from, Event::NoAnswer { id });
        let Some(to) = self.find(&question.address) else {
            return;
        };
        if self.is_cut(from, to) {
            return;
        }
        self.count(from, to, &question.frame);
        let at_ms = self.now_ms + self.delay_ms(from, to);
        let run = self.nodes[from].run;
        let event = Event::Request {
            from,
            run,
            question,
        };
        self.schedule(at_ms, to, event);
    }

    fn read(&mut self, index: usize, event: Event) {
        self.platform_reads += 1;
        if !self.platform_down {
            self.schedule(self.now_ms + PLATFORM_MS, index, event);
        } else if let Event::Config { .. } = event {
            let at_ms = self.now_ms + PLATFORM_TIMEOUT_MS;
            self.schedule(at_ms, index, event);
        }
    }

    fn schedule(&mut self, at_ms: u64, target: usize, event: Event) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse(Scheduled {
            at_ms,
            number,
            target,
            run: self.nodes[target].run,
            event,
        }));
    }

    fn count(&mut self, from: usize, to: usize, frame: &GossipFrame) {
        let bytes = (self.measure)(frame);
        let sender = &mut self.nodes[from].traffic;
        sender.frames_sent += 1;
        sender.bytes_sent += bytes;
        let receiver = &mut self.nodes[to].traffic;
        receiver.frames_received += 1;
        receiver.bytes_received += bytes;
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (from, to) = (&self.nodes[a].own.region, &self.nodes[b].own.region);
        let is_isolated = self.isolated.contains(&a) || self.isolated.contains(&b);
        is_isolated
            || self
                .cuts
                .iter()
                .any(|(x, y)| (x == from && y == to) || (x == to && y == from))
    }

    fn delay_ms(&self, a: usize, b: usize) -> u64 {
        if self.nodes[a].own.region == self.nodes[b].own.region {
            NEAR_MS
        } else {
            FAR_MS
        }
    }

    fn find(&self, address: &str) -> Option<usize> {
        let index: usize = address.strip_prefix("node:")?.parse().ok()?;
        (index < self.nodes.len()).then_some(index)
    }
}
