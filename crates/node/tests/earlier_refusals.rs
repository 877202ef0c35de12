//! Upstreams that write an earlier refusal once more on a connection that is used again, right
//! before they answer the next request. "Not run" is a promise, so it must not be taken from
//! another request.

mod support;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::StatusCode;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use support::{TestCluster, complete_stream, send_stream_request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time in which an instance learns of a registration.
const TIME_TO_LEARN: Duration = Duration::from_millis(500);
const CALLERS: usize = 8;
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(60);
const REQUESTS_PER_CALLER: usize = 60;
/// Share of the requests on new connections that are refused.
const REFUSED_SHARE: f64 = 0.4;
const SEED: u64 = 43;
const UPSTREAMS: usize = 3;
/// Time that an upstream takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// What the upstream has done.
#[derive(Debug)]
struct Upstream {
    random: Mutex<SmallRng>,
    last_refusal: Mutex<Option<String>>,
    runs: Mutex<BTreeSet<String>>,
    repeated: Mutex<usize>,
}

impl Upstream {
    async fn start() -> (Arc<Self>, SocketAddr) {
        let upstream = Arc::new(Self {
            random: Mutex::new(SmallRng::seed_from_u64(SEED)),
            last_refusal: Mutex::default(),
            runs: Mutex::default(),
            repeated: Mutex::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = Arc::clone(&upstream);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).serve(stream));
            }
        });
        (upstream, address)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut is_used = false;
        while let Some(id) = read_request(&mut stream).await {
            let refuses = !is_used && self.random.lock().unwrap().random_bool(REFUSED_SHARE);
            let mut answer = String::new();
            if refuses {
                answer += &self.refuse();
            } else {
                if is_used && let Some(earlier) = &*self.last_refusal.lock().unwrap() {
                    answer += earlier;
                    *self.repeated.lock().unwrap() += 1;
                }
                self.runs.lock().unwrap().insert(id.clone());
                answer += &answer_to(&id);
                sleep(ANSWER_TIME).await;
            }
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            is_used = true;
        }
    }

    fn refuse(&self) -> String {
        let refusal = "HTTP/1.1 503 Full
Redwingtack-Not-Run: full
Content-Length: 0

";
        *self.last_refusal.lock().unwrap() = Some(refusal.to_owned());
        refusal.to_owned()
    }
}

/// Reads a request. Returns its id, or `None` if the connection is closed.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let value = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                lines.find(|(key, _)| *key == name).map(|(_, value)| value)
            };
            let length: usize = value("content-length").unwrap_or("0").parse().ok()?;
            if body.len() >= length {
                return value("redwingtack-request-id").map(str::to_owned);
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(length @ 1..) => received.extend_from_slice(&buffer[..length]),
            Ok(0) | Err(_) => return None,
        }
    }
}

fn answer_to(id: &str) -> String {
    let body = complete_stream(id);
    format!(
        "HTTP/1.1 200 OK\r\nRedwingtack-Request-Id: {id}\r\nRedwingtack-Server-Stamp: stamp\r\n\
         Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts an instance whose only servers are such upstreams.
async fn start() -> (TestCluster, Vec<Arc<Upstream>>) {
    let cluster = TestCluster::start(&[4], 1).await;
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let (upstream, address) = Upstream::start().await;
        let registration = json!({
            "service": "oracle", "addr": address.to_string(), "zone": "a", "version": "v1",
            "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1
        });
        let id = format!("faulty-{number}");
        cluster.put_row("servers", &id, &registration).await;
        upstreams.push(upstream);
    }
    cluster.unregister_server(0).await;
    sleep(TIME_TO_LEARN).await;
    (cluster, upstreams)
}

/// Sends requests one after the other. Returns the ids of those that were told "not run".
async fn send_all(node: SocketAddr, ids: Vec<String>) -> Vec<String> {
    let mut refused = Vec::new();
    for id in ids {
        sleep(PAUSE).await;
        let answer = send_stream_request(node, "/long/x", &id).await;
        if answer.status == StatusCode::OK {
            assert_eq!(answer.body, complete_stream(&id));
        } else if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            refused.push(id);
        }
    }
    refused
}

/// Sends requests of several callers at once.
async fn send_at_once(node: SocketAddr) -> Vec<String> {
    let mut tasks = Vec::new();
    for caller in 0..CALLERS {
        let ids = (0..REQUESTS_PER_CALLER).map(|number| format!("r{caller}-{number}"));
        tasks.push(tokio::spawn(send_all(node, ids.collect())));
    }
    let mut refused = Vec::new();
    for task in tasks {
        refused.extend(task.await.unwrap());
    }
    refused
}

/// Checks that no request was told "not run" that ran, and that refusals were repeated.
fn check_promises(upstreams: &[Arc<Upstream>], refused: &[String]) {
    let mut repeated = 0;
    for upstream in upstreams {
        let runs = upstream.runs.lock().unwrap();
        let broken: Vec<_> = refused.iter().filter(|id| runs.contains(*id)).collect();
        assert!(broken.is_empty(), "told \"not run\", but ran: {broken:?}");
        repeated += *upstream.repeated.lock().unwrap();
    }
    assert!(repeated > 0, "no refusal was written again");
}

/// Guards against a promise that is taken from a refusal of an earlier request.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_that_names_no_request_is_not_believed_on_a_used_connection() {
    let (cluster, upstreams) = start().await;
    let refused = send_at_once(cluster.nodes[0].callers_address).await;
    check_promises(&upstreams, &refused);
}
