//! Who may issue orders: a lease in the table with a fencing number.
//!
//! Nobody compares clocks. The holder counts its lease from before the write
//! was sent; a challenger counts from when it first saw the row, which is later,
//! and waits out the longest flight of an order besides. An engine that checks
//! fencing numbers refuses what still comes late. An engine that ignores them
//! can only obey an order of a holder that was paused between its last look at
//! the clock and the write to the socket.

use model::InstanceId;
use serde::{Deserialize, Serialize};

/// Durations of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time for which a write of the row gives the lease, milliseconds.
    pub lease_ms: u64,
    /// Longest time from the decision to send an order to its arrival,
    /// milliseconds.
    pub max_delivery_ms: u64,
}

/// Value of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds the lease.
    pub holder: InstanceId,
    /// Grows with each change of the holder.
    pub fence: u64,
}

/// A call of the table that the issuer needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableOp {
    /// Read the row and report it with [`IssuerLease::on_row_read`].
    Read,
    /// Write the row and report with [`IssuerLease::on_row_written`].
    Write {
        /// State that the row must have.
        expected_version: u64,
        /// New value.
        row: LeaseRow,
    },
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect; the row has this version.
    Committed(u64),
    /// Somebody else wrote the row.
    Conflict,
    /// It may have taken effect.
    Unknown,
}

/// Permission to send orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permission {
    /// Fencing number for the order.
    pub fence: u64,
    /// Time by which it must have arrived.
    pub deadline_ms: u64,
}

/// The lease as one control program sees it.
#[derive(Debug)]
pub struct IssuerLease {
    own: InstanceId,
    times: LeaseTimes,
    state: State,
    /// A call of the table that has not been answered.
    in_flight: Option<InFlight>,
    next_call_at_ms: u64,
}

#[derive(Debug, Clone)]
struct InFlight {
    sent_at_ms: u64,
    fence: u64,
}

#[derive(Debug)]
enum State {
    /// Nothing is known of the row.
    Unknown,
    /// Somebody else holds the lease, or did.
    Watching {
        row_version: u64,
        fence: u64,
        since_ms: u64,
    },
    /// This program holds the lease.
    Held {
        row_version: u64,
        fence: u64,
        valid_until_ms: u64,
        orders_from_ms: u64,
    },
}

impl IssuerLease {
    /// Starts without the lease.
    #[must_use]
    pub fn new(own: InstanceId, times: LeaseTimes) -> Self {
        Self {
            own,
            times,
            state: State::Unknown,
            in_flight: None,
            next_call_at_ms: 0,
        }
    }

    /// What to ask of the table. `is_candidate` tells whether this program
    /// should issue orders according to its view.
    pub fn tick(&mut self, is_candidate: bool, now_ms: u64) -> Option<TableOp> {
        if let State::Held { valid_until_ms, .. } = self.state
            && valid_until_ms <= now_ms
        {
            self.state = State::Unknown;
        }
        // A holder that is no candidate any more lets the lease lapse.
        if !is_candidate || self.in_flight.is_some() || self.next_call_at_ms > now_ms {
            return None;
        }
        self.next_call_at_ms = now_ms + self.times.lease_ms / 3;
        let (op, fence) = match self.state {
            State::Held {
                row_version, fence, ..
            } => (self.write(row_version, fence), fence),
            State::Watching {
                row_version,
                fence,
                since_ms,
            } if since_ms + self.times.lease_ms <= now_ms => {
                let fence = fence + 1;
                (self.write(row_version, fence), fence)
            }
            State::Watching { .. } | State::Unknown => (TableOp::Read, 0),
        };
        self.in_flight = Some(InFlight {
            sent_at_ms: now_ms,
            fence,
        });
        Some(op)
    }

    /// Takes in the row, `None` if there is none, or that it could not be read.
    pub fn on_row_read(
        &mut self,
        row: Result<Option<(u64, LeaseRow)>, ()>,
        now_ms: u64,
    ) -> Option<TableOp> {
        self.in_flight = None;
        match row {
            Err(()) => None,
            Ok(None) => {
                self.in_flight = Some(InFlight {
                    sent_at_ms: now_ms,
                    fence: 1,
                });
                Some(self.write(0, 1))
            }
            Ok(Some((row_version, row))) => {
                self.watch(row_version, row.fence, now_ms);
                None
            }
        }
    }

    /// Takes in the outcome of a write.
    pub fn on_row_written(&mut self, outcome: WriteOutcome, now_ms: u64) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Committed(row_version) => {
                let orders_from_ms = match self.state {
                    State::Held { orders_from_ms, .. } => orders_from_ms,
                    // The first holder ever follows nobody.
                    _ if in_flight.fence == 1 => now_ms,
                    _ => now_ms + self.times.max_delivery_ms,
                };
                self.state = State::Held {
                    row_version,
                    fence: in_flight.fence,
                    valid_until_ms: in_flight.sent_at_ms + self.times.lease_ms,
                    orders_from_ms,
                };
            }
            WriteOutcome::Conflict => {
                self.state = State::Unknown;
                self.next_call_at_ms = now_ms;
            }
            // A held lease runs on to its end; the next write tells.
            WriteOutcome::Unknown => {}
        }
    }

    /// Whether an order may be sent now, and under which fencing number.
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

    /// Starts the wait for a lapse anew only if the row has changed.
    fn watch(&mut self, seen_version: u64, seen_fence: u64, now_ms: u64) {
        if let State::Watching { row_version, .. } = self.state
            && row_version == seen_version
        {
            return;
        }
        self.state = State::Watching {
            row_version: seen_version,
            fence: seen_fence,
            since_ms: now_ms,
        };
    }

    fn write(&self, expected_version: u64, fence: u64) -> TableOp {
        let holder = self.own.clone();
        TableOp::Write {
            expected_version,
            row: LeaseRow { holder, fence },
        }
    }
}
