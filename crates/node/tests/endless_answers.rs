//! Servers in trouble that send bytes without end, in the head or in the body of an answer.

mod support;

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use serde_json::json;
use support::{HOST, TestCluster, complete_stream, send_request, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Time that callers wait, and a second for the end of their answers.
const DEADLINE: Duration = Duration::from_secs(5);
/// Number of requests that meet the server at the same time.
const REQUESTS: usize = 12;
/// Slots of the sound server: room for all of the requests, so that none is refused because
/// the others came first.
const SOUND_SLOTS: u32 = 32;
/// Latency goal of the routes, within which the whole short stream should arrive as well.
const GOAL: Duration = Duration::from_millis(300);
/// Maximum growth of the process while it reads such answers, KiB.
const GROWTH_MAX_KIB: usize = 32 * 1_024;

/// Sends `start` and then `rest` again and again on every connection, with a pause between.
struct EndlessServer {
    address: SocketAddr,
    /// Connections on which it still sends.
    open: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn start(start: String, rest: Vec<u8>, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            open: Arc::default(),
            requests: Arc::default(),
        };
        let open = Arc::clone(&server.open);
        let requests = Arc::clone(&server.requests);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let open = Arc::clone(&open);
                let requests = Arc::clone(&requests);
                let start = start.clone();
                let rest = rest.clone();
                tokio::spawn(async move {
                    open.fetch_add(1, Ordering::AcqRel);
                    // It ends when the other side closes the connection.
                    let _ = send_without_end(socket, start, rest, pause, &requests).await;
                    open.fetch_sub(1, Ordering::AcqRel);
                });
            }
        });
        server
    }

    fn open_count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

