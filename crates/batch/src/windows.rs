//! The batch windows of the upstreams that this process owns.
//!
//! Rendezvous hashing assigns each upstream one owner among the batch processes. While
//! the views of two processes differ, an upstream may have two owners. This increases
//! online latency for a moment but never affects correctness.

use std::{net::SocketAddr, sync::Arc};

use membership::batch_window_owner;
use model::{
    ClassTarget, ErrorKind, FleetConfig, InstanceId, InstanceRole, Liveness, ModelName,
    ServiceName, UpstreamEntry, UpstreamId, UpstreamKind, View,
};
use peer::DispatchNotice;
use policy::{BatchItemId, BatchWindow, OnlineTarget, Urgency, WindowPlan};

/// Maximum number of calls in flight at a plain service.
const SERVICE_CALLS_MAX: u32 = 4;

/// Time for which no work is sent to an upstream that reported that it is leaving, in
/// microseconds. The view shows the upstream as leaving before this time has passed.
const AVOID_LEAVING_US: u64 = 10_000_000;
/// Time for which no work is sent to an upstream that refused a connection, in
/// microseconds.
const AVOID_UNREACHABLE_US: u64 = 1_000_000;

const US_PER_MS: u64 = 1_000;

/// Batch windows of the owned upstreams, sorted by upstream.
#[derive(Debug, Default)]
pub(crate) struct Windows {
    owned: Vec<OwnedUpstream>,
    /// Owners of the live upstreams by capability, sorted.
    owners: Vec<(Capability, InstanceId)>,
}

/// A model or service that an upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Capability {
    Model(ModelName),
    Service(ServiceName),
}

/// An upstream that this process owns, or owned until its last items end.
#[derive(Debug)]
pub(crate) struct OwnedUpstream {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) kind: UpstreamKind,
    window: BatchWindow,
    items: Vec<BatchItemId>,
    /// Whether the upstream gets no new work because it is no longer live or owned. The
    /// entry is removed when its last item has ended.
    is_retiring: bool,
    /// Time before which no work is sent, because the upstream refused a connection or
    /// reported that it is leaving.
    avoid_until_us: u64,
}

impl Windows {
    /// Returns the owned upstreams, sorted by identifier.
    pub(crate) fn owned(&self) -> &[OwnedUpstream] {
        &self.owned
    }

    /// Applies a new view. Windows of upstreams that are no longer owned are kept until
    /// their items have ended.
    pub(crate) fn on_view(&mut self, view: &View, instance: &InstanceId) {
        for owned in &mut self.owned {
            owned.is_retiring = true;
        }
        let mut owners = Vec::new();
        let live = view
            .upstreams
            .iter()
            .filter(|entry| entry.liveness == Liveness::Live);
        for entry in live {
            // Entries use the same function to find the owner that they send notices to.
            let Some(owner) = batch_window_owner(view, entry) else {
                continue;
            };
            for capability in capabilities(entry) {
                owners.push((capability, owner.id.clone()));
            }
            if owner.id == *instance {
                self.add_owned(entry);
            }
        }
        owners.sort_unstable();
        owners.dedup();
        self.owners = owners;
        self.owned
            .retain(|owned| !owned.is_retiring || !owned.items.is_empty());
        if let Some(target) = online_target(&view.config) {
            for owned in &mut self.owned {
                owned.window.set_online_target(target);
            }
        }
    }

    /// Returns whether an owned upstream serves one of `models` or, if `service` is
    /// given, this service. Every engine matches an empty `models`.
    pub(crate) fn can_run(&self, models: &[ModelName], service: Option<&str>) -> bool {
        self.owned.iter().any(|owned| {
            !owned.is_retiring
                && match (&owned.kind, service) {
                    (UpstreamKind::Service { service: name }, Some(service)) => {
                        name.as_str() == service
                    }
                    (UpstreamKind::Engine { models: loaded }, None) => {
                        models.is_empty() || models.iter().any(|model| loaded.contains(model))
                    }
                    _ => false,
                }
        })
    }

    /// Returns the processes that own an upstream that serves one of `models` or, if
    /// `service` is given, this service. Every engine matches an empty `models`. The
    /// processes are sorted.
    pub(crate) fn capable_instances(
        &self,
        models: &[ModelName],
        service: Option<&str>,
    ) -> Vec<InstanceId> {
        let is_match = |capability: &Capability| match (capability, service) {
            (Capability::Service(name), Some(service)) => name.as_str() == service,
            (Capability::Model(model), None) => models.is_empty() || models.contains(model),
            _ => false,
        };
        let owners = self
            .owners
            .iter()
            .filter(|(capability, _)| is_match(capability));
        let mut capable_instances: Vec<_> = owners.map(|(_, owner)| owner.clone()).collect();
        capable_instances.sort_unstable();
        capable_instances.dedup();
        capable_instances
    }

