//! Runs the items of one held chunk: starts, retries, intents and records.

use model::ErrorKind;

use crate::{
    AttemptOutcome, ChunkProgress, ChunkRow, FailedAttempts, ItemRecord,
    record::{InvalidItem, ItemRequest, parse_request},
};

/// Attempts at an item that ran and failed before it ends with an error record.
pub const ITEM_ATTEMPTS_MAX: u16 = 3;
/// First delay before another attempt, milliseconds; it doubles.
const RETRY_FIRST_MS: u64 = 200;
/// Longest delay before another attempt, milliseconds.
const RETRY_LONGEST_MS: u64 = 5_000;
/// Delay after an attempt that did not run, milliseconds.
const NOT_RUN_RETRY_MS: u64 = 250;

/// The items of a held chunk.
#[derive(Debug, Clone)]
pub struct ChunkRun {
    items: Vec<RunItem>,
    /// Whether an item may be sent again after it may have run.
    is_idempotent: bool,
    next_attempt: u64,
}

/// One item.
#[derive(Debug, Clone)]
struct RunItem {
    /// Index in the chunk.
    item: u32,
    /// Identifier shown in its record.
    id: String,
    /// The caller's name for it.
    custom_id: String,
    /// What to send; absent once the item has ended.
    request: Option<ItemRequest>,
    state: ItemState,
    failed: u16,
    tokens: Vec<String>,
}

#[derive(Debug, Clone)]
enum ItemState {
    Waiting { not_before_ms: u64 },
    Running { attempt: u64 },
    Ended(ItemRecord),
}

/// An attempt to make.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptStart {
    /// Index of the item in the chunk.
    pub item: u32,
    /// Number of the attempt, unique in this run.
    pub attempt: u64,
    /// What to send.
    pub request: ItemRequest,
    /// Tokens of an attempt that was withdrawn; generation goes on after them.
    pub tokens: Vec<String>,
}

impl ChunkRun {
    /// Prepares the lines of a chunk; `first` is the index of the first line.
    /// `row` tells what earlier holders did and `partial` what they reached.
    #[must_use]
    pub fn new(
        lines: &[&str],
        first: u32,
        id_prefix: &str,
        endpoint: &str,
        row: &ChunkRow,
        partial: &[ItemRecord],
    ) -> Self {
        let items = lines.iter().zip(first..).map(|(line, item)| {
            let id = format!("{id_prefix}_{item}");
            let known = partial.iter().find(|record| record.item == item);
            new_item(line, item, id, endpoint, row, known)
        });
        Self {
            items: items.collect(),
            is_idempotent: true,
            next_attempt: 0,
        }
    }

    /// Sets whether an item may be sent again after it may have run.
    #[must_use]
    pub const fn with_idempotent(mut self, is_idempotent: bool) -> Self {
        self.is_idempotent = is_idempotent;
        self
    }

    /// Ends every open item with an error record.
    pub fn fail_remaining(&mut self, kind: ErrorKind, message: &str) {
        for item in &mut self.items {
            if !item.is_ended() {
                item.end_with_error(kind, message);
            }
        }
    }

    /// The next items that need an intent row before they are sent, at most
    /// `count`; none if items are repeatable.
    #[must_use]
    pub fn missing_intents(&self, row: &ChunkRow, now_ms: u64, count: usize) -> Vec<u32> {
        if self.is_idempotent {
            return Vec::new();
        }
        let ready = self.items.iter().filter(|item| item.is_ready(now_ms));
        let missing = ready.filter(|item| row.intents.binary_search(&item.item).is_err());
        missing.map(|item| item.item).take(count).collect()
    }

