//! Signals that come while a process starts.

mod support;

use std::{net::TcpStream, time::Duration};

use nix::sys::signal::Signal;
use support::TestCluster;
use tokio::time::{Instant, sleep};

/// Number of processes that are started, as the moment is short.
const STARTS: usize = 30;
/// Time in which the port for callers opens.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a signal ends a process that does not handle it.
const TIME_TO_END: Duration = Duration::from_millis(200);

/// Returns how many processes end at once if they get a signal as soon as their port is open.
async fn count_ended_by(signal: Signal) -> usize {
    let mut cluster = TestCluster::start_without_config(&[4], 0).await;
    let mut ended = 0;
    for number in 0..STARTS {
        cluster.add_node(&format!("node-{number}"));
        let node = &mut cluster.nodes[0];
        let deadline = Instant::now() + OPEN_TIMEOUT;
        while TcpStream::connect(node.callers_address).is_err() {
            assert!(Instant::now() < deadline, "the port does not open");
        }
        node.signal(signal);
        sleep(TIME_TO_END).await;
        ended += usize::from(node.has_exited());
        cluster.nodes.clear();
    }
    ended
}

/// Callers may connect as soon as the port is open, so from then on the settings may be reloaded.
#[tokio::test(flavor = "multi_thread")]
async fn settings_may_be_reloaded_as_soon_as_callers_connect() {
    let ended = count_ended_by(Signal::SIGHUP).await;
    assert_eq!(ended, 0, "processes ended, of {STARTS}");
}

/// Guards against a process that ends without serving the requests that it has taken.
#[tokio::test(flavor = "multi_thread")]
async fn stop_is_planned_as_soon_as_callers_connect() {
    let ended = count_ended_by(Signal::SIGTERM).await;
    assert_eq!(ended, 0, "processes ended, of {STARTS}");
}
