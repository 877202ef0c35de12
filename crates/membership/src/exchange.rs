//! Gossip exchanges: requests, responses and the records they carry.

use std::sync::Arc;

use model::{InstanceId, Liveness, Region};

use crate::{
    GossipFrame, NodeRecord, UpstreamRecord,
    fleet::{
        Action, CROSS_REGION_TIMEOUT_MS, Fleet, GossipRequest, ISOLATION_TIMEOUT_MS,
        PROBE_TIMEOUT_MS, PendingRequest,
    },
    region::{FAILURES_MAX, sample_digest},
    rumor::{Audience, Scope, Subject},
};

/// Consecutive failed probes after which a node is suspected.
const FAILED_PROBES_MAX: u8 = 2;
/// Time for which a configuration requested from a peer is awaited.
const CONFIG_FETCH_TIMEOUT_MS: u64 = 400;
/// Time without changes after which differing digests start anti-entropy. Also
/// the limit on how far received upstream records may lie in the future.
pub(crate) const QUIET_PERIOD_MS: u64 = 1_000;
/// Maximum number of records in a received frame for them to be propagated as
/// rumors. The records of a larger frame spread by anti-entropy only.
const PROPAGATED_RECORDS_MAX: usize = 64;

/// The recipient of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) id: Option<InstanceId>,
    pub(crate) address: String,
    pub(crate) scope: Scope,
    /// Region of the peer, if it is not the own region.
    pub(crate) remote_region: Option<Region>,
}

/// The purpose of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Exchange rumors and probe whether the peer runs.
    Gossip,
    /// Request the peer's configuration.
    FetchConfig,
    /// Send the own configuration to the peer.
    OfferConfig,
    /// Compare bucket digests, for anti-entropy.
    CompareBuckets,
}

impl Target {
    /// Creates a target of which only the address is known.
    pub(crate) fn by_address(address: &str) -> Self {
        Self {
            id: None,
            address: address.to_owned(),
            scope: Scope::InRegion,
            remote_region: None,
        }
    }

    /// Creates a target for a node of the own region.
    pub(crate) fn neighbor(record: &NodeRecord) -> Self {
        Self {
            id: Some(record.id.clone()),
            address: record.peer_address.clone(),
            scope: Scope::InRegion,
            remote_region: None,
        }
    }
}

impl Fleet {
    /// Handles a request from another control program and returns the response.
    pub fn on_request(&mut self, frame: GossipFrame, now_ms: u64) -> GossipFrame {
        let scope = self.scope_of(&frame);
        let sender = frame.sender.clone();
        let peer_version = frame.config_version;
        let wants_config = frame.wants_config;
        let peer_bucket_digests = frame.bucket_digests.clone();
        let region = frame.region.clone();
        let peer_digest = frame.digest;
        self.record_activity(now_ms);
        self.merge_frame(frame, now_ms);
        let mut response = self.build_frame(scope, &region, Some(&sender));
        if wants_config && peer_version < self.config.version {
            response.config = Some(Arc::clone(&self.config));
        }
        if peer_version > self.config.version && self.config_fetch_until_ms <= now_ms {
            self.config_fetch_until_ms = now_ms + CONFIG_FETCH_TIMEOUT_MS;
            response.wants_config = true;
        }
        let is_outdated = peer_digest != sample_digest(&self.summary);
        if scope == Scope::CrossRegion && is_outdated && self.summary.created_at_ms > 0 {
            response.summaries.push(self.summary.clone());
        }
        // This also answers nodes of other regions: a node that knows no node
        // of its region may compare buckets with another region.
        if !peer_bucket_digests.is_empty() {
            self.add_differing_rows(&peer_bucket_digests, &mut response);
            response.bucket_digests = self.digest.buckets();
        }
        self.push_rumors(now_ms);
        response
    }

