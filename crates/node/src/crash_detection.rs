//! Finds out whether an upstream whose answer broke off has crashed, or only the
//! connection is lost.
//!
//! A lost answer may be due to the network, to a faulty answer or to a restart of this
//! instance's connections. If the upstream refuses new connections of this instance and of
//! peers as well, its process has ended; if peers can connect to it, the path of this instance
//! is lost. If not, a supervisor may hold the port, or the next process may listen there
//! already; then the registration of a new incarnation shows that the former one has ended.

use std::{io::ErrorKind, rc::Rc, time::Duration};

use gateway::{ConnectFailure, LostRequest, ProxyPeer, Target};
use model::{InstanceId, PromptPartId};
use tokio::{task::spawn_local, time::sleep};

use crate::{node::Node, proxied_attempt, quarantine, upstream_connections};

/// How often, and at which interval, it is checked whether another incarnation has been
/// registered since an answer was lost.
const SUCCESSOR_CHECKS_MAX: u32 = 10;
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Number of peers that are asked whether an upstream refuses them as well: at least, and at
/// most.
const PEERS_ASKED_MIN: usize = 2;
const PEERS_ASKED_MAX: usize = 6;
/// Pause before each further peer is asked.
const PEER_PAUSE: Duration = Duration::from_millis(100);

/// Checks in the background whether an upstream has crashed, after the answer to a request
/// was lost. Upstreams that are leaving are not checked, because they end as planned.
pub(crate) fn check_upstream(node: &Rc<Node>, target: &Target, lost: LostRequest) {
    if node.upstreams.borrow().is_in_service(target) {
        spawn_local(check(Rc::clone(node), target.clone(), lost));
    }
}

async fn check(node: Rc<Node>, target: Target, lost: LostRequest) {
    if !has_crashed(&node, &target).await {
        return;
    }
    log::warn!(
        "event=upstream_crashed upstream={} fingerprint={} shared_parts={}",
        target.upstream,
        lost.content.fingerprint,
        join_parts(&lost.content.shared_parts)
    );
    node.metrics.on_upstream_crash();
    let now_ms = node.now_ms();
    node.upstreams.borrow_mut().record_crash(&target, now_ms);
    quarantine::record_crash(&node, &target, &lost);
}

/// Returns whether an upstream is known to have crashed, refuses a new connection, or is
/// soon succeeded by another incarnation.
async fn has_crashed(node: &Rc<Node>, target: &Target) -> bool {
    if node.quarantine.borrow().knows_crash(target) {
        return true;
    }
    let started_ms = node.now_ms();
    let is_refused = match upstream_connections::open(node, target).await {
        Err(error) if error.kind() != ErrorKind::ConnectionRefused => return false,
        result => result.is_err(),
    };
    if is_refused && !is_reached_by_peer(node, target, started_ms).await {
        return true;
    }
    is_soon_succeeded(node, target).await
}

/// Finds out in the background whether peers can connect to an upstream to which a connection
/// of this instance, begun at `started_ms`, has failed. If not, and if the connection was
/// refused, the upstream has crashed.
pub(crate) fn check_unreachable(
    node: &Rc<Node>,
    target: &Target,
    failure: ConnectFailure,
    started_ms: u64,
) {
    let node = Rc::clone(node);
    let target = target.clone();
    spawn_local(async move {
        let is_reached = is_reached_by_peer(&node, &target, started_ms).await;
        let now_ms = node.now_ms();
        let mut upstreams = node.upstreams.borrow_mut();
        if is_reached {
            upstreams.record_reached_by_peer(&target);
        } else if failure == ConnectFailure::Refused {
            upstreams.record_crash(&target, now_ms);
        }
    });
}

/// Asks peers whether they can connect to an upstream to which a connection of this instance,
/// begun at `started_ms`, has failed. If only this instance fails, its path is lost.
///
/// Peers that have lost the path as well know it after their own next try and are not asked
/// again. More of them are asked while nothing is heard from the service, because then the
/// path of many may be lost.
async fn is_reached_by_peer(node: &Rc<Node>, target: &Target, started_ms: u64) -> bool {
    let mut asked = Vec::new();
    while let Some(peer) = next_peer_to_ask(node, target, &asked, started_ms) {
        if proxied_attempt::query_path(node, &peer, target).await == Some(true) {
            return true;
        }
        asked.push(peer.instance);
        if asked.len() >= PEERS_ASKED_MIN {
            sleep(PEER_PAUSE).await;
        }
    }
    false
}

fn next_peer_to_ask(
    node: &Node,
    target: &Target,
    asked: &[InstanceId],
    started_ms: u64,
) -> Option<ProxyPeer> {
    let mut upstreams = node.upstreams.borrow_mut();
    let asked_max = if upstreams.was_heard_since(&target.service, started_ms) {
        PEERS_ASKED_MIN
    } else {
        PEERS_ASKED_MAX
    };
    if asked.len() >= asked_max {
        return None;
    }
    upstreams.peer_to_ask(target, asked, node.now_ms())
}

async fn is_soon_succeeded(node: &Node, target: &Target) -> bool {
    for _ in 0..SUCCESSOR_CHECKS_MAX {
        sleep(SUCCESSOR_CHECK_INTERVAL).await;
        let is_succeeded = node.upstreams.borrow().is_succeeded(target);
        if is_succeeded || node.quarantine.borrow().knows_crash(target) {
            return true;
        }
    }
    false
}

/// Returns the parts for a log line, separated by commas.
pub(crate) fn join_parts(parts: &[PromptPartId]) -> String {
    let parts: Vec<_> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}
