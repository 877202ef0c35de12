//! Jobs: accepting them, running their items, handing out results.

mod accept;
mod item_run;
mod ownership;
mod pass_on;
mod query;
mod runner;
mod storage;
mod writes;

use std::rc::Rc;

use tokio::task::spawn_local;

pub(crate) use self::{
    accept::submit,
    ownership::{apply_row, release_jobs},
    query::answer_query,
    runner::Runner,
    storage::{JOB_PARTITIONS, JOBS_TABLE},
};
use crate::node::Node;

/// Starts running items and looking after orphaned jobs.
pub(crate) fn start(node: &Rc<Node>) {
    spawn_local(runner::schedule(Rc::clone(node)));
    spawn_local(writes::save_outputs(Rc::clone(node)));
    spawn_local(ownership::supervise(Rc::clone(node)));
}
