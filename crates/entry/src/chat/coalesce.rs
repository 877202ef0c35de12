//! Coalesces resends of a chat request into one run.
//!
//! The home entry of an idempotency key keeps a log of the run's tokens. The
//! run continues when its callers disconnect, so that a resend gets its answer.
//! Logs are kept in memory only: a chat request may safely run twice, so losing
//! a log only costs the work of another run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::ErrorKind;
use peer::{ChatEnd, ChatUpdate};
use process::Refusal;
use tokio::sync::watch;

use super::{
    execution::{ChatEvent, ChatExecution},
    source::refused_end,
};
use crate::{clock, refusal};

/// Maximum number of logs.
const LOGS_MAX: usize = 4_096;
/// Maximum size of the text in the logs of ended runs, in bytes.
const TEXT_MAX_BYTES: usize = 16 << 20;
/// Time for which the log of an ended run is retained, in microseconds.
const RETENTION_US: u64 = 600_000_000;

/// Table of the runs at one entry and their logs, sorted by key.
#[derive(Debug, Clone, Default)]
pub(crate) struct Coalescer {
    rows: Arc<Mutex<Vec<RunRow>>>,
}

/// One run in the table.
#[derive(Debug)]
struct RunRow {
    key: Arc<str>,
    digest: u128,
    log: watch::Receiver<TokenLog>,
    ended_at_us: Option<u64>,
    text_bytes: usize,
}

/// Tokens of one run, and its end once it has ended.
#[derive(Debug, Default)]
struct TokenLog {
    tokens: Vec<String>,
    end: Option<ChatEnd>,
}

/// Reads the log of one run.
#[derive(Debug)]
pub(crate) struct TokenLogReader {
    log: watch::Receiver<TokenLog>,
}

/// Result of [`Coalescer::join`].
pub(crate) enum JoinResult {
    /// The key has a run, which the reader follows.
    Running(TokenLogReader),
    /// The key has no run; the guard reserves its row, and `RunGuard::run` executes
    /// the request.
    Vacant(RunGuard),
    /// The table is full.
    Full,
}

/// Reserves the row of a run until the run ends. Dropping the guard removes the
/// row unless the run has finished.
pub(crate) struct RunGuard {
    coalescer: Coalescer,
    key: Arc<str>,
    log: watch::Sender<TokenLog>,
    is_retained: bool,
}

impl Coalescer {
    /// Returns a reader of the run under `key`, or reserves a row for a new run.
    /// Refuses a request whose `digest` differs from that of the run.
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

    /// Returns a reader of the run under `key`, if there is one with this
    /// `digest`.
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
    /// Returns a reader of the run that the guard will execute.
    pub(crate) fn reader(&self) -> TokenLogReader {
        TokenLogReader {
            log: self.log.subscribe(),
        }
    }

    /// Executes the request to its end and logs its tokens.
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
                // A refusal is not retained: a resend runs the request again.
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
    /// Waits for tokens after the first `after` ones, or for the end of the run.
    pub(crate) async fn wait_for_update(&mut self, after: usize) -> ChatUpdate {
        let update = self
            .log
            .wait_for(|log| log.tokens.len() > after || log.end.is_some())
            .await;
        match update {
            Ok(log) => ChatUpdate {
                tokens: log.tokens.get(after..).unwrap_or_default().to_vec(),
                end: log.end.clone(),
            },
            // The run ended without an outcome, for example by a panic.
            Err(_) => ChatUpdate {
                tokens: Vec::new(),
                end: Some(refused_end(refusal::internal_error(
                    "The request's run ended without an outcome.",
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

/// Evicts the logs of runs that ended longer ago than the retention period, and the
/// oldest logs beyond the limits on number and size.
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
