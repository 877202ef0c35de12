//! What an entry answers to its peers.

use std::{sync::Arc, time::Duration};

use model::ErrorKind;
use peer::{ChatUpdate, CoalesceRequest, PeerHandler, PeerRequest, PeerResponse};
use process::Refusal;

use crate::{chat, server::Shared};

/// Longest wait that a peer may ask for, milliseconds.
const WAIT_MAX_MS: u64 = 10_000;

/// Handler of peers' requests.
pub(crate) struct PeerService {
    pub(crate) shared: Arc<Shared>,
}

impl PeerHandler for PeerService {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Coalesce(request) => self.coalesce(request).await,
            _ => PeerResponse::Refused(ErrorKind::InvalidRequest),
        }
    }
}

impl PeerService {
    async fn coalesce(&self, request: CoalesceRequest) -> PeerResponse {
        let wait = Duration::from_millis(request.wait_ms.min(WAIT_MAX_MS));
        let after = usize::try_from(request.received_tokens).unwrap_or(usize::MAX);
        let mut reader = match self.reader(&request) {
            Ok(Some(reader)) => reader,
            Ok(None) => return PeerResponse::Refused(ErrorKind::NotFound),
            Err(refusal) => {
                return PeerResponse::Chat(ChatUpdate {
                    tokens: Vec::new(),
                    end: Some(chat::refused(refusal)),
                });
            }
        };
        let news = tokio::time::timeout(wait, reader.news(after)).await;
        PeerResponse::Chat(news.unwrap_or_default())
    }

    /// The run that the request asks for; started if it came with a body.
    fn reader(&self, request: &CoalesceRequest) -> Result<Option<chat::LogReader>, Refusal> {
        let Some(body) = &request.body else {
            return Ok(self.shared.coalescer.find(&request.key, request.digest));
        };
        let view = self.shared.view()?;
        let class = view.config.class(request.class.as_str()).ok_or_else(|| {
            let message = format!("There is no class {:?}.", request.class.as_str());
            Refusal::new(ErrorKind::UnknownClass, message)
        })?;
        let body = serde_json::from_str(body)
            .map_err(|error| Refusal::new(ErrorKind::InvalidRequest, error.to_string()))?;
        chat::join_here(&self.shared, &request.key, request.digest, body, class)
    }
}
