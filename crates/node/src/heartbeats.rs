//! Heartbeat rows in the store: writes the row of this instance and removes the
//! rows of instances whose leases expired long ago.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use ledger::{Heartbeat, HeartbeatMonitor, call_interval_ms};
use model::InstanceId;
use platform::{RowChange, RowId, StoreError, Transaction};
use store::Backoff;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    feeds::{RETRY_INITIAL_MS, RETRY_MAX_MS, live_instance_count},
    node::{Node, Stage},
};

/// Table of the instances' heartbeats.
pub(crate) const HEARTBEATS_TABLE: &str = "redwingtack_nodes";
/// Minimum time between two heartbeats of this instance, milliseconds.
const HEARTBEAT_INTERVAL_MIN_MS: u64 = 1_000;
/// The heartbeats of all instances may together use the store's write rate divided by
/// this number.
const HEARTBEAT_WRITE_DIVISOR: u64 = 10;
/// Writes of a stopping instance are made as if this many earlier tries had timed out:
/// they are not retried, so they get a longer time-out.
pub(crate) const STOP_WRITE_TRIES: u32 = 3;

/// Writes heartbeats, which renew the lease of this instance, until it begins to stop.
pub(crate) async fn send_heartbeats(node: Rc<Node>) {
    let mut next_at = Instant::now();
    let mut monitor = HeartbeatMonitor::default();
    let mut backoff = Backoff::new(RETRY_INITIAL_MS, RETRY_MAX_MS, rand::random());
    let mut tries = 0;
    while node.stage() == Stage::Serving {
        let interval_ms = heartbeat_interval_ms(&node);
        let transaction = Transaction {
            puts: vec![heartbeat_put(&node, interval_ms)],
            ..Transaction::default()
        };
        let delay_ms = match write_heartbeat(&node, &transaction, tries, &mut monitor).await {
            Ok(()) => {
                monitor.record_answered(node.now_ms());
                node.has_lease.set(true);
                backoff.reset();
                tries = 0;
                interval_ms
            }
            Err(error) => {
                monitor.record_failed();
                tries += 1;
                log::warn!("event=heartbeat_failed error={}", process::quote(&error));
                interval_ms.min(backoff.next_wait_ms())
            }
        };
        remove_expired_heartbeats(&node).await;
        next_at = (next_at + Duration::from_millis(delay_ms)).max(Instant::now());
        sleep_until(next_at).await;
    }
}

/// Writes a heartbeat. If the answer is overdue, probes on a new connection whether the
/// store can be reached, because the old connection may have gone silent.
async fn write_heartbeat(
    node: &Node,
    transaction: &Transaction,
    tries: u32,
    monitor: &mut HeartbeatMonitor,
) -> Result<(), StoreError> {
    let sent_at_ms = node.now_ms();
    monitor.record_sent(sent_at_ms);
    let overdue_at_ms = monitor.overdue_at_ms().unwrap_or(sent_at_ms);
    let until_overdue = sleep(Duration::from_millis(overdue_at_ms - sent_at_ms));
    let probe = async {
        until_overdue.await;
        if let Err(error) = node.store.probe().await {
            node.record_store_failure(HEARTBEATS_TABLE, sent_at_ms, &error);
        }
    };
    let mut write = pin!(node.transact(transaction, tries));
    let result = tokio::select! {
        result = &mut write => result,
        () = probe => write.await,
    };
    result.map(drop)
}

/// Announces in the heartbeat row that this instance is stopping, so that peers do not
/// expect it to take over jobs.
pub(crate) async fn announce_stop(node: Rc<Node>) {
    let transaction = Transaction {
        puts: vec![heartbeat_put(&node, heartbeat_interval_ms(&node))],
        ..Transaction::default()
    };
    if let Err(error) = node.transact(&transaction, STOP_WRITE_TRIES).await {
        log::warn!("event=announce_failed error={}", process::quote(&error));
    }
}

/// Removes the heartbeat row of this instance, so that no other instance waits
/// until its lease expires.
pub(crate) async fn remove_heartbeat(node: Rc<Node>) {
    let removal = Transaction {
        removals: vec![heartbeat_row_id(&node.owner_id.instance).removed()],
        ..Transaction::default()
    };
    if let Err(error) = node.transact(&removal, STOP_WRITE_TRIES).await {
        log::warn!("event=leave_failed error={}", process::quote(&error));
    }
}

/// Removes the rows of instances whose leases expired long ago. The removal is
/// conditional on the version, so that a new heartbeat is not removed.
async fn remove_expired_heartbeats(node: &Node) {
    if node.store_health.is_unreachable() || !node.has_read_heartbeats.get() {
        return;
    }
    let expired = node.directory.borrow().expired_instances(node.now_ms());
    for (instance, version) in expired {
        let row = heartbeat_row_id(&instance);
        let removal = Transaction {
            conditions: vec![row.clone().at_version(version)],
            removals: vec![row.removed()],
            ..Transaction::default()
        };
        match node.transact(&removal, 0).await {
            Ok(_) => log::info!("event=instance_forgotten instance={instance}"),
            Err(error) => {
                log::warn!(
                    "event=forget_failed instance={instance} error={}",
                    process::quote(&error)
                );
            }
        }
    }
}

fn heartbeat_put(node: &Node, interval_ms: u64) -> RowChange {
    let settings = node.settings();
    let heartbeat = Heartbeat {
        owner: node.owner_id.clone(),
        peer_address: settings.peer_listen,
        callers_address: Some(settings.front_listen),
        region: settings.region.as_str().into(),
        interval_ms,
        is_stopping: node.stage() != Stage::Serving,
    };
    // Serializing strings and numbers cannot fail.
    let value = serde_json::to_vec(&heartbeat).unwrap_or_default();
    heartbeat_row_id(&node.owner_id.instance).with_value(Bytes::from(value))
}

fn heartbeat_row_id(instance: &InstanceId) -> RowId {
    RowId::new(HEARTBEATS_TABLE, "", instance.as_str())
}

fn heartbeat_interval_ms(node: &Node) -> u64 {
    let writes_per_s = node.settings().store_limits.writes_per_s;
    let instances = live_instance_count(node);
    call_interval_ms(Some(instances), writes_per_s, HEARTBEAT_WRITE_DIVISOR)
        .max(HEARTBEAT_INTERVAL_MIN_MS)
}
