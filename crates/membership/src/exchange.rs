//! Exchanges with other control programs: questions, answers and the news in
//! them.

use std::sync::Arc;

use model::{InstanceId, Liveness, Region};

use crate::{
    GossipFrame, NodeRecord, UpstreamRecord,
    digest::{BUCKETS, bucket_of},
    fleet::{
        ACROSS_TIMEOUT_MS, Action, Asked, Fleet, GossipRequest, ISOLATION_MS, PROBE_TIMEOUT_MS,
    },
    region::{FAILURES_MAX, sample_digest},
    rumor::{Audience, Reach, Subject},
};

/// Probes that fail in succession before a node is suspected.
const FAILED_PROBES_MAX: u8 = 2;
/// Time for which a configuration promised by a peer is awaited.
const CONFIG_PATIENCE_MS: u64 = 400;
/// Time without changes after which differing digests are looked into.
const QUIET_MS: u64 = 1_000;
/// Time between two comparisons of buckets.
const RESYNC_INTERVAL_MS: u64 = 2_000;
/// Most rows in a frame that makes up for differing buckets, on average.
const SYNC_ROWS_MAX: usize = 2_048;
/// News beyond this many pieces spreads by comparing digests only.
const RUMORS_MAX: usize = 64;

/// Whom a question goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) id: Option<InstanceId>,
    pub(crate) address: String,
    pub(crate) reach: Reach,
    /// Region of the peer, if it is another one.
    pub(crate) region: Option<Region>,
}

/// What a question is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ask {
    /// Exchange news and learn that the peer runs.
    News,
    /// Get the peer's configuration.
    Config,
    /// Hand over the own configuration.
    OfferConfig,
    /// Compare digests part by part.
    Buckets,
}

impl Target {
    /// A peer of whom only the address is known.
    pub(crate) fn unknown(address: &str) -> Self {
        Self {
            id: None,
            address: address.to_owned(),
            reach: Reach::InRegion,
            region: None,
        }
    }

    /// A node of the own region.
    pub(crate) fn neighbor(rumor: &NodeRecord) -> Self {
        Self {
            id: Some(rumor.id.clone()),
            address: rumor.peer_address.clone(),
            reach: Reach::InRegion,
            region: None,
        }
    }
}

impl Fleet {
    /// Answers a question of another control program.
    pub fn on_request(&mut self, frame: GossipFrame, now_ms: u64) -> GossipFrame {
        let reach = self.reach_of(&frame);
        let sender = frame.sender.clone();
        let their_version = frame.config_version;
        let wants_config = frame.wants_config;
        let buckets = frame.buckets.clone();
        let region = frame.region.clone();
        let their_digest = frame.digest;
        self.note_heard(now_ms);
        self.take_news(frame, now_ms);
        let mut answer = self.frame(reach, &region, Some(&sender));
        if wants_config && their_version < self.config.version {
            answer.config = Some(Arc::clone(&self.config));
        }
        if their_version > self.config.version && self.config_due_at_ms <= now_ms {
            self.config_due_at_ms = now_ms + CONFIG_PATIENCE_MS;
            answer.wants_config = true;
        }
        let is_outdated = their_digest != sample_digest(&self.summary);
        if reach == Reach::Across && is_outdated && self.summary.made_at_ms > 0 {
            answer.summaries.push(self.summary.clone());
        }
        // A node that knows nobody in its region may ask another one.
        if !buckets.is_empty() {
            self.add_differing_rows(&buckets, &mut answer);
            answer.buckets = self.digest.buckets();
        }
        self.push_news(now_ms);
        answer
    }

