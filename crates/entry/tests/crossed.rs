//! Engines that cross answers, stall, or leave without refusing.

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
use support::{TestEntry, any_port, chat_body, engine};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const BRISK: (&str, &str) = ("redwingtack-class", "brisk");

/// Time after which a leaving upstream gets no new work.
const LEAVING_TARGET: Duration = Duration::from_secs(2);
const REQUESTS_MAX: u32 = 200;

/// How an engine misbehaves.
#[derive(Debug, Clone, Copy)]
enum Misbehaviour {
    /// Answers each request with the tokens of another.
    Crosses,
    /// Sends two tokens, falls silent, and sends more when it is too late.
    Stalls,
    /// Says in its load reports that it is leaving, and goes on to serve.
    Leaves,
}

/// Starts an engine that serves connections by hand, and counts its requests.
async fn misbehaving_engine(misbehaviour: Misbehaviour, met: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, misbehaviour, Arc::clone(&met)));
        }
    });
    address
}

async fn serve(
    mut stream: TcpStream,
    misbehaviour: Misbehaviour,
    met: Arc<AtomicU32>,
) -> std::io::Result<()> {
    let head = read_head(&mut stream).await?;
    if head.contains(" /load ") && matches!(misbehaviour, Misbehaviour::Leaves) {
        let report = r#"{"age_ms":0,"running":0,"waiting_prompt_tokens":0,"models":["oraculo"],"leaving":true,"fence":0}"#;
        let length = report.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{report}");
        return stream.write_all(answer.as_bytes()).await;
    }
    if !head.starts_with("POST /v1/chat/completions") {
        // Load reports, cancels and resumed streams are not known here.
        stream
            .write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
            .await?;
        return Ok(());
    }
    met.fetch_add(1, Ordering::SeqCst);
    let own = header(&head, "x-attempt-id");
    let attempt = match misbehaviour {
        Misbehaviour::Crosses => "another-attempt",
        Misbehaviour::Stalls | Misbehaviour::Leaves => own,
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

/// Sends requests until the misbehaving engine has been met. Returns what the
/// caller got from that request, and what an engine alone answers.
async fn meet(misbehaviour: Misbehaviour) -> (String, String) {
    let good = start_engine(EngineSettings::default()).await;
    let good = good.expect("an engine starts");
    let met = Arc::new(AtomicU32::new(0));
    let bad = misbehaving_engine(misbehaviour, Arc::clone(&met)).await;
    let alone = vec![engine("good", good.address())];
    let both = vec![engine("bad", bad), engine("good", good.address())];
    let entry = TestEntry::start(alone, any_port()).await;
    let mut body = chat_body("which way [[tokens=6]]", 6);
    body["stream"] = Value::Bool(true);
    let expected = entry.chat(&[BRISK], body.clone()).await.streamed_text();
    entry.view.send_replace(Arc::new(support::view_of(both)));
    // The choice between two idle engines is random.
    for _ in 0..REQUESTS_MAX {
        let text = entry.chat(&[BRISK], body.clone()).await.streamed_text();
        if met.load(Ordering::SeqCst) > 0 {
            return (text, expected);
        }
        assert_eq!(text, expected);
    }
    panic!("the misbehaving engine was never chosen");
}

#[tokio::test]
async fn answer_of_another_attempt_is_dropped() {
    let (text, expected) = meet(Misbehaviour::Crosses).await;
    assert_eq!(text, expected);
}

#[tokio::test]
async fn answer_that_stalls_is_continued_and_its_late_token_dropped() {
    let (text, expected) = meet(Misbehaviour::Stalls).await;
    let rest: String = expected.split_inclusive(' ').skip(2).collect();
    assert_eq!(text, format!("wrong wrong {rest}"));
}

#[tokio::test]
async fn upstream_that_leaves_gets_nothing_two_seconds_later() {
    let good = start_engine(EngineSettings::default()).await;
    let good = good.expect("an engine starts");
    let met = Arc::new(AtomicU32::new(0));
    let bad = misbehaving_engine(Misbehaviour::Leaves, Arc::clone(&met)).await;
    let upstreams = vec![engine("bad", bad), engine("good", good.address())];
    let entry = TestEntry::start(upstreams, any_port()).await;
    tokio::time::sleep(LEAVING_TARGET).await;
    let before = met.load(Ordering::SeqCst);
    let requests = (0..40).map(|_| entry.chat(&[], chat_body("which way", 2)));
    for answer in futures::future::join_all(requests).await {
        assert_eq!(answer.status, 200);
    }
    assert_eq!(met.load(Ordering::SeqCst), before);
}
