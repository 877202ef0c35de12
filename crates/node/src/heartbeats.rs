//! The heartbeat rows of the instances: writes the own one, takes out those of
//! instances that are gone.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use ledger::{Heartbeat, HeartbeatMonitor, call_interval_ms};
use model::InstanceId;
use platform::{RowChange, RowId, StoreError, Transaction};
use store::Backoff;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    feeds::{RETRY_MAX_MS, RETRY_MS, live_instances},
    node::{Node, Stage},
};

/// Table of the instances' heartbeats.
pub(crate) const NODES_TABLE: &str = "redwingtack_nodes";
/// Shortest time between heartbeats, milliseconds.
const BEAT_INTERVAL_MS: u64 = 1_000;
/// Share of the store's writing calls that heartbeats may take: one in this
/// many.
const BEAT_WRITE_SHARE: u64 = 10;

/// Writes of a stopping instance are not repeated, so they get as much time as
/// after this many tries.
pub(crate) const STOP_WRITE_TRIES: u32 = 3;

/// Tells the other instances that this one lives.
pub(crate) async fn beat(node: Rc<Node>) {
    let mut next = Instant::now();
    let mut watch = HeartbeatMonitor::default();
    let mut backoff = Backoff::new(RETRY_MS, RETRY_MAX_MS, rand::random());
    let mut tries = 0;
    while node.stage() == Stage::Serving {
        let interval_ms = heartbeat_interval_ms(&node);
        let put = Transaction {
            puts: vec![heartbeat_entry(&node, interval_ms)],
            ..Transaction::default()
        };
        let delay_ms = match write_beat(&node, &put, tries, &mut watch).await {
            Ok(()) => {
                watch.record_answered(node.now_ms());
                node.has_lease.set(true);
                backoff.reset();
                tries = 0;
                interval_ms
            }
            Err(error) => {
                watch.record_failed();
                tries += 1;
                log::warn!("event=heartbeat_failed error={}", process::quote(&error));
                interval_ms.min(backoff.next_wait_ms())
            }
        };
        forget_silent_nodes(&node).await;
        next = (next + Duration::from_millis(delay_ms)).max(Instant::now());
        sleep_until(next).await;
    }
}

/// Writes a heartbeat. While it is overdue, a new connection tells whether the
/// store can be reached.
async fn write_beat(
    node: &Node,
    put: &Transaction,
    tries: u32,
    watch: &mut HeartbeatMonitor,
) -> Result<(), StoreError> {
    let sent_at_ms = node.now_ms();
    watch.record_sent(sent_at_ms);
    let overdue_at_ms = watch.overdue_at_ms().unwrap_or(sent_at_ms);
    let overdue = sleep(Duration::from_millis(overdue_at_ms - sent_at_ms));
    let probe = async {
        overdue.await;
        if let Err(error) = node.store.probe().await {
            node.note_store_failure(NODES_TABLE, sent_at_ms, &error);
        }
    };
    let mut write = pin!(node.transact(put, tries));
    let written = tokio::select! {
        written = &mut write => written,
        () = probe => write.await,
    };
    written.map(drop)
}

/// Tells the other instances that this one takes over no more jobs.
pub(crate) async fn announce_stop(node: Rc<Node>) {
    let put = Transaction {
        puts: vec![heartbeat_entry(&node, heartbeat_interval_ms(&node))],
        ..Transaction::default()
    };
    if let Err(error) = node.transact(&put, STOP_WRITE_TRIES).await {
        log::warn!("event=announce_failed error={}", process::quote(&error));
    }
}

/// Takes this instance's row out, so that nobody waits for its lease.
pub(crate) async fn leave(node: Rc<Node>) {
    let removal = Transaction {
        removals: vec![node_row(&node.owner_id.instance).removed()],
        ..Transaction::default()
    };
    if let Err(error) = node.transact(&removal, STOP_WRITE_TRIES).await {
        log::warn!("event=leave_failed error={}", process::quote(&error));
    }
}

async fn forget_silent_nodes(node: &Node) {
    if node.store_health.is_unreachable() || !node.has_read_heartbeats.get() {
        return;
    }
    let forgotten = node.directory.borrow().expired_instances(node.now_ms());
    for (instance, version) in forgotten {
        let row = node_row(&instance);
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

fn heartbeat_entry(node: &Node, interval_ms: u64) -> RowChange {
    let settings = node.settings();
    let beat = Heartbeat {
        owner: node.owner_id.clone(),
        peer_address: settings.peer_listen,
        callers_address: Some(settings.front_listen),
        region: settings.region.as_str().into(),
        interval_ms,
        is_stopping: node.stage() != Stage::Serving,
    };
    // Serializing texts and numbers cannot fail.
    let value = serde_json::to_vec(&beat).unwrap_or_default();
    node_row(&node.owner_id.instance).with_value(Bytes::from(value))
}

fn node_row(instance: &InstanceId) -> RowId {
    RowId::new(NODES_TABLE, "", instance.as_str())
}

fn heartbeat_interval_ms(node: &Node) -> u64 {
    let writes_per_s = node.settings().store_limits.writes_per_s;
    let instances = live_instances(node);
    call_interval_ms(Some(instances), writes_per_s, BEAT_WRITE_SHARE).max(BEAT_INTERVAL_MS)
}