    /// Takes in the answer to the question `id`.
    pub fn on_response(&mut self, id: u64, frame: GossipFrame, now_ms: u64) {
        let Some(asked) = self.take_asked(id) else {
            return;
        };
        let reach = self.reach_of(&frame);
        self.note_heard(now_ms);
        if let Some(row) = self.nodes.find_mut(&frame.sender) {
            row.failed_probes = 0;
            if row.rumor.liveness == Liveness::Dead {
                // It was not dead; neither may the next one be.
                self.timers.outreach_at_ms = now_ms;
            }
        }
        let target = Target {
            id: Some(frame.sender.clone()),
            address: asked.address.clone(),
            reach,
            region: asked.across.clone(),
        };
        let their_version = frame.config_version;
        let their_digest = frame.digest;
        let their_buckets = frame.buckets.clone();
        let wants_config = frame.wants_config;
        let knows_region = frame.knows_region;
        let revision = self.revision;
        self.take_news(frame, now_ms);
        if knows_region && !self.confirmed.region {
            let is_same = reach == Reach::InRegion && their_digest == self.digest.root();
            let is_complete = !their_buckets.is_empty() && self.revision == revision;
            self.learn_region(is_same || is_complete, target.clone(), now_ms);
        }
        if their_version > self.config.version {
            self.pull_config(target.clone(), now_ms);
        } else if wants_config && their_version < self.config.version {
            self.ask(target.clone(), Ask::OfferConfig, now_ms);
        }
        self.confirm_config(their_version);
        self.push_news(now_ms);
        if let Some(region) = asked.across {
            self.note_contact(&region, true, now_ms);
        }
        if reach == Reach::Across {
            if their_digest != sample_digest(&self.summary) {
                let region = self.own.region.clone();
                self.rumors.push(Subject::Region(region), Audience::Others);
            }
            return;
        }
        if !their_buckets.is_empty() {
            self.offer_differing_rows(&their_buckets, target, now_ms);
        } else if their_digest != self.digest.root() {
            self.compare_buckets(target, now_ms);
        }
    }

    /// Notes that the question `id` got no answer.
    pub fn on_request_failed(&mut self, id: u64, now_ms: u64) {
        let Some(asked) = self.take_asked(id) else {
            return;
        };
        if asked.wants_config {
            self.config_due_at_ms = now_ms;
            self.confirm_config(0);
        }
        let Some(target) = asked.target else { return };
        if let Some(region) = asked.across {
            self.timers.across_index += 1;
            self.note_contact(&region, false, now_ms);
            if self.regions.failures(&region) < FAILURES_MAX {
                self.ask_region(&region, now_ms);
            }
            return;
        }
        let is_isolated = self.is_isolated(now_ms);
        let Some(row) = self.nodes.find_mut(&target) else {
            return;
        };
        if is_isolated {
            return;
        }
        row.failed_probes = row.failed_probes.saturating_add(1);
        if row.failed_probes < FAILED_PROBES_MAX {
            let target = Target::neighbor(&row.rumor);
            self.ask(target, Ask::News, now_ms);
            return;
        }
        let mut rumor = row.rumor.clone();
        rumor.liveness = match rumor.liveness {
            Liveness::Live | Liveness::Suspect => Liveness::Suspect,
            // It said that it would go.
            Liveness::Leaving | Liveness::Dead => Liveness::Dead,
        };
        self.merge_node(rumor, true, now_ms);
    }

    /// Whether all others are silent, so that the own links are to blame.
    pub(crate) fn is_isolated(&self, now_ms: u64) -> bool {
        self.timers.heard_at_ms + ISOLATION_MS < now_ms
    }

    /// Sends a question.
    pub(crate) fn ask(&mut self, target: Target, ask: Ask, now_ms: u64) {
        if target.address == self.own.peer_address {
            return;
        }
        let mut frame = self.question(&target);
        match ask {
            Ask::News => {}
            Ask::Config => frame.wants_config = true,
            Ask::OfferConfig => frame.config = Some(Arc::clone(&self.config)),
            Ask::Buckets => frame.buckets = self.digest.buckets(),
        }
        self.send(target, ask, frame, now_ms);
    }

    /// Takes in news of a node. `is_rumor` tells whether to pass it on.
    pub(crate) fn merge_node(&mut self, rumor: NodeRecord, is_rumor: bool, now_ms: u64) {
        if rumor.id == self.own.id {
            self.refute(&rumor, now_ms);
            return;
        }
        let id = rumor.id.clone();
        if !self.is_own_region(&rumor.region) || !self.nodes.merge(rumor, now_ms, &mut self.digest)
        {
            return;
        }
        self.links_outdated = true;
        self.note_change(now_ms);
        if is_rumor {
            self.rumors.push(Subject::Node(id), Audience::Region);
            self.news_pending = true;
        }
    }

