//! Finds out whether an upstream whose answer broke off has crashed, or only the
//! connection is lost.
//!
//! A lost answer may be due to the network, to a faulty answer or to a restart of this
//! instance's connections. If the upstream refuses a new connection as well, its process
//! has ended.

use std::{io::ErrorKind, rc::Rc};

use gateway::Target;
use model::PromptPartId;
use tokio::task::spawn_local;

use crate::{connection_pool::connect, node::Node};

/// Checks in the background whether an upstream has crashed, after it lost the answer to a
/// request with these parts. Upstreams that are leaving are not checked, because they end
/// as planned.
pub(crate) fn check_upstream(node: &Rc<Node>, target: &Target, shared_parts: &Rc<[PromptPartId]>) {
    if !node.upstreams.borrow().is_in_service(target) {
        return;
    }
    spawn_local(check(
        Rc::clone(node),
        target.clone(),
        Rc::clone(shared_parts),
    ));
}

async fn check(node: Rc<Node>, target: Target, shared_parts: Rc<[PromptPartId]>) {
    let timeout_ms = node.upstreams.borrow().connect_timeout_ms(&target);
    match connect(target.address, timeout_ms).await {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => log::warn!(
            "event=upstream_crashed upstream={} shared_parts={}",
            target.upstream,
            join_parts(&shared_parts)
        ),
        // The upstream is alive, or it is unknown whether it is.
        Ok(_) | Err(_) => {}
    }
}

/// Returns the parts for a log line, separated by commas.
pub(crate) fn join_parts(parts: &[PromptPartId]) -> String {
    let parts: Vec<_> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}
