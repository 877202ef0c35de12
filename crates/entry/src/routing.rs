//! Chooses upstreams: interim least-in-flight choice over the view.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use model::{Liveness, ModelName, UpstreamEntry, UpstreamId, View};

/// Counts work in flight and picks the upstream with the least.
#[derive(Debug, Default)]
pub(crate) struct Routing {
    in_flight: Mutex<BTreeMap<UpstreamId, u32>>,
}

impl Routing {
    /// Picks a live engine for `model` that is not in `excluded`.
    pub(crate) fn pick(
        self: &Arc<Self>,
        view: &View,
        model: &ModelName,
        excluded: &[UpstreamId],
    ) -> Option<Slot> {
        let mut in_flight = self.in_flight.lock().unwrap_or_else(PoisonError::into_inner);
        let upstream = view
            .upstreams
            .iter()
            .filter(|upstream| upstream.liveness == Liveness::Live)
            .filter(|upstream| upstream.serves_model(model) && !excluded.contains(&upstream.id))
            .min_by_key(|upstream| in_flight.get(&upstream.id).copied().unwrap_or(0))?;
        *in_flight.entry(upstream.id.clone()).or_default() += 1;
        Some(Slot {
            upstream: upstream.clone(),
            routing: Arc::clone(self),
        })
    }
}

/// One request in flight at an upstream; ends when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    /// The upstream.
    pub(crate) upstream: UpstreamEntry,
    routing: Arc<Routing>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut in_flight = self
            .routing
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = in_flight.get_mut(&self.upstream.id) {
            *count -= 1;
        }
    }
}