    /// Takes in news of an upstream. `is_rumor` tells whether to pass it on.
    pub(crate) fn merge_upstream(&mut self, rumor: UpstreamRecord, is_rumor: bool, now_ms: u64) {
        let id = rumor.entry.id.clone();
        let was_suspect = self
            .upstreams
            .find(&id)
            .is_some_and(|row| row.entry.liveness == Liveness::Suspect);
        let is_passing = match rumor.entry.liveness {
            Liveness::Suspect => true,
            Liveness::Live => was_suspect,
            Liveness::Leaving | Liveness::Dead => false,
        };
        if !self.upstreams.merge(rumor, now_ms, &mut self.digest) {
            return;
        }
        self.note_change(now_ms);
        if is_rumor {
            let audience = if is_passing {
                Audience::Region
            } else {
                Audience::All
            };
            self.rumors.push(Subject::Upstream(id), audience);
            self.news_pending = true;
        }
    }

    fn take_news(&mut self, frame: GossipFrame, now_ms: u64) {
        if let Some(config) = frame.config
            && self.adopt(config)
        {
            self.config_due_at_ms = 0;
        }
        let from_own_region = self.is_own_region(&frame.region);
        let is_rumor = frame.nodes.len() + frame.upstreams.len() <= RUMORS_MAX;
        if from_own_region {
            for rumor in frame.nodes {
                self.merge_node(rumor, is_rumor, now_ms);
            }
        }
        for mut rumor in frame.upstreams {
            // A clock that runs ahead elsewhere must not decide for long.
            rumor.seen_at_ms = rumor.seen_at_ms.min(now_ms + QUIET_MS);
            self.merge_upstream(rumor, is_rumor, now_ms);
        }
        for summary in frame.summaries {
            let region = summary.region.clone();
            if !self.is_own_region(&region) && self.regions.merge(summary, from_own_region) {
                self.rumors.push(Subject::Region(region), Audience::Region);
                self.revision += 1;
            }
        }
    }

    /// Notes whether a question to another region was answered, and tells the
    /// own region if that changes anything.
    fn note_contact(&mut self, region: &Region, answered: bool, now_ms: u64) {
        if self.regions.note_contact(region, answered, now_ms) {
            let subject = Subject::Region(region.clone());
            self.rumors.push(subject, Audience::Region);
            self.news_pending = true;
            self.revision += 1;
        }
    }

    /// Notes that the own links work. After a silence of all, the suspects of
    /// that time get a new chance.
    pub(crate) fn note_heard(&mut self, now_ms: u64) {
        if self.is_isolated(now_ms) {
            self.nodes.restart_suspicions(now_ms);
        }
        self.timers.heard_at_ms = now_ms;
    }

    /// Contradicts news of the own death, or of a life that had a higher
    /// incarnation.
    fn refute(&mut self, rumor: &NodeRecord, now_ms: u64) {
        if (rumor.incarnation, rumor.liveness) > (self.own.incarnation, self.own.liveness) {
            self.own.incarnation = rumor.incarnation;
            self.change_own(now_ms);
        }
    }

    fn question(&mut self, target: &Target) -> GossipFrame {
        let region = target.region.clone();
        let region = region.unwrap_or_else(|| self.own.region.clone());
        self.frame(target.reach, &region, target.id.as_ref())
    }

