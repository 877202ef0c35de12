//! A job as its owner works it off.

use model::JobId;

use crate::{
    item::{ItemOutcome, ItemResult, JobItem, PartialOutput},
    record::{JobPhase, JobRecord, OwnerId},
};

/// Most results in one commit.
const COMMIT_MAX_RESULTS: usize = 32;
/// Bytes of output with which a commit is full.
const COMMIT_MAX_BYTES: usize = 256 * 1024;
/// First wait before an item runs again after a failure, milliseconds.
const RERUN_DELAY_MS: u64 = 100;
/// Longest wait before an item runs again, milliseconds.
const RERUN_DELAY_MAX_MS: u64 = 2_000;

/// A job that this instance runs.
#[derive(Debug)]
pub struct OwnedJob {
    id: JobId,
    owner: OwnerId,
    record: JobRecord,
    version: u64,
    items: Vec<ItemRow>,
    /// Indices of items that ended and are in no commit, in order of their end.
    uncommitted: Vec<u32>,
    commit: Option<Commit>,
    has_lost_ownership: bool,
}

#[derive(Debug)]
struct ItemRow {
    item: JobItem,
    state: ItemState,
    partial: PartialOutput,
    /// Last event of the output that was handed out for saving.
    saved_event: Option<u64>,
    failures_in_row: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemState {
    Waiting { not_before_ms: u64 },
    Running,
    Ended(ItemOutcome),
    Committed,
}

/// One run of an item to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemRun {
    /// Index of the item.
    pub item_index: u32,
    /// The item.
    pub item: JobItem,
    /// What earlier runs brought.
    pub partial: PartialOutput,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The stream is whole.
    Done,
    /// The upstream failed the item.
    Error,
    /// The item can never be done.
    Impossible,
    /// The upstream did not run it or broke off; says nothing of the item.
    Interrupted,
    /// It was preempted for online requests.
    Preempted,
}

/// A conditional write of results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// Version of the record that the write requires.
    pub expected_version: u64,
    /// The record after the write.
    pub record: JobRecord,
    /// Position of the first result.
    pub first_position: u64,
    /// Results at consecutive positions.
    pub results: Vec<ItemResult>,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect.
    Committed {
        /// New version of the record.
        version: u64,
    },
    /// The record had another version; `None` if it is gone.
    Conflict(Option<(JobRecord, u64)>),
    /// Nothing was written, or it is not known whether anything was.
    NotConfirmed,
}

/// What follows a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitStep {
    /// Results are stored.
    Stored,
    /// The same commit has to be written again.
    Retry,
    /// Nothing is stored; ask for the next commit.
    Rebuild,
    /// The job belongs to somebody else or has ended.
    Stop,
}

impl OwnedJob {
    /// The job of `record`, stored with `version`. `partials` are outputs that
    /// earlier owners saved.
    #[must_use]
    pub fn new(
        id: JobId,
        owner: OwnerId,
        record: JobRecord,
        version: u64,
        items: Vec<JobItem>,
        partials: Vec<PartialOutput>,
    ) -> Self {
        let mut rows: Vec<_> = (0..)
            .zip(items)
            .map(|(index, item)| ItemRow {
                item,
                state: ItemState::Waiting { not_before_ms: 0 },
                partial: PartialOutput::new(index),
                saved_event: None,
                failures_in_row: 0,
            })
            .collect();
        for index in &record.committed {
            if let Some(row) = rows.get_mut(*index as usize) {
                row.state = ItemState::Committed;
            }
        }
        for partial in partials {
            if let Some(row) = rows.get_mut(partial.item_index as usize) {
                row.saved_event = partial.last_event;
                row.partial = partial;
            }
        }
        Self {
            id,
            owner,
            record,
            version,
            items: rows,
            uncommitted: Vec::new(),
            commit: None,
            has_lost_ownership: false,
        }
    }

