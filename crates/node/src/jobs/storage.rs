//! Reads and writes the rows in which jobs are stored.
//!
//! All rows of a job share a partition, so that one transaction can change several
//! of them. The record of a job is one row. Items, partial outputs and results are
//! payloads: encoded values that are split into as many rows as they need.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use ledger::{Commit, CommitOutcome, ItemResult, JobRecord, PartialOutput, StoredItems};
use model::JobId;
use platform::{
    Row, RowChange, RowCondition, RowId, RowRange, StoreError, TransactOutcome, Transaction,
};
use serde_json::to_vec;

use super::{partial_codec::encode_partial, record_codec::decode_record};
use crate::{codec, node::Node};

/// Table of the job records.
pub(crate) const JOBS_TABLE: &str = "redwingtack_jobs";
pub(super) const ITEMS_TABLE: &str = "redwingtack_items";
const RESULTS_TABLE: &str = "redwingtack_results";
pub(super) const PARTIALS_TABLE: &str = "redwingtack_partials";
/// Partitions among which jobs are distributed, so that each partition takes a share of
/// the store's transactions. All instances must use the same partitions, and these must
/// never change, because they determine where the rows of stored jobs are.
pub(crate) const JOB_PARTITIONS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];
/// Maximum bytes of row values in one transaction. The encoded transaction then stays
/// below the store's limit.
pub(super) const TRANSACTION_MAX_BYTES: usize = 600_000;
/// Maximum number of rows in one transaction.
pub(super) const TRANSACTION_MAX_ROWS: usize = 90;
/// First byte of the last row of a payload.
const LAST_ROW: u8 = 1;
/// First byte of every other row of a payload.
const NOT_LAST_ROW: u8 = 0;
/// Number of bytes of results after which a read of results ends.
const RESULTS_READ_MAX_BYTES: usize = 800_000;

/// Reads and writes the rows of jobs through the store client of a node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobRows<'a> {
    pub(super) node: &'a Node,
    row_max_bytes: usize,
    /// Number of earlier tries of the same write that timed out.
    tries: u32,
}

/// Outcome of storing a new job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum InsertOutcome {
    /// The job is stored.
    Inserted { version: u64 },
    /// The job existed already.
    Exists { record: JobRecord, version: u64 },
}

/// Outcome of removing a job that was not admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RemoveOutcome {
    /// The job does not exist any more.
    Removed,
    /// The record was changed before, so the job stays.
    Changed { record: JobRecord, version: u64 },
}

impl<'a> JobRows<'a> {
    /// Creates access to the rows of jobs through the store client of `node`, with the
    /// maximum row size of its settings.
    pub(crate) fn new(node: &'a Node) -> Self {
        Self {
            node,
            row_max_bytes: node.settings().store_limits.row_max_bytes,
            tries: 0,
        }
    }

    /// Sets the number of earlier tries of a write that timed out. More tries give the
    /// write a longer time-out.
    pub(crate) fn with_tries(mut self, tries: u32) -> Self {
        self.tries = tries;
        self
    }

    /// Stores a job unless it exists. The operation is idempotent, so it can be repeated
    /// after a lost answer.
    pub(crate) async fn insert(
        &self,
        id: &JobId,
        record: &JobRecord,
        items: &StoredItems,
    ) -> Result<InsertOutcome, StoreError> {
        let mut puts = self.put_items(id, items).await?;
        puts.push(record_put(id, record)?);
        let transaction = Transaction {
            conditions: vec![record_condition(id, 0)],
            puts,
            removals: Vec::new(),
        };
        match self
            .node
            .transact_on_new_connection(&transaction, self.tries)
            .await?
        {
            TransactOutcome::Committed { version } => Ok(InsertOutcome::Inserted { version }),
            TransactOutcome::Conflict { rows } => {
                let (record, version) = current_job_record(self.node, &rows)?
                    .ok_or_else(|| StoreError::Protocol("conflict has no record".to_owned()))?;
                Ok(InsertOutcome::Exists { record, version })
            }
        }
    }

