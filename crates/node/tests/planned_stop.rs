//! Callers that still come while an instance stops as planned.

mod support;

use std::{
    collections::BTreeSet,
    io::ErrorKind,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{
    Answer, EVENTS_PER_STREAM, HOST, TestCluster, complete_stream, config,
    scripted_cluster::config_of_all_kinds,
    scripted_server::{RequestHead, ScriptedServer, events},
    send_request,
    store_proxy::ProxyState,
    wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time from the signal for which callers come: until the instance accepts no connections.
const CALLERS_COME: Duration = Duration::from_millis(3_900);
/// Time from the signal until the platform sends no more callers to the instance.
const OUT_OF_ROTATION: Duration = Duration::from_millis(2_600);
/// Grace period of a planned stop.
const GRACE: Duration = Duration::from_secs(6);
/// Time from the signal for which the platform is sure to send callers: it asks once a second
/// whether an instance is ready, and takes it out of rotation after two misses. An instance
/// without connections may end soon after.
const IN_ROTATION: Duration = Duration::from_secs(2);
/// Time from the signal in which requests are sent that a stop may cut at its end.
const MAY_BE_CUT: Duration = Duration::from_secs(3);
/// Time from the signal until the rest of the stop is shorter than requests of 750 ms.
const UNTIL_LATE: Duration = Duration::from_secs(5);
/// Pause between two callers.
const PAUSE: Duration = Duration::from_millis(30);
/// Duration of short requests, and a time that their callers wait which ends before the stop does.
const SHORT_DURATION: Duration = Duration::from_millis(400);
const SHORT_DEADLINE_MS: &str = "1400";
/// Paths of routes of all kinds.
const PATHS: [&str; 4] = ["/once/x", "/long/x", "/idempotent/x", "/non_idempotent/x"];
/// Duration of the requests of a route of which some are long.
const SHORT_FOR_LONG_ONES: Duration = Duration::from_millis(750);
/// Time that callers wait, which is longer than the rest of the stop for most of them.
const DEADLINE_MS: &str = "4500";

/// A server that takes the same time for each answer, and the ids of requests that it got.
struct SlowServer {
    server: ScriptedServer,
    requests: Arc<Mutex<BTreeSet<String>>>,
}

impl SlowServer {
    /// Starts a server whose streams begin at once and end after the duration that `duration_of`
    /// returns for the id of the request.
    fn start(duration_of: impl Fn(&str) -> Duration + Send + 'static) -> Self {
        let requests = Arc::new(Mutex::new(BTreeSet::new()));
        let ids = Arc::clone(&requests);
        let server = ScriptedServer::start(move |head, stream| {
            ids.lock().unwrap().insert(head.id.clone());
            let duration = duration_of(&head.id);
            answer_slowly(head, stream, duration)
        });
        Self { server, requests }
    }

    fn has_got(&self, id: &str) -> bool {
        self.requests.lock().unwrap().contains(id)
    }
}

async fn answer_slowly(head: RequestHead, mut stream: TcpStream, duration: Duration) {
    let first = head.after_event.unwrap_or(0) + 1;
    let id = &head.id;
    let begin = "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let pause = duration / u32::try_from(EVENTS_PER_STREAM).unwrap();
    // The other side may have closed the connection.
    let _ = stream.write_all(begin.as_bytes()).await;
    for event in first..=EVENTS_PER_STREAM {
        sleep(pause).await;
        let event = events(id, event..=event);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let _ = stream.write_all(chunk.as_bytes()).await;
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

/// Answers with the whole stream at once, after a silence.
async fn answer_after(head: RequestHead, mut stream: TcpStream, silence: Duration) {
    sleep(silence).await;
    let body = complete_stream(&head.id);
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    // The other side may have closed the connection.
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// What came of a request that was sent during the stop.
#[derive(Debug)]
struct Outcome {
    id: String,
    /// Time from the signal to the request.
    sent_after: Duration,
    /// `None` if the connection ended without an answer.
    answer: Option<Answer>,
}

async fn send(cluster: &TestCluster, path: &'static str, id: String) -> std::io::Result<Answer> {
    send_with_deadline(cluster, path, id, DEADLINE_MS).await
}

async fn send_with_deadline(
    cluster: &TestCluster,
    path: &'static str,
    id: String,
    deadline_ms: &str,
) -> std::io::Result<Answer> {
    let address = cluster.nodes[0].callers_address;
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id.as_str()),
        ("redwingtack-deadline-ms", deadline_ms),
    ];
    send_request(address, "POST", path, &headers, b"prompt".to_vec()).await
}

/// Starts an instance, which learns how long requests last, stops it, and sends requests on new
/// connections meanwhile.
async fn outcomes_of_a_stop(
    path: &'static str,
    duration: Duration,
) -> (Vec<Outcome>, SlowServer, TestCluster) {
    outcomes_beside(SlowServer::start(move |_| duration), path, DEADLINE_MS).await
}

/// Like [`outcomes_of_a_stop`], with callers that wait for another time.
async fn outcomes_beside(
    slow: SlowServer,
    path: &'static str,
    deadline_ms: &'static str,
) -> (Vec<Outcome>, SlowServer, TestCluster) {
    let cluster = start_with_all_kinds().await;
    slow.server.register(&cluster, "slow", 400).await;
    sleep(Duration::from_millis(300)).await;
    for number in 0..2 {
        let answer = send(&cluster, path, format!("before-{number}")).await;
        assert!(answer.unwrap().is_complete);
    }
    cluster.nodes[0].signal(Signal::SIGTERM);
    let stopped_at = Instant::now();
    let cluster = Arc::new(cluster);
    let mut requests = JoinSet::new();
    while stopped_at.elapsed() < CALLERS_COME {
        let id = format!("r{}", requests.len());
        let cluster = Arc::clone(&cluster);
        requests.spawn(async move {
            let sent_after = stopped_at.elapsed();
            let answer = send_with_deadline(&cluster, path, id.clone(), deadline_ms);
            let answer = match answer.await {
                Ok(answer) => Some(answer),
                Err(error) => {
                    assert_ne!(error.kind(), ErrorKind::ConnectionRefused, "{sent_after:?}");
                    None
                }
            };
            Outcome {
                id,
                sent_after,
                answer,
            }
        });
        sleep(PAUSE).await;
    }
    let outcomes = requests.join_all().await;
    let mut cluster = Arc::into_inner(cluster).unwrap();
    assert!(cluster.nodes[0].wait_for_exit().await);
    (outcomes, slow, cluster)
}

/// Each request must be answered in full, or refused before it was passed on.
fn assert_none_is_cut(outcomes: &[Outcome], slow: &SlowServer) {
    for Outcome {
        id,
        sent_after,
        answer,
    } in outcomes
    {
        let Some(answer) = answer else {
            panic!("{id}, sent {sent_after:?} after the signal, got no answer");
        };
        match answer.status {
            StatusCode::OK => {
                assert!(
                    answer.is_complete,
                    "{id}, sent after {sent_after:?}, is cut"
                );
                assert_eq!(answer.body, complete_stream(id));
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                assert!(answer.headers.contains_key("retry-after"));
                assert!(!slow.has_got(id), "{id} was refused and has run");
            }
            status => panic!("{id}, sent after {sent_after:?}: {status}"),
        }
    }
    let closes = |answer: &Answer| answer.headers["connection"] == "close";
    let mut answers = outcomes
        .iter()
        .filter_map(|outcome| outcome.answer.as_ref());
    assert!(answers.all(closes));
}

/// Guards against requests that are passed on late in a planned stop and cut at its end: they
/// may not be repeated, so that nobody can tell what became of them.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_not_be_repeated_is_not_cut_by_a_stop() {
    let duration = Duration::from_secs(2);
    let (outcomes, slow, _cluster) = outcomes_of_a_stop("/once/x", duration).await;
    assert_none_is_cut(&outcomes, &slow);
}

/// The same for streams that another instance could resume.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_stream_is_not_cut_by_a_stop() {
    let duration = Duration::from_millis(2_400);
    let (outcomes, slow, _cluster) = outcomes_of_a_stop("/long/x", duration).await;
    assert_none_is_cut(&outcomes, &slow);
}

/// Returns how long a stream lasts on a route of short streams, of which one in four is long once
/// the stop has begun.
fn duration_with_long_ones(id: &str) -> Duration {
    let number: Option<u32> = id.strip_prefix('r').and_then(|number| number.parse().ok());
    if number.is_some_and(|number| number % 4 == 0) {
        Duration::from_millis(3_500)
    } else {
        SHORT_FOR_LONG_ONES
    }
}

/// Guards against a request that is taken late in a planned stop because those before it were short,
/// and cut after a part of its answer, or run in vain.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_outlasts_those_before_it_is_not_cut_by_a_stop() {
    for path in PATHS {
        let slow = SlowServer::start(duration_with_long_ones);
        let (mut outcomes, slow, _cluster) = outcomes_beside(slow, path, DEADLINE_MS).await;
        let is_short = |id: &str| duration_with_long_ones(id) == SHORT_FOR_LONG_ONES;
        outcomes.retain(|outcome| outcome.sent_after > MAY_BE_CUT || is_short(&outcome.id));
        assert_none_is_cut(&outcomes, &slow);
    }
}

