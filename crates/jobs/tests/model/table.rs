//! The platform's table, with writes that arrive late.

use std::collections::BTreeMap;

use jobs::{ChunkName, ChunkRow, ChunkState, ExpectedRow, JobState, RowValue, Transaction, Write};

use super::{Violation, violated};

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Table {
    rows: BTreeMap<String, (u64, RowValue)>,
    /// Writes that were sent and may still take effect.
    pub late: Vec<Transaction>,
}

impl Table {
    pub fn row(&self, key: &str) -> Option<&(u64, RowValue)> {
        self.rows.get(key)
    }

    /// Applies a transaction; `None` is a conflict. Every row put gets the same
    /// version, above that of any row before. The lowest such version keeps
    /// states that differ only in their past apart from each other no longer
    /// than needed.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<Option<u64>, Violation> {
        let holds = transaction.conditions.iter().all(|check| {
            match (check.expect, self.rows.get(&check.key)) {
                (ExpectedRow::Absent, row) => row.is_none(),
                (ExpectedRow::Version(expected), Some((version, _))) => expected == *version,
                (ExpectedRow::Version(_), None) => false,
            }
        });
        if !holds {
            return Ok(None);
        }
        let job_was_open = self.job_is_open();
        let version = self.version_after(transaction);
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    self.check_put(key, value, job_was_open)?;
                    self.rows.insert(key.clone(), (version, value.clone()));
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        Ok(Some(version))
    }

    fn version_after(&self, transaction: &Transaction) -> u64 {
        let touched = transaction.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        });
        let versions = touched.filter_map(|key| self.rows.get(key));
        versions.map(|(version, _)| *version).max().unwrap_or(0) + 1
    }

    /// Rows of chunks, by key.
    pub fn chunks(&self) -> impl Iterator<Item = (ChunkName, &ChunkRow)> {
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

    /// The open row, if the job is listed.
    pub fn open(&self) -> Option<jobs::OpenJob> {
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

    fn job_is_open(&self) -> bool {
        self.rows.values().any(|(_, value)| match value {
            RowValue::Job(row) => row.state == JobState::Open,
            _ => false,
        })
    }

    /// A result never changes, and none comes after the job's end.
    fn check_put(&self, key: &str, value: &RowValue, job_was_open: bool) -> Result<(), Violation> {
        let RowValue::Chunk(row) = value else {
            return Ok(());
        };
        if let Some((_, RowValue::Chunk(old))) = self.rows.get(key)
            && matches!(old.state, ChunkState::Done { .. })
        {
            return violated("a committed chunk was written again");
        }
        if matches!(row.state, ChunkState::Done { .. }) && !job_was_open {
            return violated("a chunk was committed after the job's end");
        }
        Ok(())
    }
}