    /// Returns what to start and what to cancel at the owned upstream with this index.
    pub(crate) fn plan(&mut self, index: usize, urgency: Urgency, now_us: u64) -> WindowPlan {
        let owned = &mut self.owned[index];
        owned.window.set_urgency(urgency);
        let mut plan = owned.window.tick(now_us);
        if let UpstreamKind::Service { .. } = owned.kind {
            let in_flight = u32::try_from(owned.items.len()).unwrap_or(u32::MAX);
            plan.start_items = SERVICE_CALLS_MAX.saturating_sub(in_flight);
            plan.cancel.clear();
        }
        if owned.is_retiring || now_us < owned.avoid_until_us {
            plan.start_items = 0;
        }
        plan
    }

    pub(crate) fn on_started(
        &mut self,
        index: usize,
        item: BatchItemId,
        prompt_tokens: u32,
        now_us: u64,
    ) {
        let owned = &mut self.owned[index];
        owned.items.push(item);
        owned.window.on_batch_started(item, prompt_tokens, now_us);
    }

    pub(crate) fn on_progress(&mut self, item: BatchItemId, now_us: u64) {
        if let Some(owned) = self.find_by_item(item) {
            owned.window.on_batch_token(item, now_us);
        }
    }

    /// Records that an attempt ended and returns the upstream at which it ran.
    pub(crate) fn on_ended(&mut self, item: BatchItemId, now_us: u64) -> Option<UpstreamId> {
        let owned = self.find_by_item(item)?;
        owned.window.on_batch_ended(item, now_us);
        owned.items.retain(|other| *other != item);
        Some(owned.upstream.clone())
    }

    /// Stops sending work for a while to the upstream that refused an item, and returns
    /// the upstream's liveness that follows from the kind of refusal.
    pub(crate) fn on_refused(
        &mut self,
        item: BatchItemId,
        kind: ErrorKind,
        now_us: u64,
    ) -> Option<(UpstreamId, Liveness)> {
        let (avoid_us, liveness) = match kind {
            ErrorKind::UpstreamLeaving => (AVOID_LEAVING_US, Liveness::Leaving),
            ErrorKind::ConnectRefused => (AVOID_UNREACHABLE_US, Liveness::Suspect),
            _ => return None,
        };
        let owned = self.find_by_item(item)?;
        owned.avoid_until_us = now_us + avoid_us;
        Some((owned.upstream.clone(), liveness))
    }

    pub(crate) fn on_notices(&mut self, notices: &[DispatchNotice], now_us: u64) {
        for notice in notices {
            let owned = self
                .owned
                .iter_mut()
                .find(|owned| owned.upstream == notice.upstream);
            if let Some(owned) = owned {
                owned.window.on_notice(notice, now_us);
            }
        }
    }

    fn add_owned(&mut self, entry: &UpstreamEntry) {
        let Ok(address) = entry.address.parse() else {
            log::warn!(
                "event=upstream_address_malformed upstream={} address={:?}",
                entry.id,
                entry.address
            );
            return;
        };
        match self
            .owned
            .binary_search_by(|owned| owned.upstream.cmp(&entry.id))
        {
            Ok(index) => {
                let owned = &mut self.owned[index];
                owned.is_retiring = false;
                owned.address = address;
                owned.kind = entry.kind.clone();
            }
            Err(index) => self.owned.insert(
                index,
                OwnedUpstream {
                    upstream: entry.id.clone(),
                    address,
                    kind: entry.kind.clone(),
                    window: BatchWindow::new(entry.id.clone()),
                    items: Vec::new(),
                    is_retiring: false,
                    avoid_until_us: 0,
                },
            ),
        }
    }

    fn find_by_item(&mut self, item: BatchItemId) -> Option<&mut OwnedUpstream> {
        self.owned
            .iter_mut()
            .find(|owned| owned.items.contains(&item))
    }
}

fn capabilities(entry: &UpstreamEntry) -> Vec<Capability> {
    match &entry.kind {
        UpstreamKind::Engine { models } => models.iter().cloned().map(Capability::Model).collect(),
        UpstreamKind::Service { service } => vec![Capability::Service(service.clone())],
    }
}

/// Returns the live batch processes and this one, sorted.
pub(crate) fn batch_peers(view: &View, instance: &InstanceId) -> Arc<[InstanceId]> {
    let live = view
        .instances
        .iter()
        .filter(|entry| entry.role == InstanceRole::Batch && entry.liveness == Liveness::Live);
    let mut peers: Vec<_> = live.map(|entry| entry.id.clone()).collect();
    if let Err(index) = peers.binary_search(instance) {
        peers.insert(index, instance.clone());
    }
    Arc::from(peers)
}

/// Returns the strictest target of all online classes, since any engine may get
/// requests of any class.
fn online_target(config: &FleetConfig) -> Option<OnlineTarget> {
    let targets = config
        .classes
        .iter()
        .filter_map(|class| match class.target {
            ClassTarget::Online {
                first_token_ms,
                between_tokens_ms,
                ..
            } => Some((first_token_ms, between_tokens_ms)),
            ClassTarget::Batch { .. } | ClassTarget::Service(_) => None,
        });
    let strictest = targets.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)));
    let to_us = |ms: u64| u32::try_from(ms.saturating_mul(US_PER_MS)).unwrap_or(u32::MAX);
    strictest.map(|(first_token_ms, between_tokens_ms)| OnlineTarget {
        first_token_us: to_us(first_token_ms),
        between_tokens_us: to_us(between_tokens_ms),
    })
}
