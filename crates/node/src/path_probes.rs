//! Probes lost paths to upstreams by opening connections, so that no caller's request has to
//! try them. The decisions are in [`gateway::UpstreamTable::begin_due_probes`].

use std::{rc::Rc, time::Duration};

use gateway::Target;
use tokio::{task::spawn_local, time::timeout};

use crate::{node::Node, upstream_connections};

/// Interval at which due probes are started while any path is lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Probes lost paths until the process exits.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if !node.upstreams.borrow().has_lost_paths() {
            node.path_changed.notified().await;
        }
        let now_ms = node.now_ms();
        let due = node.upstreams.borrow_mut().begin_due_probes(now_ms);
        for target in due {
            start(&node, target);
        }
        // Woken when a path is lost or back, which makes further probes due.
        let _ = timeout(CHECK_INTERVAL, node.path_changed.notified()).await;
    }
}

/// Probes the path to an upstream. A connection that can be opened is kept for a request.
pub(crate) fn start(node: &Rc<Node>, target: Target) {
    let node = Rc::clone(node);
    spawn_local(async move {
        // A failure is recorded where the connection is opened.
        let _ = upstream_connections::open_idle(&node, &target).await;
    });
}
