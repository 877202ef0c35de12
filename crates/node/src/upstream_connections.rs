//! Opens connections to upstreams, and keeps account of which upstreams can be connected
//! to.

use std::io;

use gateway::{ConnectFailure, Target};
use tokio::time::Instant;

use crate::{
    connection_pool::{Connection, connect},
    node::Node,
};

/// Opens a connection to an upstream.
///
/// # Errors
///
/// Returns an error if the connection is refused, or is not open within a few round trips.
pub(crate) async fn open(node: &Node, target: &Target) -> io::Result<Connection> {
    let timeout_ms = node.upstreams.borrow().connect_timeout_ms(target);
    let started = Instant::now();
    let result = connect(target.address, timeout_ms).await;
    let elapsed_ms = started.elapsed().as_secs_f64() * 1_000.0;
    record_outcome(node, target, result.as_ref().err(), elapsed_ms);
    result
}

fn record_outcome(node: &Node, target: &Target, error: Option<&io::Error>, elapsed_ms: f64) {
    let now_ms = node.now_ms();
    let mut upstreams = node.upstreams.borrow_mut();
    if let Some(error) = error {
        if upstreams.record_connect_failure(target, failure_kind(error), now_ms) {
            log::warn!(
                "event=upstream_unreachable upstream={} error={} unreachable={}",
                target.upstream,
                process::quote(&error),
                upstreams.unreachable_count()
            );
        }
        return;
    }
    upstreams.record_round_trip(target, elapsed_ms);
    if let Some(lost_for_ms) = upstreams.record_connected(target, now_ms) {
        log::info!(
            "event=upstream_reachable upstream={} lost_for_ms={lost_for_ms} unreachable={}",
            target.upstream,
            upstreams.unreachable_count()
        );
    }
}

fn failure_kind(error: &io::Error) -> ConnectFailure {
    match error.kind() {
        io::ErrorKind::TimedOut => ConnectFailure::TimedOut,
        _ => ConnectFailure::Refused,
    }
}
