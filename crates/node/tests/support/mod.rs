//! Runs `redwingtack-node` as separate processes before stand-ins of the store
//! and of model servers.

#![allow(dead_code, reason = "each test file uses some of it")]

pub mod store_proxy;

use std::{
    env,
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use scenario::AddressBlock;
use serde_json::{Value, json};
use standin::{
    EventRuns, EventServerSettings, PlatformSettings, Standin, start_event_server, start_platform,
};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use store_proxy::StoreProxy;

/// Host of the routes.
pub const HOST: &str = "hints.example";
/// Events of a stream.
pub const EVENTS_PER_STREAM: u64 = 8;
/// Time between events, milliseconds.
pub const EVENT_INTERVAL_MS: u64 = 10;
const FRONT_PORT: u16 = 8_161;
const READINESS_PORT: u16 = 8_167;
const PEER_PORT: u16 = 7_720;
/// Limit of anything that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins and processes of one test.
pub struct TestCluster {
    addresses: AddressBlock,
    pub store: Standin,
    pub servers: Vec<Server>,
    pub nodes: Vec<NodeProcess>,
}

pub struct Server {
    pub id: String,
    pub standin: Standin,
}

/// One process; dropping it kills it. If its test fails, its log is printed.
pub struct NodeProcess {
    pub callers_address: SocketAddr,
    pub readiness_address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// An answer as a caller gets it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl TestCluster {
    /// Servers with these numbers of slots, a configuration, and `nodes`
    /// processes that are ready.
    pub async fn start(slots: &[u32], nodes: usize) -> Self {
        let mut world = Self::start_without_config(slots, nodes).await;
        world.put_config(1).await;
        for node in &mut world.nodes {
            node.wait_until_ready().await;
        }
        world
    }

    pub async fn start_without_config(slots: &[u32], nodes: usize) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let store = start_platform(PlatformSettings::default()).await.unwrap();
        let mut servers = Vec::new();
        for (index, slots) in slots.iter().enumerate() {
            let id = format!("s{index}");
            let settings = EventServerSettings {
                listen: any,
                id: id.clone(),
                slots: *slots,
                events: EVENTS_PER_STREAM,
                interval_ms: EVENT_INTERVAL_MS,
            };
            let standin = start_event_server(settings).await.unwrap();
            servers.push(Server { id, standin });
        }
        let mut world = Self {
            addresses: AddressBlock::take().unwrap(),
            store,
            servers,
            nodes: Vec::new(),
        };
        for index in 0..world.servers.len() {
            world.register_server(index, "ready").await;
        }
        for index in 0..nodes {
            world.add_node(&format!("node-{index}"));
        }
        world
    }

    pub fn add_node(&mut self, name: &str) {
        self.add_node_with_output(name, None);
    }

    /// Adds a process that writes its log to `output` in place of a file.
    pub fn add_node_with_output(&mut self, name: &str, output: Option<Stdio>) {
        let ip = self.addresses.next_ip();
        let node = NodeProcess::start(name, ip, self.store.address(), output);
        self.nodes.push(node);
    }

    /// Adds a process that reaches the store through a link, and waits until it
    /// is ready.
    pub async fn add_proxied_node(&mut self, name: &str) -> StoreProxy {
        let link = StoreProxy::start(self.store.address()).await;
        let ip = self.addresses.next_ip();
        let node = NodeProcess::start(name, ip, link.address(), None);
        node.wait_until_ready().await;
        self.nodes.push(node);
        link
    }

    pub async fn put_config(&self, version: u64) {
        self.put_row("op", "config", &config(version)).await;
    }

    pub async fn put_row(&self, table: &str, key: &str, value: &Value) {
        let entry = json!({"table": table, "key": key, "value": BASE64.encode(value.to_string())});
        self.put(&json!({"puts": [entry]})).await;
    }

    async fn put(&self, transaction: &Value) {
        let body = transaction.to_string();
        let answer = send_request(
            self.store.address(),
            "POST",
            "/standin/rows",
            &[],
            body.into_bytes(),
        );
        assert_eq!(answer.await.unwrap().status, StatusCode::OK);
    }

    /// Registers a server under further names.
    pub async fn register_copies(&self, index: usize, count: usize) {
        let entry = self.registration(index, "ready");
        let value = BASE64.encode(entry.to_string());
        let puts: Vec<_> = (0..count)
            .map(|copy| json!({"table": "servers", "key": format!("copy-{copy}"), "value": value}))
            .collect();
        self.put(&json!({"puts": puts})).await;
    }

    /// Registers a server as `state`.
    pub async fn register_server(&self, index: usize, state: &str) {
        let entry = self.registration(index, state);
        self.put_row("servers", &self.servers[index].id, &entry)
            .await;
    }

    fn registration(&self, index: usize, state: &str) -> Value {
        let server = &self.servers[index];
        json!({
            "service": "oracle", "addr": server.standin.address().to_string(), "zone": "a",
            "version": "v1", "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1
        })
    }

    pub async fn inject_fault(&self, address: SocketAddr, fault: Value) {
        let body = fault.to_string().into_bytes();
        let answer = send_request(address, "POST", "/standin/faults", &[], body).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }

    pub async fn clear_faults(&self, address: SocketAddr) {
        let answer = send_request(address, "DELETE", "/standin/faults", &[], Vec::new()).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }

    /// Runs at all servers by request id.
    pub async fn server_runs(&self) -> EventRuns {
        let mut all = EventRuns::new();
        for server in &self.servers {
            let address = server.standin.address();
            let answer = send_request(address, "GET", "/standin/runs", &[], Vec::new()).await;
            let runs: EventRuns = serde_json::from_str(&answer.unwrap().body).unwrap();
            for (id, runs) in runs {
                all.entry(id).or_default().extend(runs);
            }
        }
        all
    }

    /// Every server breaks its next stream off after some events.
    pub async fn break_next_streams(&self, after: u64) {
        let path = format!("/standin/cut?after={after}");
        for server in &self.servers {
            let answer = send_request(server.standin.address(), "POST", &path, &[], Vec::new());
            assert_eq!(answer.await.unwrap().status, StatusCode::OK);
        }
    }

    /// Streams that run at a server.
    pub async fn running_count(&self, index: usize) -> u32 {
        let address = self.servers[index].standin.address();
        let answer = send_request(address, "GET", "/standin/running", &[], Vec::new()).await;
        answer.unwrap().body.parse().unwrap()
    }
}

