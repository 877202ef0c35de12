//! Execution state of the chunks that this process holds.

use jobs::{ChunkRun, HeldChunk, ItemRecord};
use model::{ModelName, UpstreamId};
use policy::BatchItemId;
use tokio::sync::oneshot;

use crate::event::{ExecutionId, WriteKind};

/// A held chunk with its items, running attempts and pending write.
#[derive(Debug)]
pub(crate) struct ChunkExecution {
    pub(crate) id: ExecutionId,
    pub(crate) chunk: HeldChunk,
    /// Key of the job's open row.
    pub(crate) open_key: String,
    pub(crate) endpoint: String,
    /// Models that the job's items name.
    pub(crate) models: Vec<ModelName>,
    pub(crate) deadline_ms: u64,
    pub(crate) is_idempotent: bool,
    /// Whether the process must hold no other chunk at the same time.
    pub(crate) is_exclusive: bool,
    /// Progress of the items, or `None` until they have been read.
    pub(crate) run: Option<ChunkRun>,
    pub(crate) is_loading: bool,
    pub(crate) next_load_ms: u64,
    /// Size of the input lines, in bytes.
    pub(crate) line_bytes: usize,
    pub(crate) leased_at_ms: u64,
    /// Number of records in the latest partial result.
    pub(crate) saved_records: usize,
    /// The write in progress.
    pub(crate) write: Option<WriteKind>,
    pub(crate) running_attempts: Vec<RunningAttempt>,
    /// Prompt prefixes of waiting items that engines hold in their caches, sorted by
    /// item.
    pub(crate) cached_prefixes: Vec<CachedPrefix>,
}

/// A prefix of a waiting item's prompt that an engine holds in its prefix cache.
#[derive(Debug)]
pub(crate) struct CachedPrefix {
    pub(crate) item: u32,
    pub(crate) upstream: UpstreamId,
    pub(crate) leading_tokens: u32,
}

/// A running attempt. Dropping it preempts the attempt.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) batch_item: BatchItemId,
    preempt: Option<oneshot::Sender<()>>,
}

impl RunningAttempt {
    pub(crate) fn new(batch_item: BatchItemId, preempt: oneshot::Sender<()>) -> Self {
        Self {
            batch_item,
            preempt: Some(preempt),
        }
    }

    /// Stops the attempt so that the item can be started again. The end of the
    /// attempt is reported as usual.
    pub(crate) fn preempt(&mut self) {
        self.preempt = None;
    }
}

impl ChunkExecution {
    /// Returns whether every item has a record.
    pub(crate) fn is_complete(&self) -> bool {
        self.run.as_ref().is_some_and(ChunkRun::is_complete)
    }

    /// Returns the records of the items that have ended.
    pub(crate) fn records(&self) -> Vec<ItemRecord> {
        let run = self.run.iter();
        run.flat_map(ChunkRun::records).cloned().collect()
    }

    /// Returns the number of items that have a record.
    pub(crate) fn record_count(&self) -> usize {
        let run = self.run.iter();
        run.flat_map(ChunkRun::records).count()
    }

    /// Records that an engine has cached a prefix of an item's prompt. Replaces an
    /// earlier entry of the item.
    pub(crate) fn set_cached_prefix(&mut self, prefix: CachedPrefix) {
        match self.find_cached_prefix(prefix.item) {
            Ok(index) => self.cached_prefixes[index] = prefix,
            Err(index) => self.cached_prefixes.insert(index, prefix),
        }
    }

    /// Removes the entry of an item's cached prompt prefix.
    pub(crate) fn remove_cached_prefix(&mut self, item: u32) {
        if let Ok(index) = self.find_cached_prefix(item) {
            self.cached_prefixes.remove(index);
        }
    }

    fn find_cached_prefix(&self, item: u32) -> Result<usize, usize> {
        self.cached_prefixes
            .binary_search_by_key(&item, |prefix| prefix.item)
    }

    /// Returns the number of items waiting to be started.
    pub(crate) fn waiting_count(&self) -> usize {
        self.run.as_ref().map_or(0, ChunkRun::waiting_count)
    }

    /// Returns an estimate of the memory used, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        let records = self.run.as_ref().map_or(0, ChunkRun::record_bytes);
        // Parsed requests take about as much memory as their input lines.
        self.line_bytes * 2 + records
    }
}