    /// Removes a job that was stored with `version` but not admitted, unless its record
    /// has changed since. Rows that do not fit into the transaction stay. They belong to
    /// no job, and are overwritten if the job is submitted again.
    pub(crate) async fn remove_refused(
        &self,
        id: &JobId,
        version: u64,
    ) -> Result<RemoveOutcome, StoreError> {
        let range = job_range(ITEMS_TABLE, id, format!("{id}/"));
        let page = self.node.read_rows(&range).await?;
        let rows = page.rows.iter().take(TRANSACTION_MAX_ROWS);
        let mut removals: Vec<_> = rows
            .map(|row| row_id(ITEMS_TABLE, id, &row.key).removed())
            .collect();
        removals.push(row_id(JOBS_TABLE, id, id.as_str()).removed());
        let transaction = Transaction {
            conditions: vec![record_condition(id, version)],
            puts: Vec::new(),
            removals,
        };
        Ok(match self.node.transact(&transaction, self.tries).await? {
            TransactOutcome::Committed { .. } => RemoveOutcome::Removed,
            TransactOutcome::Conflict { rows } => match current_job_record(self.node, &rows)? {
                Some((record, version)) => RemoveOutcome::Changed { record, version },
                // An earlier try of the same removal took effect after all.
                None => RemoveOutcome::Removed,
            },
        })
    }

    /// Reads the record of a job and the record's version from the store. Returns `None`
    /// if the job does not exist.
    pub(crate) async fn read_record(
        &self,
        id: &JobId,
    ) -> Result<Option<(JobRecord, u64)>, StoreError> {
        let range = RowRange::of_row(&row_id(JOBS_TABLE, id, id.as_str()));
        let page = self.node.read_rows(&range).await?;
        current_job_record(self.node, &page.rows)
    }

    /// Replaces the record and saves partial outputs in one transaction, if the stored
    /// record still has `version`.
    pub(crate) async fn replace_record(
        &self,
        id: &JobId,
        record: &JobRecord,
        version: u64,
        partials: &[PartialOutput],
    ) -> Result<CommitOutcome, StoreError> {
        let puts = self.partial_puts(id, partials)?;
        self.put_if_version(id, record, version, puts).await
    }

    /// Returns the rows of as many partial outputs as fit into one transaction. Logs and
    /// skips the others, whose items then resume from an older partial output.
    fn partial_puts(
        &self,
        id: &JobId,
        partials: &[PartialOutput],
    ) -> Result<Vec<RowChange>, StoreError> {
        let mut puts = Vec::new();
        for partial in partials {
            let suffix = format!("{:06}/", partial.item_index);
            let rows = self.split_into_rows(PARTIALS_TABLE, id, &suffix, &encode_partial(partial)?);
            if puts.len() + rows.len() >= TRANSACTION_MAX_ROWS
                || total_bytes(&puts) + total_bytes(&rows) > TRANSACTION_MAX_BYTES
            {
                log::warn!(
                    "event=partial_not_saved job={id} item_index={}",
                    partial.item_index
                );
                continue;
            }
            puts.extend(rows);
        }
        Ok(puts)
    }

    /// Saves partial outputs of items if the record still has `version`.
    pub(crate) async fn save_partials(
        &self,
        id: &JobId,
        version: u64,
        partials: &[PartialOutput],
    ) -> Result<TransactOutcome, StoreError> {
        let transaction = Transaction {
            conditions: vec![record_condition(id, version)],
            puts: self.partial_puts(id, partials)?,
            removals: Vec::new(),
        };
        self.node.transact(&transaction, self.tries).await
    }