    /// Handles the response to the request `id`. Unknown ids are ignored.
    pub fn on_response(&mut self, id: u64, frame: GossipFrame, now_ms: u64) {
        let Some(pending) = self.take_pending_request(id) else {
            return;
        };
        let scope = self.scope_of(&frame);
        self.record_activity(now_ms);
        if let Some(row) = self.nodes.find_mut(&frame.sender) {
            row.failed_probes = 0;
            if row.record.liveness == Liveness::Dead {
                // Other nodes may be wrongly declared dead too: reconnect at once.
                self.timers.reconnect_at_ms = now_ms;
            }
        }
        let target = Target {
            id: Some(frame.sender.clone()),
            address: pending.address.clone(),
            scope,
            remote_region: pending.remote_region.clone(),
        };
        let peer_version = frame.config_version;
        let peer_digest = frame.digest;
        let peer_bucket_digests = frame.bucket_digests.clone();
        let wants_config = frame.wants_config;
        let knows_region = frame.knows_region;
        let revision = self.revision;
        self.merge_frame(frame, now_ms);
        if knows_region && !self.confirmed.region {
            let is_equal = scope == Scope::InRegion && peer_digest == self.digest.root();
            let is_finished = !peer_bucket_digests.is_empty() && self.revision == revision;
            self.continue_region_sync(is_equal || is_finished, target.clone(), now_ms);
        }
        if peer_version > self.config.version {
            self.fetch_config(target.clone(), now_ms);
        } else if wants_config && peer_version < self.config.version {
            self.send_request(target.clone(), RequestKind::OfferConfig, now_ms);
        }
        self.confirm_config(peer_version);
        self.push_rumors(now_ms);
        if let Some(region) = pending.remote_region {
            self.record_region_outcome(&region, true, now_ms);
        }
        if scope == Scope::CrossRegion {
            if peer_digest != sample_digest(&self.summary) {
                let region = self.local_node.region.clone();
                self.rumors.push(Subject::Region(region), Audience::Remote);
            }
            return;
        }
        if !peer_bucket_digests.is_empty() {
            self.send_differing_rows(&peer_bucket_digests, target, now_ms);
        } else if peer_digest != self.digest.root() {
            self.start_anti_entropy(target, now_ms);
        }
    }

