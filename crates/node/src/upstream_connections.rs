//! Opens connections to upstreams, and keeps account of which upstreams can be connected
//! to.

use std::io;

use gateway::Target;
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
    // The duration of a time-out is recorded as well, so that the estimate of the
    // round-trip time grows if the real round trip exceeds it.
    if error.is_none_or(|error| error.kind() == io::ErrorKind::TimedOut) {
        upstreams.record_round_trip(target, elapsed_ms);
    }
    if let Some(error) = error {
        if upstreams.record_connect_failure(target, now_ms) {
            log::warn!(
                "event=upstream_unreachable upstream={} error={} unreachable={}",
                target.upstream,
                process::quote(&error),
                upstreams.unreachable_count()
            );
        }
    } else if let Some(lost_for_ms) = upstreams.record_connected(target, now_ms) {
        log::info!(
            "event=upstream_reachable upstream={} lost_for_ms={lost_for_ms} unreachable={}",
            target.upstream,
            upstreams.unreachable_count()
        );
    }
}
