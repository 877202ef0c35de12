//! Engines that send the answer of another attempt, stall, or announce that they
//! are leaving but still accept requests.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use serde_json::Value;
use standin::{EngineSettings, start_engine};
use support::{TestEntry, any_port, chat_body, engine_entry};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const BRISK_CLASS: (&str, &str) = ("redwingtack-class", "brisk");

/// Time after which a leaving upstream must get no new requests.
const LEAVING_TARGET: Duration = Duration::from_secs(2);
/// Maximum number of requests until the misbehaving engine must have been chosen.
const REQUESTS_MAX: u32 = 200;

/// Fault of an engine.
#[derive(Debug, Clone, Copy)]
enum Misbehaviour {
    /// Responds to each request with the attempt ID and tokens of another one.
    SwapsAnswers,
    /// Sends two tokens, stalls, and sends a third token after the stall time-out.
    Stalls,
    /// Reports in its load reports that it is leaving, but still serves requests.
    Leaves,
}

/// Starts a minimal HTTP server as a misbehaving engine; it counts its chat
/// requests in `request_count`.
async fn misbehaving_engine(
    misbehaviour: Misbehaviour,
    request_count: Arc<AtomicU32>,
) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(
                stream,
                misbehaviour,
                Arc::clone(&request_count),
            ));
        }
    });
    address
}

async fn serve_connection(
    mut stream: TcpStream,
    misbehaviour: Misbehaviour,
    request_count: Arc<AtomicU32>,
) -> std::io::Result<()> {
    let head = read_head(&mut stream).await?;
    if head.contains(" /load ") && matches!(misbehaviour, Misbehaviour::Leaves) {
        let report = r#"{"age_ms":0,"running":0,"waiting_prompt_tokens":0,"models":["oraculo"],"leaving":true,"fence":0}"#;
        let length = report.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{report}");
        return stream.write_all(answer.as_bytes()).await;
    }
    if !head.starts_with("POST /v1/chat/completions") {
        // This engine has no load reports, cancellation or resumption of streams.
        stream
            .write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
            .await?;
        return Ok(());
    }
    request_count.fetch_add(1, Ordering::SeqCst);
    let requested_attempt = header(&head, "x-attempt-id");
    let attempt = match misbehaviour {
        Misbehaviour::SwapsAnswers => "another-attempt",
        Misbehaviour::Stalls | Misbehaviour::Leaves => requested_attempt,
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: {attempt}\r\n\r\n"
    );
    stream.write_all(answer.as_bytes()).await?;
    write_token(&mut stream, 1, "wrong ").await?;
    write_token(&mut stream, 2, "wrong ").await?;
    if matches!(misbehaviour, Misbehaviour::Stalls) {
        tokio::time::sleep(Duration::from_secs(4)).await;
        write_token(&mut stream, 3, "late ").await?;
    }
    Ok(())
}

async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head)
        .to_lowercase()
        .replace("post /", "POST /"))
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
        .unwrap_or_default()
}

async fn write_token(stream: &mut TcpStream, index: u32, text: &str) -> std::io::Result<()> {
    let event = format!("data: {{\"token_index\":{index},\"text\":\"{text}\"}}\n\n");
    stream.write_all(event.as_bytes()).await
}

/// Sends requests until the misbehaving engine has been chosen. Returns the text of
/// the response to that request and the text that the regular engine generates.
async fn request_until_misbehaving_engine_chosen(misbehaviour: Misbehaviour) -> (String, String) {
    let regular_engine = start_engine(EngineSettings::default()).await;
    let regular_engine = regular_engine.expect("an engine starts");
    let request_count = Arc::new(AtomicU32::new(0));
    let misbehaving_address = misbehaving_engine(misbehaviour, Arc::clone(&request_count)).await;
    let regular_only = vec![engine_entry("good", regular_engine.address())];
    let both_engines = vec![
        engine_entry("bad", misbehaving_address),
        engine_entry("good", regular_engine.address()),
    ];
    let entry = TestEntry::start(regular_only, any_port()).await;
    let mut body = chat_body("which way [[tokens=6]]", 6);
    body["stream"] = Value::Bool(true);
    let expected = entry
        .chat(&[BRISK_CLASS], body.clone())
        .await
        .streamed_text();
    entry
        .view
        .send_replace(Arc::new(support::view_with_upstreams(both_engines)));
    // The choice between two idle engines is random.
    for _ in 0..REQUESTS_MAX {
        let text = entry
            .chat(&[BRISK_CLASS], body.clone())
            .await
            .streamed_text();
        if request_count.load(Ordering::SeqCst) > 0 {
            return (text, expected);
        }
        assert_eq!(text, expected);
    }
    panic!("the misbehaving engine was never chosen");
}

#[tokio::test]
async fn answer_of_another_attempt_is_dropped() {
    let (text, expected) =
        request_until_misbehaving_engine_chosen(Misbehaviour::SwapsAnswers).await;
    assert_eq!(text, expected);
}

#[tokio::test]
async fn answer_that_stalls_is_continued_without_its_late_token() {
    let (text, expected) = request_until_misbehaving_engine_chosen(Misbehaviour::Stalls).await;
    let rest: String = expected.split_inclusive(' ').skip(2).collect();
    assert_eq!(text, format!("wrong wrong {rest}"));
}

#[tokio::test]
async fn upstream_that_leaves_gets_no_requests_after_two_seconds() {
    let regular_engine = start_engine(EngineSettings::default()).await;
    let regular_engine = regular_engine.expect("an engine starts");
    let request_count = Arc::new(AtomicU32::new(0));
    let misbehaving_address =
        misbehaving_engine(Misbehaviour::Leaves, Arc::clone(&request_count)).await;
    let upstreams = vec![
        engine_entry("bad", misbehaving_address),
        engine_entry("good", regular_engine.address()),
    ];
    let entry = TestEntry::start(upstreams, any_port()).await;
    tokio::time::sleep(LEAVING_TARGET).await;
    let previous_count = request_count.load(Ordering::SeqCst);
    let requests = (0..40).map(|_| entry.chat(&[], chat_body("which way", 2)));
    for answer in futures::future::join_all(requests).await {
        assert_eq!(answer.status, 200);
    }
    assert_eq!(request_count.load(Ordering::SeqCst), previous_count);
}
