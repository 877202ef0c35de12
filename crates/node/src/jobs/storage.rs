//! Rows in which jobs are stored.
//!
//! All rows of a job share a partition, so that one transaction can change
//! them. Contents that are larger than a row are split over several.

use std::sync::Arc;

use bincode::{config, serde::decode_from_slice, serde::encode_to_vec};
use bytes::{Bytes, BytesMut};
use ledger::{Commit, CommitOutcome, ItemResult, JobItem, JobRecord, PartialOutput};
use model::JobId;
use platform::{
    Row, RowChange, RowCondition, RowId, RowRange, StoreError, TransactOutcome, Transaction,
};
use serde_json::{from_slice, to_vec};

use crate::node::Node;

/// Table of the jobs' records.
pub(crate) const JOBS_TABLE: &str = "redwingtack_jobs";
const ITEMS_TABLE: &str = "redwingtack_items";
const RESULTS_TABLE: &str = "redwingtack_results";
const PARTIALS_TABLE: &str = "redwingtack_partials";
/// Partitions over which jobs are spread; each takes a share of the store's
/// transactions. The number must be the same at all instances for good.
pub(crate) const PARTITIONS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];
/// Bytes of values in one transaction; encoded, they stay below its limit.
const TRANSACTION_MAX_BYTES: usize = 600_000;
/// Rows in one transaction.
const TRANSACTION_MAX_ROWS: usize = 90;
/// Marks the last row of a content.
const LAST: u8 = 1;
const NOT_LAST: u8 = 0;
/// Results that one read collects, bytes of output.
const RESULTS_MAX_BYTES: usize = 800_000;

/// Access to the rows of jobs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobRows<'a> {
    node: &'a Node,
    row_max_bytes: usize,
    /// Tries of the same write that went unanswered before.
    tries: u32,
}

/// What came of storing a new job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum InsertOutcome {
    /// The job is stored.
    Inserted { version: u64 },
    /// The job was stored before.
    Exists { record: JobRecord, version: u64 },
}

/// What is stored of a job's items.
#[derive(Debug, Clone)]
pub(crate) struct StoredItems {
    pub(crate) items: Vec<JobItem>,
    pub(crate) partials: Vec<PartialOutput>,
}

impl<'a> JobRows<'a> {
    /// Access through the store of `node`, with the row size of its settings.
    pub(crate) fn new(node: &'a Node) -> Self {
        Self {
            node,
            row_max_bytes: node.settings().store_limits.row_max_bytes,
            tries: 0,
        }
    }

    /// Allows a write more time, as earlier `tries` of it went unanswered.
    pub(crate) fn with_tries(mut self, tries: u32) -> Self {
        self.tries = tries;
        self
    }

