//! State machine of a job on the instance that owns and runs it.

mod config_check;
mod item_contents;
mod item_row;

use model::{JobId, SoftwareVersion, UpstreamId};

use self::{
    config_check::ConfigCheck,
    item_row::{ItemRow, ItemState},
};
use crate::{
    item::{ItemOutcome, ItemResult, ItemRun, JobItem, PartialOutput, RunOutcome, StoredItems},
    record::{JobPhase, JobRecord, OwnerId},
};

/// Maximum number of results in one commit.
const COMMIT_MAX_RESULTS: usize = 32;
/// Maximum output in one commit, in bytes. A single larger result still gets a
/// commit of its own.
const COMMIT_MAX_BYTES: usize = 256 * 1024;
/// A job that the local instance owns and runs.
#[derive(Debug)]
pub struct OwnedJob {
    id: JobId,
    owner: OwnerId,
    record: JobRecord,
    version: u64,
    items: Vec<ItemRow>,
    /// Size of the contents of all items, bytes.
    content_bytes: usize,
    /// Whether `items` has the contents. Otherwise only the store has them.
    has_contents: bool,
    /// Indices of the items that have ended but whose results are not stored yet,
    /// in the order in which the items ended.
    uncommitted: Vec<u32>,
    /// The commit to be written; kept until its outcome is settled.
    commit: Option<Commit>,
    has_lost_ownership: bool,
    config_check: ConfigCheck,
}

/// A write of results, conditional on the version of the job's record.
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

/// Outcome of writing a [`Commit`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The write took effect.
    Committed {
        /// New version of the record.
        version: u64,
    },
    /// The record had another version. Contains the current record and its
    /// version, or `None` if the record was removed.
    Conflict(Option<(JobRecord, u64)>),
    /// The write failed, or it is unknown whether it took effect.
    NotConfirmed,
}

/// What the owner does after the attempt to write a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitStep {
    /// The results are stored; continue with the next commit.
    Stored,
    /// Write the same commit again.
    Retry,
    /// The results are not stored; build the commit anew on the current record.
    Rebuild,
    /// Stop: the job is owned by another instance, or it has ended or is complete.
    Stop,
}

impl OwnedJob {
    /// Creates the state of an admitted job from its `record`, stored with `version`.
    #[must_use]
    pub fn new(
        id: JobId,
        owner: OwnerId,
        record: JobRecord,
        version: u64,
        stored: StoredItems,
    ) -> Self {
        let StoredItems {
            items,
            item_tokens,
            partials,
        } = stored;
        let content_bytes = items.iter().map(JobItem::content_bytes).sum();
        let mut rows: Vec<_> = (0..)
            .zip(items)
            .map(|(index, item)| {
                let tokens = item_tokens.get(index as usize).copied().unwrap_or(0);
                ItemRow::new(index, item, tokens)
            })
            .collect();
        for index in &record.committed {
            if let Some(row) = rows.get_mut(*index as usize) {
                row.state = ItemState::Committed;
            }
        }
        for partial in partials {
            if let Some(row) = rows.get_mut(partial.item_index as usize) {
                row.last_saved_event = partial.last_event;
                row.partial = partial;
            }
        }
        Self {
            id,
            owner,
            record,
            version,
            items: rows,
            content_bytes,
            has_contents: true,
            uncommitted: Vec::new(),
            commit: None,
            has_lost_ownership: false,
            config_check: ConfigCheck::default(),
        }
    }

