//! Streams that break off, and what the servers send that are to go on with them.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::{
    Answer, EVENTS_PER_STREAM, TestCluster, complete_output, complete_stream,
    scripted_server::{Reply, RequestHead, ScriptedFleet, chunk, events},
};
use tokio::time::sleep;

/// Events that the first server sends before it breaks off.
const EVENTS_BEFORE_BREAK: u64 = 3;
/// Number of servers: one for each attempt of a request.
const SERVERS: usize = 3;

/// What a server sends before it closes the connection.
type Script = fn(&RequestHead) -> String;

fn head(status: &str, content_type: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRedwingtack-Server-Stamp: stamp\r\nContent-Type: {content_type}\r\n"
    )
}

fn stream_head(status: &str) -> String {
    head(status, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n"
}

fn with_length(head: &str, body: &str) -> String {
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn following_events(request: &RequestHead) -> String {
    let first = request.after_event.unwrap_or(0) + 1;
    events(&request.id, first..=EVENTS_PER_STREAM)
}

fn whole(request: &RequestHead) -> String {
    let events = chunk(&following_events(request));
    format!("{}{events}0\r\n\r\n", stream_head("200 OK"))
}

fn broken(request: &RequestHead) -> String {
    let events = chunk(&events(&request.id, 1..=EVENTS_BEFORE_BREAK));
    stream_head("200 OK") + &events
}

fn broken_before_the_first_event(_: &RequestHead) -> String {
    stream_head("200 OK")
}

fn broken_within_an_event(request: &RequestHead) -> String {
    format!("{}5\r\nid: 4", broken(request))
}

fn broken_with_a_head_in_the_body(request: &RequestHead) -> String {
    broken(request) + &head("500 Internal Server Error", "text/plain") + "\r\nerror"
}

fn empty(_: &RequestHead) -> String {
    stream_head("200 OK") + "0\r\n\r\n"
}

fn empty_without_length(_: &RequestHead) -> String {
    head("200 OK", "text/event-stream") + "\r\n"
}

fn text_error(_: &RequestHead) -> String {
    with_length(&head("500 Internal Server Error", "text/plain"), "error")
}

fn not_found(_: &RequestHead) -> String {
    with_length(&head("404 Not Found", "text/plain"), "error")
}

fn not_run(_: &RequestHead) -> String {
    let head = head("503 Service Unavailable", "text/plain");
    with_length(&(head + "Redwingtack-Not-Run: 1\r\n"), "error")
}

fn error_with_fitting_events(request: &RequestHead) -> String {
    let events = chunk(&following_events(request));
    format!(
        "{}{events}0\r\n\r\n",
        stream_head("500 Internal Server Error")
    )
}

fn refusal_with_fitting_events(request: &RequestHead) -> String {
    let events = chunk(&following_events(request));
    format!("{}{events}0\r\n\r\n", stream_head("404 Not Found"))
}

fn text_without_ids(_: &RequestHead) -> String {
    let data = chunk("data: error\n\n");
    format!("{}{data}0\r\n\r\n", stream_head("200 OK"))
}

fn plain_text(_: &RequestHead) -> String {
    with_length(&head("200 OK", "text/plain"), "error")
}

fn head_in_the_body(_: &RequestHead) -> String {
    let data = chunk(&head("500 Internal Server Error", "text/plain"));
    format!("{}{data}0\r\n\r\n", stream_head("200 OK"))
}

fn without_stamp(request: &RequestHead) -> String {
    whole(request).replace("Redwingtack-Server-Stamp: stamp\r\n", "")
}

fn of_another_request(request: &RequestHead) -> String {
    whole(request).replace(
        "Redwingtack-Server-Stamp: stamp\r\n",
        "Redwingtack-Server-Stamp: stamp\r\nRedwingtack-Request-Id: another\r\n",
    )
}

fn garbage(_: &RequestHead) -> String {
    "error error error\r\n\r\n".to_owned()
}

const BREAKS: [Script; 4] = [
    broken,
    broken_before_the_first_event,
    broken_within_an_event,
    broken_with_a_head_in_the_body,
];
const ERRORS: [Script; 12] = [
    text_error,
    not_found,
    not_run,
    error_with_fitting_events,
    refusal_with_fitting_events,
    text_without_ids,
    plain_text,
    head_in_the_body,
    without_stamp,
    of_another_request,
    garbage,
    broken_within_an_event,
];

/// Starts servers of which each answers by the number of attempts that a request has had at any
/// of them: with the script of that number, or the last one.
async fn start(scripts: &[Script]) -> (TestCluster, ScriptedFleet) {
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.unregister_server(0).await;
    let scripts = scripts.to_vec();
    let fleet = ScriptedFleet::start(&cluster, SERVERS, move |request, attempt| {
        Reply::closed(scripts[attempt.min(scripts.len() - 1)](request))
    });
    let fleet = fleet.await;
    sleep(Duration::from_millis(300)).await;
    (cluster, fleet)
}

/// The caller must get events of the stream alone, in order, and the end only with the last.
fn assert_is_part_of_stream(answer: &Answer, id: &str, case: &str) {
    let stream = complete_stream(id);
    assert!(stream.starts_with(&answer.body), "{case}: {answer:?}");
    assert!(
        answer.body.len() == stream.len() || !answer.is_complete,
        "{case}: {answer:?}"
    );
}

/// Guards against an error's text, or its head, in the middle of a stream, and against streams
/// that end as complete although the rest is missing.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_broke_off_takes_nothing_from_an_error() {
    for (number, first) in BREAKS.into_iter().enumerate() {
        for (other, next) in ERRORS.into_iter().enumerate() {
            let case = format!("break {number}, error {other}");
            let (cluster, _servers) = start(&[first, next]).await;
            for path in ["/long/x", "/once/x"] {
                let id = format!("r{}", &path[1..5]);
                let answer = cluster.nodes[0].send_stream_request(path, &id).await;
                if answer.status.is_success() {
                    assert_is_part_of_stream(&answer, &id, &case);
                }
            }
        }
    }
}

/// The stream goes on at the third server.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_after_a_continuation_that_failed() {
    for next in [not_run, text_error, garbage, empty, empty_without_length] {
        let (cluster, _servers) = start(&[broken, next, whole]).await;
        let answer = cluster.nodes[0].send_stream_request("/long/x", "r").await;
        assert_eq!(answer.body, complete_stream("r"));
        assert!(answer.is_complete);
    }
}

