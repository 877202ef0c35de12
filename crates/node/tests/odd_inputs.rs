//! Odd input: rows of other writers among those that every instance reads, datagrams of anybody,
//! and figures in headers. What cannot be read names nothing to use; the rest holds, and no
//! process ends or stops following a table.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use support::{
    HOST, TestCluster, complete_stream, config, jobs::job_partition, send_request, wait_until,
};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

/// Time in which every instance reads a new row.
const TIME_TO_LEARN: Duration = Duration::from_millis(500);
const JOBS_TABLE: &str = "redwingtack_jobs";
/// Number of odd datagrams, and the seed of their bytes.
const DATAGRAMS: usize = 8_000;
const SEED: u64 = 43;
/// Depth of nested arrays.
const DEPTH: usize = 100_000;

/// Returns a registration as text, in which the value of a field is replaced by other text.
fn registration_with(field: &str, text: &str) -> Vec<u8> {
    let mut registration = json!({
        "service": "oracle", "addr": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 4,
        "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1
    });
    registration[field] = json!("REPLACED");
    let whole = registration.to_string();
    whole.replace("\"REPLACED\"", text).into_bytes()
}

fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// Returns rows that no table of ours has.
fn unreadable_rows() -> Vec<Vec<u8>> {
    let nested = nested().into_bytes();
    vec![nested, vec![0xff; 300], Vec::new(), b"{}".to_vec()]
}

/// Returns rows that name no server, or one that nobody can connect to.
fn odd_registrations() -> Vec<Vec<u8>> {
    let digits = "9".repeat(400);
    let name = format!("\"{}\"", "n".repeat(400_000));
    let mut rows = vec![
        nested().into_bytes(),
        vec![0xff; 300],
        b"{".to_vec(),
        Vec::new(),
        b"null".to_vec(),
    ];
    for field in ["cold_left_ms", "slots", "born", "seq"] {
        for number in [
            "1e400",
            "1e308",
            "-1e308",
            "-1",
            "0.5",
            "4294967295",
            "4294967296",
            "9223372036854775807",
            "9223372036854775808",
            "18446744073709551615",
            "18446744073709551616",
            "true",
            "[]",
            "{}",
            "\"\"",
            &digits,
            &nested(),
        ] {
            rows.push(registration_with(field, number));
        }
    }
    for address in [
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:65535",
        "127.0.0.1:70000",
        "127.0.0.1",
        "[::]:80",
        "0.0.0.0:9",
        "255.255.255.255:9",
        "somewhere:80",
        "",
        ":",
        "127.0.0.1:9 ",
    ] {
        rows.push(registration_with("addr", &format!("\"{address}\"")));
    }
    for field in ["service", "zone", "version", "state"] {
        for text in ["\"\"", "7", "null", "\"\\u0000\\n\"", &name, &nested()] {
            rows.push(registration_with(field, text));
        }
    }
    rows
}

/// Puts odd rows and then registers a server. Checks that the processes go on and use it.
async fn check_goes_on(cluster: &mut TestCluster, table: &str, rows: &[Vec<u8>]) {
    for (number, row) in rows.iter().enumerate() {
        let key = format!("odd-{number}");
        let partition = match table {
            JOBS_TABLE => job_partition(&key),
            _ => String::new(),
        };
        cluster.put_bytes(table, &partition, &key, row).await;
        if number % 8 == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }
    sleep(TIME_TO_LEARN).await;
    check_serves_at_second_server(cluster).await;
}

/// Registers the second server in place of the first one and checks that it is used.
async fn check_serves_at_second_server(cluster: &mut TestCluster) {
    cluster.unregister_server(0).await;
    cluster.register_server(1, "ready").await;
    check_serves(cluster).await;
}

