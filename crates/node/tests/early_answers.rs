//! Answers of servers that answer before they have read a long request, and end their connection.

mod support;

use std::{
    collections::HashMap,
    slice,
    sync::{Arc, Mutex},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use nix::sys::signal::Signal;
use serde_json::json;
use support::{
    Answer, EVENTS_PER_STREAM, HOST, Paths, TestCluster, complete_output, complete_stream,
    scripted_cluster::{
        NOT_REPEATABLE, PROPAGATION, REPEATABLE, SERVERS, TRY_INTERVAL, add_nodes_behind_peers,
        assert_is_lost, config_of_all_kinds, is_whole_success,
    },
    scripted_server::{RequestHead, ScriptedServer, chunk, events},
    send_request, wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Receive buffer of the servers, bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Size of a request that exceeds what the connections hold, and of one that the socket of its
/// sender takes in full, bytes.
const UNWRITTEN_BYTES: usize = 3_900_000;
const BUFFERED_BYTES: usize = 200_000;
/// Time in which a process acts on what has arrived.
const TIME_TO_ACT: Duration = Duration::from_millis(100);
/// Time without a byte after which nothing more is on its way.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// Time after which no request is answered any more.
const LONGEST_REQUEST: Duration = Duration::from_secs(5);

const HEAD: &str = "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\n\
                    Content-Type: text/event-stream\r\n";
/// The name in the data of all events.
const NAME: &str = "a";
/// Number of events before an answer breaks off.
const EVENTS_BEFORE_RESET: u64 = 3;

/// What a server does after its answer, while the request is still arriving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// It ends its side of the connection, and resets the connection later.
    EndThenReset,
    /// It resets the connection.
    Reset,
    /// It closes the connection with bytes unread, which resets it.
    CloseUnread,
    /// It ends its side of the connection, and reads the request to its end.
    EndThenRead,
    /// It ends its side of the connection, and does nothing more until the other side closes.
    EndThenWait,
    /// It reads the request to its end.
    Read,
}

#[derive(Debug, Clone)]
struct Reply {
    bytes: String,
    ending: Ending,
}

/// What the servers have seen of the attempts of a request, in their order.
type Attempts = Arc<Mutex<HashMap<String, Vec<Attempt>>>>;

#[derive(Debug, Clone, Copy, Default)]
struct Attempt {
    /// Number of bytes of the body that have been read.
    read_bytes: usize,
}

/// Servers that send the replies that a test sets, by the number of the attempt.
struct Fixture {
    cluster: TestCluster,
    servers: Vec<ScriptedServer>,
    replies: Arc<Mutex<Vec<Reply>>>,
    attempts: Attempts,
    /// Paths of the first node to the servers, if it has paths of its own. Kept until the end.
    paths: Option<Paths>,
    request_count: usize,
}

impl Reply {
    /// Creates an answer that has neither a length nor chunks.
    fn undelimited(body: &str, ending: Ending) -> Self {
        Self {
            bytes: format!("{HEAD}\r\n{body}"),
            ending,
        }
    }

    /// Sends the reply and ends the connection. Returns how many bytes of the request have been
    /// read.
    async fn send(self, mut stream: TcpStream) -> usize {
        // The other side may have closed the connection.
        let _ = stream.write_all(self.bytes.as_bytes()).await;
        match self.ending {
            Ending::EndThenReset => {
                let _ = stream.shutdown().await;
                sleep(TIME_TO_ACT).await;
                let _ = stream.set_zero_linger();
                0
            }
            Ending::Reset => {
                let _ = stream.set_zero_linger();
                0
            }
            Ending::CloseUnread => {
                // The receive buffer fills up meanwhile.
                sleep(TIME_TO_ACT).await;
                0
            }
            Ending::EndThenRead => {
                let _ = stream.shutdown().await;
                // The end arrives long before the rest of the request is read.
                sleep(TIME_TO_ACT).await;
                read_rest(&mut stream).await
            }
            Ending::EndThenWait => {
                let _ = stream.shutdown().await;
                sleep(LONGEST_REQUEST).await;
                0
            }
            Ending::Read => read_rest(&mut stream).await,
        }
    }
}

/// Reads until the other side ends the connection. Returns the number of bytes.
async fn read_rest(stream: &mut TcpStream) -> usize {
    let mut buffer = vec![0; 64 * 1024];
    let mut read_bytes = 0;
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        read_bytes += length;
    }
    read_bytes
}

