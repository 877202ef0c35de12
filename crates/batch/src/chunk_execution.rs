//! The table of held chunks.

use jobs::{ChunkRun, HeldChunk, ItemRecord};
use model::{ModelName, UpstreamId};
use policy::BatchItemId;
use tokio::sync::oneshot;

use crate::event::{ExecutionId, WriteKind};

/// A chunk that this process holds.
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
    /// It may not be run beside any other chunk.
    pub(crate) is_exclusive: bool,
    /// The items, once they are read.
    pub(crate) run: Option<ChunkRun>,
    pub(crate) is_loading: bool,
    pub(crate) next_load_ms: u64,
    /// Length of its lines, bytes.
    pub(crate) line_bytes: usize,
    pub(crate) leased_at_ms: u64,
    /// Records in its latest partial result.
    pub(crate) saved_records: usize,
    /// The write under way.
    pub(crate) write: Option<WriteKind>,
    pub(crate) running_attempts: Vec<RunningAttempt>,
    /// Prompts sent in part, sorted by item.
    pub(crate) cached_prefixes: Vec<CachedPrefix>,
}

/// What an engine holds of the prompt of an item that waits.
#[derive(Debug)]
pub(crate) struct CachedPrefix {
    pub(crate) item: u32,
    pub(crate) upstream: UpstreamId,
    pub(crate) leading_tokens: u32,
}

/// An attempt under way. Dropping it withdraws the item.
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

    /// Takes the item back; its end is reported as usual.
    pub(crate) fn preempt(&mut self) {
        self.preempt = None;
    }
}

impl ChunkExecution {
    /// Whether every item has its record.
    pub(crate) fn is_complete(&self) -> bool {
        self.run.as_ref().is_some_and(ChunkRun::is_complete)
    }

    /// Records of its items so far.
    pub(crate) fn records(&self) -> Vec<ItemRecord> {
        let run = self.run.iter();
        run.flat_map(ChunkRun::records).cloned().collect()
    }

    /// Number of items that have a record.
    pub(crate) fn record_count(&self) -> usize {
        let run = self.run.iter();
        run.flat_map(ChunkRun::records).count()
    }

    /// Remembers what an engine holds of an item's prompt.
    pub(crate) fn set_cached_prefix(&mut self, prefix: CachedPrefix) {
        match self.find_cached_prefix(prefix.item) {
            Ok(index) => self.cached_prefixes[index] = prefix,
            Err(index) => self.cached_prefixes.insert(index, prefix),
        }
    }

    /// Forgets what an engine held of an item's prompt.
    pub(crate) fn remove_cached_prefix(&mut self, item: u32) {
        if let Ok(index) = self.find_cached_prefix(item) {
            self.cached_prefixes.remove(index);
        }
    }

    fn find_cached_prefix(&self, item: u32) -> Result<usize, usize> {
        self.cached_prefixes
            .binary_search_by_key(&item, |prefix| prefix.item)
    }

    /// Number of items that wait.
    pub(crate) fn waiting_count(&self) -> usize {
        self.run.as_ref().map_or(0, ChunkRun::waiting_count)
    }

    /// Memory that it takes, roughly.
    pub(crate) fn memory_bytes(&self) -> usize {
        let records = self.run.as_ref().map_or(0, ChunkRun::record_bytes);
        // Parsed requests take about as much again as their lines.
        self.line_bytes * 2 + records
    }
}
