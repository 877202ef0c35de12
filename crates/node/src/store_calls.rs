//! Calls to the store, and a failure detector that learns from their outcomes whether
//! the store can be reached and which time-outs fit.

use std::cell::{Cell, RefCell};

use ledger::CallTimeouts;
use platform::{RowPage, RowRange, Store, StoreError, TransactOutcome, Transaction};
use tokio::{sync::watch, time::sleep_until};

use crate::node::Node;

/// Minimum length of an outage after which calls in flight are abandoned,
/// milliseconds. Their connections may have gone silent.
const STALE_CALL_OUTAGE_MS: u64 = 500;
/// Number of consecutive time-outs after which the store counts as unreachable. A
/// single answer may be lost although the store serves all instances.
const UNREACHABLE_TIMEOUTS: u32 = 2;
/// Maximum number of tries of one read while the store answers other calls.
const READ_TRIES_MAX: u32 = 4;

/// Failure detector of the store: when and how fast it answered, and whether it
/// counts as unreachable.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    last_answer_ms: Cell<u64>,
    /// When the last outage of the store ended.
    recovered_ms: Cell<Option<u64>>,
    unreachable_since_ms: Cell<Option<u64>>,
    /// Number of outages so far after which calls in flight were abandoned.
    recoveries: watch::Sender<u64>,
    call_timeouts: RefCell<CallTimeouts>,
}

impl Node {
    /// Reads rows of a range, as many as one answer holds. Retries a read that
    /// times out, up to [`READ_TRIES_MAX`] tries, and starts a read again if the
    /// store has recovered from an outage meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the store answers with one, or if a try times out and it is
    /// the last one or the store counts as unreachable.
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
            if let Ok(page) = &page {
                self.record_store_time(page.store_now_ms);
            }
            tries += 1;
            let is_answered = !matches!(page, Err(StoreError::Unknown(_)));
            if is_answered || tries >= READ_TRIES_MAX || self.store_health.is_unreachable() {
                return page;
            }
        }
    }

    /// Applies a transaction at most once. `tries` is the number of earlier tries of the
    /// same transaction that timed out; more tries give a longer time-out.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not confirm the transaction. If the store
    /// recovers from an outage while the call is in flight, the call is abandoned once it
    /// has had the time-out of a first try, and its outcome is unknown.
    pub(crate) async fn transact(
        &self,
        transaction: &Transaction,
        tries: u32,
    ) -> Result<TransactOutcome, StoreError> {
        let store = self.store_with_timeout(tries);
        self.run_transaction(transaction, store.transact(transaction))
            .await
    }

    /// Like [`Node::transact`], but on a new connection: if the connection cannot be
    /// opened, it is certain that nothing was done.
    pub(crate) async fn transact_on_new_connection(
        &self,
        transaction: &Transaction,
        tries: u32,
    ) -> Result<TransactOutcome, StoreError> {
        let store = self.store_with_timeout(tries);
        self.run_transaction(transaction, store.transact_on_new_connection(transaction))
            .await
    }

    /// Records that the store answered a call on `table`.
    pub(crate) fn record_store_answer(&self, table: &str) {
        let now_ms = self.now_ms();
        if self.store_health.record_answer(now_ms) {
            log::info!("event=store_regained table={table}");
            // No heartbeat could be read during the outage, so the leases of all peers
            // restart.
            self.directory.borrow_mut().renew_leases(now_ms);
        }
    }

    /// Records that a call on `table` that began at `began_ms` failed.
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
        let recoveries = self.store_health.recoveries();
        let table = first_table(transaction);
        tokio::select! {
            outcome = call => self.record_outcome(table, began_ms, outcome),
            () = self.wait_until_stale(began_ms, recoveries) => Err(StoreError::Unknown("the store was unreachable during the call".to_owned())),
        }
    }

    /// Waits until the store has recovered from an outage and a call that began at `began_ms`
    /// has had the time-out of a first try. A younger call is not given up: its connection
    /// need not be silent, and the store may be about to answer that it did nothing.
    async fn wait_until_stale(&self, began_ms: u64, mut recoveries: watch::Receiver<u64>) {
        // The sender lives as long as the node.
        let _ = recoveries.changed().await;
        let timeout_ms = self.store_health.call_timeouts.borrow().first_timeout_ms();
        sleep_until(self.clock.instant(began_ms + timeout_ms)).await;
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
    /// Returns a receiver that changes when the store recovers from an outage
    /// during which connections may have gone silent.
    pub(crate) fn recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// Returns whether the store counts as unreachable.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable_since_ms.get().is_some()
    }

    /// Returns whether the store counted as unreachable at any time since `since_ms`.
    pub(crate) fn was_unreachable_since(&self, since_ms: u64) -> bool {
        self.is_unreachable()
            || self
                .recovered_ms
                .get()
                .is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// Returns the time since the store's last answer, in milliseconds.
    pub(crate) fn time_since_answer_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_answer_ms.get())
    }

    /// Records an answer. Returns whether the store counted as unreachable before.
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

    /// Records a failed call. Returns whether the store counts as unreachable from this
    /// call on. The failure of a call that began before the last answer is no sign that
    /// the store is unreachable now.
    fn record_failure(&self, error: &StoreError, began_ms: u64, now_ms: u64) -> bool {
        let is_outdated = self.last_answer_ms.get() > began_ms;
        let indicates_outage = match error {
            StoreError::Unknown(_) => {
                let mut call_timeouts = self.call_timeouts.borrow_mut();
                call_timeouts.record_timeout(began_ms, now_ms);
                call_timeouts.consecutive_timeouts() >= UNREACHABLE_TIMEOUTS
            }
            StoreError::NotDone(_) | StoreError::HistoryGone | StoreError::Protocol(_) => true,
        };
        if self.is_unreachable() || is_outdated || !indicates_outage {
            return false;
        }
        self.unreachable_since_ms.set(Some(now_ms));
        true
    }
}

/// Returns the first table that a transaction changes, for the log.
fn first_table(transaction: &Transaction) -> &str {
    let mut changes = transaction.puts.iter().chain(&transaction.removals);
    changes.next().map_or("", |change| &change.id.table)
}
