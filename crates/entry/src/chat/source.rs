//! Where the events of a chat request come from: a run of its own, or the run
//! that its resends share at the home entry of their key.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use model::{Class, InstanceId, InstanceRole};
use peer::{ChatEnd, ChatUpdate, CoalesceRequest, PeerRequest, PeerResponse};
use process::Refusal;
use tokio::time::Instant;
use upstream::{ChatRequest, Usage};
use xxhash_rust::xxh3::xxh3_128;

use super::{
    coalesce::{Joined, LogReader},
    flow::{ChatEvent, ChatFlow},
};
use crate::server::Shared;

/// Longest wait of the home entry before it answers without news.
const POLL_WAIT_MS: u64 = 5_000;
/// Time beyond the wait after which the home entry is given up.
const POLL_GRACE_MS: u64 = 1_000;

/// Events of one chat request.
pub(crate) enum ChatSource {
    /// A run of its own.
    Own(Box<ChatFlow>),
    /// A run that is shared.
    Shared(Box<SharedRun>),
}

/// A run that is shared, as one caller sees it.
pub(crate) struct SharedRun {
    run: RunPlace,
    pending: VecDeque<String>,
    received: Vec<String>,
    end: Option<ChatEnd>,
}

enum RunPlace {
    Here(LogReader),
    At(Box<RemoteRun>),
}

/// A run at another entry.
struct RemoteRun {
    shared: Arc<Shared>,
    home: String,
    query: CoalesceRequest,
    request: ChatRequest,
    class: Class,
}

impl ChatSource {
    /// A request without an idempotency key.
    pub(crate) fn own(flow: ChatFlow) -> Self {
        Self::Own(Box::new(flow))
    }

    /// Joins or starts the run under `key`, here or at the key's home.
    pub(crate) fn coalesced(
        shared: &Arc<Shared>,
        key: Arc<str>,
        request: ChatRequest,
        class: &Class,
    ) -> Result<Self, Refusal> {
        let body = serde_json::to_string(&request).unwrap_or_default();
        let digest = xxh3_128(format!("{}\n{body}", class.name).as_bytes());
        if let Some(home) = remote_home(shared, &key)? {
            let query = CoalesceRequest {
                key,
                digest,
                class: class.name.clone(),
                body: Some(body),
                received_tokens: 0,
                wait_ms: POLL_WAIT_MS,
            };
            let run = RemoteRun {
                shared: Arc::clone(shared),
                home,
                query,
                request,
                class: class.clone(),
            };
            return Ok(Self::shared(RunPlace::At(Box::new(run))));
        }
        match join_here(shared, &key, digest, request.clone(), class)? {
            Some(reader) => Ok(Self::shared(RunPlace::Here(reader))),
            None => Ok(Self::own(ChatFlow::new(Arc::clone(shared), request, class))),
        }
    }

    /// The next event. After an error or the end there is none.
    pub(crate) async fn next(&mut self) -> Result<ChatEvent, Refusal> {
        loop {
            let run = match self {
                Self::Own(flow) => return flow.next().await,
                Self::Shared(run) => run,
            };
            if let Some(event) = run.take() {
                return event;
            }
            if let Err(flow) = run.fetch().await {
                *self = Self::Own(flow);
            }
        }
    }

    fn shared(run: RunPlace) -> Self {
        Self::Shared(Box::new(SharedRun {
            run,
            pending: VecDeque::new(),
            received: Vec::new(),
            end: None,
        }))
    }
}

impl SharedRun {
    fn take(&mut self) -> Option<Result<ChatEvent, Refusal>> {
        if let Some(text) = self.pending.pop_front() {
            self.received.push(text.clone());
            return Some(Ok(ChatEvent::Text(text)));
        }
        self.end.take().map(ChatEvent::try_from)
    }

