//! Answers peers: other control programs and the programs on this instance.

use std::{sync::Arc, time::Duration};

use model::ErrorKind;
use peer::{PeerHandler, PeerRequest, PeerResponse};

use crate::{config_status, node::Node};

/// Longest wait that a caller may ask for.
const WAIT_MAX_MS: u64 = 30_000;

/// Handler of the peer protocol.
#[derive(Debug)]
pub(crate) struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// Waits for a view that the caller does not have. A view that this
    /// program cannot confirm is not handed out.
    async fn view_since(&self, revision: u64, wait_ms: u64) -> PeerResponse {
        // Notices a pause of this program before its view is handed out.
        self.node.tick();
        let mut published = self.node.published();
        let wait = Duration::from_millis(wait_ms.min(WAIT_MAX_MS));
        let changed =
            published.wait_for(|published| published.synced && published.view.revision != revision);
        // A timeout or a closed channel both leave the present state.
        let _ = tokio::time::timeout(wait, changed).await;
        let published = published.borrow();
        if published.synced {
            PeerResponse::View(Box::new((*published.view).clone()))
        } else {
            PeerResponse::Refused(ErrorKind::NotReady)
        }
    }
}

impl PeerHandler for PeerService {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Gossip(frame) => PeerResponse::Gossip(self.node.received(frame)),
            PeerRequest::ViewSince { revision, wait_ms } => {
                self.view_since(revision, wait_ms).await
            }
            PeerRequest::Register(entry) => {
                self.node.register(&entry);
                PeerResponse::Ack
            }
            PeerRequest::Evidence(evidence) => {
                self.node.evidence(&evidence);
                PeerResponse::Ack
            }
            PeerRequest::ConfigStatus { region_wide: false } => {
                PeerResponse::ConfigStatus(vec![self.node.status()])
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
