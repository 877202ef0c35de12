//! Conditional transactions on the platform's table, before they are encoded.

use serde::{Deserialize, Serialize};

use crate::RowValue;

/// Identifies one operation, so that a row shows which operation wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OpId {
    /// Random number drawn when the process started.
    pub process: u64,
    /// Sequence number of the operation in its process.
    pub number: u64,
}

impl OpId {
    /// Returns the first operation id of a process.
    #[must_use]
    pub const fn new(process: u64) -> Self {
        Self { process, number: 0 }
    }

    /// Returns the id that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            process: self.process,
            number: self.number + 1,
        }
    }
}

/// Writes that take effect atomically if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Transaction {
    /// Conditions on the rows, evaluated before the writes.
    pub conditions: Vec<Condition>,
    /// Changes to apply.
    pub writes: Vec<Write>,
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// State that the row must have.
    pub expect: ExpectedRow,
}

/// Expected state of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExpectedRow {
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(u64),
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Write {
    /// Inserts or replaces the row.
    Put {
        /// Key of the row.
        key: String,
        /// New value.
        value: RowValue,
    },
    /// Removes the row.
    Delete {
        /// Key of the row.
        key: String,
    },
}

impl Transaction {
    /// Creates a transaction without conditions and writes.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Requires that no row exists at `key`.
    #[must_use]
    pub fn require_absent(mut self, key: &str) -> Self {
        self.conditions.push(Condition {
            key: key.to_owned(),
            expect: ExpectedRow::Absent,
        });
        self
    }

    /// Requires that the row at `key` has `version`.
    #[must_use]
    pub fn require_version(mut self, key: &str, version: u64) -> Self {
        self.conditions.push(Condition {
            key: key.to_owned(),
            expect: ExpectedRow::Version(version),
        });
        self
    }

    /// Inserts or replaces the row at `key`.
    #[must_use]
    pub fn with_put(mut self, key: &str, value: RowValue) -> Self {
        self.writes.push(Write::Put {
            key: key.to_owned(),
            value,
        });
        self
    }

    /// Removes the row at `key`.
    #[must_use]
    pub fn with_delete(mut self, key: &str) -> Self {
        self.writes.push(Write::Delete {
            key: key.to_owned(),
        });
        self
    }
}

impl Default for Transaction {
    fn default() -> Self {
        Self::new()
    }
}
