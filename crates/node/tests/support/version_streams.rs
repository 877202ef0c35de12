//! Streams that begin at servers of two software versions and are taken up again. What the two
//! versions write does not fit together. Every other server runs the second one.

use std::{net::SocketAddr, time::Duration};

use super::{Answer, HOST, TestCluster, begin_stream, send_request};

/// Time in which every instance learns of new registrations, and of its peers.
pub const TIME_TO_LEARN: Duration = Duration::from_secs(3);
/// Number of streams that a test takes up.
pub const STREAMS: usize = 16;
/// Event after which streams are taken up.
const LAST_EVENT: usize = 2;

/// Returns the version of a server.
pub fn version_of(server: usize) -> &'static str {
    if server.is_multiple_of(2) { "v1" } else { "v2" }
}

/// Registers the servers of the second version.
pub async fn register_second_version(cluster: &TestCluster) {
    for index in (1..cluster.servers.len()).step_by(2) {
        cluster.register_version(index, "v2").await;
    }
}

/// Returns the path of a stream, by which its content differs from that of the others.
pub fn path_of(stream: usize) -> String {
    format!("/long/stream-{stream}")
}

/// Begins all streams at an instance and leaves each after two events.
pub async fn begin_all(address: SocketAddr) {
    for stream in 0..STREAMS {
        let id = format!("first-{stream}");
        let headers = [
            ("host", HOST),
            ("redwingtack-request-id", &*id),
            ("redwingtack-deadline-ms", "4000"),
        ];
        assert!(begin_stream(address, &path_of(stream), &headers, LAST_EVENT).await);
    }
}

/// Takes up a stream after two events, without the id of the attempt that began it. Returns
/// `None` if the instance cannot be reached.
pub async fn take_up(address: SocketAddr, stream: usize, id: &str) -> Option<Answer> {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "3000"),
        ("last-event-id", "2"),
    ];
    let body = b"prompt".to_vec();
    send_request(address, "POST", &path_of(stream), &headers, body)
        .await
        .ok()
}

/// Returns how many streams ran at servers of both versions.
pub async fn mixed_count(cluster: &TestCluster) -> usize {
    let runs = cluster.runs_by_server().await;
    let is_mixed = |stream: &usize| {
        let end = format!("-{stream}");
        let ran_at = |version: &str| {
            runs.iter().enumerate().any(|(server, runs)| {
                version_of(server) == version && runs.keys().any(|attempt| attempt.ends_with(&end))
            })
        };
        ran_at("v1") && ran_at("v2")
    };
    (0..STREAMS).filter(is_mixed).count()
}
