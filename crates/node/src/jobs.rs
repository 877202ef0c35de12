//! Batch jobs: accepts submissions, runs the items of the jobs that this instance owns
//! and serves the results of all jobs. Begin reading at `accept`, then at `runner`,
//! which schedules the items.

mod accept;
mod admission;
mod calls;
mod config_check;
mod item_contents;
mod item_rows;
mod item_run;
mod item_start;
mod ownership;
mod partial_codec;
mod peer_forwarding;
mod query;
mod record_codec;
mod repeats;
mod runner;
mod storage;
mod takeover_pace;
mod writes;

use std::rc::Rc;

use tokio::task::spawn_local;

pub(crate) use self::{
    accept::submit,
    calls::answer_call,
    ownership::{apply_row, release_jobs, retain_stored_jobs},
    query::store_unavailable,
    repeats::{answer_repeated_job, repeated_job, repeats_job_of_nobody},
    runner::Runner,
    storage::{JOB_PARTITIONS, JOBS_TABLE},
};
use crate::node::Node;

/// Starts the tasks that run items, save partial outputs, take over orphaned
/// jobs and remove expired ones.
pub(crate) fn start(node: &Rc<Node>) {
    spawn_local(runner::schedule_items(Rc::clone(node)));
    spawn_local(writes::save_partial_outputs(Rc::clone(node)));
    spawn_local(ownership::supervise_jobs(Rc::clone(node)));
}
