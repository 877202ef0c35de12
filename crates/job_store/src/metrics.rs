//! Counters of the calls to the platform.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use opentelemetry::{KeyValue, global, metrics::Counter};

/// Numbers of the calls sent to the platform, including repeated ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Rows that transactions wrote or deleted.
    pub table_writes: u64,
    /// Transactions sent.
    pub table_transactions: u64,
    /// Reads of a row or a page of rows.
    pub table_reads: u64,
    /// Object writes.
    pub object_writes: u64,
    /// Object reads.
    pub object_reads: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct Meter {
    totals: Arc<Totals>,
    calls: Counter<u64>,
}

#[derive(Debug, Default)]
struct Totals {
    table_writes: AtomicU64,
    table_transactions: AtomicU64,
    table_reads: AtomicU64,
    object_writes: AtomicU64,
    object_reads: AtomicU64,
}

impl Meter {
    pub(crate) fn new() -> Self {
        let calls = global::meter("redwingtack")
            .u64_counter("redwingtack.platform.calls")
            .with_description("Calls to the platform, by kind")
            .build();
        Self {
            totals: Arc::default(),
            calls,
        }
    }

    pub(crate) fn record_transaction(&self, rows: usize) {
        let totals = &self.totals;
        totals
            .table_writes
            .fetch_add(rows as u64, Ordering::Relaxed);
        self.count(&totals.table_transactions, "transact");
    }

    pub(crate) fn record_table_read(&self) {
        self.count(&self.totals.table_reads, "read");
    }

    pub(crate) fn record_object_write(&self) {
        self.count(&self.totals.object_writes, "object_write");
    }

    pub(crate) fn record_object_read(&self) {
        self.count(&self.totals.object_reads, "object_read");
    }

    pub(crate) fn counts(&self) -> CallCounts {
        let load = |total: &AtomicU64| total.load(Ordering::Relaxed);
        CallCounts {
            table_writes: load(&self.totals.table_writes),
            table_transactions: load(&self.totals.table_transactions),
            table_reads: load(&self.totals.table_reads),
            object_writes: load(&self.totals.object_writes),
            object_reads: load(&self.totals.object_reads),
        }
    }

    fn count(&self, total: &AtomicU64, kind: &'static str) {
        total.fetch_add(1, Ordering::Relaxed);
        self.calls.add(1, &[KeyValue::new("kind", kind)]);
    }
}