    /// Stores a job unless it exists. Repeating this is safe.
    pub(crate) async fn insert(
        &self,
        id: &JobId,
        record: &JobRecord,
        items: &[JobItem],
    ) -> Result<InsertOutcome, StoreError> {
        let content = encode(&items)?;
        let mut puts = self.split(ITEMS_TABLE, id, "", &content);
        // Only the last transaction makes the job exist.
        while total_bytes(&puts) > TRANSACTION_MAX_BYTES || puts.len() >= TRANSACTION_MAX_ROWS {
            let rest = puts.split_off(first_batch(&puts));
            self.put(std::mem::replace(&mut puts, rest)).await?;
        }
        puts.push(record_entry(id, record)?);
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
                let (record, version) = conflicting_record(&rows)?
                    .ok_or_else(|| StoreError::Protocol("conflict without a row".to_owned()))?;
                Ok(InsertOutcome::Exists { record, version })
            }
        }
    }

    /// Reads a record from the store.
    pub(crate) async fn record(&self, id: &JobId) -> Result<Option<(JobRecord, u64)>, StoreError> {
        let range = RowRange::of_row(&row_id(JOBS_TABLE, id, id.as_str()));
        let page = self.node.read_rows(&range).await?;
        conflicting_record(&page.rows)
    }

    /// Replaces a record that has `version`, and saves outputs with it.
    pub(crate) async fn replace_record(
        &self,
        id: &JobId,
        record: &JobRecord,
        version: u64,
        partials: &[PartialOutput],
    ) -> Result<CommitOutcome, StoreError> {
        let puts = self.partial_entries(id, partials)?;
        self.conditional(id, record, version, puts).await
    }

    /// Rows of as many outputs as one transaction holds.
    fn partial_entries(
        &self,
        id: &JobId,
        partials: &[PartialOutput],
    ) -> Result<Vec<RowChange>, StoreError> {
        let mut puts = Vec::new();
        for partial in partials {
            let suffix = format!("{:06}/", partial.item_index);
            let rows = self.split(PARTIALS_TABLE, id, &suffix, &encode(partial)?);
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

    /// Saves outputs of items while the record has `version`.
    pub(crate) async fn save_partials(
        &self,
        id: &JobId,
        version: u64,
        partials: &[PartialOutput],
    ) -> Result<TransactOutcome, StoreError> {
        let transaction = Transaction {
            conditions: vec![record_condition(id, version)],
            puts: self.partial_entries(id, partials)?,
            removals: Vec::new(),
        };
        self.node.transact(&transaction, self.tries).await
    }

    /// Writes results.
    pub(crate) async fn commit(
        &self,
        id: &JobId,
        commit: &Commit,
    ) -> Result<CommitOutcome, StoreError> {
        let mut puts = Vec::new();
        for (position, result) in (commit.first_position..).zip(&commit.results) {
            let suffix = format!("{position:06}/");
            puts.extend(self.split(RESULTS_TABLE, id, &suffix, &encode(result)?));
        }
        self.conditional(id, &commit.record, commit.expected_version, puts)
            .await
    }

    /// Reads results from a position on, at least one if there is one.
    pub(crate) async fn results(
        &self,
        id: &JobId,
        from_position: u64,
    ) -> Result<Vec<ItemResult>, StoreError> {
        let from_key = format!("{id}/{from_position:06}/");
        let mut contents = Vec::new();
        let mut bytes = 0;
        self.read(RESULTS_TABLE, id, from_key, |content| {
            bytes += content.len();
            contents.push(content);
            bytes < RESULTS_MAX_BYTES
        })
        .await?;
        contents.iter().map(decode).collect()
    }

    /// Reads the items of a job and what earlier owners saved of them.
    pub(crate) async fn items(&self, id: &JobId) -> Result<StoredItems, StoreError> {
        let mut content = Bytes::new();
        self.read(ITEMS_TABLE, id, format!("{id}/"), |whole| {
            content = whole;
            false
        })
        .await?;
        let items = decode(&content)?;
        let mut partials = Vec::new();
        self.read(PARTIALS_TABLE, id, format!("{id}/"), |whole| {
            partials.push(whole);
            true
        })
        .await?;
        let partials = partials.iter().map(decode);
        Ok(StoredItems {
            items,
            partials: partials.collect::<Result<_, _>>()?,
        })
    }

    /// Removes everything of a job; its record goes last.
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

    async fn conditional(
        &self,
        id: &JobId,
        record: &JobRecord,
        version: u64,
        mut puts: Vec<RowChange>,
    ) -> Result<CommitOutcome, StoreError> {
        puts.push(record_entry(id, record)?);
        let transaction = Transaction {
            conditions: vec![record_condition(id, version)],
            puts,
            removals: Vec::new(),
        };
        Ok(match self.node.transact(&transaction, self.tries).await? {
            TransactOutcome::Committed { version } => CommitOutcome::Committed { version },
            TransactOutcome::Conflict { rows } => {
                CommitOutcome::Conflict(conflicting_record(&rows)?)
            }
        })
    }

    async fn put(&self, puts: Vec<RowChange>) -> Result<(), StoreError> {
        let transaction = Transaction {
            puts,
            ..Transaction::default()
        };
        self.node
            .transact(&transaction, self.tries)
            .await
            .map(|_| ())
    }

    /// Reads whole contents in key order until `take` returns false.
    async fn read(
        &self,
        table: &'static str,
        id: &JobId,
        from_key: String,
        mut take: impl FnMut(Bytes) -> bool,
    ) -> Result<(), StoreError> {
        let mut rest = Some(job_range(table, id, from_key));
        let mut content = BytesMut::new();
        while let Some(range) = rest {
            let page = self.node.read_rows(&range).await?;
            for row in &page.rows {
                let Some((mark, part)) = row.value.split_first() else {
                    return Err(StoreError::Protocol(format!("row {} is empty", row.key)));
                };
                content.extend_from_slice(part);
                if *mark == LAST && !take(content.split().freeze()) {
                    return Ok(());
                }
            }
            rest = range.after(&page);
        }
        Ok(())
    }

    fn split(
        &self,
        table: &'static str,
        id: &JobId,
        suffix: &str,
        content: &[u8],
    ) -> Vec<RowChange> {
        let part_bytes = self.row_max_bytes - 1;
        let parts: Vec<_> = content.chunks(part_bytes).collect();
        let last = parts.len().saturating_sub(1);
        let row = |(index, part): (usize, &&[u8])| {
            let mut value = Vec::with_capacity(part.len() + 1);
            value.push(if index == last { LAST } else { NOT_LAST });
            value.extend_from_slice(part);
            let key = format!("{id}/{suffix}{index:04}");
            row_id(table, id, &key).with_value(Bytes::from(value))
        };
        parts.iter().enumerate().map(row).collect()
    }
}

/// Decodes a record from its row.
pub(crate) fn decode_record(row: &Row) -> Result<JobRecord, StoreError> {
    from_slice(&row.value).map_err(|error| StoreError::Protocol(error.to_string()))
}

/// The partition of a job's rows.
fn partition(id: &JobId) -> &'static str {
    let sum: usize = id.as_str().bytes().map(usize::from).sum();
    PARTITIONS[sum % PARTITIONS.len()]
}

