//! Model of the platform's table, including delayed writes.

use std::collections::BTreeMap;

use jobs::{ChunkName, ChunkRow, ChunkState, ExpectedRow, JobState, RowValue, Transaction, Write};

use super::{Violation, violation};

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Table {
    rows: BTreeMap<String, (u64, RowValue)>,
    /// Transactions that were sent and may still take effect.
    pub delayed: Vec<Transaction>,
}

impl Table {
    pub fn row(&self, key: &str) -> Option<&(u64, RowValue)> {
        self.rows.get(key)
    }

    /// Applies a transaction and returns the version of the rows that it put,
    /// or `None` if a condition does not hold. The version is one above the
    /// highest version of the rows that the transaction replaces or deletes.
    /// Such a small version makes states with different histories equal as soon
    /// as possible, which keeps the number of states low.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<Option<u64>, Violation> {
        let conditions_hold = transaction.conditions.iter().all(|condition| {
            match (condition.expect, self.rows.get(&condition.key)) {
                (ExpectedRow::Absent, row) => row.is_none(),
                (ExpectedRow::Version(expected), Some((version, _))) => expected == *version,
                (ExpectedRow::Version(_), None) => false,
            }
        });
        if !conditions_hold {
            return Ok(None);
        }
        let was_job_open = self.is_job_open();
        let version = self.next_version(transaction);
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    self.check_put(key, value, was_job_open)?;
                    self.rows.insert(key.clone(), (version, value.clone()));
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        Ok(Some(version))
    }

    fn next_version(&self, transaction: &Transaction) -> u64 {
        let keys = transaction.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        });
        let versions = keys.filter_map(|key| self.rows.get(key));
        versions.map(|(version, _)| *version).max().unwrap_or(0) + 1
    }

    /// Returns the chunk rows, in key order.
    pub fn chunk_rows(&self) -> impl Iterator<Item = (ChunkName, &ChunkRow)> {
        self.rows
            .iter()
            .filter_map(|(key, (_, value))| match value {
                RowValue::Chunk(row) => {
                    let name = key.rsplit('/').next().unwrap();
                    Some((name.parse().unwrap(), &**row))
                }
                _ => None,
            })
    }

    /// Returns the open row, or `None` if the job is not listed as open.
    pub fn open_job(&self) -> Option<jobs::OpenJob> {
        self.rows
            .iter()
            .find_map(|(key, (version, value))| match value {
                RowValue::Open(row) => Some(jobs::OpenJob {
                    key: key.clone(),
                    version: *version,
                    row: (**row).clone(),
                }),
                _ => None,
            })
    }

    fn is_job_open(&self) -> bool {
        self.rows.values().any(|(_, value)| match value {
            RowValue::Job(row) => row.state == JobState::Open,
            _ => false,
        })
    }

    /// Checks that a committed result never changes and that no result is
    /// committed after the job's end.
    fn check_put(&self, key: &str, value: &RowValue, was_job_open: bool) -> Result<(), Violation> {
        let RowValue::Chunk(row) = value else {
            return Ok(());
        };
        if let Some((_, RowValue::Chunk(previous))) = self.rows.get(key)
            && matches!(previous.state, ChunkState::Done { .. })
        {
            return violation("a committed chunk was written again");
        }
        if matches!(row.state, ChunkState::Done { .. }) && !was_job_open {
            return violation("a chunk was committed after the job's end");
        }
        Ok(())
    }
}