/// Guards against a stream that ends as complete because one server went on with nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_cut_if_only_one_server_says_that_nothing_follows() {
    for next in [empty, empty_without_length] {
        let (cluster, _servers) = start(&[broken, next, text_error]).await;
        let answer = cluster.nodes[0].send_stream_request("/long/x", "r").await;
        assert_eq!(answer.body, events("r", 1..=EVENTS_BEFORE_BREAK));
        assert!(!answer.is_complete);
    }
}

/// A stream may break off after its last event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_if_two_servers_say_that_nothing_follows() {
    let (cluster, _servers) = start(&[broken, empty, empty]).await;
    let answer = cluster.nodes[0].send_stream_request("/long/x", "r").await;
    assert_eq!(answer.body, events("r", 1..=EVENTS_BEFORE_BREAK));
    assert!(answer.is_complete);
}

async fn output_of_item(scripts: &[Script]) -> Value {
    let (cluster, _servers) = start(scripts).await;
    cluster.nodes[0]
        .submit_job("j", &[("i0", "/batch/x/0")])
        .await;
    let results = cluster.nodes[0].wait_for_results("j").await;
    assert_eq!(results[0]["state"], "done");
    results[0]["output"].clone()
}

/// Guards against items that are listed as done with a part of their output.
#[tokio::test(flavor = "multi_thread")]
async fn item_is_done_with_its_whole_output() {
    for next in [empty, empty_without_length] {
        let output = output_of_item(&[broken, next, whole]).await;
        assert_eq!(output, complete_output("i0"));
        let output = output_of_item(&[next, whole]).await;
        assert_eq!(output, complete_output("i0"));
    }
    for next in [
        not_run,
        garbage,
        text_without_ids,
        broken_with_a_head_in_the_body,
    ] {
        let output = output_of_item(&[broken, next, whole]).await;
        assert_eq!(output, complete_output("i0"));
    }
}

/// The output of an item may break off after its last event.
#[tokio::test(flavor = "multi_thread")]
async fn item_is_done_if_two_servers_say_that_nothing_follows() {
    let output = output_of_item(&[broken, empty]).await;
    let lines: Vec<_> = (1..=EVENTS_BEFORE_BREAK)
        .map(|event| format!("i0 {event}"))
        .collect();
    assert_eq!(output, lines.join("\n"));
}
