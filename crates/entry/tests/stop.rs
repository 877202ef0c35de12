//! Graceful shutdown: open streams are completed, and a second signal ends the
//! process at once.

mod support;

use std::{
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use http::StatusCode;
use standin::{EngineSettings, start_engine};
use support::{TestEntry, WAIT_TIMEOUT, any_port, chat_body, engine_entry};

#[tokio::test]
async fn stop_finishes_streams_and_serves_during_drain_time() {
    let standin = start_engine(EngineSettings::default()).await;
    let standin = standin.expect("an engine starts");
    let upstreams = vec![engine_entry("engine-0", standin.address())];
    let entry =
        TestEntry::start_with(upstreams, any_port(), |settings| settings.drain_ms = 500).await;
    let mut body = chat_body("a long story [[tokens=100]]", 200);
    body["stream"] = true.into();
    let stream = entry.chat(&[], body);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(entry.admin.is_ready());
        entry.shutdown.begin();
        let started_at = Instant::now();
        while entry.admin.is_ready() {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "the entry is still ready"
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let late_response = entry.chat(&[], chat_body("one more", 2)).await;
        assert_eq!(late_response.status, StatusCode::OK);
        assert_eq!(late_response.header("connection"), Some("close"));
    };
    let (answer, ()) = tokio::join!(stream, stop);
    assert_eq!(answer.streamed_text().split_whitespace().count(), 100);
    entry.stop().await;
}

#[test]
fn stop_at_first_signal_exits_after_drain_time() {
    let mut child = start_entry(&["--drain-ms", "50"]);
    send_signal(&child, "TERM");
    assert_eq!(wait_for_exit(&mut child), Some(0));
}

#[test]
fn stop_at_second_signal_exits_at_once() {
    let mut child = start_entry(&["--drain-ms", "600000"]);
    send_signal(&child, "INT");
    std::thread::sleep(Duration::from_millis(200));
    assert!(
        matches!(child.try_wait(), Ok(None)),
        "the entry exited before the drain time"
    );
    send_signal(&child, "TERM");
    assert_eq!(wait_for_exit(&mut child), Some(130));
}

fn start_entry(extra_arguments: &[&str]) -> Child {
    let address = "127.0.0.1:0";
    let mut command = Command::new(env!("CARGO_BIN_EXE_redwingtack-entry"));
    for flag in ["--listen", "--peer-listen", "--admin-listen"] {
        command.args([flag, address]);
    }
    // No server listens at these addresses; the entry keeps waiting for its
    // configuration.
    command.args(["--control", "127.0.0.1:9", "--platform", "127.0.0.1:9"]);
    command.args(["--instance-id", "entry-0", "--region", "lima"]);
    command
        .args(["--failure-domain", "lima-a"])
        .args(extra_arguments);
    let child = command.stderr(Stdio::piped()).spawn();
    let mut child = child.expect("the entry starts");
    // The log line `event=listening` shows that the entry has started.
    let mut log_reader = std::io::BufReader::new(child.stderr.take().expect("a log"));
    let mut line = String::new();
    while !line.contains("event=listening") {
        line.clear();
        let read_bytes = std::io::BufRead::read_line(&mut log_reader, &mut line);
        assert!(read_bytes.is_ok_and(|bytes| bytes > 0), "the entry ended");
    }
    std::thread::spawn(move || std::io::copy(&mut log_reader, &mut std::io::sink()));
    child
}

fn send_signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let status = Command::new("kill").args(["-s", name, &id]).status();
    assert!(status.is_ok_and(|status| status.success()));
}

fn wait_for_exit(child: &mut Child) -> Option<i32> {
    let started_at = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("the entry can be waited for") {
            return status.code();
        }
        if started_at.elapsed() > WAIT_TIMEOUT {
            child.kill().expect("the entry can be killed");
            panic!("the entry does not stop");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
