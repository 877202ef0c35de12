//! Finds out whether an upstream whose answer broke off has crashed, or only the
//! connection is lost.
//!
//! A lost answer may be due to the network, to a faulty answer or to a restart of this
//! instance's connections. If the upstream refuses a new connection as well, its process
//! has ended. If not, a supervisor may hold the port, or the next process may listen there
//! already; then the registration of a new incarnation shows that the former one has ended.

use std::{io::ErrorKind, rc::Rc, time::Duration};

use gateway::{LostRequest, Target};
use model::PromptPartId;
use tokio::{task::spawn_local, time::sleep};

use crate::{node::Node, quarantine, upstream_connections};

/// How often, and at which interval, it is checked whether another incarnation has been
/// registered since an answer was lost.
const SUCCESSOR_CHECKS_MAX: u32 = 10;
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(300);

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
    match upstream_connections::open(node, target).await {
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(_) => is_soon_succeeded(node, target).await,
    }
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