    /// Id of the job.
    #[must_use]
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// The record as far as known.
    #[must_use]
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Version of the record as far as known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether items may run.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.has_lost_ownership && self.record.is_open()
    }

    /// Body of an item.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<&JobItem> {
        self.items
            .iter()
            .map(|row| &row.item)
            .find(|item| *item.id == *id)
    }

    /// Indices of the items that may start.
    pub fn startable_items(&self, now_ms: u64) -> impl Iterator<Item = u32> {
        let is_active = self.is_active();
        (0..)
            .zip(&self.items)
            .filter(move |(_, row)| is_active && row.is_startable(now_ms))
            .map(|(index, _)| index)
    }

    /// Expected output tokens of an item, and events that came so far.
    #[must_use]
    pub fn output_progress(&self, item_index: u32) -> (u32, u64) {
        let extent = |row: &ItemRow| (row.item.output_tokens, row.partial.last_event.unwrap_or(0));
        self.items.get(item_index as usize).map_or((0, 0), extent)
    }

    /// Path that an item's requests go to.
    #[must_use]
    pub fn item_path(&self, item_index: u32) -> Option<&str> {
        let row = self.items.get(item_index as usize)?;
        Some(&row.item.path)
    }

    /// Starts a waiting item.
    pub fn start_item(&mut self, item_index: u32) -> Option<ItemRun> {
        let row = self.items.get_mut(item_index as usize)?;
        if !matches!(row.state, ItemState::Waiting { .. }) {
            return None;
        }
        row.state = ItemState::Running;
        Some(ItemRun {
            item_index,
            item: row.item.clone(),
            partial: row.partial.clone(),
        })
    }

    /// Keeps the output of a running item.
    pub fn update_partial(&mut self, partial: &PartialOutput) {
        if let Some(row) = self.items.get_mut(partial.item_index as usize) {
            row.partial.clone_from(partial);
        }
    }

    /// Records the end of a run. `errors_max` server errors end an item.
    pub fn finish_run(
        &mut self,
        partial: PartialOutput,
        end: RunOutcome,
        errors_max: u32,
        now_ms: u64,
    ) {
        let index = partial.item_index;
        let Some(row) = self.items.get_mut(index as usize) else {
            return;
        };
        if row.state != ItemState::Running {
            return;
        }
        row.partial = partial;
        let outcome = match end {
            RunOutcome::Done => Some(ItemOutcome::Done),
            RunOutcome::Impossible => Some(ItemOutcome::Failed),
            RunOutcome::Error => {
                self.record.record_error(index);
                let errors = self.record.error_count(index);
                (errors >= errors_max).then_some(ItemOutcome::Failed)
            }
            RunOutcome::Interrupted | RunOutcome::Preempted => None,
        };
        if let Some(outcome) = outcome {
            self.end_item(index, outcome);
            return;
        }
        let delay_ms = match end {
            RunOutcome::Preempted => 0,
            _ => row.rerun_delay_ms(),
        };
        row.state = ItemState::Waiting {
            not_before_ms: now_ms + delay_ms,
        };
    }

    /// Gives up every item that has not ended.
    pub fn give_up_unfinished(&mut self) {
        self.give_up_unfinished_where(|_| true);
    }

    /// Gives up the items that have not ended and meet a condition.
    pub fn give_up_unfinished_where(&mut self, condition: impl Fn(&JobItem) -> bool) {
        for index in 0..self.items.len() {
            let row = &self.items[index];
            let is_unended = matches!(row.state, ItemState::Waiting { .. } | ItemState::Running);
            if is_unended && condition(&row.item) {
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                self.end_item(index, ItemOutcome::Failed);
            }
        }
    }

    /// The write that is due, if any. It stays the same until it is settled.
    pub fn next_commit(&mut self) -> Option<&Commit> {
        if !self.is_active() {
            return None;
        }
        if self.commit.is_none() && !self.uncommitted.is_empty() {
            self.commit = Some(self.build_commit());
        }
        self.commit.as_ref()
    }

    /// Takes in the outcome of the write that was due.
    pub fn finish_commit(&mut self, outcome: CommitOutcome) -> CommitStep {
        let Some(commit) = self.commit.take() else {
            return CommitStep::Rebuild;
        };
        match outcome {
            CommitOutcome::Committed { version } => self.commit_stored(commit, version),
            // An earlier try of the same write took effect after all.
            CommitOutcome::Conflict(Some((record, version))) if record == commit.record => {
                self.commit_stored(commit, version)
            }
            CommitOutcome::Conflict(Some((record, version))) => {
                self.adopt(record, version);
                if self.is_active() {
                    CommitStep::Rebuild
                } else {
                    CommitStep::Stop
                }
            }
            CommitOutcome::Conflict(None) => {
                self.has_lost_ownership = true;
                CommitStep::Stop
            }
            CommitOutcome::NotConfirmed => {
                self.commit = Some(commit);
                CommitStep::Retry
            }
        }
    }

    /// Takes in that another instance owns the job since `version`. Returns
    /// whether that is news.
    pub fn fence(&mut self, version: u64) -> bool {
        let is_news = !self.has_lost_ownership && version > self.version;
        self.has_lost_ownership |= is_news;
        is_news
    }

    /// Takes in news of the record from elsewhere.
    pub fn observe_record(&mut self, record: &JobRecord, version: u64) {
        if version <= self.version {
            return;
        }
        let is_own_commit = self
            .commit
            .as_ref()
            .is_some_and(|commit| commit.record == *record);
        if !is_own_commit {
            self.adopt(record.clone(), version);
        }
    }

    /// Outputs of items that have not ended, to be saved for the next owner.
    #[must_use]
    pub fn partials(&self) -> Vec<PartialOutput> {
        self.items
            .iter()
            .filter(|row| matches!(row.state, ItemState::Waiting { .. } | ItemState::Running))
            .filter(|row| row.partial.last_event.is_some())
            .map(|row| row.partial.clone())
            .collect()
    }

    /// Outputs that have grown since they were last handed out for saving, up
    /// to `max_bytes` in all.
    pub fn take_unsaved_partials(&mut self, max_bytes: usize) -> Vec<PartialOutput> {
        let mut bytes = 0;
        let mut unsaved = Vec::new();
        for row in &mut self.items {
            let is_open = matches!(row.state, ItemState::Waiting { .. } | ItemState::Running);
            if !is_open || row.partial.last_event <= row.saved_event {
                continue;
            }
            bytes += row.partial.output.len();
            if bytes > max_bytes {
                break;
            }
            row.saved_event = row.partial.last_event;
            unsaved.push(row.partial.clone());
        }
        unsaved
    }

    fn end_item(&mut self, index: u32, outcome: ItemOutcome) {
        self.items[index as usize].state = ItemState::Ended(outcome);
        self.uncommitted.push(index);
    }

    fn adopt(&mut self, record: JobRecord, version: u64) {
        if record.owner.as_ref() != Some(&self.owner) {
            self.has_lost_ownership = true;
        }
        self.record = record;
        self.version = version;
    }

    fn build_commit(&self) -> Commit {
        let mut record = self.record.clone();
        let mut results = Vec::new();
        let mut output_bytes = 0;
        for index in &self.uncommitted {
            let row = &self.items[*index as usize];
            let result = row.result();
            output_bytes += result.output.len();
            if !results.is_empty() && output_bytes > COMMIT_MAX_BYTES {
                break;
            }
            results.push(result);
            record.committed.push(*index);
            if results.len() >= COMMIT_MAX_RESULTS {
                break;
            }
        }
        if record.committed.len() == self.items.len() {
            record.phase = JobPhase::Complete;
        }
        Commit {
            expected_version: self.version,
            first_position: self.record.committed_count(),
            record,
            results,
        }
    }

    fn commit_stored(&mut self, commit: Commit, version: u64) -> CommitStep {
        let stored = commit.results.len();
        for index in self.uncommitted.drain(..stored) {
            let row = &mut self.items[index as usize];
            row.state = ItemState::Committed;
            row.partial = PartialOutput::new(index);
        }
        // Errors counted since the commit was built are kept.
        let failures = std::mem::take(&mut self.record.failures);
        self.record = commit.record;
        self.record.failures = failures;
        self.version = version;
        if self.record.is_open() {
            CommitStep::Stored
        } else {
            CommitStep::Stop
        }
    }
}

impl ItemRow {
    fn is_startable(&self, now_ms: u64) -> bool {
        matches!(self.state, ItemState::Waiting { not_before_ms } if not_before_ms <= now_ms)
    }

    fn rerun_delay_ms(&mut self) -> u64 {
        let doublings = self.failures_in_row.min(8);
        self.failures_in_row += 1;
        (RERUN_DELAY_MS << doublings).min(RERUN_DELAY_MAX_MS)
    }

    fn result(&self) -> ItemResult {
        let outcome = match self.state {
            ItemState::Ended(outcome) => outcome,
            _ => ItemOutcome::Failed,
        };
        let output = match outcome {
            ItemOutcome::Done => self.partial.output.clone(),
            ItemOutcome::Failed => String::new(),
        };
        ItemResult {
            item: self.item.id.clone(),
            outcome,
            output,
        }
    }
}
