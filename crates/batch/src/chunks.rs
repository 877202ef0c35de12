//! Held chunks: reading their items, watching their jobs, writing their rows.

use jobs::{HeldChunk, OpenJob, renewal_due_ms};

use crate::{
    claims,
    event::{Event, WriteKind},
    held::Held,
    schedule::service_of,
    worker::Worker,
    writes,
};

/// Calls of a service that may not repeat announced by one write.
const INTENTS_MAX: usize = 16;

impl Worker {
    /// Adds a chunk that was claimed.
    pub(crate) fn hold(&mut self, chunk: HeldChunk, open: &OpenJob, is_alone: bool, now_ms: u64) {
        self.last_id += 1;
        self.schedule.is_draining = false;
        self.watch_list.watch(
            &chunk.job,
            chunk_leased_at_ms(&chunk, self.context.lease_ms),
        );
        self.held.push(Held {
            id: self.last_id,
            open_key: open.key.clone(),
            endpoint: open.row.endpoint.clone(),
            models: open.row.models.clone(),
            deadline_ms: open.row.deadline_ms,
            is_repeatable: self.is_repeatable(&open.row.endpoint),
            is_alone,
            run: None,
            is_loading: false,
            load_at_ms: now_ms,
            line_bytes: 0,
            leased_at_ms: chunk_leased_at_ms(&chunk, self.context.lease_ms),
            recorded: 0,
            write: None,
            running: Vec::new(),
            warmed: Vec::new(),
            chunk,
        });
    }

    /// Reads the items of chunks that have none yet.
    pub(crate) fn load_chunks(&mut self, now_ms: u64) {
        let context = self.context.clone();
        let mut loads = Vec::new();
        for held in &mut self.held {
            if held.run.is_none() && !held.is_loading && held.load_at_ms <= now_ms {
                held.is_loading = true;
                loads.push((
                    held.id,
                    held.chunk.clone(),
                    held.endpoint.clone(),
                    held.is_repeatable,
                ));
            }
        }
        for (id, chunk, endpoint, is_repeatable) in loads {
            let context = context.clone();
            self.spawn(async move {
                let result = claims::load(&context, &chunk, &endpoint, is_repeatable).await;
                Event::Loaded { held: id, result }
            });
        }
    }

    /// Checks whether the jobs of held chunks are still open.
    pub(crate) fn check_jobs(&mut self, now_ms: u64) {
        let held = &self.held;
        self.watch_list
            .retain(|job| held.iter().any(|held| held.chunk.job == *job));
        for job in self.watch_list.take_due(now_ms) {
            let context = self.context.clone();
            let version = self.held.iter().find(|held| held.chunk.job == job);
            let version = version.map(|held| held.chunk.job_version);
            self.spawn(async move {
                let row = context.store.job(&job).await;
                let result = row.map(|row| row.map(|(version, _)| version) == version);
                Event::JobChecked {
                    job,
                    began_at_ms: now_ms,
                    result,
                }
            });
        }
    }

    /// Commits complete chunks, renews leases and hands chunks back.
    pub(crate) fn write_chunks(&mut self, now_ms: u64) {
        for index in 0..self.held.len() {
            let held = &self.held[index];
            if held.write.is_some() {
                continue;
            }
            let due_ms = renewal_due_ms(held.leased_at_ms, self.context.lease_ms);
            if held.is_complete() {
                self.commit(index);
            } else if held.running.is_empty() && (self.is_stopping() || self.is_stranded(held)) {
                self.hand_back(index);
            } else if due_ms <= now_ms || self.needs_intents(index, now_ms) {
                self.renew(index, now_ms);
            }
        }
    }

    /// Whether no owned upstream can run what is left of a chunk, such as after
    /// another process joined and owns the upstream now.
    fn is_stranded(&self, held: &Held) -> bool {
        let service = service_of(&held.endpoint);
        held.waiting() > 0 && !self.windows.can_run(&held.models, service)
    }

    fn needs_intents(&self, index: usize, now_ms: u64) -> bool {
        !self.is_stopping() && !self.missing_intents(index, now_ms).is_empty()
    }

    fn missing_intents(&self, index: usize, now_ms: u64) -> Vec<u32> {
        let held = &self.held[index];
        let Some(run) = &held.run else {
            return Vec::new();
        };
        if !held.running.is_empty() || !self.may_start(held, now_ms) {
            return Vec::new();
        }
        run.missing_intents(&held.chunk.row, now_ms, INTENTS_MAX)
    }

    fn renew(&mut self, index: usize, now_ms: u64) {
        let intents = if self.is_stopping() {
            Vec::new()
        } else {
            self.missing_intents(index, now_ms)
        };
        let lease_until_ms = now_ms + self.context.lease_ms;
        self.held[index].leased_at_ms = now_ms;
        self.record_progress(index, &intents, Some(lease_until_ms));
    }

    fn hand_back(&mut self, index: usize) {
        self.record_progress(index, &[], None);
    }

    fn record_progress(&mut self, index: usize, intents: &[u32], lease_until_ms: Option<u64>) {
        let held = &mut self.held[index];
        let row = &held.chunk.row;
        let progress = match &held.run {
            // Nothing runs, and what ran has its record in the partial result.
            Some(run) if lease_until_ms.is_none() => jobs::ChunkProgress {
                intents: Vec::new(),
                ..run.progress(row, intents)
            },
            Some(run) => run.progress(row, intents),
            None => jobs::ChunkProgress {
                attempts: row.attempts.clone(),
                intents: row.intents.clone(),
                partial: row.partial.clone(),
            },
        };
        let count = held.record_count();
        let records = if count > held.recorded {
            held.records()
        } else {
            Vec::new()
        };
        let kind = match lease_until_ms {
            Some(_) => WriteKind::Renew { records: count },
            None => WriteKind::HandBack,
        };
        held.write = Some(kind);
        let id = held.id;
        let chunk = held.chunk.clone();
        let open_key = held.open_key.clone();
        let context = self.context.clone();
        self.spawn(async move {
            let (write, verdict) =
                writes::record_progress(&context, &chunk, progress, records, lease_until_ms).await;
            if kind == WriteKind::HandBack {
                writes::note_release(&context, &open_key, &chunk).await;
            }
            Event::Written {
                held: id,
                kind,
                write: Box::new(write),
                verdict,
            }
        });
    }

    fn commit(&mut self, index: usize) {
        let held = &mut self.held[index];
        held.write = Some(WriteKind::Commit);
        let id = held.id;
        let chunk = held.chunk.clone();
        let records = held.records();
        let context = self.context.clone();
        self.spawn(async move {
            let (write, verdict) = writes::commit(&context, &chunk, records).await;
            Event::Written {
                held: id,
                kind: WriteKind::Commit,
                write: Box::new(write),
                verdict,
            }
        });
    }
}

/// Time at which the lease of a chunk just claimed began.
fn chunk_leased_at_ms(chunk: &HeldChunk, lease_ms: u64) -> u64 {
    match &chunk.row.state {
        jobs::ChunkState::Held { lease_until_ms, .. } => lease_until_ms.saturating_sub(lease_ms),
        _ => 0,
    }
}