    /// Handles the failure or time-out of the request `id`. Unknown ids, such
    /// as those of answered requests, are ignored.
    pub fn on_request_failed(&mut self, id: u64, now_ms: u64) {
        let Some(pending) = self.take_pending_request(id) else {
            return;
        };
        if pending.wants_config {
            self.config_fetch_until_ms = now_ms;
            self.confirm_config(0);
        }
        let Some(target) = pending.target else { return };
        if let Some(region) = pending.remote_region {
            self.timers.contact_offset += 1;
            self.record_region_outcome(&region, false, now_ms);
            if self.regions.failures(&region) < FAILURES_MAX {
                self.send_to_region(&region, now_ms);
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
            let target = Target::neighbor(&row.record);
            self.send_request(target, RequestKind::Gossip, now_ms);
            return;
        }
        let mut record = row.record.clone();
        record.liveness = match record.liveness {
            Liveness::Live | Liveness::Suspect => Liveness::Suspect,
            // A leaving node announced its shutdown and need not be suspected.
            Liveness::Leaving | Liveness::Dead => Liveness::Dead,
        };
        self.merge_node(record, true, now_ms);
    }

    /// Returns whether nothing was received from any node or the platform within
    /// the isolation time-out, probably because this node's links failed.
    pub(crate) fn is_isolated(&self, now_ms: u64) -> bool {
        self.timers.last_heard_at_ms + ISOLATION_TIMEOUT_MS < now_ms
    }

    /// Sends a request of the given kind.
    pub(crate) fn send_request(&mut self, target: Target, kind: RequestKind, now_ms: u64) {
        if target.address == self.local_node.peer_address {
            return;
        }
        let mut frame = self.request_frame(&target);
        match kind {
            RequestKind::Gossip => {}
            RequestKind::FetchConfig => frame.wants_config = true,
            RequestKind::OfferConfig => frame.config = Some(Arc::clone(&self.config)),
            RequestKind::CompareBuckets => frame.bucket_digests = self.digest.buckets(),
        }
        self.send_frame(target, kind, frame, now_ms);
    }

    /// Merges a node record, and spreads it if it is newer and `is_rumor` is set.
    pub(crate) fn merge_node(&mut self, record: NodeRecord, is_rumor: bool, now_ms: u64) {
        if record.id == self.local_node.id {
            self.refute(&record, now_ms);
            return;
        }
        let id = record.id.clone();
        if !self.is_own_region(&record.region)
            || !self.nodes.merge(record, now_ms, &mut self.digest)
        {
            return;
        }
        self.neighbors_outdated = true;
        self.record_change(now_ms);
        if is_rumor {
            self.rumors.push(Subject::Node(id), Audience::Local);
            self.is_push_pending = true;
        }
    }

    /// Merges an upstream record, and spreads it if it is newer and `is_rumor` is
    /// set.
    pub(crate) fn merge_upstream(&mut self, record: UpstreamRecord, is_rumor: bool, now_ms: u64) {
        let id = record.entry.id.clone();
        let was_suspect = self
            .upstreams
            .find(&id)
            .is_some_and(|row| row.entry.liveness == Liveness::Suspect);
        // A suspicion and its refutation spread within the own region only.
        let is_transient = match record.entry.liveness {
            Liveness::Suspect => true,
            Liveness::Live => was_suspect,
            Liveness::Leaving | Liveness::Dead => false,
        };
        if !self.upstreams.merge(record, now_ms, &mut self.digest) {
            return;
        }
        self.record_change(now_ms);
        if is_rumor {
            let audience = if is_transient {
                Audience::Local
            } else {
                Audience::All
            };
            self.rumors.push(Subject::Upstream(id), audience);
            self.is_push_pending = true;
        }
    }

    fn merge_frame(&mut self, frame: GossipFrame, now_ms: u64) {
        if let Some(config) = frame.config
            && self.adopt_config(config)
        {
            self.config_fetch_until_ms = 0;
        }
        let from_own_region = self.is_own_region(&frame.region);
        let is_rumor = frame.nodes.len() + frame.upstreams.len() <= PROPAGATED_RECORDS_MAX;
        if from_own_region {
            for record in frame.nodes {
                self.merge_node(record, is_rumor, now_ms);
            }
        }
        for mut record in frame.upstreams {
            // Bounds the precedence of records from a clock that runs ahead.
            record.seen_at_ms = record.seen_at_ms.min(now_ms + QUIET_PERIOD_MS);
            self.merge_upstream(record, is_rumor, now_ms);
        }
        for summary in frame.summaries {
            let region = summary.region.clone();
            if !self.is_own_region(&region) && self.regions.merge(summary, from_own_region) {
                self.rumors.push(Subject::Region(region), Audience::Local);
                self.revision += 1;
            }
        }
    }

    /// Records whether a request to another region was answered, and spreads
    /// the region's reachability within the own region if it changed.
    fn record_region_outcome(&mut self, region: &Region, answered: bool, now_ms: u64) {
        if self.regions.record_region_outcome(region, answered, now_ms) {
            let subject = Subject::Region(region.clone());
            self.rumors.push(subject, Audience::Local);
            self.is_push_pending = true;
            self.revision += 1;
        }
    }

    /// Records that this node's network links work. After a period of isolation
    /// the suspicion time-outs restart.
    pub(crate) fn record_activity(&mut self, now_ms: u64) {
        if self.is_isolated(now_ms) {
            self.nodes.restart_suspicion_timers(now_ms);
        }
        self.timers.last_heard_at_ms = now_ms;
    }

    /// Refutes a record that supersedes this node's own, such as a suspicion or
    /// one of an earlier run, by announcing a higher incarnation.
    fn refute(&mut self, record: &NodeRecord, now_ms: u64) {
        if (record.incarnation, record.liveness)
            > (self.local_node.incarnation, self.local_node.liveness)
        {
            self.local_node.incarnation = record.incarnation;
            self.bump_incarnation(now_ms);
        }
    }

    pub(crate) fn request_frame(&mut self, target: &Target) -> GossipFrame {
        let region = target.remote_region.clone();
        let region = region.unwrap_or_else(|| self.local_node.region.clone());
        self.build_frame(target.scope, &region, target.id.as_ref())
    }

    fn build_frame(
        &mut self,
        scope: Scope,
        region: &Region,
        target: Option<&InstanceId>,
    ) -> GossipFrame {
        let digest = match scope {
            Scope::InRegion => self.digest.root(),
            Scope::CrossRegion => self.regions.find(region).map_or(0, sample_digest),
        };
        let mut frame = GossipFrame {
            sender: self.local_node.id.clone(),
            incarnation: self.local_node.incarnation,
            region: self.local_node.region.clone(),
            config_version: self.config.version,
            knows_region: self.confirmed.region,
            wants_config: false,
            config: None,
            digest,
            bucket_digests: Vec::new(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            summaries: Vec::new(),
        };
        for subject in self.rumors.take_for_frame(scope) {
            self.add_subject(&subject, &mut frame);
        }
        // Sends the target its own record, so that it can refute a suspicion.
        if let Some(row) = target.and_then(|id| self.nodes.find(id))
            && row.record.liveness != Liveness::Live
            && !frame.nodes.contains(&row.record)
        {
            frame.nodes.push(row.record.clone());
        }
        frame
    }

    fn add_subject(&self, subject: &Subject, frame: &mut GossipFrame) {
        match subject {
            Subject::Node(id) => {
                let row = self.nodes.find(id).map(|row| row.record.clone());
                frame.nodes.extend(row);
            }
            Subject::Upstream(id) => frame.upstreams.extend(self.upstreams.find(id).cloned()),
            Subject::Region(region) if self.is_own_region(region) => {
                frame.summaries.push(self.summary.clone());
            }
            Subject::Region(region) => frame.summaries.extend(self.regions.find(region).cloned()),
        }
    }

    pub(crate) fn send_frame(
        &mut self,
        target: Target,
        kind: RequestKind,
        frame: GossipFrame,
        now_ms: u64,
    ) {
        let timeout_ms = match target.scope {
            Scope::InRegion => PROBE_TIMEOUT_MS,
            Scope::CrossRegion => CROSS_REGION_TIMEOUT_MS,
        };
        let id = self.next_request_id;
        self.next_request_id += 1;
        self.requests.push(PendingRequest {
            id,
            target: target.id,
            address: target.address.clone(),
            remote_region: target.remote_region,
            wants_config: kind == RequestKind::FetchConfig,
        });
        self.actions
            .push(Action::SendRequest(Box::new(GossipRequest {
                id,
                address: target.address,
                frame,
                deadline_ms: now_ms + timeout_ms,
            })));
    }

    fn fetch_config(&mut self, target: Target, now_ms: u64) {
        if self.config_fetch_until_ms > now_ms {
            return;
        }
        self.config_fetch_until_ms = now_ms + CONFIG_FETCH_TIMEOUT_MS;
        self.send_request(target, RequestKind::FetchConfig, now_ms);
    }

    /// Confirms the configuration once no request for it is pending and this
    /// node has the highest version that a peer announced.
    fn confirm_config(&mut self, peer_version: u64) {
        self.max_peer_version = self.max_peer_version.max(peer_version);
        let is_waiting = self.requests.iter().any(|request| request.wants_config);
        if !is_waiting && self.max_peer_version > 0 && self.config.version >= self.max_peer_version
        {
            self.mark_config_confirmed();
        }
    }

    fn record_change(&mut self, now_ms: u64) {
        self.timers.changed_at_ms = now_ms;
        self.revision += 1;
    }

    fn scope_of(&self, frame: &GossipFrame) -> Scope {
        if self.is_own_region(&frame.region) {
            Scope::InRegion
        } else {
            Scope::CrossRegion
        }
    }

    fn take_pending_request(&mut self, id: u64) -> Option<PendingRequest> {
        let index = self.requests.iter().position(|request| request.id == id)?;
        Some(self.requests.swap_remove(index))
    }
}
