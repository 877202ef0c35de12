//! Reads the newest configuration before items are given up because they have no route. The
//! configuration in force may be older than their job, and not know the route yet.
//!
//! Load pattern: a route is removed while many jobs on it are open, or an instance whose feed
//! has gone silent takes over many jobs at once. All jobs share one read at a time, and reads
//! keep a distance.

use std::rc::Rc;

use tokio::task::spawn_local;

use crate::{config_feed, node::Node};

/// Minimum time between the beginnings of two reads, milliseconds.
const READ_DISTANCE_MS: u64 = 500;

/// The reads of one instance.
#[derive(Debug, Default)]
pub(super) struct ConfigReads {
    is_reading: bool,
    next_at_ms: u64,
}

impl ConfigReads {
    /// Returns whether a read may begin now, and records that it begins.
    fn begin(&mut self, now_ms: u64) -> bool {
        if self.is_reading || now_ms < self.next_at_ms {
            return false;
        }
        self.is_reading = true;
        self.next_at_ms = now_ms + READ_DISTANCE_MS;
        true
    }
}

/// Begins to read the newest configuration for all owned jobs, unless that is under way, was
/// done just now or the store cannot be reached. Scheduling passes ask again while it is needed.
pub(super) fn begin_read(node: &Rc<Node>) {
    let mut runner = node.runner.borrow_mut();
    if node.store_health.is_unreachable() || !runner.config_reads.begin(node.now_ms()) {
        return;
    }
    for job in &mut runner.jobs {
        job.begin_config_read();
    }
    spawn_local(read(Rc::clone(node)));
}

async fn read(node: Rc<Node>) {
    let outcome = config_feed::read_changes(&node).await;
    // The newest configuration is not in force if it cannot be decoded.
    let is_newest = outcome.is_ok() && !node.key_lease.borrow().is_superseded();
    log::info!(
        "event=config_read_for_jobs config_version={} newest={is_newest} error={}",
        node.routes().map_or(0, |routes| routes.version),
        outcome.map_or_else(|error| process::quote(&error), |()| "none".to_owned())
    );
    let mut runner = node.runner.borrow_mut();
    runner.config_reads.is_reading = false;
    if is_newest {
        for job in &mut runner.jobs {
            job.confirm_config();
        }
    }
    drop(runner);
    node.batch_state_changed.notify_one();
}
