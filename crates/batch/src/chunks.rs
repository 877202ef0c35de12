//! Reads the items of held chunks, checks that their jobs are open and writes their
//! rows.

use jobs::{HeldChunk, OpenJob, renewal_due_ms};

use crate::{
    claims,
    event::{Event, WriteKind},
    held::ChunkExecution,
    schedule::service_of,
    worker::Worker,
    writes,
};

/// Maximum number of intents that one write records. An intent is written before an
/// item is sent to a service that is not idempotent.
const INTENTS_MAX: usize = 16;

impl Worker {
    /// Adds a claimed chunk to the held chunks.
    pub(crate) fn add_chunk(
        &mut self,
        chunk: HeldChunk,
        open: &OpenJob,
        is_exclusive: bool,
        now_ms: u64,
    ) {
        self.last_id += 1;
        self.schedule.is_draining = false;
        self.watch_list.watch(
            &chunk.job,
            chunk_leased_at_ms(&chunk, self.context.lease_ms),
        );
        self.held_chunks.push(ChunkExecution {
            id: self.last_id,
            open_key: open.key.clone(),
            endpoint: open.row.endpoint.clone(),
            models: open.row.models.clone(),
            deadline_ms: open.row.deadline_ms,
            is_idempotent: self.is_idempotent(&open.row.endpoint),
            is_exclusive,
            run: None,
            is_loading: false,
            next_load_ms: now_ms,
            line_bytes: 0,
            leased_at_ms: chunk_leased_at_ms(&chunk, self.context.lease_ms),
            saved_records: 0,
            write: None,
            running_attempts: Vec::new(),
            cached_prefixes: Vec::new(),
            chunk,
        });
    }

    /// Starts reading the items of chunks whose items are not loaded.
    pub(crate) fn load_chunks(&mut self, now_ms: u64) {
        let context = self.context.clone();
        let mut loads = Vec::new();
        for execution in &mut self.held_chunks {
            if execution.run.is_none() && !execution.is_loading && execution.next_load_ms <= now_ms
            {
                execution.is_loading = true;
                loads.push((
                    execution.id,
                    execution.chunk.clone(),
                    execution.endpoint.clone(),
                    execution.is_idempotent,
                ));
            }
        }
        for (id, chunk, endpoint, is_idempotent) in loads {
            let context = context.clone();
            self.spawn(async move {
                let result = claims::load_chunk(&context, &chunk, &endpoint, is_idempotent).await;
                Event::ChunkLoaded {
                    execution: id,
                    result,
                }
            });
        }
    }

    /// Starts the due checks of whether the jobs of held chunks are still open.
    pub(crate) fn check_jobs(&mut self, now_ms: u64) {
        let held_chunks = &self.held_chunks;
        self.watch_list
            .retain(|job| held_chunks.iter().any(|held| held.chunk.job == *job));
        for job in self.watch_list.take_due(now_ms) {
            let context = self.context.clone();
            let version = self
                .held_chunks
                .iter()
                .find(|execution| execution.chunk.job == job);
            let version = version.map(|execution| execution.chunk.job_version);
            self.spawn(async move {
                let row = context.store.job(&job).await;
                let result = row.map(|row| row.map(|(version, _)| version) == version);
                Event::JobChecked {
                    job,
                    started_at_ms: now_ms,
                    result,
                }
            });
        }
    }

    /// Commits complete chunks, renews leases and releases chunks that this process
    /// cannot finish.
    pub(crate) fn write_chunks(&mut self, now_ms: u64) {
        for index in 0..self.held_chunks.len() {
            let execution = &self.held_chunks[index];
            if execution.write.is_some() {
                continue;
            }
            let due_ms = renewal_due_ms(execution.leased_at_ms, self.context.lease_ms);
            if execution.is_complete() {
                self.commit(index);
            } else if execution.running_attempts.is_empty()
                && (self.is_stopping() || self.lacks_capable_upstream(execution))
            {
                self.release_chunk(index);
            } else if due_ms <= now_ms || self.needs_intents(index, now_ms) {
                self.renew(index, now_ms);
            }
        }
    }

    /// Returns whether no owned upstream can run the waiting items of a chunk, for
    /// example because a process that joined now owns the upstream.
    fn lacks_capable_upstream(&self, execution: &ChunkExecution) -> bool {
        let service = service_of(&execution.endpoint);
        execution.waiting_count() > 0 && !self.windows.can_run(&execution.models, service)
    }

    fn needs_intents(&self, index: usize, now_ms: u64) -> bool {
        !self.is_stopping() && !self.missing_intents(index, now_ms).is_empty()
    }

    fn missing_intents(&self, index: usize, now_ms: u64) -> Vec<u32> {
        let execution = &self.held_chunks[index];
        let Some(run) = &execution.run else {
            return Vec::new();
        };
        if !execution.running_attempts.is_empty() || !self.may_start(execution, now_ms) {
            return Vec::new();
        }
        run.missing_intents(&execution.chunk.row, now_ms, INTENTS_MAX)
    }

    fn renew(&mut self, index: usize, now_ms: u64) {
        let intents = if self.is_stopping() {
            Vec::new()
        } else {
            self.missing_intents(index, now_ms)
        };
        let lease_until_ms = now_ms + self.context.lease_ms;
        self.held_chunks[index].leased_at_ms = now_ms;
        self.record_progress(index, &intents, Some(lease_until_ms));
    }

    fn release_chunk(&mut self, index: usize) {
        self.record_progress(index, &[], None);
    }

    fn record_progress(&mut self, index: usize, intents: &[u32], lease_until_ms: Option<u64>) {
        let execution = &mut self.held_chunks[index];
        let row = &execution.chunk.row;
        let progress = match &execution.run {
            // No item is running, and every item that ran has its record in the partial
            // result, so no intent remains.
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
        let count = execution.record_count();
        let records = if count > execution.saved_records {
            execution.records()
        } else {
            Vec::new()
        };
        let kind = match lease_until_ms {
            Some(_) => WriteKind::Renew { records: count },
            None => WriteKind::HandBack,
        };
        execution.write = Some(kind);
        let id = execution.id;
        let chunk = execution.chunk.clone();
        let open_key = execution.open_key.clone();
        let context = self.context.clone();
        self.spawn(async move {
            let (write, outcome) =
                writes::record_progress(&context, &chunk, progress, records, lease_until_ms).await;
            if kind == WriteKind::HandBack {
                writes::record_release_hint(&context, &open_key, &chunk).await;
            }
            Event::ChunkWritten {
                execution: id,
                kind,
                write: Box::new(write),
                outcome,
            }
        });
    }

    fn commit(&mut self, index: usize) {
        let execution = &mut self.held_chunks[index];
        execution.write = Some(WriteKind::Commit);
        let id = execution.id;
        let chunk = execution.chunk.clone();
        let records = execution.records();
        let context = self.context.clone();
        self.spawn(async move {
            let (write, outcome) = writes::commit(&context, &chunk, records).await;
            Event::ChunkWritten {
                execution: id,
                kind: WriteKind::Commit,
                write: Box::new(write),
                outcome,
            }
        });
    }
}

/// Returns the time at which the lease of a newly claimed chunk began.
fn chunk_leased_at_ms(chunk: &HeldChunk, lease_ms: u64) -> u64 {
    match &chunk.row.state {
        jobs::ChunkState::Held { lease_until_ms, .. } => lease_until_ms.saturating_sub(lease_ms),
        _ => 0,
    }
}
