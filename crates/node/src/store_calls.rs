//! Calls to the store, with what their outcomes say of the store.

use std::cell::{Cell, RefCell};

use ledger::CallTimeouts;
use platform::{RowPage, RowRange, Store, StoreError, TransactOutcome, Transaction};
use tokio::sync::watch;

use crate::node::Node;

/// After an outage of this length, calls that began before it are made anew,
/// milliseconds.
const STALE_CALL_OUTAGE_MS: u64 = 500;
/// Calls, one after the other, whose answers stay away until the store counts
/// as lost; a single answer may be lost while the store serves everybody.
const UNANSWERED_CALLS_MAX: u32 = 2;
/// Tries of one read while the store answers other calls.
const READ_TRIES_MAX: u32 = 4;

/// When and how fast the store answered.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    last_answer_ms: Cell<u64>,
    /// When the store came back after it had been away.
    recovered_ms: Cell<Option<u64>>,
    unreachable_since_ms: Cell<Option<u64>>,
    /// Counts returns after which calls in flight cannot be trusted.
    recoveries: watch::Sender<u64>,
    call_timeouts: RefCell<CallTimeouts>,
}

impl Node {
    /// Reads rows of a range, as many as one answer holds. A read that goes
    /// unanswered, or began before the store was away, is made anew.
    pub(crate) async fn read_rows(&self, range: &RowRange) -> Result<RowPage, StoreError> {
        let mut recoveries = self.store_health.recoveries();
        let mut tries = 0;
        loop {
            let began_ms = self.now_ms();
            let store = self.store_with_timeout(tries);
            let page = tokio::select! {
                page = store.rows(range) => self.record_outcome(&range.table, began_ms, page),
                _ = recoveries.changed() => continue,
            };
            tries += 1;
            let is_answered = !matches!(page, Err(StoreError::Unknown(_)));
            if is_answered || tries >= READ_TRIES_MAX || self.store_health.is_unreachable() {
                return page;
            }
        }
    }

    /// Applies a transaction at most once. `tries` of it went unanswered
    /// before. The outcome is unknown if the store was away meanwhile.
    pub(crate) async fn transact(
        &self,
        transaction: &Transaction,
        tries: u32,
    ) -> Result<TransactOutcome, StoreError> {
        let store = self.store_with_timeout(tries);
        self.run_transaction(transaction, store.transact(transaction))
            .await
    }

    /// Like [`Node::transact`], on a new connection: if the store cannot be
    /// reached, it is certain that nothing was done.
    pub(crate) async fn transact_on_new_connection(
        &self,
        transaction: &Transaction,
        tries: u32,
    ) -> Result<TransactOutcome, StoreError> {
        let store = self.store_with_timeout(tries);
        self.run_transaction(transaction, store.transact_on_new_connection(transaction))
            .await
    }

    /// Records that the store answered a call about `table`.
    pub(crate) fn record_store_answer(&self, table: &str) {
        let now_ms = self.now_ms();
        if self.store_health.record_answer(now_ms) {
            log::info!("event=store_regained table={table}");
            self.directory.borrow_mut().renew_leases(now_ms);
        }
    }

    /// Records that a call about `table`, begun at `began_ms`, failed.
    pub(crate) fn record_store_failure(&self, table: &str, began_ms: u64, error: &StoreError) {
        if self
            .store_health
            .record_failure(error, began_ms, self.now_ms())
        {
            log::warn!(
                "event=store_lost table={table} error={}",
                process::quote(error)
            );
        }
    }

    async fn run_transaction(
        &self,
        transaction: &Transaction,
        call: impl Future<Output = Result<TransactOutcome, StoreError>>,
    ) -> Result<TransactOutcome, StoreError> {
        let began_ms = self.now_ms();
        let mut recoveries = self.store_health.recoveries();
        let table = first_table(transaction);
        tokio::select! {
            outcome = call => self.record_outcome(table, began_ms, outcome),
            _ = recoveries.changed() => Err(StoreError::Unknown("the store was away".to_owned())),
        }
    }

    fn record_outcome<T>(
        &self,
        table: &str,
        began_ms: u64,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        match &result {
            Ok(_) => {
                let took_ms = self.now_ms().saturating_sub(began_ms);
                self.store_health
                    .call_timeouts
                    .borrow_mut()
                    .record_answer(took_ms);
                self.record_store_answer(table);
            }
            Err(error) => self.record_store_failure(table, began_ms, error),
        }
        result
    }

    fn store_with_timeout(&self, tries: u32) -> Store {
        let timeout_ms = self.store_health.call_timeouts.borrow().timeout_ms(tries);
        self.store.clone().with_call_timeout_ms(timeout_ms)
    }
}

impl StoreHealth {
    /// Changes when the store is back after a time in which connections may
    /// have gone silent.
    pub(crate) fn recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// Whether calls fail.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable_since_ms.get().is_some()
    }

    /// Whether the store was away at some time since `since_ms`.
    pub(crate) fn was_unreachable_since(&self, since_ms: u64) -> bool {
        self.is_unreachable()
            || self
                .recovered_ms
                .get()
                .is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// How long ago the store last answered, milliseconds.
    pub(crate) fn time_since_answer_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_answer_ms.get())
    }

    /// Records an answer. Returns whether the store had been away.
    fn record_answer(&self, now_ms: u64) -> bool {
        self.last_answer_ms.set(now_ms);
        let Some(since_ms) = self.unreachable_since_ms.take() else {
            return false;
        };
        self.recovered_ms.set(Some(now_ms));
        if now_ms >= since_ms + STALE_CALL_OUTAGE_MS {
            self.recoveries.send_modify(|count| *count += 1);
        }
        true
    }

    /// Records a failed call. Returns whether the store counts as lost since
    /// then. A call that was overtaken by an answer says nothing.
    fn record_failure(&self, error: &StoreError, began_ms: u64, now_ms: u64) -> bool {
        let is_outdated = self.last_answer_ms.get() > began_ms;
        let is_lost = match error {
            StoreError::Unknown(_) => {
                let mut call_timeouts = self.call_timeouts.borrow_mut();
                call_timeouts.record_timeout(began_ms, now_ms);
                call_timeouts.consecutive_timeouts() >= UNANSWERED_CALLS_MAX
            }
            StoreError::NotDone(_) | StoreError::HistoryGone | StoreError::Protocol(_) => true,
        };
        if self.is_unreachable() || is_outdated || !is_lost {
            return false;
        }
        self.unreachable_since_ms.set(Some(now_ms));
        true
    }
}

/// A table that a transaction changes.
fn first_table(transaction: &Transaction) -> &str {
    let mut changed = transaction.puts.iter().chain(&transaction.removals);
    changed.next().map_or("", |entry| &entry.id.table)
}