    /// Number of items that wait for a start.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let waiting = |item: &&RunItem| matches!(item.state, ItemState::Waiting { .. });
        self.items.iter().filter(waiting).count()
    }

    /// Starts the next item that is ready and `fits`, which is given its index
    /// in the chunk and its request. `row` is the chunk's row as this holder
    /// wrote it last.
    pub fn start_next(
        &mut self,
        row: &ChunkRow,
        now_ms: u64,
        fits: impl Fn(u32, &ItemRequest) -> bool,
    ) -> Option<AttemptStart> {
        let index = self.items.iter().position(|item| {
            let request = item.request.as_ref();
            self.may_start(item, row, now_ms)
                && request.is_some_and(|request| fits(item.item, request))
        })?;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let item = &mut self.items[index];
        let request = item.request.clone()?;
        item.state = ItemState::Running { attempt };
        Some(AttemptStart {
            item: item.item,
            attempt,
            request,
            tokens: item.tokens.clone(),
        })
    }

    /// Takes the end of an attempt; those of attempts that are not current are
    /// dropped.
    pub fn on_attempt_end(&mut self, item: u32, attempt: u64, end: AttemptOutcome, now_ms: u64) {
        let is_idempotent = self.is_idempotent;
        let Some(item) = self.items.iter_mut().find(|entry| entry.item == item) else {
            return;
        };
        let is_current =
            matches!(item.state, ItemState::Running { attempt: current } if current == attempt);
        if is_current {
            item.on_attempt_end(end, is_idempotent, now_ms);
        }
    }

    /// Whether every item has its record.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.items.iter().all(RunItem::is_ended)
    }

    /// Records of the items that ended, in order.
    pub fn records(&self) -> impl Iterator<Item = &ItemRecord> {
        self.items.iter().filter_map(RunItem::record)
    }

    /// Memory that the records take, bytes.
    #[must_use]
    pub fn record_bytes(&self) -> usize {
        self.records().map(|record| record.line.len()).sum()
    }

    /// What the chunk's row should say besides the results. `intents` are
    /// added to those of items without a record.
    #[must_use]
    pub fn progress(&self, row: &ChunkRow, intents: &[u32]) -> ChunkProgress {
        let attempts = self.items.iter().filter(|item| item.failed > 0);
        let attempts = attempts.map(|item| FailedAttempts {
            item: item.item,
            failed: item.failed,
        });
        let mut all_intents = row.intents.clone();
        all_intents.extend_from_slice(intents);
        all_intents.sort_unstable();
        all_intents.dedup();
        ChunkProgress {
            attempts: attempts.collect(),
            intents: all_intents,
            partial: row.partial.clone(),
        }
    }

    fn may_start(&self, item: &RunItem, row: &ChunkRow, now_ms: u64) -> bool {
        let has_intent = || row.intents.binary_search(&item.item).is_ok();
        item.is_ready(now_ms) && (self.is_idempotent || has_intent())
    }
}

impl RunItem {
    /// Record of the item, once it ended.
    const fn record(&self) -> Option<&ItemRecord> {
        match &self.state {
            ItemState::Ended(record) => Some(record),
            ItemState::Waiting { .. } | ItemState::Running { .. } => None,
        }
    }

    const fn is_ended(&self) -> bool {
        matches!(self.state, ItemState::Ended(_))
    }

    const fn is_ready(&self, now_ms: u64) -> bool {
        matches!(self.state, ItemState::Waiting { not_before_ms } if not_before_ms <= now_ms)
    }

    fn on_attempt_end(&mut self, end: AttemptOutcome, is_idempotent: bool, now_ms: u64) {
        match end {
            AttemptOutcome::Answered { status, body } => {
                let record =
                    ItemRecord::answered(self.item, &self.id, &self.custom_id, status, &body);
                self.end(record);
            }
            AttemptOutcome::NotRun(_) => self.wait_until(now_ms + NOT_RUN_RETRY_MS),
            AttemptOutcome::Preempted { tokens } => {
                self.tokens = tokens;
                self.wait_until(now_ms);
            }
            AttemptOutcome::Failed { kind, tokens } => {
                self.failed += 1;
                self.tokens = tokens;
                if !is_idempotent {
                    let message = "the call may have run and is not repeated";
                    self.end_with_error(ErrorKind::OutcomeUnknown, message);
                } else if self.failed >= ITEM_ATTEMPTS_MAX {
                    let message = format!("the item failed {} times", self.failed);
                    self.end_with_error(kind, &message);
                } else {
                    let delay_ms = RETRY_FIRST_MS << (self.failed - 1);
                    self.wait_until(now_ms + delay_ms.min(RETRY_LONGEST_MS));
                }
            }
        }
    }

    fn wait_until(&mut self, not_before_ms: u64) {
        self.state = ItemState::Waiting { not_before_ms };
    }

    fn end_with_error(&mut self, kind: ErrorKind, message: &str) {
        let record = ItemRecord::failed(self.item, &self.id, &self.custom_id, kind, message);
        self.end(record);
    }

    fn end(&mut self, record: ItemRecord) {
        self.state = ItemState::Ended(record);
        self.request = None;
        self.tokens = Vec::new();
    }
}

fn new_item(
    line: &str,
    item: u32,
    id: String,
    endpoint: &str,
    row: &ChunkRow,
    known: Option<&ItemRecord>,
) -> RunItem {
    let mut entry = RunItem {
        item,
        id,
        custom_id: String::new(),
        request: None,
        state: ItemState::Waiting { not_before_ms: 0 },
        failed: row.failed_attempts(item),
        tokens: Vec::new(),
    };
    if let Some(record) = known {
        entry.end(record.clone());
        return entry;
    }
    match parse_request(line, endpoint) {
        Ok(request) => {
            entry.custom_id.clone_from(&request.custom_id);
            entry.request = Some(request);
        }
        Err(InvalidItem { custom_id, message }) => {
            entry.custom_id = custom_id;
            entry.end_with_error(ErrorKind::InvalidRequest, &message);
            return entry;
        }
    }
    if row.intents.binary_search(&item).is_ok() {
        let message = "an earlier call may have run and is not repeated";
        entry.end_with_error(ErrorKind::OutcomeUnknown, message);
    }
    entry
}