    /// Writes results together with the record, if the record still has the expected
    /// version.
    pub(crate) async fn commit(
        &self,
        id: &JobId,
        commit: &Commit,
    ) -> Result<CommitOutcome, StoreError> {
        let mut puts = Vec::new();
        for (position, result) in (commit.first_position..).zip(&commit.results) {
            let suffix = format!("{position:06}/");
            puts.extend(self.split_into_rows(RESULTS_TABLE, id, &suffix, &encode(result)?));
        }
        self.put_if_version(id, &commit.record, commit.expected_version, puts)
            .await
    }

    /// Reads results starting at `from_position`, until [`RESULTS_READ_MAX_BYTES`] are
    /// reached. Returns at least one result if there is one.
    pub(crate) async fn read_results(
        &self,
        id: &JobId,
        from_position: u64,
    ) -> Result<Vec<ItemResult>, StoreError> {
        let from_key = format!("{id}/{from_position:06}/");
        let mut payloads = Vec::new();
        let mut bytes = 0;
        self.read_payloads(RESULTS_TABLE, id, from_key, |payload| {
            bytes += payload.len();
            payloads.push(payload);
            bytes < RESULTS_READ_MAX_BYTES
        })
        .await?;
        payloads.iter().map(decode).collect()
    }

    /// Removes all rows of a job. The record is removed last, so that an interrupted
    /// removal can be repeated.
    pub(crate) async fn remove(&self, id: &JobId, version: u64) -> Result<(), StoreError> {
        for table in [ITEMS_TABLE, PARTIALS_TABLE, RESULTS_TABLE] {
            loop {
                let range = job_range(table, id, format!("{id}/"));
                let page = self.node.read_rows(&range).await?;
                let keys: Vec<_> = page.rows.iter().map(|row| Arc::clone(&row.key)).collect();
                if keys.is_empty() {
                    break;
                }
                for chunk in keys.chunks(TRANSACTION_MAX_ROWS) {
                    let removals = chunk
                        .iter()
                        .map(|key| row_id(table, id, key).removed())
                        .collect();
                    let transaction = Transaction {
                        removals,
                        ..Transaction::default()
                    };
                    self.node.transact(&transaction, self.tries).await?;
                }
            }
        }
        let transaction = Transaction {
            conditions: vec![record_condition(id, version)],
            removals: vec![row_id(JOBS_TABLE, id, id.as_str()).removed()],
            ..Transaction::default()
        };
        self.node
            .transact(&transaction, self.tries)
            .await
            .map(|_| ())
    }

    /// Writes the record and `puts` in one transaction if the record still has
    /// `version`.
    async fn put_if_version(
        &self,
        id: &JobId,
        record: &JobRecord,
        version: u64,
        mut puts: Vec<RowChange>,
    ) -> Result<CommitOutcome, StoreError> {
        puts.push(record_put(id, record)?);
        let transaction = Transaction {
            conditions: vec![record_condition(id, version)],
            puts,
            removals: Vec::new(),
        };
        Ok(match self.node.transact(&transaction, self.tries).await? {
            TransactOutcome::Committed { version } => CommitOutcome::Committed { version },
            TransactOutcome::Conflict { rows } => {
                CommitOutcome::Conflict(current_job_record(self.node, &rows)?)
            }
        })
    }

    pub(super) async fn put_rows(&self, puts: Vec<RowChange>) -> Result<(), StoreError> {
        let transaction = Transaction {
            puts,
            ..Transaction::default()
        };
        self.node
            .transact(&transaction, self.tries)
            .await
            .map(|_| ())
    }

    /// Reads payloads in key order, each reassembled from its rows, until `on_payload`
    /// returns false.
    pub(super) async fn read_payloads(
        &self,
        table: &'static str,
        id: &JobId,
        from_key: String,
        mut on_payload: impl FnMut(Bytes) -> bool,
    ) -> Result<(), StoreError> {
        let mut remaining = Some(job_range(table, id, from_key));
        let mut payload = BytesMut::new();
        while let Some(range) = remaining {
            let page = self.node.read_rows(&range).await?;
            for row in &page.rows {
                let Some((marker, part)) = row.value.split_first() else {
                    return Err(StoreError::Protocol(format!(
                        "row {} is empty: expected a marker byte",
                        row.key
                    )));
                };
                payload.extend_from_slice(part);
                if *marker == LAST_ROW && !on_payload(payload.split().freeze()) {
                    return Ok(());
                }
            }
            remaining = range.after(&page);
        }
        Ok(())
    }