impl NodeProcess {
    /// Every process has an address of its own, so ports never collide.
    fn start(name: &str, ip: IpAddr, store: SocketAddr, output: Option<Stdio>) -> Self {
        let callers_address = SocketAddr::new(ip, FRONT_PORT);
        let readiness_address = SocketAddr::new(ip, READINESS_PORT);
        let document = json!({
            "node_name": name, "zone": "a", "region": "north", "zones": {"a": "north"},
            "listen": {"front": callers_address.to_string(), "ready_addr": readiness_address.to_string()},
            "port_range": [PEER_PORT, PEER_PORT + 15],
            "bounds": {"grace_s": 6, "status_s": 120},
            "platform": {"addr": store.to_string(), "writes_per_s": 800, "reads_per_s": 2000,
                         "row_bytes": 4096}
        });
        let settings = env::temp_dir().join(format!("redwingtack-{ip}.json"));
        fs::write(&settings, document.to_string()).unwrap();
        let log = settings.with_extension("log");
        let log_file = File::create(&log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_redwingtack-node"))
            .env("REDWINGTACK_CONFIG", &settings)
            .stdout(output.unwrap_or_else(|| log_file.into()))
            .spawn()
            .unwrap();
        Self {
            callers_address,
            readiness_address,
            settings,
            log,
            child,
        }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }

    pub fn settings_path(&self) -> &PathBuf {
        &self.settings
    }

    pub async fn is_ready(&self) -> bool {
        let answer = send_request(self.readiness_address, "GET", "/ready", &[], Vec::new()).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    pub async fn wait_until_ready(&self) {
        wait_until("ready", async || self.is_ready().await).await;
    }

    /// Waits for the end of the process; returns whether it ended well.
    pub async fn wait_for_exit(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < deadline, "the process does not end");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request for a stream.
    pub async fn send_stream_request(&self, path: &str, id: &str) -> Answer {
        let headers = [
            ("host", HOST),
            ("redwingtack-request-id", id),
            ("redwingtack-deadline-ms", "4000"),
        ];
        send_request(
            self.callers_address,
            "POST",
            path,
            &headers,
            b"prompt".to_vec(),
        )
        .await
        .unwrap()
    }

    pub async fn submit_job(&self, id: &str, items: &[(&str, &str)]) -> Answer {
        let headers = [
            ("host", HOST),
            ("redwingtack-request-id", id),
            ("redwingtack-deadline-ms", "4000"),
        ];
        let items: Vec<_> = items
            .iter()
            .map(|(id, path)| {
                json!({"id": id, "path": path, "headers": {"X-A": "b"},
                       "body": BASE64.encode(format!("body of {id}")), "tokens": 9})
            })
            .collect();
        let body = json!({"items": items}).to_string().into_bytes();
        send_request(self.callers_address, "POST", "/batch/x", &headers, body)
            .await
            .unwrap()
    }

    pub async fn read_results(&self, job: &str, after: usize) -> Answer {
        let path = format!("/lots/{job}?after={after}");
        self.send_job_request("GET", &path).await
    }

    pub async fn send_job_request(&self, method: &str, path: &str) -> Answer {
        let headers = [("host", HOST), ("redwingtack-wait-ms", "300")];
        send_request(self.callers_address, method, path, &headers, Vec::new())
            .await
            .unwrap()
    }

    /// Waits until every item of a job has a result; returns the results.
    pub async fn wait_for_results(&self, job: &str) -> Vec<Value> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let answer = self.read_results(job, 0).await;
            if answer.status == StatusCode::OK {
                let page: Value = serde_json::from_str(&answer.body).unwrap();
                let results = page["results"].as_array().unwrap().clone();
                if Some(results.len() as u64) == page["total"].as_u64() {
                    return results;
                }
            }
            assert!(
                Instant::now() < deadline,
                "job {job} is not done: {answer:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            println!("log of {}:\n{log}", self.callers_address);
        }
        let _ = fs::remove_file(&self.log);
        let _ = fs::remove_file(&self.settings);
    }
}

/// Sends one request on a connection of its own.
pub async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> io::Result<Answer> {
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let response = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let (head, mut body) = response.into_parts();
        let mut text = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => is_complete = false,
            }
        }
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8(text).unwrap(),
            is_complete,
        })
    };
    timeout(WAIT_TIMEOUT, exchange).await?
}

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// The whole stream of a request.
pub fn complete_stream(id: &str) -> String {
    let events: Vec<_> = (1..=EVENTS_PER_STREAM)
        .map(|event| format!("id: {event}\ndata: {id} {event}\n\n"))
        .collect();
    events.concat()
}

/// The whole output of an item.
pub fn complete_output(id: &str) -> String {
    let lines: Vec<_> = (1..=EVENTS_PER_STREAM)
        .map(|event| format!("{id} {event}"))
        .collect();
    lines.join("\n")
}

fn config(version: u64) -> Value {
    let stream = |name: &str, resumable: bool| {
        json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": "stream",
               "timeout_ms": 5000, "goal_ms": 300, "gap_aim_ms": 300, "priority": 0,
               "max_attempts": if resumable { 3 } else { 1 }, "resumable": resumable,
               "service": "oracle"})
    };
    json!({
        "version": version,
        "routes": [
            stream("long", true),
            stream(&format!("version-{version}"), true),
            stream("once", false),
            {"name": "batch", "host": HOST, "path_prefix": "/batch/", "kind": "batch",
             "timeout_ms": 15000, "goal_ms": 500, "due_ms": 18000, "max_wait_s": 60,
             "priority": 2, "max_attempts": 2, "service": "oracle"}
        ],
        "services": [{"name": "oracle"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_000_000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    })
}
