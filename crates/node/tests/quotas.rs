//! Quotas of customers, kept by several processes together.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{Answer, HOST, TestCluster, send_request};
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep},
};

/// Quota of each customer, requests per second, and its burst.
const RATE_PER_S: u32 = 20;
/// Time over which a quota is judged.
const WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of requests in that time: a tenth more than the rate and the burst allow.
const WINDOW_MAX: usize = 132;
/// Time in which the processes know each other and have begun to issue tokens.
const SETTLE: Duration = Duration::from_secs(3);

/// An answered request.
struct Answered {
    sent_at: Instant,
    answer: Answer,
}

/// Starts processes with two customers, `busy` and `quiet`.
async fn start(nodes: usize) -> TestCluster {
    let mut cluster = TestCluster::start_without_config(&[4; 8], nodes).await;
    let customer = |name: &str| {
        json!({"name": name, "api_keys": [format!("{name}-key")],
               "rate_per_s": RATE_PER_S, "burst": RATE_PER_S})
    };
    let config = json!({
        "version": 1,
        "routes": [{"name": "long", "host": HOST, "path_prefix": "/long/", "kind": "stream",
                    "timeout_ms": 5000, "goal_ms": 1000, "gap_aim_ms": 1000, "priority": 0,
                    "max_attempts": 1, "resumable": false, "service": "oracle"}],
        "services": [{"name": "oracle"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_000_000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [customer("busy"), customer("quiet")]
    });
    cluster.put_row("op", "config", &config).await;
    for node in &mut cluster.nodes {
        node.wait_until_ready().await;
    }
    sleep(SETTLE).await;
    cluster
}

async fn send(address: SocketAddr, customer: &'static str, id: String) -> Option<Answered> {
    let sent_at = Instant::now();
    let key = format!("{customer}-key");
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id.as_str()),
        ("redwingtack-deadline-ms", "4000"),
        ("x-api-key", key.as_str()),
    ];
    let answer = send_request(address, "POST", "/long/x", &headers, b"prompt".to_vec());
    let answer = answer.await.ok()?;
    Some(Answered { sent_at, answer })
}

/// Sends requests of a customer to processes in turn. Requests to a process that is killed
/// are left out.
fn send_load(
    addresses: Vec<SocketAddr>,
    customer: &'static str,
    requests_per_s: u32,
    time: Duration,
) -> impl Future<Output = Vec<Answered>> {
    let pause = Duration::from_secs(1) / requests_per_s;
    let count = requests_per_s * u32::try_from(time.as_secs()).unwrap();
    async move {
        let mut requests = JoinSet::new();
        let mut ticks = interval(pause);
        for index in 0..count {
            ticks.tick().await;
            let address = addresses[index as usize % addresses.len()];
            requests.spawn(send(address, customer, format!("{customer}-{index}")));
        }
        requests.join_all().await.into_iter().flatten().collect()
    }
}

fn addresses(cluster: &TestCluster) -> Vec<SocketAddr> {
    let nodes = cluster.nodes.iter();
    nodes.map(|node| node.callers_address).collect()
}

/// Returns the highest number of requests that were served in a window.
fn most_in_window(answered: &[Answered]) -> usize {
    let is_served = |answered: &&Answered| answered.answer.status == StatusCode::OK;
    let served = answered.iter().filter(is_served);
    let mut times: Vec<_> = served.map(|answered| answered.sent_at).collect();
    times.sort_unstable();
    let counts = times.iter().enumerate().map(|(index, start)| {
        let is_inside = |at: &&Instant| **at < *start + WINDOW;
        times[index..].iter().take_while(is_inside).count()
    });
    counts.max().unwrap_or(0)
}

/// One customer sends eight times its quota beside a quiet one.
#[tokio::test(flavor = "multi_thread")]
async fn burst_is_limited_and_refuses_no_other_customer() {
    let cluster = start(3).await;
    let time = Duration::from_secs(8);
    let (busy, quiet) = tokio::join!(
        send_load(addresses(&cluster), "busy", RATE_PER_S * 8, time),
        send_load(addresses(&cluster), "quiet", RATE_PER_S / 2, time),
    );
    let most = most_in_window(&busy);
    assert!(most <= WINDOW_MAX, "{most} requests in a window");
    let served = busy
        .iter()
        .filter(|answered| answered.answer.status == StatusCode::OK);
    let served = served.count();
    assert!(served >= 20 * 8, "only {served} requests in 8 s");
    for answered in &busy {
        let Answer {
            status, headers, ..
        } = &answered.answer;
        let is_refused = *status == StatusCode::TOO_MANY_REQUESTS;
        assert!(is_refused || *status == StatusCode::OK, "{status}");
        assert!(!is_refused || headers.contains_key("retry-after"));
    }
    for answered in &quiet {
        assert_eq!(answered.answer.status, StatusCode::OK);
    }
}

/// No window is granted twice when processes that issue tokens are killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_issuer_grants_no_window_twice() {
    let cluster = start(3).await;
    let time = Duration::from_secs(10);
    let load = send_load(addresses(&cluster), "busy", RATE_PER_S * 4, time);
    let kill = async {
        // Two of three processes: the issuer is one of them, or has to take their part over.
        for node in &cluster.nodes[..2] {
            sleep(Duration::from_secs(3)).await;
            node.signal(Signal::SIGKILL);
        }
    };
    let (busy, ()) = tokio::join!(load, kill);
    let most = most_in_window(&busy);
    assert!(most <= WINDOW_MAX, "{most} requests in a window");
    let last_s =
        busy.iter().map(|answered| answered.sent_at).max().unwrap() - Duration::from_secs(2);
    let served = busy
        .iter()
        .filter(|answered| answered.sent_at >= last_s && answered.answer.status == StatusCode::OK);
    assert!(
        served.count() > 0,
        "nothing is served after the issuers were killed"
    );
}
