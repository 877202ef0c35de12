//! Keeps the rate limits that upstreams state: records them from answers, and issues and
//! collects the tokens that each request to such an upstream takes. The decisions are in
//! [`gateway::UpstreamTable`].

use std::{rc::Rc, time::Duration};

use gateway::{LimitNotice, Target};
use http::HeaderMap;
use platform::StatedLimit;
use tokio::time::sleep;

use crate::node::Node;

/// Interval at which tokens are issued and expire while any upstream states a limit.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Records the rate limit that an upstream states in an answer.
pub(crate) fn record_statement(node: &Node, target: &Target, headers: &HeaderMap) {
    let requests_per_s = match platform::decode_stated_limit(headers) {
        StatedLimit::Unlimited => None,
        StatedLimit::PerSecond(rate) => Some(rate),
        // What the upstream stated before holds on.
        StatedLimit::Unreadable => return,
    };
    let now_ms = node.now_ms();
    let mut upstreams = node.upstreams.borrow_mut();
    if upstreams.record_limit(target, requests_per_s, now_ms) {
        log::info!(
            "event=server_limit upstream={} requests_per_s={}",
            target.upstream,
            requests_per_s.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
        );
        node.limits_stated.notify_one();
        node.load_changed.notify_one();
    }
}

/// Adds what a peer says about rate limits.
pub(crate) fn receive(node: &Node, notice: &LimitNotice) {
    let now_ms = node.now_ms();
    if node.upstreams.borrow_mut().receive_limits(notice, now_ms) {
        node.batch_state_changed.notify_one();
    }
    if !notice.statements.is_empty() {
        node.limits_stated.notify_one();
    }
}

/// Issues and collects tokens until the process exits.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if !node.upstreams.borrow().has_limits() {
            node.limits_stated.notified().await;
        }
        update(&node);
        sleep(UPDATE_INTERVAL).await;
    }
}

fn update(node: &Node) {
    let known_instances = 1 + node.directory.borrow().peers().count();
    let now_ms = node.now_ms();
    let mut upstreams = node.upstreams.borrow_mut();
    if upstreams.update_limits(known_instances, now_ms) {
        node.load_changed.notify_one();
        node.batch_state_changed.notify_one();
    }
}
