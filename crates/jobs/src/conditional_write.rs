//! Carries one conditional write to a certain outcome.
//!
//! A lost answer is settled by reading the marker row back: it carries the
//! operation's id if the write took effect. If it does not, the same
//! transaction is sent again; its checks let it take effect once at most, also
//! when the first copy still travels.

use crate::{OpId, RowValue, Transaction};

/// A conditional write under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConditionalWrite {
    transaction: Transaction,
    marker: String,
    op: OpId,
    is_ambiguous: bool,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Sending,
    /// The write may or may not have taken effect.
    ResolvingUnknown,
    /// A repeated write met a conflict, perhaps with its own first copy.
    ResolvingConflict,
}

/// What to ask the table next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableRequest<'a> {
    /// Apply the transaction.
    Transact(&'a Transaction),
    /// Read the row at the key.
    Read(&'a str),
}

/// What the table answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The transaction took effect.
    Committed {
        /// Version of every row that it put.
        version: u64,
    },
    /// A check did not hold; nothing took effect.
    Conflict,
    /// The row asked for, with its version.
    Row(Option<(u64, RowValue)>),
    /// The call certainly took no effect.
    NotApplied,
    /// No answer came; the call may have taken effect or may still do so.
    Unknown,
}

/// Certain outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It took effect.
    Applied {
        /// Version of every row that it put.
        version: u64,
    },
    /// It took no effect and never will.
    Refused,
}

impl ConditionalWrite {
    /// Starts a write whose effect shows in the row at `marker`.
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

    /// What to ask next; after a failed call the same may be asked again.
    #[must_use]
    pub fn next_request(&self) -> TableRequest<'_> {
        match self.phase {
            Phase::Sending => TableRequest::Transact(&self.transaction),
            Phase::ResolvingUnknown | Phase::ResolvingConflict => TableRequest::Read(&self.marker),
        }
    }

    /// Whether a copy of the write may have taken effect or may still do so.
    #[must_use]
    pub const fn is_ambiguous(&self) -> bool {
        self.is_ambiguous
    }

    /// Takes the answer to the last question. `None` asks for another.
    pub fn on_reply(&mut self, reply: &Reply) -> Option<Outcome> {
        match self.phase {
            Phase::Sending => self.on_sent(reply),
            Phase::ResolvingUnknown | Phase::ResolvingConflict => self.on_read(reply),
        }
    }

    fn on_sent(&mut self, reply: &Reply) -> Option<Outcome> {
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

    fn on_read(&mut self, reply: &Reply) -> Option<Outcome> {
        let Reply::Row(row) = reply else {
            return None;
        };
        if let Some((version, value)) = row
            && value.is_written_by(self.op)
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