    fn frame(&mut self, reach: Reach, region: &Region, target: Option<&InstanceId>) -> GossipFrame {
        let digest = match reach {
            Reach::InRegion => self.digest.root(),
            Reach::Across => self.regions.find(region).map_or(0, sample_digest),
        };
        let mut frame = GossipFrame {
            sender: self.own.id.clone(),
            incarnation: self.own.incarnation,
            region: self.own.region.clone(),
            config_version: self.config.version,
            knows_region: self.confirmed.region,
            wants_config: false,
            config: None,
            digest,
            buckets: Vec::new(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            summaries: Vec::new(),
        };
        for subject in self.rumors.take(reach) {
            self.add_news(&subject, &mut frame);
        }
        // Tells a node what is said of it, so that it can contradict.
        if let Some(row) = target.and_then(|id| self.nodes.find(id))
            && row.rumor.liveness != Liveness::Live
            && !frame.nodes.contains(&row.rumor)
        {
            frame.nodes.push(row.rumor.clone());
        }
        frame
    }

    fn add_news(&self, subject: &Subject, frame: &mut GossipFrame) {
        match subject {
            Subject::Node(id) => {
                let row = self.nodes.find(id).map(|row| row.rumor.clone());
                frame.nodes.extend(row);
            }
            Subject::Upstream(id) => frame.upstreams.extend(self.upstreams.find(id).cloned()),
            Subject::Region(region) if self.is_own_region(region) => {
                frame.summaries.push(self.summary.clone());
            }
            Subject::Region(region) => frame.summaries.extend(self.regions.find(region).cloned()),
        }
    }

    fn send(&mut self, target: Target, ask: Ask, frame: GossipFrame, now_ms: u64) {
        let timeout_ms = match target.reach {
            Reach::InRegion => PROBE_TIMEOUT_MS,
            Reach::Across => ACROSS_TIMEOUT_MS,
        };
        let id = self.next_question;
        self.next_question += 1;
        self.asked.push(Asked {
            id,
            target: target.id,
            address: target.address.clone(),
            across: target.region,
            wants_config: ask == Ask::Config,
        });
        self.actions
            .push(Action::SendRequest(Box::new(GossipRequest {
                id,
                address: target.address,
                frame,
                deadline_ms: now_ms + timeout_ms,
            })));
    }

    fn pull_config(&mut self, target: Target, now_ms: u64) {
        if self.config_due_at_ms > now_ms {
            return;
        }
        self.config_due_at_ms = now_ms + CONFIG_PATIENCE_MS;
        self.ask(target, Ask::Config, now_ms);
    }

    /// A node confirms its configuration once nobody it asked at the start
    /// is left to answer and somebody named a version that it has.
    fn confirm_config(&mut self, their_version: u64) {
        self.heard_version = self.heard_version.max(their_version);
        let is_waiting = self.asked.iter().any(|asked| asked.wants_config);
        if !is_waiting && self.heard_version > 0 && self.config.version >= self.heard_version {
            self.mark_config_confirmed();
        }
    }

    /// A node that starts asks until nothing new comes.
    fn learn_region(&mut self, is_over: bool, target: Target, now_ms: u64) {
        if is_over {
            self.mark_region_known();
        } else {
            self.ask(target, Ask::Buckets, now_ms);
        }
    }

    fn compare_buckets(&mut self, target: Target, now_ms: u64) {
        let is_quiet = self.timers.changed_at_ms + QUIET_MS <= now_ms;
        if self.confirmed.region && is_quiet && self.timers.resync_at_ms <= now_ms {
            self.timers.resync_at_ms = now_ms + RESYNC_INTERVAL_MS;
            self.ask(target, Ask::Buckets, now_ms);
        }
    }

    fn offer_differing_rows(&mut self, theirs: &[u32], target: Target, now_ms: u64) {
        let mut frame = self.question(&target);
        self.add_differing_rows(theirs, &mut frame);
        if !frame.nodes.is_empty() || !frame.upstreams.is_empty() {
            self.send(target, Ask::News, frame, now_ms);
        }
    }

    fn add_differing_rows(&self, theirs: &[u32], frame: &mut GossipFrame) {
        let rows = self.nodes.rows().len() + self.upstreams.len();
        // Whole buckets only: one sent in part would differ again next time.
        let buckets_max = (SYNC_ROWS_MAX / (rows / BUCKETS + 1)).max(1);
        let differing = self.digest.differing(theirs, buckets_max);
        let nodes = self
            .nodes
            .rows()
            .iter()
            .map(|row| &row.rumor)
            .filter(|rumor| rumor.liveness != Liveness::Dead)
            .filter(|rumor| differing[bucket_of(rumor.id.as_str())]);
        frame.nodes.extend(nodes.cloned());
        let upstreams = self
            .upstreams
            .rumors()
            .filter(|rumor| rumor.entry.liveness != Liveness::Dead)
            .filter(|rumor| differing[bucket_of(rumor.entry.id.as_str())]);
        frame.upstreams.extend(upstreams.cloned());
    }

    fn note_change(&mut self, now_ms: u64) {
        self.timers.changed_at_ms = now_ms;
        self.revision += 1;
    }

    fn reach_of(&self, frame: &GossipFrame) -> Reach {
        if self.is_own_region(&frame.region) {
            Reach::InRegion
        } else {
            Reach::Across
        }
    }

    fn take_asked(&mut self, id: u64) -> Option<Asked> {
        let index = self.asked.iter().position(|asked| asked.id == id)?;
        Some(self.asked.swap_remove(index))
    }
}
