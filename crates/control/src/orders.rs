//! Orders to engines: one issuer per region by a fenced lease, what it orders,
//! and the calls that carry it out.

mod driver;
mod issuer;
mod plan;

pub(crate) use self::driver::Orders;
pub use self::{
    issuer::{IssuerLease, LeaseRow, LeaseTimes, Permission, TableOp, WriteOutcome},
    plan::{EngineState, plan_order},
};