    /// Waits for news. If the home entry is lost, returns a run of our own for
    /// the rest of the answer.
    async fn fetch(&mut self) -> Result<(), Box<ChatFlow>> {
        let after = self.received.len();
        let news = match &mut self.run {
            RunPlace::Here(reader) => reader.news(after).await,
            RunPlace::At(remote) => match remote.poll(after).await {
                Some(news) => news,
                None => return Err(Box::new(remote.take_over(&self.received))),
            },
        };
        self.pending.extend(news.tokens);
        self.end = news.end;
        Ok(())
    }
}

impl RemoteRun {
    async fn poll(&mut self, after: usize) -> Option<ChatUpdate> {
        self.query.received_tokens = u32::try_from(after).unwrap_or(u32::MAX);
        let request = PeerRequest::Coalesce(self.query.clone());
        let deadline = Instant::now() + Duration::from_millis(POLL_WAIT_MS + POLL_GRACE_MS);
        let answer = self.shared.peers.call(&self.home, &request, deadline).await;
        self.query.body = None;
        match answer {
            Ok(PeerResponse::Chat(news)) => Some(news),
            Ok(other) => {
                log::warn!("event=home_refused peer={} answer={other:?}", self.home);
                None
            }
            Err(error) => {
                log::warn!(
                    "event=home_lost peer={} error={}",
                    self.home,
                    process::quote(&error)
                );
                None
            }
        }
    }

    fn take_over(&self, received: &[String]) -> ChatFlow {
        let request = self.request.clone();
        ChatFlow::new(Arc::clone(&self.shared), request, &self.class)
            .with_delivered(received.to_vec())
    }
}

/// Joins or starts a run at this entry; `None` if there is no room for it.
pub(crate) fn join_here(
    shared: &Arc<Shared>,
    key: &Arc<str>,
    digest: u128,
    request: ChatRequest,
    class: &Class,
) -> Result<Option<LogReader>, Refusal> {
    match shared.coalescer.join(key, digest)? {
        Joined::Running(reader) => Ok(Some(reader)),
        Joined::Full => Ok(None),
        Joined::Vacant(guard) => {
            let reader = guard.reader();
            let flow = ChatFlow::new(Arc::clone(shared), request, class);
            shared.tasks.spawn(guard.run(flow));
            Ok(Some(reader))
        }
    }
}

/// Peer address of the key's home entry, unless that is this entry.
fn remote_home(shared: &Shared, key: &str) -> Result<Option<String>, Refusal> {
    let view = shared.view()?;
    let home = membership::idempotency_key_home(&view, &shared.region, key);
    let is_remote = |home: &InstanceId| *home != shared.instance;
    Ok(home
        .filter(|home| home.role == InstanceRole::Entry && is_remote(&home.id))
        .map(|home| home.peer_address.clone()))
}

/// A refusal as the peer protocol carries it.
pub(crate) fn refused(refusal: Refusal) -> ChatEnd {
    ChatEnd::Refused {
        kind: refusal.kind,
        ran: refusal.ran(),
        retry_after_s: refusal.retry_after_s(),
        message: refusal.message,
    }
}

impl TryFrom<ChatEnd> for ChatEvent {
    type Error = Refusal;

    fn try_from(end: ChatEnd) -> Result<Self, Refusal> {
        match end {
            ChatEnd::Finished {
                finish_reason,
                usage,
            } => Ok(Self::End {
                finish_reason,
                usage: usage.map(usage_of),
            }),
            ChatEnd::Refused {
                kind,
                message,
                ran,
                retry_after_s,
            } => {
                let refusal = Refusal::new(kind, message).with_ran(ran);
                Err(match retry_after_s {
                    Some(seconds) => refusal.with_retry(model::RetryAdvice::AfterS(seconds)),
                    None => refusal,
                })
            }
        }
    }
}

fn usage_of([prompt_tokens, completion_tokens, cached_tokens]: [u32; 3]) -> Usage {
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens + completion_tokens,
        cached_tokens,
    }
}