/// Guards against attempts that replace one of a sound server late in a stop and cannot end in time.
#[tokio::test(flavor = "multi_thread")]
async fn silent_request_does_not_run_in_vain_late_in_a_stop() {
    let attempts = Arc::new(Mutex::new(0));
    let servers = [(); 2].map(|()| {
        let attempts = Arc::clone(&attempts);
        ScriptedServer::start(move |head, stream| {
            let is_late = head.id == "late";
            *attempts.lock().unwrap() += u32::from(is_late);
            let silence_ms = if is_late { 2_200 } else { 100 };
            answer_after(head, stream, Duration::from_millis(silence_ms))
        })
    });
    let mut cluster = start_with_all_kinds().await;
    for (server, id) in servers.iter().zip(["a", "b"]) {
        server.register(&cluster, id, 8).await;
    }
    sleep(Duration::from_millis(300)).await;
    for number in 0..4 {
        let id = format!("before-{number}");
        let answer = send(&cluster, "/idempotent/x", id).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    // An instance without connections may end early.
    let kept = TcpStream::connect(cluster.nodes[0].callers_address).await;
    cluster.nodes[0].signal(Signal::SIGTERM);
    sleep(MAY_BE_CUT).await;
    let answer = send(&cluster, "/idempotent/x", "late".to_owned()).await;
    drop(kept);
    let answer = answer.unwrap();
    if answer.status == StatusCode::OK {
        assert_eq!(answer.body, complete_stream("late"));
    } else {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(*attempts.lock().unwrap(), 0);
    }
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// Guards against the same early in a stop: the first attempt would have ended in time, the last one
/// does not.
#[tokio::test(flavor = "multi_thread")]
async fn silent_request_is_answered_by_a_sound_server_early_in_a_stop() {
    let servers = [(); 2].map(|()| {
        ScriptedServer::start(|head, stream| {
            let silence_ms = if head.id == "early" { 4_600 } else { 100 };
            answer_after(head, stream, Duration::from_millis(silence_ms))
        })
    });
    let mut cluster = start_with_all_kinds().await;
    for (server, id) in servers.iter().zip(["a", "b"]) {
        server.register(&cluster, id, 8).await;
    }
    sleep(Duration::from_millis(300)).await;
    let answer = send(&cluster, "/lasting/x", "before".to_owned()).await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    cluster.nodes[0].signal(Signal::SIGTERM);
    let answer = send_with_deadline(&cluster, "/lasting/x", "early".to_owned(), "9000").await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// Guards against another attempt for a request that failed shortly before the end of a stop: it
/// would run in vain.
#[tokio::test(flavor = "multi_thread")]
async fn failed_request_does_not_begin_again_at_the_end_of_a_stop() {
    let late_attempts = Arc::new(Mutex::new(0));
    let servers = [(); 2].map(|()| {
        let late_attempts = Arc::clone(&late_attempts);
        ScriptedServer::start(move |head, stream| {
            let is_late = head.id == "late";
            *late_attempts.lock().unwrap() += u32::from(is_late);
            async move {
                if is_late {
                    sleep(UNTIL_LATE).await;
                    drop(stream);
                } else {
                    answer_after(head, stream, Duration::from_millis(750)).await;
                }
            }
        })
    });
    let mut cluster = start_with_all_kinds().await;
    for (server, id) in servers.iter().zip(["a", "b"]) {
        server.register(&cluster, id, 8).await;
    }
    sleep(Duration::from_millis(300)).await;
    let answer = send(&cluster, "/patient/x", "before".to_owned()).await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    cluster.nodes[0].signal(Signal::SIGTERM);
    let answer = send_with_deadline(&cluster, "/patient/x", "late".to_owned(), "9000").await;
    assert_eq!(answer.unwrap().status, StatusCode::BAD_GATEWAY);
    assert_eq!(*late_attempts.lock().unwrap(), 1);
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// Guards against a failure in place of another attempt because nothing is known of the route: there
/// is much time left.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_broke_at_the_beginning_of_a_stop_goes_on_elsewhere() {
    let attempts = Arc::new(Mutex::new(0));
    let mut cluster = start_with_all_kinds().await;
    for id in ["a", "b"] {
        let attempts = Arc::clone(&attempts);
        let server = ScriptedServer::start(move |head, stream| {
            let mut attempts = attempts.lock().unwrap();
            *attempts += 1;
            let breaks_off = *attempts == 1;
            async move {
                if breaks_off {
                    sleep(Duration::from_millis(200)).await;
                } else {
                    answer_after(head, stream, Duration::ZERO).await;
                }
            }
        });
        server.register(&cluster, id, 8).await;
    }
    sleep(Duration::from_millis(300)).await;
    let cluster_ref = &cluster;
    let request = send_with_deadline(cluster_ref, "/patient/x", "r".to_owned(), "9000");
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        cluster_ref.nodes[0].signal(Signal::SIGTERM);
    };
    let (answer, ()) = tokio::join!(request, stop);
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    assert_eq!(*attempts.lock().unwrap(), 2);
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// A stop refuses nothing that is sure to end in time, and answers on new connections until it
/// accepts none.
#[tokio::test(flavor = "multi_thread")]
async fn short_request_is_served_until_the_end_of_a_stop() {
    for path in PATHS {
        let slow = SlowServer::start(|_| SHORT_DURATION);
        let (outcomes, slow, _cluster) = outcomes_beside(slow, path, SHORT_DEADLINE_MS).await;
        assert_none_is_cut(&outcomes, &slow);
        for outcome in outcomes {
            let answer = outcome.answer.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{:?}", outcome.sent_after);
        }
    }
}

/// A short request that could outlast the stop is served as long as the platform sends callers, and
/// refused, not run, after that.
#[tokio::test(flavor = "multi_thread")]
async fn short_request_of_unknown_end_is_served_while_in_rotation() {
    for path in PATHS {
        let (outcomes, slow, _cluster) = outcomes_of_a_stop(path, SHORT_DURATION).await;
        assert_none_is_cut(&outcomes, &slow);
        for outcome in outcomes {
            let status = outcome.answer.unwrap().status;
            if outcome.sent_after < IN_ROTATION {
                assert_eq!(status, StatusCode::OK, "{:?}", outcome.sent_after);
            } else if outcome.sent_after > MAY_BE_CUT {
                let refused = StatusCode::SERVICE_UNAVAILABLE;
                assert_eq!(status, refused, "{:?}", outcome.sent_after);
            }
        }
    }
}

/// Requests that last longer are served as long as the platform sends them.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_second_is_served_while_in_rotation() {
    let duration = Duration::from_secs(1);
    let (outcomes, slow, _cluster) = outcomes_of_a_stop("/once/x", duration).await;
    assert_none_is_cut(&outcomes, &slow);
    for outcome in outcomes {
        if outcome.sent_after < OUT_OF_ROTATION {
            let answer = outcome.answer.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{:?}", outcome.sent_after);
        }
    }
}

/// A request that is at work when the stop ends its time gets an answer, and no promise.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_an_answer_at_the_end_of_a_stop_is_told() {
    let silent = ScriptedServer::start(async |_, stream| {
        sleep(Duration::from_secs(30)).await;
        drop(stream);
    });
    let mut cluster = start_with_long_time_outs().await;
    silent.register(&cluster, "silent", 8).await;
    sleep(Duration::from_millis(300)).await;
    let request = tokio::spawn(send_with_long_deadline(&cluster));
    sleep(Duration::from_millis(300)).await;
    cluster.nodes[0].signal(Signal::SIGTERM);
    let answer = request.await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// A request whose body is still being read has not run, and is told so.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_is_read_at_the_end_of_a_stop_has_not_run() {
    let mut cluster = start_with_long_time_outs().await;
    let address = cluster.nodes[0].callers_address;
    let mut caller = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nRedwingtack-Deadline-Ms: 15000\r\n\
         Content-Length: 9\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    cluster.nodes[0].signal(Signal::SIGTERM);
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("\r\nretry-after: "), "{answer}");
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// A request that comes during a stop before the first configuration is refused.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_refused_if_the_stop_comes_before_the_configuration() {
    let mut cluster = TestCluster::start_without_config(&[8], 1).await;
    wait_until("the instance accepts connections", async || {
        TcpStream::connect(cluster.nodes[0].callers_address)
            .await
            .is_ok()
    })
    .await;
    cluster.nodes[0].signal(Signal::SIGTERM);
    for _ in 0..2 {
        let answer = send(&cluster, "/once/x", "r".to_owned()).await.unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// A stop does not wait for a store that has fallen silent.
#[tokio::test(flavor = "multi_thread")]
async fn stop_beside_a_silent_store_serves_and_ends_in_time() {
    let mut cluster = TestCluster::start_without_config(&[8], 0).await;
    cluster.put_config(1).await;
    let proxy = cluster.add_proxied_node("alone").await;
    assert!(send(&cluster, "/once/x", "before".to_owned()).await.is_ok());
    proxy.set_state(ProxyState::Silent);
    cluster.nodes[0].signal(Signal::SIGTERM);
    let stopped_at = Instant::now();
    while stopped_at.elapsed() < IN_ROTATION {
        let id = format!("r{}", stopped_at.elapsed().as_millis());
        let answer = send(&cluster, "/once/x", id.clone()).await.unwrap();
        assert_eq!(answer.body, complete_stream(&id));
    }
    assert!(cluster.nodes[0].wait_for_exit().await);
    assert!(stopped_at.elapsed() < GRACE, "{:?}", stopped_at.elapsed());
}

/// Two instances that stop at once refuse nothing that they can still do.
#[tokio::test(flavor = "multi_thread")]
async fn two_stops_at_once_cut_nothing() {
    let mut cluster = TestCluster::start(&[32], 2).await;
    for node in &cluster.nodes {
        let answer = node.send_stream_request("/once/x", "before").await;
        assert!(answer.is_complete);
    }
    for node in &cluster.nodes {
        node.signal(Signal::SIGTERM);
    }
    let stopped_at = Instant::now();
    let nodes = cluster.nodes.iter().cycle();
    for (number, node) in nodes.enumerate() {
        if stopped_at.elapsed() >= IN_ROTATION {
            break;
        }
        let id = format!("r{number}");
        let answer = node.send_stream_request("/once/x", &id).await;
        assert_eq!(answer.body, complete_stream(&id), "{answer:?}");
        assert!(answer.is_complete);
    }
    for node in &mut cluster.nodes {
        assert!(node.wait_for_exit().await);
    }
}

/// Starts an instance with routes of all kinds, without a server.
async fn start_with_all_kinds() -> TestCluster {
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.unregister_server(0).await;
    let mut config = config_of_all_kinds();
    let routes = config["routes"].as_array_mut().unwrap();
    for (name, goal_ms) in [("patient", 5_000), ("lasting", 300)] {
        routes.push(json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": "idempotent",
            "timeout_ms": 20_000, "goal_ms": goal_ms, "priority": 0, "max_attempts": 3,
            "service": "oracle"
        }));
    }
    cluster.put_row("op", "config", &config).await;
    cluster
}

/// Starts an instance whose routes let requests last longer than a stop, without a server.
async fn start_with_long_time_outs() -> TestCluster {
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.unregister_server(0).await;
    let mut config = config(2, 0);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(20_000);
    }
    cluster.put_row("op", "config", &config).await;
    sleep(Duration::from_millis(300)).await;
    cluster
}

/// Returns a request that may last longer than a stop.
fn send_with_long_deadline(
    cluster: &TestCluster,
) -> impl Future<Output = std::io::Result<Answer>> + use<> {
    let address = cluster.nodes[0].callers_address;
    async move {
        let headers = [
            ("host", HOST),
            ("redwingtack-request-id", "r"),
            ("redwingtack-deadline-ms", "15000"),
        ];
        send_request(address, "POST", "/once/x", &headers, b"prompt".to_vec()).await
    }
}