    /// Splits a payload into rows. The first byte of each row tells whether the row is the
    /// last one.
    pub(super) fn split_into_rows(
        &self,
        table: &'static str,
        id: &JobId,
        suffix: &str,
        payload: &[u8],
    ) -> Vec<RowChange> {
        let parts: Vec<_> = payload.chunks(self.part_bytes()).collect();
        let last_index = parts.len().saturating_sub(1);
        let to_row = |(index, part): (usize, &&[u8])| {
            payload_row(table, id, suffix, index, part, index == last_index)
        };
        parts.iter().enumerate().map(to_row).collect()
    }

    /// Returns the size of the part of a payload in one row, bytes.
    pub(super) fn part_bytes(&self) -> usize {
        self.row_max_bytes - 1
    }
}

/// Returns the row with a part of a payload.
pub(super) fn payload_row(
    table: &'static str,
    id: &JobId,
    suffix: &str,
    index: usize,
    part: &[u8],
    is_last: bool,
) -> RowChange {
    let mut value = Vec::with_capacity(part.len() + 1);
    value.push(if is_last { LAST_ROW } else { NOT_LAST_ROW });
    value.extend_from_slice(part);
    let key = format!("{id}/{suffix}{index:04}");
    row_id(table, id, &key).with_value(Bytes::from(value))
}

/// Returns the partition of all rows of a job.
fn partition(id: &JobId) -> &'static str {
    let byte_sum: usize = id.as_str().bytes().map(usize::from).sum();
    JOB_PARTITIONS[byte_sum % JOB_PARTITIONS.len()]
}

fn job_range(table: &'static str, id: &JobId, from_key: String) -> RowRange {
    RowRange {
        // `0` is the character after `/`, so this key is just past the job's keys.
        to_key: Some(format!("{id}0")),
        ..RowRange::new(table, partition(id)).with_from_key(from_key)
    }
}

/// Returns the job record among `rows` and its version, or `None` if `rows` contains no
/// job record or only a removed one.
fn current_job_record(node: &Node, rows: &[Row]) -> Result<Option<(JobRecord, u64)>, StoreError> {
    let row = rows
        .iter()
        .find(|row| *row.table == *JOBS_TABLE && !row.is_removed && row.version > 0);
    row.map(|row| Ok((decode_record(node, row)?, row.version)))
        .transpose()
}

fn record_condition(id: &JobId, version: u64) -> RowCondition {
    row_id(JOBS_TABLE, id, id.as_str()).at_version(version)
}

fn record_put(id: &JobId, record: &JobRecord) -> Result<RowChange, StoreError> {
    let value = to_vec(record).map_err(|error| StoreError::Protocol(error.to_string()))?;
    Ok(row_id(JOBS_TABLE, id, id.as_str()).with_value(Bytes::from(value)))
}

fn row_id(table: &'static str, id: &JobId, key: &str) -> RowId {
    RowId::new(table, partition(id), key)
}

fn total_bytes(puts: &[RowChange]) -> usize {
    puts.iter()
        .map(|put| put.value.as_ref().map_or(0, Bytes::len))
        .sum()
}

pub(super) fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    codec::encode(value).map_err(|error| StoreError::Protocol(error.to_string()))
}

pub(super) fn decode<T: serde::de::DeserializeOwned>(payload: &Bytes) -> Result<T, StoreError> {
    codec::decode_stored(payload)
        .map(|(value, _)| value)
        .map_err(|error| StoreError::Protocol(error.to_string()))
}
