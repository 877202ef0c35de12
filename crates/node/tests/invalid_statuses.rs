//! Servers whose answers have a status that is none, or one that nobody asked for.

mod support;

use std::{slice, time::Duration};

use http::StatusCode;
use support::{
    Answer, TestCluster, complete_output, complete_stream,
    scripted_cluster::{NOT_REPEATABLE, REPEATABLE, ScriptedCluster},
    scripted_server::{Reply, RequestHead, ScriptedServer, read_next_request},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Statuses that are invalid (RFC 9110, section 15), interim ones without a final answer, and
/// the switch to a protocol that nobody asked for.
const INVALID: [&str; 17] = [
    "000",
    "0",
    "00",
    "099",
    "100",
    "101",
    "199",
    "600",
    "700",
    "999",
    "1000",
    "00200",
    "-1",
    "2 0",
    "2x0",
    "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c",
    "",
];
/// Statuses that an HTTP client accepts although they are invalid.
const ACCEPTED_BY_CLIENTS: [&str; 3] = ["101", "600", "999"];
/// Statuses that callers get as the server sent them.
const VALID: [u16; 8] = [200, 226, 302, 404, 422, 499, 500, 599];
const STAMP: &str = "redwingtack-server-stamp";
/// Headers of an answer, which say nothing about its length.
const HEADERS: &str = "Redwingtack-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n";
/// A header that promises that the request has not run.
const NOT_RUN: &str = "Redwingtack-Not-Run: full\r\n";
/// The name in the data of all events.
const NAME: &str = "a";
/// Body of an answer that comes after the server has switched protocols.
const LATE_BODY: &str = "late";
/// Time after which the nodes know a change of the servers.
const PROPAGATION: Duration = Duration::from_millis(400);
/// Number of requests to a server that switches protocols on each connection that is used again.
const REQUESTS: usize = 6;

/// Returns a whole answer with this status and with `headers` besides the usual ones.
fn answer_with(status: &str, headers: &str) -> String {
    let body = complete_stream(NAME);
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{HEADERS}{headers}Content-Length: {length}\r\n\r\n{body}")
}

fn reply(status: &str) -> Reply {
    Reply::closed(answer_with(status, ""))
}

fn sound() -> Reply {
    reply("200 OK")
}

fn assert_is_sound(answer: &Answer, case: &str) {
    assert_eq!(answer.status, StatusCode::OK, "{case}: {answer:?}");
    assert!(answer.is_complete, "{case}: {answer:?}");
    assert_eq!(answer.body, complete_stream(NAME), "{case}");
}

/// The request may have run, and no server has answered.
fn assert_is_own_failure(answer: &Answer, case: &str) {
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{case}: {answer:?}");
    assert!(!answer.headers.contains_key(STAMP), "{case}: {answer:?}");
}

/// Checks that no answer with one of these statuses reaches a caller.
async fn check_statuses(fixture: &mut ScriptedCluster, statuses: &[&str]) {
    for status in statuses {
        for path in REPEATABLE {
            let case = format!("{path}, {status:?}");
            let (answer, attempts) = fixture.exchange(path, &[reply(status), sound()]).await;
            assert_is_sound(&answer, &case);
            assert_eq!(attempts, 2, "{case}");
            let (answer, _) = fixture.exchange(path, &[reply(status)]).await;
            assert_is_own_failure(&answer, &case);
        }
        for path in NOT_REPEATABLE {
            let case = format!("{path}, {status:?}");
            let (answer, attempts) = fixture.exchange(path, &[reply(status), sound()]).await;
            assert_is_own_failure(&answer, &case);
            assert_eq!(attempts, 1, "{case}");
        }
    }
}

/// Guards against a status that is none in an answer to a caller.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_an_invalid_status_is_not_passed_on() {
    let mut fixture = ScriptedCluster::start().await;
    check_statuses(&mut fixture, &INVALID).await;
}