/// Checks that every process still runs and serves requests and jobs at the second server.
async fn check_serves(cluster: &mut TestCluster) {
    sleep(TIME_TO_LEARN).await;
    for index in 0..cluster.nodes.len() {
        assert!(!cluster.nodes[index].has_exited(), "process {index} ended");
        let id = format!("after-{index}");
        let node = &cluster.nodes[index];
        wait_until("a request is served", async || {
            let answer = node.send_stream_request("/long/x", &id).await;
            answer.status == StatusCode::OK && answer.body == complete_stream(&id)
        })
        .await;
        let job = format!("job-{index}");
        let item = format!("item-{index}");
        node.submit_job(&job, &[(&*item, "/batch/x/0")]).await;
        assert_eq!(node.wait_for_results(&job).await.len(), 1);
    }
    assert!(cluster.run_count(1).await > 0);
}

/// Starts two instances and two servers, of which only the first one is registered.
async fn start() -> TestCluster {
    let cluster = TestCluster::start(&[4, 4], 2).await;
    cluster.unregister_server(1).await;
    cluster
}

/// Guards against processes that end or stop following the servers because of one odd entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_registrations_are_passed_over() {
    let mut cluster = start().await;
    check_goes_on(&mut cluster, "servers", &odd_registrations()).await;
}

/// Guards against the same while processes start and read all rows at once.
#[tokio::test(flavor = "multi_thread")]
async fn odd_registrations_are_passed_over_at_a_start() {
    let mut cluster = start().await;
    for (number, row) in odd_registrations().iter().enumerate() {
        let key = format!("odd-{number}");
        cluster.put_bytes("servers", "", &key, row).await;
    }
    cluster.add_node("node-2");
    cluster.nodes[2].wait_until_ready().await;
    check_serves_at_second_server(&mut cluster).await;
}

/// Guards against instances that stop following the servers because the list of versions
/// cannot take one more: entries of another writer name too many.
#[tokio::test(flavor = "multi_thread")]
async fn registrations_of_too_many_versions_are_passed_over() {
    let mut cluster = start().await;
    let rows: Vec<_> = (0..60)
        .map(|number| {
            let version = format!("\"{number:0>180}\"");
            registration_with("version", &version)
        })
        .collect();
    check_goes_on(&mut cluster, "servers", &rows).await;
}

/// Guards against instances that stop following the servers because another writer replaced
/// the list of versions.
#[tokio::test(flavor = "multi_thread")]
async fn odd_list_of_versions_is_replaced() {
    let mut cluster = start().await;
    for row in [
        nested().into_bytes(),
        b"{\"versions\": 3}".to_vec(),
        vec![0xff; 9],
    ] {
        cluster
            .put_bytes("redwingtack_versions", "oracle", "oracle", &row)
            .await;
        cluster.register_version(1, "v2").await;
        sleep(TIME_TO_LEARN).await;
        cluster.unregister_server(1).await;
    }
    cluster.unregister_server(0).await;
    cluster.register_version(1, "v3").await;
    check_serves(&mut cluster).await;
}

/// Guards against the same among the rows of the system's own tables.
#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_of_own_tables_are_passed_over() {
    let mut cluster = start().await;
    let mut rows = unreadable_rows();
    let heartbeat = |interval: &str, address: &str| {
        json!({
            "owner": {"instance": "odd", "started_unix_ms": u64::MAX}, "peer_address": address,
            "region": "north", "interval_ms": "REPLACED", "is_stopping": false
        })
        .to_string()
        .replace("\"REPLACED\"", interval)
        .into_bytes()
    };
    for interval in ["0", "18446744073709551615", "6148914691236517205", "1e400"] {
        for address in ["127.0.0.1:9", "127.0.0.1:65535", "127.0.0.1:0", "[::1]:9"] {
            rows.push(heartbeat(interval, address));
        }
    }
    check_goes_on(&mut cluster, "redwingtack_nodes", &rows).await;
}

