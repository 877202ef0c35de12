//! Holds the contents of the items of owned jobs in memory, their headers and bodies, as far as
//! there is room, and reads the others from the store when an item has a slot. `ledger` decides
//! which contents make room.

use std::{rc::Rc, time::Duration};

use ledger::{ContentRoom, HeldContents, JobItem, OwnedJob};
use model::JobId;
use platform::StoreError;
use tokio::{sync::Semaphore, task::spawn_local, time::sleep};

use super::{
    runner::{Runner, WaitingItem},
    storage::JobRows,
};
use crate::node::Node;

/// The contents take up at most this part of the memory of the process.
const MEMORY_DIVISOR: u64 = 4;
/// Delay before contents are read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of jobs whose items are read at the same time. A read takes up several times
/// the memory of the contents.
const READS_MAX: usize = 2;

/// Reads of the items of jobs.
#[derive(Debug)]
pub(super) struct ItemReads {
    permits: Rc<Semaphore>,
    /// Size of the contents that are being read for the next items of a job, bytes.
    content_bytes: Option<usize>,
}

impl Default for ItemReads {
    fn default() -> Self {
        Self {
            permits: Rc::new(Semaphore::new(READS_MAX)),
            content_bytes: None,
        }
    }
}

impl ItemReads {
    /// Returns the permits of reads for takeovers and for callers.
    pub(super) fn permits(&self) -> Rc<Semaphore> {
        Rc::clone(&self.permits)
    }
}

/// Drops the contents of a job that is not in the runner yet, unless there is room for them.
pub(super) fn fit_contents(node: &Node, runner: &Runner, job: &mut OwnedJob) {
    let held = runner.jobs.iter().filter(|job| job.has_contents());
    let held_bytes: usize = held.map(OwnedJob::content_bytes).sum();
    let read_bytes = runner.item_reads.content_bytes.unwrap_or(0);
    if !content_room(node).fits(held_bytes + read_bytes, job.content_bytes()) {
        log::info!("event=job_bodies_dropped job={}", job.id());
        job.drop_contents();
    }
}

/// Reads the contents of a job, one of whose items has a slot, unless a read is in progress or the
/// store is unreachable. Until then, the item waits.
pub(super) fn begin_read(node: &Rc<Node>, waiting: &[WaitingItem], job_index: usize) {
    let mut runner = node.runner.borrow_mut();
    if runner.item_reads.content_bytes.is_some() || node.store_health.is_unreachable() {
        return;
    }
    let job = &runner.jobs[job_index];
    let id = job.id().clone();
    let bytes = job.content_bytes();
    let drops = jobs_to_drop(&runner, content_room(node), waiting, bytes);
    runner.item_reads.content_bytes = Some(bytes);
    spawn_local(read_contents(Rc::clone(node), id, drops));
}

fn jobs_to_drop(
    runner: &Runner,
    room: ContentRoom,
    waiting: &[WaitingItem],
    bytes: usize,
) -> Vec<JobId> {
    let holders = runner.jobs.iter().enumerate();
    let holders: Vec<_> = holders.filter(|(_, job)| job.has_contents()).collect();
    let to_held = |(index, job): &(usize, &OwnedJob)| HeldContents {
        bytes: job.content_bytes(),
        position: waiting.iter().position(|item| item.job_index == *index),
    };
    let held: Vec<_> = holders.iter().map(to_held).collect();
    let drops = room.drops_for(&held, bytes).into_iter();
    drops.map(|index| holders[index].1.id().clone()).collect()
}

/// Reads the contents of a job. Only then do the jobs in `drops` make room, so that their items
/// can start while the store does not answer.
async fn read_contents(node: Rc<Node>, id: JobId, drops: Vec<JobId>) {
    let read = JobRows::new(&node).read_contents(&id).await;
    let is_restored = read.and_then(|items| restore_contents(&node, &id, items, &drops));
    if let Err(error) = is_restored {
        log::warn!(
            "event=job_bodies_not_read job={id} error={}",
            process::quote(&error)
        );
        sleep(RETRY_DELAY).await;
    }
    node.runner.borrow_mut().item_reads.content_bytes = None;
    node.batch_state_changed.notify_one();
}

fn restore_contents(
    node: &Node,
    id: &JobId,
    items: Vec<JobItem>,
    drops: &[JobId],
) -> Result<(), StoreError> {
    let mut runner = node.runner.borrow_mut();
    let Ok(index) = runner.find_job(id) else {
        return Ok(());
    };
    if !runner.jobs[index].restore_contents(items) {
        return Err(StoreError::Protocol("other items are stored".to_owned()));
    }
    log::info!("event=job_bodies_read job={id} dropped={}", drops.len());
    for other in drops {
        if let Ok(index) = runner.find_job(other) {
            runner.jobs[index].drop_contents();
        }
    }
    Ok(())
}

fn content_room(node: &Node) -> ContentRoom {
    let bytes_max = node.settings().memory_max_bytes / MEMORY_DIVISOR;
    ContentRoom::new(usize::try_from(bytes_max).unwrap_or(usize::MAX))
}
