//! Opens connections to upstreams, and keeps account of which upstreams can be connected
//! to. The decisions are in [`gateway::UpstreamTable`].

use std::{io, rc::Rc};

use gateway::{ConnectFailure, Target};
use tokio::time::Instant;

use crate::{
    connection_pool::{Connection, connect},
    crash_detection,
    node::Node,
    path_probes,
};

/// Opens a connection to an upstream.
///
/// # Errors
///
/// Returns an error if the connection is refused, or is not open within a few round trips.
pub(crate) async fn open(node: &Rc<Node>, target: &Target) -> io::Result<Connection> {
    let timeout_ms = node.upstreams.borrow().connect_timeout_ms(target);
    let started = Instant::now();
    let started_ms = node.now_ms();
    let result = connect(target.address, timeout_ms).await;
    match &result {
        Ok(_) => record_connected(node, target, started.elapsed().as_secs_f64() * 1_000.0),
        Err(error) => record_failure(node, target, error, started_ms),
    }
    result
}

/// Opens a connection to an upstream and keeps it for a request.
///
/// # Errors
///
/// See [`open`].
pub(crate) async fn open_idle(node: &Rc<Node>, target: &Target) -> io::Result<()> {
    let connection = open(node, target).await?;
    node.connection_pool
        .put_idle(target.address, connection, None, node.now_ms());
    Ok(())
}

fn record_connected(node: &Node, target: &Target, round_trip_ms: f64) {
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.record_round_trip(target, round_trip_ms);
    if let Some(lost_for_ms) = upstreams.record_connected(target, node.now_ms()) {
        log::info!(
            "event=upstream_reachable upstream={} lost_for_ms={lost_for_ms} unreachable={}",
            target.upstream,
            upstreams.unreachable_count()
        );
        node.path_changed.notify_one();
        node.load_changed.notify_one();
        node.batch_state_changed.notify_one();
    }
}

fn record_failure(node: &Rc<Node>, target: &Target, error: &io::Error, started_ms: u64) {
    let failure = match error.kind() {
        io::ErrorKind::TimedOut => ConnectFailure::TimedOut,
        _ => ConnectFailure::Refused,
    };
    let mut upstreams = node.upstreams.borrow_mut();
    let loss = upstreams.record_connect_failure(target, failure, started_ms, node.now_ms());
    if loss.is_upstream_news {
        log::warn!(
            "event=upstream_unreachable upstream={} error={} unreachable={}",
            target.upstream,
            process::quote(&error),
            upstreams.unreachable_count()
        );
    }
    if loss.is_service_news {
        log::warn!(
            "event=service_unreachable service={} upstream={}",
            target.service,
            target.upstream
        );
    }
    if failure == ConnectFailure::TimedOut {
        // Idle connections have lost their path as well.
        node.connection_pool.discard_idle(target.address);
        if loss.is_service_news {
            for address in upstreams.addresses(&target.service) {
                node.connection_pool.discard_idle(address);
            }
        }
    }
    drop(upstreams);
    if loss.is_upstream_news || loss.is_service_news {
        node.path_changed.notify_one();
        node.load_changed.notify_one();
    }
    if loss.is_upstream_news {
        crash_detection::check_unreachable(node, target, failure, started_ms);
    }
    for target in loss.probes {
        path_probes::start(node, target);
    }
}
