//! Handles requests of peers: other control programs and the programs on this
//! instance.

use std::{sync::Arc, time::Duration};

use model::ErrorKind;
use peer::{PeerHandler, PeerRequest, PeerResponse};

use crate::{config_status, node::Node};

/// Maximum time, in milliseconds, that a caller may wait for a new view.
const MAX_WAIT_MS: u64 = 30_000;

/// Handler of the peer protocol.
#[derive(Debug)]
pub(crate) struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// Waits until there is a view with another revision than the caller's and
    /// returns it, or the current view after `wait_ms`. A view that this program
    /// cannot confirm is not returned.
    async fn view_since(&self, revision: u64, wait_ms: u64) -> PeerResponse {
        // The core must detect a pause of this program before the view is
        // returned, because the view may be stale after a pause.
        self.node.tick();
        let mut published = self.node.subscribe();
        let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let changed = published
            .wait_for(|published| published.is_synced && published.view.revision != revision);
        // After a time-out or when the channel is closed, the current state is
        // returned.
        let _ = tokio::time::timeout(wait, changed).await;
        let published = published.borrow();
        if published.is_synced {
            PeerResponse::View(Box::new((*published.view).clone()))
        } else {
            PeerResponse::Refused(ErrorKind::NotReady)
        }
    }
}

impl PeerHandler for PeerService {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Gossip(frame) => PeerResponse::Gossip(self.node.on_gossip(frame)),
            PeerRequest::ViewSince { revision, wait_ms } => {
                self.view_since(revision, wait_ms).await
            }
            PeerRequest::Register(entry) => {
                self.node.register_program(&entry);
                PeerResponse::Ack
            }
            PeerRequest::Evidence(evidence) => {
                self.node.on_evidence(&evidence);
                PeerResponse::Ack
            }
            PeerRequest::ConfigStatus { region_wide: false } => {
                PeerResponse::ConfigStatus(vec![self.node.config_status()])
            }
            PeerRequest::ConfigStatus { region_wide: true } => {
                PeerResponse::ConfigStatus(config_status::region_status(&self.node).await)
            }
            PeerRequest::Notices(_) | PeerRequest::CancelJob(_) | PeerRequest::Coalesce { .. } => {
                PeerResponse::Refused(ErrorKind::InvalidRequest)
            }
        }
    }
}
