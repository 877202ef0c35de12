//! Answers of servers that break off in their heads, or that lost a line of them.

mod support;

use std::slice;

use http::StatusCode;
use support::{
    EVENTS_PER_STREAM, complete_output, complete_stream,
    scripted_cluster::{
        NOT_REPEATABLE, REPEATABLE, ScriptedCluster, assert_is_lost, is_whole_success,
    },
    scripted_server::{ConnectionEnd, Reply, events},
};

/// What comes before the headers of an answer.
const HEAD_STARTS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
    "HTTP/1.0 200 OK\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n",
];
/// Headers of an answer, which say nothing about its length.
const HEADERS: &str = "Redwingtack-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n";
/// The name in the data of all events.
const NAME: &str = "a";

fn body() -> String {
    complete_stream(NAME)
}

/// Returns an answer that says its length.
fn delimited(body: &str) -> String {
    let length = body.len();
    format!(
        "{}{HEADERS}Content-Length: {length}\r\n\r\n{body}",
        HEAD_STARTS[0]
    )
}

/// Returns an answer that ends with its connection.
fn undelimited(body: &str) -> String {
    format!("{}{HEADERS}\r\n{body}", HEAD_STARTS[0])
}

/// Returns heads without a body that end with their connections.
fn empty_undelimited() -> impl Iterator<Item = Reply> {
    HEAD_STARTS
        .map(|start| Reply::closed(format!("{start}{HEADERS}\r\n")))
        .into_iter()
}

/// Guards against a success for an answer whose head never ended.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_breaks_off_in_its_head_is_no_success() {
    let mut fixture = ScriptedCluster::start().await;
    for start in HEAD_STARTS {
        let head = format!("{start}{HEADERS}Content-Length: 0\r\n\r\n");
        for length in (1..head.len()).step_by(12).chain([head.len() - 1]) {
            for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
                    let reply = Reply::new(&head[..length], end);
                    let (answer, _) = fixture.exchange(path, &[reply]).await;
                    let case = format!("{path}, {end:?} after {:?}", &head[..length]);
                    assert_is_lost(&answer, &case);
                }
            }
        }
    }
}

/// Guards against a success with an empty body because the server died after its head.
#[tokio::test(flavor = "multi_thread")]
async fn empty_undelimited_answer_is_replaced_by_that_of_the_next_server() {
    let mut fixture = ScriptedCluster::start().await;
    for path in REPEATABLE {
        for empty in empty_undelimited() {
            for next in [delimited(&body()), undelimited(&body())] {
                let replies = [empty.clone(), Reply::closed(next)];
                let (answer, attempts) = fixture.exchange(path, &replies).await;
                assert!(is_whole_success(&answer), "{path}, {empty:?}: {answer:?}");
                assert_eq!(answer.body, body(), "{path}, {empty:?}");
                assert_eq!(attempts, 2, "{path}, {empty:?}");
            }
        }
    }
}

/// Guards against a success with an empty body that only one server has sent.
#[tokio::test(flavor = "multi_thread")]
async fn empty_undelimited_answer_of_a_single_run_is_no_success() {
    let mut fixture = ScriptedCluster::start().await;
    for path in NOT_REPEATABLE {
        for empty in empty_undelimited() {
            let (answer, attempts) = fixture.exchange(path, &[empty]).await;
            assert_is_lost(&answer, path);
            assert_eq!(attempts, 1, "{path}");
        }
    }
}

/// A sound server may have nothing to send.
#[tokio::test(flavor = "multi_thread")]
async fn empty_undelimited_answer_is_complete_if_two_servers_send_it() {
    let mut fixture = ScriptedCluster::start().await;
    for path in REPEATABLE {
        let (answer, attempts) = fixture
            .exchange(path, &[Reply::closed(undelimited(""))])
            .await;
        assert!(is_whole_success(&answer), "{path}: {answer:?}");
        assert_eq!(answer.body, "", "{path}");
        assert_eq!(attempts, 2, "{path}");
    }
}

/// The end of these answers is told by their own words.
#[tokio::test(flavor = "multi_thread")]
async fn empty_delimited_answer_is_complete() {
    let mut fixture = ScriptedCluster::start().await;
    let chunked = format!(
        "{}{HEADERS}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        HEAD_STARTS[0]
    );
    let no_content = format!("HTTP/1.1 204 No Content\r\n{HEADERS}\r\n");
    for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        for reply in [&delimited(""), &chunked, &no_content] {
            let (answer, attempts) = fixture.exchange(path, &[Reply::closed(reply)]).await;
            assert!(is_whole_success(&answer), "{path}, {reply}: {answer:?}");
            assert_eq!(answer.body, "", "{path}, {reply}");
            assert_eq!(attempts, 1, "{path}, {reply}");
        }
    }
}