fn job_range(table: &'static str, id: &JobId, from_key: String) -> RowRange {
    RowRange {
        // The character after the slash ends the range of the job's keys.
        to_key: Some(format!("{id}0")),
        ..RowRange::new(table, partition(id)).with_from_key(from_key)
    }
}

fn conflicting_record(rows: &[Row]) -> Result<Option<(JobRecord, u64)>, StoreError> {
    let row = rows
        .iter()
        .find(|row| *row.table == *JOBS_TABLE && !row.is_removed && row.version > 0);
    row.map(|row| Ok((decode_record(row)?, row.version)))
        .transpose()
}

fn record_condition(id: &JobId, version: u64) -> RowCondition {
    row_id(JOBS_TABLE, id, id.as_str()).at_version(version)
}

fn record_entry(id: &JobId, record: &JobRecord) -> Result<RowChange, StoreError> {
    let value = to_vec(record).map_err(|error| StoreError::Protocol(error.to_string()))?;
    Ok(row_id(JOBS_TABLE, id, id.as_str()).with_value(Bytes::from(value)))
}

fn row_id(table: &'static str, id: &JobId, key: &str) -> RowId {
    RowId::new(table, partition(id), key)
}

fn first_batch(puts: &[RowChange]) -> usize {
    let mut bytes = 0;
    for (index, put) in puts.iter().enumerate() {
        bytes += put.value.as_ref().map_or(0, Bytes::len);
        if index > 0 && (bytes > TRANSACTION_MAX_BYTES || index >= TRANSACTION_MAX_ROWS) {
            return index;
        }
    }
    puts.len()
}

fn total_bytes(puts: &[RowChange]) -> usize {
    puts.iter()
        .map(|put| put.value.as_ref().map_or(0, Bytes::len))
        .sum()
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    encode_to_vec(value, config::standard())
        .map_err(|error| StoreError::Protocol(error.to_string()))
}

fn decode<T: serde::de::DeserializeOwned>(content: &Bytes) -> Result<T, StoreError> {
    decode_from_slice(content, config::standard())
        .map(|(value, _)| value)
        .map_err(|error| StoreError::Protocol(error.to_string()))
}
