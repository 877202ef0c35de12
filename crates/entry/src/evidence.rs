//! Queue of direct evidence about upstreams, to be sent to the control program.

use std::sync::{Mutex, PoisonError};

use membership::UpstreamEvidence;
use model::{Liveness, UpstreamId};
use tokio::sync::Notify;

use crate::clock;

/// Evidence that has not been sent yet: the newest state of each upstream,
/// sorted by upstream.
#[derive(Debug, Default)]
pub(crate) struct EvidenceQueue {
    pending: Mutex<Vec<UpstreamEvidence>>,
    ready: Notify,
}

impl EvidenceQueue {
    /// Records the liveness that a direct contact with an upstream showed.
    pub(crate) fn push(&self, id: &UpstreamId, liveness: Liveness) {
        let evidence = UpstreamEvidence {
            id: id.clone(),
            liveness,
            seen_at_ms: clock::unix_ms(),
        };
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        match pending.binary_search_by(|other| other.id.cmp(id)) {
            Ok(index) => pending[index] = evidence,
            Err(index) => pending.insert(index, evidence),
        }
        self.ready.notify_one();
    }

    /// Removes and returns the pending evidence.
    pub(crate) fn take(&self) -> Vec<UpstreamEvidence> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut pending)
    }

    /// Resolves once evidence has been added since the last call.
    pub(crate) async fn ready(&self) {
        self.ready.notified().await;
    }
}