/// Guards against the loss of sound answers: the pages allow an answer without a length.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_answer_with_a_body_is_complete() {
    let mut fixture = ScriptedCluster::start().await;
    for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        for start in HEAD_STARTS {
            let reply = Reply::closed(format!("{start}{HEADERS}\r\n{}", body()));
            let (answer, attempts) = fixture.exchange(path, &[reply]).await;
            assert!(is_whole_success(&answer), "{path}: {answer:?}");
            assert_eq!(answer.body, body(), "{path}");
            assert_eq!(attempts, 1, "{path}");
        }
    }
}

/// Guards against an answer that ends with its connection and looks whole although the
/// connection was reset.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_answer_that_is_reset_is_not_complete() {
    let mut fixture = ScriptedCluster::start().await;
    for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        for sent in [String::new(), events(NAME, 1..=3), body()] {
            let reply = Reply::new(&undelimited(&sent), ConnectionEnd::Reset);
            let (answer, _) = fixture.exchange(path, &[reply]).await;
            assert_is_lost(&answer, path);
        }
    }
}

/// Guards against a caller that waits beyond its deadline for a body that never comes.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_answer_without_body_until_the_deadline_is_timed_out() {
    let mut fixture = ScriptedCluster::start().await;
    for path in ["/idempotent/x", "/non_idempotent/x"] {
        let silent = Reply::new(&undelimited(""), ConnectionEnd::Wait);
        let (answer, _) = fixture.exchange(path, &[silent]).await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{answer:?}");
    }
}

/// Guards against empty and reset answers that look whole because a peer has passed them on.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_answer_through_a_peer_is_whole_or_no_success() {
    let mut fixture = ScriptedCluster::start_behind_peers().await;
    let whole = Reply::closed(delimited(&body()));
    for empty in empty_undelimited() {
        for path in REPEATABLE {
            let (answer, attempts) = fixture
                .exchange(path, &[empty.clone(), whole.clone()])
                .await;
            assert!(is_whole_success(&answer), "{path}, {empty:?}: {answer:?}");
            assert_eq!(answer.body, body(), "{path}, {empty:?}");
            assert_eq!(attempts, 2, "{path}, {empty:?}");
        }
        for path in NOT_REPEATABLE {
            let (answer, _) = fixture.exchange(path, slice::from_ref(&empty)).await;
            assert_is_lost(&answer, path);
        }
    }
    for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        let (answer, _) = fixture
            .exchange(path, &[Reply::closed(undelimited(&body()))])
            .await;
        assert!(is_whole_success(&answer), "{path}: {answer:?}");
        assert_eq!(answer.body, body(), "{path}");
        let reset = Reply::new(&undelimited(&body()), ConnectionEnd::Reset);
        let (answer, _) = fixture.exchange(path, &[reset]).await;
        assert_is_lost(&answer, path);
    }
    let log = fixture.cluster.nodes[0].log();
    assert!(log.contains("event=attempt_proxied "), "{log}");
}

/// Guards against an item that is done with the output of a run that broke off.
#[tokio::test(flavor = "multi_thread")]
async fn item_whose_undelimited_answer_broke_off_is_done_with_its_whole_output() {
    let breaks = [
        (0, ConnectionEnd::Close),
        (0, ConnectionEnd::Reset),
        (3, ConnectionEnd::Reset),
    ];
    for (number, (sent, end)) in breaks.into_iter().enumerate() {
        let fixture = ScriptedCluster::start().await;
        let broken = Reply::new(&undelimited(&events(NAME, 1..=sent)), end);
        let rest = delimited(&events(NAME, sent + 1..=EVENTS_PER_STREAM));
        fixture.set_replies(&[broken, Reply::closed(rest)]);
        let job = format!("j{number}");
        let node = &fixture.cluster.nodes[0];
        node.submit_job(&job, &[("i0", "/batch/x/0")]).await;
        let results = node.wait_for_results(&job).await;
        assert_eq!(results[0]["state"], "done");
        assert_eq!(results[0]["output"], complete_output(NAME));
    }
}
