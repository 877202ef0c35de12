//! Holds the bodies of the items of owned jobs in memory as far as there is room, and reads the
//! others from the store when an item has a slot. `ledger` decides which bodies make room.

use std::{rc::Rc, time::Duration};

use ledger::{BodyRoom, HeldBodies, JobItem, OwnedJob};
use model::JobId;
use platform::StoreError;
use tokio::{sync::Semaphore, task::spawn_local, time::sleep};

use super::{
    runner::{Runner, WaitingItem},
    storage::JobRows,
};
use crate::node::Node;

/// The bodies take up at most this part of the memory of the process.
const MEMORY_DIVISOR: u64 = 4;
/// Delay before bodies are read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of jobs whose items are read at the same time. A read takes up several times
/// the memory of the bodies.
const READS_MAX: usize = 2;

/// Reads of the items of jobs.
#[derive(Debug)]
pub(super) struct ItemReads {
    permits: Rc<Semaphore>,
    /// Size of the bodies that are being read for the next items of a job, bytes.
    body_bytes: Option<usize>,
}

impl Default for ItemReads {
    fn default() -> Self {
        Self {
            permits: Rc::new(Semaphore::new(READS_MAX)),
            body_bytes: None,
        }
    }
}

impl ItemReads {
    /// Returns the permits of reads for takeovers and for callers.
    pub(super) fn permits(&self) -> Rc<Semaphore> {
        Rc::clone(&self.permits)
    }
}

/// Drops the bodies of a job that is not in the runner yet, unless there is room for them.
pub(super) fn fit_bodies(node: &Node, runner: &Runner, job: &mut OwnedJob) {
    let held = runner.jobs.iter().filter(|job| job.has_bodies());
    let held_bytes: usize = held.map(OwnedJob::body_bytes).sum();
    let read_bytes = runner.item_reads.body_bytes.unwrap_or(0);
    if !body_room(node).fits(held_bytes + read_bytes, job.body_bytes()) {
        log::info!("event=job_bodies_dropped job={}", job.id());
        job.drop_bodies();
    }
}

/// Reads the bodies of a job, one of whose items has a slot, unless a read is in progress or the
/// store is unreachable. Until then, the item waits.
pub(super) fn begin_read(node: &Rc<Node>, waiting: &[WaitingItem], job_index: usize) {
    let mut runner = node.runner.borrow_mut();
    if runner.item_reads.body_bytes.is_some() || node.store_health.is_unreachable() {
        return;
    }
    let job = &runner.jobs[job_index];
    let id = job.id().clone();
    let bytes = job.body_bytes();
    let drops = jobs_to_drop(&runner, body_room(node), waiting, bytes);
    runner.item_reads.body_bytes = Some(bytes);
    spawn_local(read_bodies(Rc::clone(node), id, drops));
}

fn jobs_to_drop(
    runner: &Runner,
    room: BodyRoom,
    waiting: &[WaitingItem],
    bytes: usize,
) -> Vec<JobId> {
    let holders = runner.jobs.iter().enumerate();
    let holders: Vec<_> = holders.filter(|(_, job)| job.has_bodies()).collect();
    let to_held = |(index, job): &(usize, &OwnedJob)| HeldBodies {
        bytes: job.body_bytes(),
        position: waiting.iter().position(|item| item.job_index == *index),
    };
    let held: Vec<_> = holders.iter().map(to_held).collect();
    let drops = room.drops_for(&held, bytes).into_iter();
    drops.map(|index| holders[index].1.id().clone()).collect()
}

/// Reads the bodies of a job. Only then do the jobs in `drops` make room, so that their items
/// can start while the store does not answer.
async fn read_bodies(node: Rc<Node>, id: JobId, drops: Vec<JobId>) {
    let read = JobRows::new(&node).read_bodies(&id).await;
    let is_restored = read.and_then(|items| restore_bodies(&node, &id, items, &drops));
    if let Err(error) = is_restored {
        log::warn!(
            "event=job_bodies_not_read job={id} error={}",
            process::quote(&error)
        );
        sleep(RETRY_DELAY).await;
    }
    node.runner.borrow_mut().item_reads.body_bytes = None;
    node.batch_state_changed.notify_one();
}

fn restore_bodies(
    node: &Node,
    id: &JobId,
    items: Vec<JobItem>,
    drops: &[JobId],
) -> Result<(), StoreError> {
    let mut runner = node.runner.borrow_mut();
    let Ok(index) = runner.find_job(id) else {
        return Ok(());
    };
    if !runner.jobs[index].restore_bodies(items) {
        return Err(StoreError::Protocol("other items are stored".to_owned()));
    }
    log::info!("event=job_bodies_read job={id} dropped={}", drops.len());
    for other in drops {
        if let Ok(index) = runner.find_job(other) {
            runner.jobs[index].drop_bodies();
        }
    }
    Ok(())
}

fn body_room(node: &Node) -> BodyRoom {
    let bytes_max = node.settings().memory_max_bytes / MEMORY_DIVISOR;
    BodyRoom::new(usize::try_from(bytes_max).unwrap_or(usize::MAX))
}