impl Fixture {
    async fn start() -> Self {
        let cluster = TestCluster::start(&[8], 1).await;
        cluster.unregister_server(0).await;
        let fixture = Self::with_servers(cluster).await;
        sleep(PROPAGATION).await;
        fixture
    }

    /// Starts three nodes, of which the first one reaches the servers only through the others.
    async fn start_behind_peers() -> Self {
        let cluster = TestCluster::start_without_config(&[], 0).await;
        let mut fixture = Self::with_servers(cluster).await;
        let paths = add_nodes_behind_peers(&mut fixture.cluster, &fixture.servers).await;
        fixture.paths = Some(paths);
        fixture
    }

    async fn with_servers(cluster: TestCluster) -> Self {
        cluster
            .put_row("op", "config", &config_of_all_kinds())
            .await;
        let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
        let attempts = Attempts::default();
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let replies = Arc::clone(&replies);
            let attempts = Arc::clone(&attempts);
            let answer = move |head: RequestHead, stream| {
                answer(head, stream, Arc::clone(&replies), Arc::clone(&attempts))
            };
            let server = ScriptedServer::start_with_receive_buffer(RECEIVE_BUFFER_BYTES, answer);
            server
                .register(&cluster, &format!("early-{index}"), 8)
                .await;
            servers.push(server);
        }
        Self {
            cluster,
            servers,
            replies,
            attempts,
            paths: None,
            request_count: 0,
        }
    }

    /// Has the servers send these replies, the last one to all further attempts.
    fn set_replies(&self, replies: &[Reply]) {
        *self.replies.lock().unwrap() = replies.to_vec();
    }

    /// Sends requests until one reaches a server. Returns its answer and its id.
    async fn exchange(
        &mut self,
        path: &str,
        size_bytes: usize,
        replies: &[Reply],
    ) -> (Answer, String) {
        self.set_replies(replies);
        loop {
            self.request_count += 1;
            let id = format!("r{}", self.request_count);
            let address = self.cluster.nodes[0].callers_address;
            let headers = [
                ("host", HOST),
                ("redwingtack-request-id", &id),
                ("redwingtack-deadline-ms", "4000"),
            ];
            let request = send_request(address, "POST", path, &headers, body(&id, size_bytes));
            let answer = request.await.unwrap();
            if self.attempt_count(&id) > 0 {
                return (answer, id);
            }
            sleep(TRY_INTERVAL).await;
        }
    }

    fn attempt_count(&self, id: &str) -> usize {
        self.attempts.lock().unwrap().get(id).map_or(0, Vec::len)
    }

    /// Waits until the last attempt of a request has been read to its end.
    async fn wait_until_read(&self, id: &str, size_bytes: usize) {
        wait_until("the server has read the whole request", async || {
            let attempts = self.attempts.lock().unwrap();
            attempts[id].last().unwrap().read_bytes == size_bytes
        })
        .await;
    }
}

async fn answer(
    head: RequestHead,
    stream: TcpStream,
    replies: Arc<Mutex<Vec<Reply>>>,
    attempts: Attempts,
) {
    let (reply, index) = {
        let mut attempts = attempts.lock().unwrap();
        let attempts = attempts.entry(head.id.clone()).or_default();
        attempts.push(Attempt::default());
        let index = attempts.len() - 1;
        let replies = replies.lock().unwrap();
        (replies[index.min(replies.len() - 1)].clone(), index)
    };
    let read_bytes = reply.send(stream).await;
    let mut attempts = attempts.lock().unwrap();
    attempts.get_mut(&head.id).unwrap()[index] = Attempt { read_bytes };
}

/// Returns a body that no other request has: an upstream's crash is held against its request.
fn body(id: &str, size_bytes: usize) -> Vec<u8> {
    let mut body = id.as_bytes().to_vec();
    body.resize(size_bytes, b'x');
    body
}

