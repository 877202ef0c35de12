//! Resends of one chat request share one run.
//!
//! The home entry of an idempotency key keeps a log of the run's tokens. The
//! run goes on when its callers go away, so that a resend finds its answer.
//! Logs live in memory only: a chat request may be repeated, so that losing
//! one costs work and nothing else.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::ErrorKind;
use peer::{ChatEnd, ChatUpdate};
use process::Refusal;
use tokio::sync::watch;

use super::{
    flow::{ChatEvent, ChatFlow},
    source::refused,
};
use crate::{clock, refusal};

/// Logs kept at most.
const LOGS_MAX: usize = 4_096;
/// Text kept at most, bytes.
const TEXT_MAX_BYTES: usize = 16 << 20;
/// Time for which the log of an ended run is kept, microseconds.
const KEEP_US: u64 = 600_000_000;

/// The logs of one entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct Coalescer {
    rows: Arc<Mutex<Vec<Row>>>,
}

/// One run, in the table sorted by key.
#[derive(Debug)]
struct Row {
    key: Arc<str>,
    digest: u128,
    log: watch::Receiver<Log>,
    ended_at_us: Option<u64>,
    text_bytes: usize,
}

/// Tokens of one run and its end.
#[derive(Debug, Default)]
struct Log {
    tokens: Vec<String>,
    end: Option<ChatEnd>,
}

/// Follows one run.
#[derive(Debug)]
pub(crate) struct LogReader {
    log: watch::Receiver<Log>,
}

/// What the table has under a key.
pub(crate) enum Joined {
    /// A run to follow.
    Running(LogReader),
    /// Nothing; the caller of this function runs the request.
    Vacant(RunGuard),
    /// No room for another log.
    Full,
}

/// Obliges its holder to run a request; without a run the row disappears.
pub(crate) struct RunGuard {
    coalescer: Coalescer,
    key: Arc<str>,
    log: watch::Sender<Log>,
    is_kept: bool,
}

impl Coalescer {
    /// Finds the run under `key` or makes room for one.
    pub(crate) fn join(&self, key: &Arc<str>, digest: u128) -> Result<Joined, Refusal> {
        let mut rows = self.rows();
        let found = rows.binary_search_by(|row| row.key.cmp(key));
        if let Ok(index) = found {
            return reader(&rows[index], digest).map(Joined::Running);
        }
        evict(&mut rows);
        if rows.len() >= LOGS_MAX {
            return Ok(Joined::Full);
        }
        let (log, receiver) = watch::channel(Log::default());
        let row = Row {
            key: Arc::clone(key),
            digest,
            log: receiver,
            ended_at_us: None,
            text_bytes: 0,
        };
        let index = rows.partition_point(|row| row.key < *key);
        rows.insert(index, row);
        Ok(Joined::Vacant(RunGuard {
            coalescer: self.clone(),
            key: Arc::clone(key),
            log,
            is_kept: false,
        }))
    }

    /// Finds the run under `key`.
    pub(crate) fn find(&self, key: &Arc<str>, digest: u128) -> Option<LogReader> {
        let rows = self.rows();
        let index = rows.binary_search_by(|row| row.key.cmp(key)).ok()?;
        reader(&rows[index], digest).ok()
    }

    fn rows(&self) -> MutexGuard<'_, Vec<Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunGuard {
    /// A reader of the run to come.
    pub(crate) fn reader(&self) -> LogReader {
        LogReader {
            log: self.log.subscribe(),
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self, mut flow: ChatFlow) {
        loop {
            let event = flow.next().await;
            let end = match event {
                Ok(ChatEvent::Text(text)) => {
                    self.log.send_modify(|log| log.tokens.push(text));
                    continue;
                }
                Ok(ChatEvent::End {
                    finish_reason,
                    usage,
                }) => {
                    self.is_kept = true;
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
                Err(refusal) => refused(refusal),
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
        if !self.is_kept {
            rows.remove(index);
            return;
        }
        rows[index].ended_at_us = Some(clock::now_us());
        rows[index].text_bytes = self.log.borrow().tokens.iter().map(String::len).sum();
    }
}

impl LogReader {
    /// Waits for news after the first `after` tokens.
    pub(crate) async fn news(&mut self, after: usize) -> ChatUpdate {
        let news = self
            .log
            .wait_for(|log| log.tokens.len() > after || log.end.is_some())
            .await;
        match news {
            Ok(log) => ChatUpdate {
                tokens: log.tokens.get(after..).unwrap_or_default().to_vec(),
                end: log.end.clone(),
            },
            // The run ended without a word, such as by a panic.
            Err(_) => ChatUpdate {
                tokens: Vec::new(),
                end: Some(refused(refusal::internal("The request's run ended."))),
            },
        }
    }
}

fn reader(row: &Row, digest: u128) -> Result<LogReader, Refusal> {
    if row.digest != digest {
        let message = "This Idempotency-Key was used with another request.";
        return Err(Refusal::new(ErrorKind::IdempotencyConflict, message));
    }
    Ok(LogReader {
        log: row.log.clone(),
    })
}

/// Drops the logs of runs that ended long ago, and the oldest ones beyond the
/// limits.
fn evict(rows: &mut Vec<Row>) {
    let now_us = clock::now_us();
    rows.retain(|row| {
        row.ended_at_us
            .is_none_or(|ended_at_us| now_us.saturating_sub(ended_at_us) < KEEP_US)
    });
    let total_bytes = |rows: &[Row]| rows.iter().map(|row| row.text_bytes).sum::<usize>();
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
