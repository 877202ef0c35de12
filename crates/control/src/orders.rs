//! Orders to engines to load and unload models.
//!
//! In each region one node, the issuer, sends the orders. It holds a lease with
//! a fencing token (`issuer_lease`), decides what to order (`plan`), and makes
//! the calls to the table and to the engines (`driver`).

mod driver;
mod issuer_lease;
mod plan;

pub(crate) use self::driver::OrderDriver;
pub use self::{
    issuer_lease::{IssuerLease, LeaseRow, LeaseTimes, Permission, TableOp, WriteOutcome},
    plan::{EngineState, plan_order},
};
