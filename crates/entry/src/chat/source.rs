//! Source of the events of a chat request: either an execution of its own, or the
//! run that all resends share at the home entry of their idempotency key.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use model::{Class, InstanceId, InstanceRole};
use peer::{ChatEnd, ChatUpdate, CoalesceRequest, PeerRequest, PeerResponse};
use process::Refusal;
use tokio::time::Instant;
use upstream::{ChatRequest, Usage};
use xxhash_rust::xxh3::xxh3_128;

use super::{
    coalesce::{JoinResult, TokenLogReader},
    execution::{ChatEvent, ChatExecution},
};
use crate::server::ServerState;

/// Maximum time for which the home entry delays its reply to a poll until there is
/// an update, in milliseconds.
const POLL_WAIT_MS: u64 = 5_000;
/// Time beyond [`POLL_WAIT_MS`] after which the home entry is considered lost, in
/// milliseconds.
const POLL_GRACE_MS: u64 = 1_000;

/// Source of the events of one chat request.
pub(crate) enum ChatSource {
    /// An execution for this request only.
    Direct(Box<ChatExecution>),
    /// A run that all resends of the request share.
    Coalesced(Box<RunFollower>),
}

/// Position of one caller in a shared run.
pub(crate) struct RunFollower {
    run: RunLocation,
    pending: VecDeque<String>,
    received: Vec<String>,
    end: Option<ChatEnd>,
}

enum RunLocation {
    Local(TokenLogReader),
    Remote(Box<RemoteRun>),
}

/// A run at another entry, the home entry of the key.
struct RemoteRun {
    state: Arc<ServerState>,
    home: String,
    query: CoalesceRequest,
    request: ChatRequest,
    class: Class,
}

impl ChatSource {
    /// Creates the source of a request without an idempotency key.
    pub(crate) fn direct(execution: ChatExecution) -> Self {
        Self::Direct(Box::new(execution))
    }

    /// Joins or starts the run under `key`, at the home entry of the key. If this
    /// entry is the home entry and its table is full, the request gets an
    /// execution of its own.
    pub(crate) fn coalesced(
        state: &Arc<ServerState>,
        key: Arc<str>,
        request: ChatRequest,
        class: &Class,
    ) -> Result<Self, Refusal> {
        let body = serde_json::to_string(&request).unwrap_or_default();
        let digest = xxh3_128(format!("{}\n{body}", class.name).as_bytes());
        if let Some(home) = remote_home_address(state, &key)? {
            let query = CoalesceRequest {
                key,
                digest,
                class: class.name.clone(),
                body: Some(body),
                received_tokens: 0,
                wait_ms: POLL_WAIT_MS,
            };
            let run = RemoteRun {
                state: Arc::clone(state),
                home,
                query,
                request,
                class: class.clone(),
            };
            return Ok(Self::follow(RunLocation::Remote(Box::new(run))));
        }
        match join_local_run(state, &key, digest, request.clone(), class)? {
            Some(reader) => Ok(Self::follow(RunLocation::Local(reader))),
            None => Ok(Self::direct(ChatExecution::new(
                Arc::clone(state),
                request,
                class,
            ))),
        }
    }

    /// Returns the next event. Must not be called after an error or the end.
    pub(crate) async fn next(&mut self) -> Result<ChatEvent, Refusal> {
        loop {
            let run = match self {
                Self::Direct(execution) => return execution.next().await,
                Self::Coalesced(run) => run,
            };
            if let Some(event) = run.take_event() {
                return event;
            }
            if let Err(execution) = run.fetch_update().await {
                *self = Self::Direct(execution);
            }
        }
    }

    fn follow(run: RunLocation) -> Self {
        Self::Coalesced(Box::new(RunFollower {
            run,
            pending: VecDeque::new(),
            received: Vec::new(),
            end: None,
        }))
    }
}

impl RunFollower {
    fn take_event(&mut self) -> Option<Result<ChatEvent, Refusal>> {
        if let Some(text) = self.pending.pop_front() {
            self.received.push(text.clone());
            return Some(Ok(ChatEvent::Text(text)));
        }
        self.end.take().map(ChatEvent::try_from)
    }

    /// Waits for an update of the run. If the home entry is lost, returns an
    /// execution that generates the rest of the answer here.
    async fn fetch_update(&mut self) -> Result<(), Box<ChatExecution>> {
        let after = self.received.len();
        let update = match &mut self.run {
            RunLocation::Local(reader) => reader.wait_for_update(after).await,
            RunLocation::Remote(remote) => match remote.poll(after).await {
                Some(update) => update,
                None => return Err(Box::new(remote.take_over(&self.received))),
            },
        };
        self.pending.extend(update.tokens);
        self.end = update.end;
        Ok(())
    }
}

impl RemoteRun {
    async fn poll(&mut self, after: usize) -> Option<ChatUpdate> {
        self.query.received_tokens = u32::try_from(after).unwrap_or(u32::MAX);
        let request = PeerRequest::Coalesce(self.query.clone());
        let deadline = Instant::now() + Duration::from_millis(POLL_WAIT_MS + POLL_GRACE_MS);
        let answer = self.state.peers.call(&self.home, &request, deadline).await;
        self.query.body = None;
        match answer {
            Ok(PeerResponse::Chat(update)) => Some(update),
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

    fn take_over(&self, received: &[String]) -> ChatExecution {
        let request = self.request.clone();
        ChatExecution::new(Arc::clone(&self.state), request, &self.class)
            .with_delivered(received.to_vec())
    }
}

/// Joins or starts a run at this entry; returns `None` if the table of runs is
/// full.
pub(crate) fn join_local_run(
    state: &Arc<ServerState>,
    key: &Arc<str>,
    digest: u128,
    request: ChatRequest,
    class: &Class,
) -> Result<Option<TokenLogReader>, Refusal> {
    match state.coalescer.join(key, digest)? {
        JoinResult::Running(reader) => Ok(Some(reader)),
        JoinResult::Full => Ok(None),
        JoinResult::Vacant(guard) => {
            let reader = guard.reader();
            let execution = ChatExecution::new(Arc::clone(state), request, class);
            state.tasks.spawn(guard.run(execution));
            Ok(Some(reader))
        }
    }
}

/// Returns the peer address of the key's home entry, or `None` if this entry is
/// the home entry or the key has none.
fn remote_home_address(state: &ServerState, key: &str) -> Result<Option<String>, Refusal> {
    let view = state.view()?;
    let home = membership::idempotency_key_home(&view, &state.region, key);
    let is_remote = |home: &InstanceId| *home != state.instance;
    Ok(home
        .filter(|home| home.role == InstanceRole::Entry && is_remote(&home.id))
        .map(|home| home.peer_address.clone()))
}

/// Converts a refusal into a message of the peer protocol.
pub(crate) fn refused_end(refusal: Refusal) -> ChatEnd {
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
                usage: usage.map(usage_from_counts),
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

fn usage_from_counts([prompt_tokens, completion_tokens, cached_tokens]: [u32; 3]) -> Usage {
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens + completion_tokens,
        cached_tokens,
    }
}
