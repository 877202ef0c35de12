//! Resends of one chat request share one run.
//!
//! The home entry of an idempotency key keeps a log of the run's tokens. The
//! run goes on when its callers go away, so that a resend finds its answer.
//! Logs live in memory only: a chat request may be repeated, so that losing
//! one costs work and nothing else.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::ErrorKind;
use peer::{ChatEnd, ChatNews};
use process::Refusal;
use tokio::sync::watch;

use super::{
    execution::{ChatEvent, ChatExecution},
    source::refused_end,
};
use crate::{clock, refusal};

/// Logs kept at most.
const LOGS_MAX: usize = 4_096;
/// Text kept at most, bytes.
const TEXT_MAX_BYTES: usize = 16 << 20;
/// Time for which the log of an ended run is kept, microseconds.
const RETENTION_US: u64 = 600_000_000;

/// The logs of one entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct Coalescer {
    rows: Arc<Mutex<Vec<RunRow>>>,
}

/// One run, in the table sorted by key.
#[derive(Debug)]
struct RunRow {
    key: Arc<str>,
    digest: u128,
    log: watch::Receiver<TokenLog>,
    ended_at_us: Option<u64>,
    text_bytes: usize,
}

/// Tokens of one run and its end.
#[derive(Debug, Default)]
struct TokenLog {
    tokens: Vec<String>,
    end: Option<ChatEnd>,
}

/// Follows one run.
#[derive(Debug)]
pub(crate) struct TokenLogReader {
    log: watch::Receiver<TokenLog>,
}

/// What the table has under a key.
pub(crate) enum JoinResult {
    /// A run to follow.
    Running(TokenLogReader),
    /// Nothing; the caller of this function runs the request.
    Vacant(RunGuard),
    /// No room for another log.
    Full,
}

/// Obliges its holder to run a request; without a run the row disappears.
pub(crate) struct RunGuard {
    coalescer: Coalescer,
    key: Arc<str>,
    log: watch::Sender<TokenLog>,
    is_retained: bool,
}

impl Coalescer {
    /// Finds the run under `key` or makes room for one.
    pub(crate) fn join(&self, key: &Arc<str>, digest: u128) -> Result<JoinResult, Refusal> {
        let mut rows = self.rows();
        let found = rows.binary_search_by(|row| row.key.cmp(key));
        if let Ok(index) = found {
            return open_reader(&rows[index], digest).map(JoinResult::Running);
        }
        evict(&mut rows);
        if rows.len() >= LOGS_MAX {
            return Ok(JoinResult::Full);
        }
        let (log, receiver) = watch::channel(TokenLog::default());
        let row = RunRow {
            key: Arc::clone(key),
            digest,
            log: receiver,
            ended_at_us: None,
            text_bytes: 0,
        };
        let index = rows.partition_point(|row| row.key < *key);
        rows.insert(index, row);
        Ok(JoinResult::Vacant(RunGuard {
            coalescer: self.clone(),
            key: Arc::clone(key),
            log,
            is_retained: false,
        }))
    }

    /// Finds the run under `key`.
    pub(crate) fn find(&self, key: &Arc<str>, digest: u128) -> Option<TokenLogReader> {
        let rows = self.rows();
        let index = rows.binary_search_by(|row| row.key.cmp(key)).ok()?;
        open_reader(&rows[index], digest).ok()
    }

    fn rows(&self) -> MutexGuard<'_, Vec<RunRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunGuard {
    /// A reader of the run to come.
    pub(crate) fn reader(&self) -> TokenLogReader {
        TokenLogReader {
            log: self.log.subscribe(),
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self, mut execution: ChatExecution) {
        loop {
            let event = execution.next().await;
            let end = match event {
                Ok(ChatEvent::Text(text)) => {
                    self.log.send_modify(|log| log.tokens.push(text));
                    continue;
                }
                Ok(ChatEvent::End {
                    finish_reason,
                    usage,
                }) => {
                    self.is_retained = true;
                    ChatEnd::Finished {
                        finish_reason,
                        usage: usage.map(|usage| {
                            [
                                usage.prompt_tokens,
                                usage.completion_tokens,
                                usage.cached_tokens,
                            ]
                        }),
                    }
                }
                // A refusal is not kept: a resend is a new try.
                Err(refusal) => refused_end(refusal),
            };
            self.log.send_modify(|log| log.end = Some(end));
            return;
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut rows = self.coalescer.rows();
        let Ok(index) = rows.binary_search_by(|row| row.key.cmp(&self.key)) else {
            return;
        };
        if !self.is_retained {
            rows.remove(index);
            return;
        }
        rows[index].ended_at_us = Some(clock::now_us());
        rows[index].text_bytes = self.log.borrow().tokens.iter().map(String::len).sum();
    }
}

impl TokenLogReader {
    /// Waits for news after the first `after` tokens.
    pub(crate) async fn wait_for_update(&mut self, after: usize) -> ChatNews {
        let update = self
            .log
            .wait_for(|log| log.tokens.len() > after || log.end.is_some())
            .await;
        match update {
            Ok(log) => ChatNews {
                tokens: log.tokens.get(after..).unwrap_or_default().to_vec(),
                end: log.end.clone(),
            },
            // The run ended without a word, such as by a panic.
            Err(_) => ChatNews {
                tokens: Vec::new(),
                end: Some(refused_end(refusal::internal_error(
                    "The request's run ended.",
                ))),
            },
        }
    }
}

fn open_reader(row: &RunRow, digest: u128) -> Result<TokenLogReader, Refusal> {
    if row.digest != digest {
        let message = "This Idempotency-Key was used with another request.";
        return Err(Refusal::new(ErrorKind::IdempotencyConflict, message));
    }
    Ok(TokenLogReader {
        log: row.log.clone(),
    })
}

/// Drops the logs of runs that ended long ago, and the oldest ones beyond the
/// limits.
fn evict(rows: &mut Vec<RunRow>) {
    let now_us = clock::now_us();
    rows.retain(|row| {
        row.ended_at_us
            .is_none_or(|ended_at_us| now_us.saturating_sub(ended_at_us) < RETENTION_US)
    });
    let total_bytes = |rows: &[RunRow]| rows.iter().map(|row| row.text_bytes).sum::<usize>();
    while rows.len() >= LOGS_MAX || total_bytes(rows) > TEXT_MAX_BYTES {
        let oldest = rows
            .iter()
            .enumerate()
            .filter_map(|(index, row)| Some((row.ended_at_us?, index)))
            .min();
        let Some((_, index)) = oldest else {
            return;
        };
        rows.remove(index);
    }
}
