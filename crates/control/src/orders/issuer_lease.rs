//! Lease that permits one node of a region to send orders: a row in the table
//! with a fencing token.
//!
//! Clocks of different nodes are never compared. The holder counts the duration
//! of its lease from before it sent the write. A challenger counts the same
//! duration from when it first saw the row, which is later, and after it has
//! taken the lease it also waits for the maximum delivery time of an order. An
//! engine that checks fencing tokens refuses orders that still arrive late. An
//! engine that ignores fencing tokens can carry out a late order only if the
//! holder was paused between its last check of the clock and the write to the
//! socket.

use model::InstanceId;
use serde::{Deserialize, Serialize};

/// Durations that the lease depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Duration of the lease after a write of the row, in milliseconds.
    pub lease_ms: u64,
    /// Maximum time from the decision to send an order until it arrives, in
    /// milliseconds.
    pub max_delivery_ms: u64,
}

/// Value of the lease row, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Node that holds the lease.
    pub holder: InstanceId,
    /// Fencing token, which increases with each change of the holder.
    pub fence: u64,
}

/// Operation on the lease row that the caller must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableOp {
    /// Read the row and pass it to [`IssuerLease::on_row_read`].
    Read,
    /// Write the row and pass the outcome to [`IssuerLease::on_row_written`].
    Write {
        /// Version that the row must have for the write to take effect; zero if
        /// the row must not exist.
        expected_version: u64,
        /// New value of the row.
        row: LeaseRow,
    },
}

/// Outcome of a write of the lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row now has this version.
    Committed(u64),
    /// The write had no effect, because the row has another version.
    Conflict,
    /// The write may or may not have taken effect.
    Unknown,
}

/// Permission to send orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permission {
    /// Fencing token for the order.
    pub fence: u64,
    /// Time by which the order must have arrived, in milliseconds of the caller's
    /// clock.
    pub deadline_ms: u64,
}

/// State of the lease as seen by one control program. Performs no I/O: the
/// caller passes in the time and performs the [`TableOp`]s that are returned.
#[derive(Debug)]
pub struct IssuerLease {
    local_id: InstanceId,
    times: LeaseTimes,
    state: State,
    /// Operation on the table that has not completed.
    pending_op: Option<PendingOp>,
    next_op_at_ms: u64,
}

#[derive(Debug, Clone)]
struct PendingOp {
    sent_at_ms: u64,
    fence: u64,
}

#[derive(Debug)]
enum State {
    /// The row has not been read, or the lease was lost.
    Unknown,
    /// The row exists and this node does not hold the lease. The lease counts as
    /// expired once this node has seen no other version of the row for the
    /// lease duration since `unchanged_since_ms`.
    Watching {
        row_version: u64,
        fence: u64,
        unchanged_since_ms: u64,
    },
    /// This node holds the lease and may send orders from `orders_from_ms`.
    Held {
        row_version: u64,
        fence: u64,
        valid_until_ms: u64,
        orders_from_ms: u64,
    },
}

impl IssuerLease {
    /// Creates the state of a node that does not hold the lease and has not read
    /// the row. `local_id` identifies this node.
    #[must_use]
    pub fn new(local_id: InstanceId, times: LeaseTimes) -> Self {
        Self {
            local_id,
            times,
            state: State::Unknown,
            pending_op: None,
            next_op_at_ms: 0,
        }
    }

    /// Returns the next operation on the table, if one is due. `is_candidate`
    /// tells whether this node should be the issuer according to its view.
    pub fn tick(&mut self, is_candidate: bool, now_ms: u64) -> Option<TableOp> {
        if let State::Held { valid_until_ms, .. } = self.state
            && valid_until_ms <= now_ms
        {
            self.state = State::Unknown;
        }
        // A holder that is no longer a candidate lets the lease expire.
        if !is_candidate || self.pending_op.is_some() || self.next_op_at_ms > now_ms {
            return None;
        }
        // A lost renewal can be repeated before the lease ends.
        self.next_op_at_ms = now_ms + self.times.lease_ms / 3;
        let (op, fence) = match self.state {
            State::Held {
                row_version, fence, ..
            } => (self.write_op(row_version, fence), fence),
            State::Watching {
                row_version,
                fence,
                unchanged_since_ms,
            } if unchanged_since_ms + self.times.lease_ms <= now_ms => {
                let fence = fence + 1;
                (self.write_op(row_version, fence), fence)
            }
            State::Watching { .. } | State::Unknown => (TableOp::Read, 0),
        };
        self.pending_op = Some(PendingOp {
            sent_at_ms: now_ms,
            fence,
        });
        Some(op)
    }

    /// Records the result of [`TableOp::Read`]: the row with its version, `None`
    /// if there is no row, or an error if it could not be read. Returns the
    /// operation that must follow, if any.
    pub fn on_row_read(
        &mut self,
        row: Result<Option<(u64, LeaseRow)>, ()>,
        now_ms: u64,
    ) -> Option<TableOp> {
        self.pending_op = None;
        match row {
            Err(()) => None,
            Ok(None) => {
                self.pending_op = Some(PendingOp {
                    sent_at_ms: now_ms,
                    fence: 1,
                });
                Some(self.write_op(0, 1))
            }
            Ok(Some((row_version, row))) => {
                self.observe_row(row_version, row.fence, now_ms);
                None
            }
        }
    }

    /// Records the outcome of [`TableOp::Write`].
    pub fn on_row_written(&mut self, outcome: WriteOutcome, now_ms: u64) {
        let Some(pending_op) = self.pending_op.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Committed(row_version) => {
                let orders_from_ms = match self.state {
                    State::Held { orders_from_ms, .. } => orders_from_ms,
                    // There was no holder before the first one, so no earlier
                    // order can still arrive.
                    _ if pending_op.fence == 1 => now_ms,
                    _ => now_ms + self.times.max_delivery_ms,
                };
                self.state = State::Held {
                    row_version,
                    fence: pending_op.fence,
                    valid_until_ms: pending_op.sent_at_ms + self.times.lease_ms,
                    orders_from_ms,
                };
            }
            WriteOutcome::Conflict => {
                self.state = State::Unknown;
                self.next_op_at_ms = now_ms;
            }
            // A lease that is already held remains valid until its end. The
            // next write shows whether this one took effect.
            WriteOutcome::Unknown => {}
        }
    }

    /// Returns the permission to send an order now, or `None` if no order may be
    /// sent. An order is permitted only if it must arrive before the lease ends.
    #[must_use]
    pub fn permission(&self, now_ms: u64) -> Option<Permission> {
        match self.state {
            State::Held {
                fence,
                valid_until_ms,
                orders_from_ms,
                ..
            } if orders_from_ms <= now_ms
                && now_ms + self.times.max_delivery_ms <= valid_until_ms =>
            {
                Some(Permission {
                    fence,
                    deadline_ms: now_ms + self.times.max_delivery_ms,
                })
            }
            _ => None,
        }
    }

    /// Records the row as read, whichever node wrote it. The wait for the expiry of
    /// the lease restarts only if the row has changed.
    fn observe_row(&mut self, seen_version: u64, seen_fence: u64, now_ms: u64) {
        if let State::Watching { row_version, .. } = self.state
            && row_version == seen_version
        {
            return;
        }
        self.state = State::Watching {
            row_version: seen_version,
            fence: seen_fence,
            unchanged_since_ms: now_ms,
        };
    }

    fn write_op(&self, expected_version: u64, fence: u64) -> TableOp {
        let holder = self.local_id.clone();
        TableOp::Write {
            expected_version,
            row: LeaseRow { holder, fence },
        }
    }
}
