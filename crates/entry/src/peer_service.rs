//! Handles the requests of peers. Other entries follow the chat runs under
//! idempotency keys whose home entry is this one.

use std::{sync::Arc, time::Duration};

use model::ErrorKind;
use peer::{ChatUpdate, CoalesceRequest, PeerHandler, PeerRequest, PeerResponse};
use process::Refusal;

use crate::{chat, server::ServerState};

/// Maximum wait that a peer may request, in milliseconds.
const WAIT_MAX_MS: u64 = 10_000;

/// Handler of requests of peers.
pub(crate) struct PeerService {
    pub(crate) state: Arc<ServerState>,
}

impl PeerHandler for PeerService {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Coalesce(request) => self.follow_run(request).await,
            _ => PeerResponse::Refused(ErrorKind::InvalidRequest),
        }
    }
}

impl PeerService {
    async fn follow_run(&self, request: CoalesceRequest) -> PeerResponse {
        let wait = Duration::from_millis(request.wait_ms.min(WAIT_MAX_MS));
        let after = usize::try_from(request.received_tokens).unwrap_or(usize::MAX);
        let mut reader = match self.find_or_start_run(&request) {
            Ok(Some(reader)) => reader,
            Ok(None) => return PeerResponse::Refused(ErrorKind::NotFound),
            Err(refusal) => {
                return PeerResponse::Chat(ChatUpdate {
                    tokens: Vec::new(),
                    end: Some(chat::refused_end(refusal)),
                });
            }
        };
        let update = tokio::time::timeout(wait, reader.wait_for_update(after)).await;
        PeerResponse::Chat(update.unwrap_or_default())
    }

    /// Returns a reader of the run that `request` names. Starts the run if there
    /// is none and the request has a body; returns `None` if there is no run.
    fn find_or_start_run(
        &self,
        request: &CoalesceRequest,
    ) -> Result<Option<chat::TokenLogReader>, Refusal> {
        let Some(body) = &request.body else {
            return Ok(self.state.coalescer.find(&request.key, request.digest));
        };
        let view = self.state.view()?;
        let class = view.config.class(request.class.as_str()).ok_or_else(|| {
            let message = format!("There is no class {:?}.", request.class.as_str());
            Refusal::new(ErrorKind::UnknownClass, message)
        })?;
        let body = serde_json::from_str(body)
            .map_err(|error| Refusal::new(ErrorKind::InvalidRequest, error.to_string()))?;
        chat::join_local_run(&self.state, &request.key, request.digest, body, class)
    }
}