/// Guards against a part of an answer that looks whole because its end came before the reset.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_answer_that_ends_before_its_reset_is_not_complete() {
    let mut fixture = Fixture::start().await;
    let mut whole = Vec::new();
    for size_bytes in [UNWRITTEN_BYTES, BUFFERED_BYTES] {
        for path in ["/idempotent/x"].into_iter().chain(NOT_REPEATABLE) {
            for ending in [Ending::EndThenReset, Ending::Reset, Ending::CloseUnread] {
                let part = events(NAME, 1..=EVENTS_BEFORE_RESET);
                let reply = Reply::undelimited(&part, ending);
                let (answer, _) = fixture.exchange(path, size_bytes, &[reply]).await;
                let case = format!("{path}, {size_bytes} bytes, {ending:?}");
                if is_whole_success(&answer) {
                    whole.push(case);
                } else {
                    assert_is_lost(&answer, &case);
                }
            }
        }
    }
    assert!(whole.is_empty(), "taken for whole answers: {whole:#?}");
}

/// The same for a stream, which the next server can take up.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_stream_that_ends_before_its_reset_goes_on_at_the_next_server() {
    let mut fixture = Fixture::start().await;
    for size_bytes in [UNWRITTEN_BYTES, BUFFERED_BYTES] {
        let part = events(NAME, 1..=EVENTS_BEFORE_RESET);
        let rest = events(NAME, EVENTS_BEFORE_RESET + 1..=EVENTS_PER_STREAM);
        let replies = [
            Reply::undelimited(&part, Ending::EndThenReset),
            Reply::undelimited(&rest, Ending::EndThenRead),
        ];
        let (answer, id) = fixture.exchange("/long/x", size_bytes, &replies).await;
        assert!(is_whole_success(&answer), "{size_bytes} bytes: {answer:?}");
        assert_eq!(answer.body, complete_stream(NAME), "{size_bytes} bytes");
        assert_eq!(fixture.attempt_count(&id), 2, "{size_bytes} bytes");
    }
}

/// The same for a server that closes its connection when it has read all that has arrived.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_answer_of_a_server_that_closes_during_the_upload_is_not_complete() {
    let fixture = Fixture::start().await;
    let part = events(NAME, 1..=EVENTS_BEFORE_RESET);
    let held: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let held_by_server = Arc::clone(&held);
    let server = ScriptedServer::start_with_receive_buffer(
        RECEIVE_BUFFER_BYTES,
        move |_, mut stream: TcpStream| {
            let bytes = Reply::undelimited(&part, Ending::Read).bytes;
            let held = Arc::clone(&held_by_server);
            async move {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                held.lock().unwrap().push(stream);
            }
        },
    );
    for index in 0..SERVERS {
        let id = format!("early-{index}");
        server.register(&fixture.cluster, &id, 8).await;
    }
    sleep(PROPAGATION).await;
    fixture.set_replies(&[]);
    let node = &fixture.cluster.nodes[0];
    for (number, path) in ["/idempotent/x"]
        .into_iter()
        .chain(NOT_REPEATABLE)
        .enumerate()
    {
        let id = format!("c{number}");
        let address = node.callers_address;
        let request = tokio::spawn(async move {
            let headers = [
                ("host", HOST),
                ("redwingtack-request-id", &id),
                ("redwingtack-deadline-ms", "4000"),
            ];
            let body = body(&id, UNWRITTEN_BYTES);
            send_request(address, "POST", path, &headers, body).await
        });
        wait_until("the server has answered", async || {
            !held.lock().unwrap().is_empty()
        })
        .await;
        sleep(TIME_TO_ACT).await;
        // What the process has not handed to its socket yet cannot arrive before the close.
        node.signal(Signal::SIGSTOP);
        let mut stream = held.lock().unwrap().pop().unwrap();
        let read_bytes = read_until_quiet(&mut stream).await;
        assert!(read_bytes < UNWRITTEN_BYTES, "the request has arrived");
        drop(stream);
        sleep(TIME_TO_ACT).await;
        node.signal(Signal::SIGCONT);
        let answer = request.await.unwrap().unwrap();
        assert_is_lost(&answer, path);
    }
}

async fn read_until_quiet(stream: &mut TcpStream) -> usize {
    let mut buffer = vec![0; 64 * 1024];
    let mut read_bytes = 0;
    while let Ok(Ok(length @ 1..)) = timeout(QUIET_TIME, stream.read(&mut buffer)).await {
        read_bytes += length;
    }
    read_bytes
}

/// Guards against a caller that waits beyond its deadline for a server to read the request.
#[tokio::test(flavor = "multi_thread")]
async fn undelimited_answer_whose_request_stays_unread_is_cut_at_the_deadline() {
    let mut fixture = Fixture::start().await;
    let part = events(NAME, 1..=EVENTS_BEFORE_RESET);
    let replies = [Reply::undelimited(&part, Ending::EndThenWait)];
    let exchange = fixture.exchange("/non_idempotent/x", UNWRITTEN_BYTES, &replies);
    let (answer, _) = timeout(LONGEST_REQUEST, exchange).await.unwrap();
    assert_is_lost(&answer, "unread");
}