async fn send_without_end(
    mut socket: TcpStream,
    start: String,
    rest: Vec<u8>,
    pause: Duration,
    requests: &AtomicUsize,
) -> std::io::Result<()> {
    let mut request = vec![0; 4_096];
    if socket.read(&mut request).await? == 0 {
        return Ok(());
    }
    requests.fetch_add(1, Ordering::AcqRel);
    socket.write_all(start.as_bytes()).await?;
    loop {
        socket.write_all(&rest).await?;
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
}

/// Starts a sound server and one that sends bytes without end.
async fn start_cluster(server: &EndlessServer) -> TestCluster {
    let cluster = TestCluster::start(&[SOUND_SLOTS], 1).await;
    cluster.register_server_with_slots(0, SOUND_SLOTS).await;
    let registration = json!({
        "service": "oracle", "addr": server.address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1
    });
    cluster.put_row("servers", "endless", &registration).await;
    sleep(Duration::from_millis(300)).await;
    cluster
}

/// Returns the memory that a process holds, KiB.
fn resident_kib(cluster: &TestCluster) -> usize {
    let status = fs::read_to_string(format!("/proc/{}/status", cluster.nodes[0].id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.unwrap().split_ascii_whitespace().nth(1);
    value.unwrap().parse().unwrap()
}

/// Sends requests until the server has met some. Each must be answered in full by the sound
/// server before its deadline, the process must not grow, and the connections must end.
async fn assert_requests_are_answered(server: &EndlessServer) {
    let cluster = start_cluster(server).await;
    let before_kib = resident_kib(&cluster);
    let mut requests = JoinSet::new();
    for index in 0..REQUESTS {
        let address = cluster.nodes[0].callers_address;
        let id = format!("r{index}");
        requests.spawn(async move {
            let answer = support::send_stream_request(address, "/long/x", &id).await;
            (id, answer)
        });
    }
    for (id, answer) in requests.join_all().await {
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        assert_eq!(answer.body, complete_stream(&id));
    }
    assert!(
        server.requests.load(Ordering::Acquire) > 0,
        "no request met the server"
    );
    let growth_kib = resident_kib(&cluster).saturating_sub(before_kib);
    assert!(
        growth_kib < GROWTH_MAX_KIB,
        "the process grew by {growth_kib} KiB"
    );
    wait_until("all connections are given up", async || {
        server.open_count() == 0
    })
    .await;
}

fn answer_head(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nRedwingtack-Server-Stamp: s\r\n")
}

/// Returns the head of a stream that is sent in chunks.
fn chunked_head() -> String {
    format!(
        "{}Transfer-Encoding: chunked\r\n\r\n",
        answer_head("200 OK")
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn head_without_end_is_given_up() {
    let header = b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n".to_vec();
    let server = EndlessServer::start(answer_head("200 OK"), header, Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_without_end_is_given_up() {
    let garbage = (0..=255).cycle().take(4_096).collect();
    let server = EndlessServer::start(String::new(), garbage, Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

/// Interim answers come without end, so that the head of the final one never comes.
#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_without_end_are_given_up() {
    let interim = b"HTTP/1.1 102 Processing\r\n\r\n".to_vec();
    let server = EndlessServer::start(String::new(), interim, Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

/// Guards against one connection that takes up the whole processor: the digits of the size of a
/// chunk come without end, and the HTTP client reads them one by one.
#[tokio::test(flavor = "multi_thread")]
async fn size_of_a_chunk_without_end_is_given_up() {
    let server = EndlessServer::start(chunked_head(), vec![b'0'; 8_192], Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

/// The same behind some events.
#[tokio::test(flavor = "multi_thread")]
async fn size_of_a_later_chunk_without_end_is_given_up() {
    let start = format!("{}9\r\nid: 1\ndat\r\n", chunked_head());
    let server = EndlessServer::start(start, vec![b'0'; 8_192], Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn extension_of_a_chunk_without_end_is_given_up() {
    let start = format!("{}5;", chunked_head());
    let server = EndlessServer::start(start, vec![b'x'; 8_192], Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_end_are_given_up() {
    let start = format!("{}0\r\n", chunked_head());
    let trailer = b"x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n".to_vec();
    let server = EndlessServer::start(start, trailer, Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_is_given_up() {
    let start = format!("{}\r\nid: 1\ndata: ", answer_head("200 OK"));
    let server = EndlessServer::start(start, vec![b'x'; 8_192], Duration::ZERO).await;
    assert_requests_are_answered(&server).await;
}

/// The bytes of the event come one by one.
#[tokio::test(flavor = "multi_thread")]
async fn event_that_trickles_without_end_is_given_up() {
    let start = format!("{}\r\nid: 1\ndata: ", answer_head("200 OK"));
    let pause = Duration::from_millis(10);
    let server = EndlessServer::start(start, vec![b'x'], pause).await;
    assert_requests_are_answered(&server).await;
}

/// A body that is no stream of events is passed on as it comes, until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn body_without_end_ends_at_the_deadline() {
    let start = format!("{}\r\n", answer_head("404 Not Found"));
    let server = EndlessServer::start(start, vec![b'x'; 8_192], Duration::ZERO).await;
    let cluster = start_cluster(&server).await;
    cluster.register_server(0, "draining").await;
    sleep(Duration::from_millis(300)).await;
    let address = cluster.nodes[0].callers_address;
    let started = Instant::now();
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", "r"),
        ("redwingtack-deadline-ms", "1000"),
    ];
    let exchange = send_request(address, "POST", "/long/x", &headers, Vec::new());
    let answer = timeout(DEADLINE, exchange)
        .await
        .expect("the answer never ends");
    assert!(!answer.unwrap().is_complete);
    assert!(started.elapsed() < Duration::from_secs(2));
    wait_until("the connection is given up", async || {
        server.open_count() == 0
    })
    .await;
}

/// Has items run while only the server without end is ready, and then the sound one as well.
/// All must be done, and the process must not grow.
async fn assert_items_are_done(server: &EndlessServer) {
    let cluster = start_cluster(server).await;
    cluster.register_server(0, "draining").await;
    sleep(Duration::from_millis(300)).await;
    let before_kib = resident_kib(&cluster);
    let ids: Vec<_> = (0..REQUESTS).map(|index| format!("i{index}")).collect();
    let items: Vec<_> = ids.iter().map(|id| (id.as_str(), "/batch/x/0")).collect();
    cluster.nodes[0].submit_job("j", &items).await;
    wait_until("an item met the server", async || {
        server.requests.load(Ordering::Acquire) > 0
    })
    .await;
    cluster.register_server_with_slots(0, SOUND_SLOTS).await;
    let results = cluster.nodes[0].wait_for_results("j").await;
    assert!(results.iter().all(|result| result["state"] == "done"));
    let growth_kib = resident_kib(&cluster).saturating_sub(before_kib);
    assert!(
        growth_kib < GROWTH_MAX_KIB,
        "the process grew by {growth_kib} KiB"
    );
}

/// Items run again at the sound server.
#[tokio::test(flavor = "multi_thread")]
async fn items_that_met_an_event_without_end_are_done() {
    let start = format!("{}\r\nid: 1\ndata: ", answer_head("200 OK"));
    let server = EndlessServer::start(start, vec![b'x'; 8_192], Duration::ZERO).await;
    assert_items_are_done(&server).await;
}

/// The same for the size of a chunk.
#[tokio::test(flavor = "multi_thread")]
async fn items_that_met_a_chunk_size_without_end_are_done() {
    let server = EndlessServer::start(chunked_head(), vec![b'0'; 8_192], Duration::ZERO).await;
    assert_items_are_done(&server).await;
}

/// A server goes on with events that have no end.
#[tokio::test(flavor = "multi_thread")]
async fn events_without_end_do_not_fill_the_memory_of_an_items_run() {
    let mut events = String::new();
    for id in 1..=400_000_u32 {
        write!(events, "id: {id}\ndata: {}\n\n", "x".repeat(100)).unwrap();
    }
    let start = format!("{}\r\n{events}", answer_head("200 OK"));
    let server = EndlessServer::start(start, vec![b'x'; 8_192], Duration::ZERO).await;
    let cluster = start_cluster(&server).await;
    let before_kib = resident_kib(&cluster);
    cluster.nodes[0]
        .submit_job("j", &[("i0", "/batch/x/0"), ("i1", "/batch/x/1")])
        .await;
    for _ in 0..20 {
        sleep(Duration::from_millis(100)).await;
        let growth_kib = resident_kib(&cluster).saturating_sub(before_kib);
        assert!(
            growth_kib < GROWTH_MAX_KIB,
            "the process grew by {growth_kib} KiB"
        );
    }
}

/// The same for an item, which no caller waits for.
#[tokio::test(flavor = "multi_thread")]
async fn items_that_met_an_event_that_trickles_are_done() {
    let start = format!("{}\r\nid: 1\ndata: ", answer_head("200 OK"));
    let pause = Duration::from_millis(10);
    let server = EndlessServer::start(start, vec![b'x'], pause).await;
    assert_items_are_done(&server).await;
}

/// Sends this request on each of a few connections and then zeros without end, and checks that
/// other callers are served.
async fn assert_callers_without_end_hold_up_no_other(request: String) {
    const CALLERS: usize = 8;
    let cluster = TestCluster::start(&[SOUND_SLOTS], 1).await;
    let address = cluster.nodes[0].callers_address;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let request = request.clone();
        callers.spawn(async move {
            let mut socket = TcpStream::connect(address).await.unwrap();
            socket.write_all(request.as_bytes()).await.unwrap();
            while socket.write_all(&[b'0'; 8_192]).await.is_ok() {}
        });
    }
    sleep(Duration::from_millis(300)).await;
    for index in 0..REQUESTS {
        let started = Instant::now();
        let id = format!("r{index}");
        let answer = support::send_stream_request(address, "/long/x", &id).await;
        assert_eq!(answer.body, complete_stream(&id));
        assert!(started.elapsed() < GOAL, "{:?}", started.elapsed());
    }
}

/// Returns the head of a request with a body in chunks.
fn chunked_request(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Callers whose requests have no end hold up nobody else.
#[tokio::test(flavor = "multi_thread")]
async fn chunk_size_of_callers_without_end_holds_up_no_other() {
    assert_callers_without_end_hold_up_no_other(chunked_request("/long/x")).await;
}

/// The rest of a refused body lifted the limit of the next request on its connection.
#[tokio::test(flavor = "multi_thread")]
async fn chunk_size_without_end_after_a_refused_body_holds_up_no_other() {
    let refused = format!("{}4\r\nbody\r\n0\r\n\r\n", chunked_request("/no-route/x"));
    assert_callers_without_end_hold_up_no_other(refused + &chunked_request("/long/x")).await;
}