    /// Returns the id of the job.
    #[must_use]
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Returns the newest known record.
    #[must_use]
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Returns the version of the newest known record.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether items may run: the local instance owns the job and the job
    /// is open.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.has_lost_ownership && self.record.is_open()
    }

    /// Returns an item by its id.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<&JobItem> {
        self.items
            .iter()
            .map(|row| &row.item)
            .find(|item| *item.id == *id)
    }

    /// Returns the indices of the items that may start now.
    pub fn startable_items(&self, now_ms: u64) -> impl Iterator<Item = u32> {
        let is_active = self.is_active();
        (0..)
            .zip(&self.items)
            .filter(move |(_, row)| is_active && row.is_startable(now_ms))
            .map(|(index, _)| index)
    }

    /// Returns the expected output tokens of an item and the id of its last event,
    /// which counts the events received so far.
    #[must_use]
    pub fn output_progress(&self, item_index: u32) -> (u32, u64) {
        let progress =
            |row: &ItemRow| (row.item.output_tokens, row.partial.last_event.unwrap_or(0));
        self.items.get(item_index as usize).map_or((0, 0), progress)
    }

    /// Returns the software version at which an item has begun its output, if it has.
    #[must_use]
    pub fn output_version(&self, item_index: u32) -> Option<&SoftwareVersion> {
        let partial = &self.items.get(item_index as usize)?.partial;
        partial.last_event.and(partial.version.as_ref())
    }

    /// Returns an item by its index.
    #[must_use]
    pub fn item_at(&self, item_index: u32) -> Option<&JobItem> {
        let row = self.items.get(item_index as usize)?;
        Some(&row.item)
    }

    /// Starts a run of a waiting item. Returns `None` if the item is not waiting, or if the
    /// contents of the items have been dropped.
    pub fn start_item(&mut self, item_index: u32) -> Option<ItemRun> {
        if !self.has_contents {
            return None;
        }
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

    /// Updates the partial output of a running item.
    pub fn update_partial(&mut self, partial: &PartialOutput) {
        if let Some(row) = self.items.get_mut(partial.item_index as usize) {
            row.partial.clone_from(partial);
        }
    }

    /// Records that an upstream ended a run of an item without an event, as if nothing followed
    /// the output so far. Returns whether that is confirmed, by another upstream as a rule.
    pub fn record_stated_end(&mut self, partial: &PartialOutput, upstream: &UpstreamId) -> bool {
        let row = self.items.get_mut(partial.item_index as usize);
        row.is_some_and(|row| row.end_statements.record(partial.last_event, upstream))
    }

    /// Records the end of a run. An item fails after `errors_max` server errors.
    /// Runs of items that were given up meanwhile are ignored.
    pub fn finish_run(
        &mut self,
        partial: PartialOutput,
        run_outcome: RunOutcome,
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
        let brought_nothing = partial.last_event.is_none() && run_outcome != RunOutcome::Done;
        if !brought_nothing {
            row.partial = partial;
        }
        let item_outcome = match run_outcome {
            RunOutcome::Done => Some(ItemOutcome::Done),
            RunOutcome::Impossible => Some(ItemOutcome::Failed),
            RunOutcome::Error => {
                self.record.record_error(index);
                let errors = self.record.error_count(index);
                (errors >= errors_max).then_some(ItemOutcome::Failed)
            }
            RunOutcome::Interrupted | RunOutcome::Misplaced | RunOutcome::Preempted => None,
        };
        if let Some(outcome) = item_outcome {
            self.end_item(index, outcome);
            return;
        }
        let delay_ms = match run_outcome {
            RunOutcome::Misplaced | RunOutcome::Preempted => 0,
            _ => row.rerun_delay_ms(),
        };
        row.state = ItemState::Waiting {
            not_before_ms: now_ms + delay_ms,
        };
    }

    /// Gives up every item that has not ended. Each of them gets a result that
    /// marks it as failed.
    pub fn give_up_unfinished(&mut self) {
        self.give_up_unfinished_where(|_| true);
    }

    /// Gives up the items that have not ended and satisfy `condition`.
    pub fn give_up_unfinished_where(&mut self, condition: impl Fn(&JobItem) -> bool) {
        for index in 0..self.items.len() {
            let row = &self.items[index];
            if row.is_unfinished() && condition(&row.item) {
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                self.end_item(index, ItemOutcome::Failed);
            }
        }
    }

    /// Returns the commit to be written, if any. It stays the same until its outcome
    /// is settled, since an earlier attempt may have taken effect.
    pub fn next_commit(&mut self) -> Option<&Commit> {
        if !self.is_active() {
            return None;
        }
        if self.commit.is_none() && !self.uncommitted.is_empty() {
            self.commit = Some(self.build_commit());
        }
        self.commit.as_ref()
    }

    /// Records the outcome of writing the commit. Returns what to do next.
    pub fn finish_commit(&mut self, outcome: CommitOutcome) -> CommitStep {
        let Some(commit) = self.commit.take() else {
            return CommitStep::Rebuild;
        };
        match outcome {
            CommitOutcome::Committed { version } => self.apply_stored_commit(commit, version),
            // An earlier attempt of the same write took effect after all.
            CommitOutcome::Conflict(Some((record, version))) if record == commit.record => {
                self.apply_stored_commit(commit, version)
            }
            CommitOutcome::Conflict(Some((record, version))) => {
                self.adopt_record(record, version);
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

    /// Fences the job if another instance took it over with a newer `version` of the
    /// record, or if the record was removed with that version. Returns whether the local
    /// instance lost the job by this call.
    pub fn fence(&mut self, version: u64) -> bool {
        let is_newly_fenced = !self.has_lost_ownership && version > self.version;
        self.has_lost_ownership |= is_newly_fenced;
        is_newly_fenced
    }

    /// Adopts a newer version of the record, unless it results from the commit being
    /// written.
    pub fn observe_record(&mut self, record: &JobRecord, version: u64) {
        let is_own_commit = self
            .commit
            .as_ref()
            .is_some_and(|commit| commit.record == *record);
        if !is_own_commit {
            self.adopt_record(record.clone(), version);
        }
    }

    /// Returns the partial outputs of items that have not ended, to be saved for the
    /// next owner.
    #[must_use]
    pub fn partials(&self) -> Vec<PartialOutput> {
        self.items
            .iter()
            .filter(|row| matches!(row.state, ItemState::Waiting { .. } | ItemState::Running))
            .filter(|row| row.partial.last_event.is_some())
            .map(|row| row.partial.clone())
            .collect()
    }

    /// Returns the partial outputs that have grown since they were last returned
    /// for saving, up to `max_bytes` in total, and marks them as saved.
    pub fn take_unsaved_partials(&mut self, max_bytes: usize) -> Vec<PartialOutput> {
        let mut bytes = 0;
        let mut unsaved = Vec::new();
        for row in &mut self.items {
            let is_unfinished = matches!(row.state, ItemState::Waiting { .. } | ItemState::Running);
            if !is_unfinished || row.partial.last_event <= row.last_saved_event {
                continue;
            }
            bytes += row.partial.output.len();
            if bytes > max_bytes {
                break;
            }
            row.last_saved_event = row.partial.last_event;
            unsaved.push(row.partial.clone());
        }
        unsaved
    }

    fn end_item(&mut self, index: u32, outcome: ItemOutcome) {
        self.items[index as usize].state = ItemState::Ended(outcome);
        self.uncommitted.push(index);
    }

    /// Replaces the record unless a newer one is known. Answers of the store to writes of this
    /// instance may arrive after the change feed has delivered what happened later.
    fn adopt_record(&mut self, record: JobRecord, version: u64) {
        if version <= self.version {
            return;
        }
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
        let committed_tokens: u64 = self.uncommitted[..results.len()]
            .iter()
            .map(|index| u64::from(self.items[*index as usize].tokens))
            .sum();
        record.unfinished_tokens = record.unfinished_tokens.saturating_sub(committed_tokens);
        Commit {
            expected_version: self.version,
            first_position: self.record.committed_count(),
            record,
            results,
        }
    }

    fn apply_stored_commit(&mut self, commit: Commit, version: u64) -> CommitStep {
        let stored = commit.results.len();
        for index in self.uncommitted.drain(..stored) {
            let row = &mut self.items[index as usize];
            row.state = ItemState::Committed;
            row.partial = PartialOutput::new(index);
        }
        // Keep the errors that were counted after the commit was built.
        let mut record = commit.record;
        record.failures.clone_from(&self.record.failures);
        self.adopt_record(record, version);
        if self.is_active() {
            CommitStep::Stored
        } else {
            CommitStep::Stop
        }
    }
}