/// Guards against the loss of sound answers: a server may answer early and read on.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_of_a_server_that_reads_on_is_complete() {
    let mut fixture = Fixture::start().await;
    for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        for size_bytes in [UNWRITTEN_BYTES, BUFFERED_BYTES] {
            let reply = Reply::undelimited(&complete_stream(NAME), Ending::EndThenRead);
            let (answer, id) = fixture.exchange(path, size_bytes, &[reply]).await;
            let case = format!("{path}, {size_bytes} bytes");
            assert!(is_whole_success(&answer), "{case}: {answer:?}");
            assert_eq!(answer.body, complete_stream(NAME), "{case}");
            assert_eq!(fixture.attempt_count(&id), 1, "{case}");
            fixture.wait_until_read(&id, size_bytes).await;
        }
    }
}

/// The same for answers that mark their end, and do not have to wait for the request.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_marks_its_end_is_complete() {
    let mut fixture = Fixture::start().await;
    let body = complete_stream(NAME);
    let delimited = format!("{HEAD}Content-Length: {}\r\n\r\n{body}", body.len());
    let chunks = format!("{}{}", chunk(&body), chunk(""));
    let chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}");
    for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        for bytes in [&delimited, &chunked] {
            for ending in [Ending::Read, Ending::EndThenRead, Ending::EndThenReset] {
                let bytes = bytes.clone();
                let reply = Reply { bytes, ending };
                let (answer, id) = fixture.exchange(path, UNWRITTEN_BYTES, &[reply]).await;
                let case = format!("{path}, {ending:?}");
                assert!(is_whole_success(&answer), "{case}: {answer:?}");
                assert_eq!(answer.body, body, "{case}");
                assert_eq!(fixture.attempt_count(&id), 1, "{case}");
            }
        }
    }
}

/// Guards against both failures if a peer makes the attempt.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_through_a_peer_is_whole_or_no_success() {
    let mut fixture = Fixture::start_behind_peers().await;
    for size_bytes in [UNWRITTEN_BYTES, BUFFERED_BYTES] {
        for path in ["/idempotent/x"].into_iter().chain(NOT_REPEATABLE) {
            let part = events(NAME, 1..=EVENTS_BEFORE_RESET);
            let broken = Reply::undelimited(&part, Ending::EndThenReset);
            let (answer, _) = fixture
                .exchange(path, size_bytes, slice::from_ref(&broken))
                .await;
            assert_is_lost(&answer, &format!("{path}, {size_bytes} bytes"));
        }
        for path in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
            let sound = Reply::undelimited(&complete_stream(NAME), Ending::EndThenRead);
            let (answer, _) = fixture.exchange(path, size_bytes, &[sound]).await;
            let case = format!("{path}, {size_bytes} bytes");
            assert!(is_whole_success(&answer), "{case}: {answer:?}");
            assert_eq!(answer.body, complete_stream(NAME), "{case}");
        }
    }
    let log = fixture.cluster.nodes[0].log();
    assert!(log.contains("event=attempt_proxied "), "{log}");
}

/// Guards against an item that is done with the part of its output that came before a reset.
#[tokio::test(flavor = "multi_thread")]
async fn item_whose_undelimited_answer_ends_before_its_reset_is_done_with_its_whole_output() {
    let fixture = Fixture::start().await;
    let part = events(NAME, 1..=EVENTS_BEFORE_RESET);
    let rest = events(NAME, EVENTS_BEFORE_RESET + 1..=EVENTS_PER_STREAM);
    fixture.set_replies(&[
        Reply::undelimited(&part, Ending::EndThenReset),
        Reply::undelimited(&rest, Ending::EndThenRead),
    ]);
    let node = &fixture.cluster.nodes[0];
    let body = BASE64.encode(body("i0", BUFFERED_BYTES));
    let item = json!({"id": "i0", "path": "/batch/x/0", "headers": {}, "body": body, "tokens": 9});
    node.submit_items("j", &[item]).await;
    let results = node.wait_for_results("j").await;
    assert_eq!(results[0]["state"], "done");
    assert_eq!(results[0]["output"], complete_output(NAME));
}
