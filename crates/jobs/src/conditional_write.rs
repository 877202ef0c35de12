//! Retries one conditional write until its outcome is known.
//!
//! If the reply is lost, a row that the transaction writes, the marker row, is
//! read back. The marker row contains the operation's id if the write took
//! effect. Otherwise the same transaction is sent again. The conditions make the
//! retry idempotent: the transaction takes effect at most once, even if the first
//! copy is still in transit.

use crate::{OpId, RowValue, Transaction};

/// A conditional write in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConditionalWrite {
    transaction: Transaction,
    /// Key of a row that the transaction writes with the operation's id.
    marker: String,
    op: OpId,
    is_ambiguous: bool,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Sending,
    /// The reply was lost, so that the write may or may not have taken effect;
    /// the marker row is read.
    ResolvingUnknown,
    /// A retry ran into a conflict, possibly with its own first copy; the
    /// marker row is read.
    ResolvingConflict,
}

/// A request to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableRequest<'a> {
    /// Applies the transaction.
    Transact(&'a Transaction),
    /// Reads the row at the key.
    Read(&'a str),
}

/// The table's reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The transaction took effect.
    Committed {
        /// Version of every row that the transaction put.
        version: u64,
    },
    /// A condition did not hold; nothing took effect.
    Conflict,
    /// The requested row with its version, or `None` if it does not exist.
    Row(Option<(u64, RowValue)>),
    /// The request failed and is known to have had no effect.
    NotApplied,
    /// No reply arrived; the request may have taken effect or may still do so.
    Unknown,
}

/// Known outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The write took effect.
    Applied {
        /// Version of every row that the write put.
        version: u64,
    },
    /// The write took no effect and never will.
    Refused,
}

impl ConditionalWrite {
    /// Starts a write. The row at `marker` must be among those that
    /// `transaction` writes, and its new value must contain `op`.
    #[must_use]
    pub fn new(transaction: Transaction, marker: &str, op: OpId) -> Self {
        Self {
            transaction,
            marker: marker.to_owned(),
            op,
            is_ambiguous: false,
            phase: Phase::Sending,
        }
    }

    /// Returns the next request to send to the table. After a failed request,
    /// the same request may be returned again.
    #[must_use]
    pub fn next_request(&self) -> TableRequest<'_> {
        match self.phase {
            Phase::Sending => TableRequest::Transact(&self.transaction),
            Phase::ResolvingUnknown | Phase::ResolvingConflict => TableRequest::Read(&self.marker),
        }
    }

    /// Returns whether a copy of the write may have taken effect or may still do
    /// so.
    #[must_use]
    pub const fn is_ambiguous(&self) -> bool {
        self.is_ambiguous
    }

    /// Processes the reply to the last request. Returns `None` if another
    /// request is needed.
    pub fn on_reply(&mut self, reply: &Reply) -> Option<Outcome> {
        match self.phase {
            Phase::Sending => self.on_transact_reply(reply),
            Phase::ResolvingUnknown | Phase::ResolvingConflict => self.on_read_reply(reply),
        }
    }

    fn on_transact_reply(&mut self, reply: &Reply) -> Option<Outcome> {
        match reply {
            Reply::Committed { version } => return Some(Outcome::Applied { version: *version }),
            Reply::Conflict if self.is_ambiguous => self.phase = Phase::ResolvingConflict,
            Reply::Conflict => return Some(Outcome::Refused),
            Reply::Unknown => {
                self.is_ambiguous = true;
                self.phase = Phase::ResolvingUnknown;
            }
            Reply::NotApplied | Reply::Row(_) => {}
        }
        None
    }

    fn on_read_reply(&mut self, reply: &Reply) -> Option<Outcome> {
        let Reply::Row(row) = reply else {
            return None;
        };
        if let Some((version, value)) = row
            && value.contains_op(self.op)
        {
            return Some(Outcome::Applied { version: *version });
        }
        if self.phase == Phase::ResolvingConflict {
            return Some(Outcome::Refused);
        }
        self.phase = Phase::Sending;
        None
    }
}
