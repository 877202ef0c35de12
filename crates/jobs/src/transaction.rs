//! Conditional writes to the platform's table, before they are encoded.

use serde::{Deserialize, Serialize};

use crate::RowValue;

/// Identifies one operation, so that its effect can be recognised in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OpId {
    /// Drawn at random when the process started.
    pub process: u64,
    /// Counts the operations of the process.
    pub number: u64,
}

impl OpId {
    /// First operation id of a process.
    #[must_use]
    pub const fn new(process: u64) -> Self {
        Self { process, number: 0 }
    }

    /// The id of the operation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            process: self.process,
            number: self.number + 1,
        }
    }
}

/// Writes that take effect together if all checks hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Transaction {
    /// Conditions on rows as they are before the writes.
    pub conditions: Vec<Condition>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// State that it must have.
    pub expect: ExpectedRow,
}

/// Expected state of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExpectedRow {
    /// No such row.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Write {
    /// Inserts or replaces.
    Put {
        /// Key of the row.
        key: String,
        /// New value.
        value: RowValue,
    },
    /// Removes.
    Delete {
        /// Key of the row.
        key: String,
    },
}

impl Transaction {
    /// Starts without checks and writes.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Requires that `key` has no row.
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

    /// Puts a row.
    #[must_use]
    pub fn with_put(mut self, key: &str, value: RowValue) -> Self {
        self.writes.push(Write::Put {
            key: key.to_owned(),
            value,
        });
        self
    }

    /// Removes a row.
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