/// Guards against a status that is none in an answer that a peer passes on.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_an_invalid_status_is_not_passed_on_through_a_peer() {
    let mut fixture = ScriptedCluster::start_behind_peers().await;
    check_statuses(&mut fixture, &INVALID).await;
    let nodes = &fixture.cluster.nodes;
    let log = nodes[0].log();
    assert!(log.contains("event=attempt_proxied "), "{log}");
    for peer in &nodes[1..] {
        let log = peer.log();
        for status in ACCEPTED_BY_CLIENTS {
            assert!(!log.contains(&format!(" outcome={status}")), "{log}");
        }
    }
}

/// A status that is none is no evidence that the request has not run, whatever else the head says.
#[tokio::test(flavor = "multi_thread")]
async fn promise_with_an_invalid_status_is_not_believed() {
    let mut fixture = ScriptedCluster::start().await;
    for status in INVALID {
        let refusal = Reply::closed(answer_with(status, NOT_RUN));
        for path in NOT_REPEATABLE {
            let case = format!("{path}, {status:?}");
            let replies = [refusal.clone(), sound()];
            let (answer, attempts) = fixture.exchange(path, &replies).await;
            assert_is_own_failure(&answer, &case);
            assert_eq!(attempts, 1, "{case}");
        }
        for path in REPEATABLE {
            let case = format!("{path}, {status:?}");
            let (answer, _) = fixture.exchange(path, slice::from_ref(&refusal)).await;
            assert_is_own_failure(&answer, &case);
        }
    }
}

/// Guards against the loss of sound answers.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_valid_status_is_passed_on() {
    let mut fixture = ScriptedCluster::start().await;
    for status in VALID {
        for path in NOT_REPEATABLE {
            let case = format!("{path}, {status}");
            let (answer, _) = fixture.exchange(path, &[reply(&status.to_string())]).await;
            assert_eq!(answer.status.as_u16(), status, "{case}: {answer:?}");
            assert_eq!(answer.headers[STAMP], "stamp", "{case}");
            assert_eq!(answer.body, complete_stream(NAME), "{case}");
        }
    }
}

/// Guards against an item that is dead after answers that were none: only errors of its servers
/// count against it.
#[tokio::test(flavor = "multi_thread")]
async fn item_is_done_after_answers_with_invalid_statuses() {
    let fixture = ScriptedCluster::start().await;
    let replies = ACCEPTED_BY_CLIENTS.map(reply);
    fixture.set_replies(&[&replies[..], &[sound()]].concat());
    let node = &fixture.cluster.nodes[0];
    node.submit_job("j", &[("i0", "/batch/x/0")]).await;
    let results = node.wait_for_results("j").await;
    assert_eq!(results[0]["state"], "done");
    assert_eq!(results[0]["output"], complete_output(NAME));
}

/// Answers the first request of a connection and keeps the connection. Answers the second one
/// with a switch of protocols, and writes another answer after it.
async fn switch_protocols_when_reused(request: RequestHead, mut stream: TcpStream) {
    let length = LATE_BODY.len();
    let late = format!("HTTP/1.1 200 OK\r\n{HEADERS}Content-Length: {length}\r\n\r\n{LATE_BODY}");
    let kept = answer_with("200 OK", "Keep-Alive: timeout=60\r\n");
    // The other side may close the connection at any time.
    let _ = stream.write_all(kept.as_bytes()).await;
    while let Some(next) = read_next_request(&mut stream).await {
        assert_ne!(next.id, request.id);
        let switch = answer_with("101 Switching Protocols", "Keep-Alive: timeout=60\r\n");
        let _ = stream.write_all(switch.as_bytes()).await;
        let _ = stream.write_all(late.as_bytes()).await;
    }
}

/// Guards against bytes after a switch of protocols that are taken for an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_is_not_used_after_a_switch_of_protocols() {
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.unregister_server(0).await;
    let server = ScriptedServer::start(switch_protocols_when_reused);
    server.register(&cluster, "switching", 8).await;
    sleep(PROPAGATION).await;
    let node = &cluster.nodes[0];
    for number in 0..REQUESTS {
        let id = format!("k{number}");
        let answer = node.send_stream_request("/long/x", &id).await;
        assert_is_sound(&answer, &id);
    }
    let log = node.log();
    let switches = log.matches("the status 101 is invalid").count();
    assert_eq!(switches, REQUESTS - 1, "{log}");
}