/// Guards against the same among the records of jobs, which any instance takes over.
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_of_jobs_are_passed_over() {
    let mut cluster = start().await;
    let mut rows = unreadable_rows();
    for (field, value) in [
        ("item_count", json!(u32::MAX)),
        ("accepted_at_ms", json!(u64::MAX)),
        ("due_at_ms", json!(u64::MAX)),
        ("give_up_at_ms", json!(u64::MAX)),
        ("unfinished_tokens", json!(u64::MAX)),
        ("listed", json!([0, 0, u32::MAX])),
        (
            "failures",
            json!([{"item_index": 9, "errors": u32::MAX}, {"item_index": 9, "errors": 0}]),
        ),
        ("path", json!("/batch/ \u{0}")),
        ("host", json!(HOST)),
    ] {
        let mut record = support::jobs::orphaned_job_record();
        for time in ["accepted_at_ms", "due_at_ms", "give_up_at_ms"] {
            record[time] = json!(u32::MAX);
        }
        record[field] = value;
        rows.push(record.to_string().into_bytes());
    }
    check_goes_on(&mut cluster, JOBS_TABLE, &rows).await;
}

/// Guards against a configuration that ends processes or makes time-outs wrong: what cannot
/// be read is refused, and what is too large counts as very long.
#[tokio::test(flavor = "multi_thread")]
async fn odd_configurations_are_refused_or_limited() {
    let mut cluster = start().await;
    for text in [nested(), "{}".to_owned(), "[1e400]".to_owned()] {
        cluster.put_bytes("op", "", "config", text.as_bytes()).await;
        sleep(Duration::from_millis(50)).await;
    }
    let mut config = config(7, 0);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(1e300);
        route["goal_ms"] = json!(1e300);
        route["gap_aim_ms"] = json!(1e300);
        route["priority"] = json!(u64::MAX);
        route["max_attempts"] = json!(u64::MAX);
    }
    cluster.put_row("op", "config", &config).await;
    sleep(TIME_TO_LEARN).await;
    check_serves_at_second_server(&mut cluster).await;
}

/// Guards against datagrams of anybody that end a process: each of the ports on which peers
/// are heard gets random ones, and messages of ours in which single bytes are changed.
#[tokio::test(flavor = "multi_thread")]
async fn odd_datagrams_are_passed_over() {
    let mut cluster = start().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut random = SmallRng::seed_from_u64(SEED);
    for number in 0..DATAGRAMS {
        let length = random.random_range(0..200);
        let mut datagram: Vec<u8> = (0..length).map(|_| random.random()).collect();
        if let Some(first) = datagram.first_mut() {
            // Lengths and variants that occur.
            *first %= 12;
        }
        let address = cluster.nodes[number % 2].exchange_address();
        let port = address.port() - 1 + random.random_range(0..4);
        let target = SocketAddr::new(address.ip(), port);
        socket.send_to(&datagram, target).await.unwrap();
        if number % 64 == 0 {
            sleep(Duration::from_millis(2)).await;
        }
    }
    check_serves_at_second_server(&mut cluster).await;
}

/// Guards against figures in a caller's headers that end a process: each at the end of its
/// type, alone and all together.
#[tokio::test(flavor = "multi_thread")]
async fn odd_figures_of_callers_are_passed_over() {
    let mut cluster = start().await;
    let largest = u64::MAX.to_string();
    let figures = [
        ("redwingtack-deadline-ms", &*largest),
        ("last-event-id", &*largest),
        ("redwingtack-length-hint", &*largest),
        ("redwingtack-token-counts", "4294967295,4294967295"),
        (
            "redwingtack-prompt-prefix",
            "ffffffffffffffff:4294967295,1:4294967295",
        ),
    ];
    for path in ["/long/odd", "/once/odd", "/batch/odd"] {
        for count in 0..=figures.len() {
            let alone = figures.get(count..=count).unwrap_or(&figures);
            let mut headers = vec![("host", HOST), ("redwingtack-request-id", "odd")];
            headers.extend(alone);
            let address = cluster.nodes[0].callers_address;
            let request = send_request(address, "POST", path, &headers, b"x".to_vec());
            // Some go on for the whole time-out of their route.
            if let Ok(answer) = timeout(TIME_TO_LEARN, request).await {
                assert!(answer.is_ok(), "{path} {alone:?}: {answer:?}");
            }
        }
    }
    check_serves_at_second_server(&mut cluster).await;
}
