//! Runs `redwingtack-node` as separate processes against stand-ins of the store
//! and of the model servers.

#![allow(dead_code, reason = "each test file uses only a part")]

pub mod crowd;
pub mod crowd_cluster;
pub mod crowd_load;
pub mod discarding_server;
pub mod jobs;
pub mod process_usage;
pub mod scripted_cluster;
pub mod scripted_server;
pub mod soak;
pub mod store_proxy;
pub mod upstream_proxy;
pub mod version_streams;

use std::{
    env,
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
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

use store_proxy::{Replacement, StoreProxy};
use upstream_proxy::{PathState, UpstreamProxy};

/// Host name of all routes.
pub const HOST: &str = "hints.example";
/// Number of events in a stream.
pub const EVENTS_PER_STREAM: u64 = 8;
/// Time between the events of a stream, milliseconds.
pub const EVENT_INTERVAL_MS: u64 = 10;
const CALLERS_PORT: u16 = 8_161;
const READINESS_PORT: u16 = 8_167;
const PEER_PORT: u16 = 7_720;
/// Grace period of a planned stop unless a test states another, seconds.
const DEFAULT_GRACE_S: u64 = 6;
/// Maximum time that a test waits for a condition or an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The stand-ins and node processes of one test.
pub struct TestCluster {
    pub store: Standin,
    pub servers: Vec<Server>,
    pub nodes: Vec<NodeProcess>,
    /// Time within which processes that are started next must cease to accept a key that was
    /// taken away, milliseconds.
    pub revocation_ms: Option<u64>,
    /// Memory that the settings of processes that are started next state, MB.
    pub memory_mb: Option<u64>,
    /// Grace period of a planned stop of processes that are started next, seconds.
    pub grace_s: u64,
    /// Dropped last: another test may take the block and write settings files for its
    /// addresses as soon as the block is free.
    addresses: AddressBlock,
}

/// Bounds that the settings of a process state.
#[derive(Debug, Clone, Copy)]
struct ProcessBounds {
    revocation_ms: Option<u64>,
    memory_mb: Option<u64>,
    grace_s: u64,
}

/// The paths from one process to the servers, in their order, and to the store.
pub struct Paths {
    pub proxies: Vec<UpstreamProxy>,
    pub store: StoreProxy,
}

impl Paths {
    /// Sets the state of the paths to all servers.
    pub async fn set_all(&mut self, state: PathState) {
        for proxy in &mut self.proxies {
            proxy.set_state(state).await;
        }
    }
}

/// A stand-in of a model server and the id under which it is registered.
pub struct Server {
    pub id: String,
    pub standin: Standin,
}

/// A node process, which is killed when it is dropped. Its log is printed if the
/// test fails.
pub struct NodeProcess {
    pub callers_address: SocketAddr,
    pub readiness_address: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Child,
}

/// An HTTP answer as the caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body arrived completely, without a connection error.
    pub is_complete: bool,
}

impl TestCluster {
    /// Starts one server for each entry of `slots`, which is its number of slots, and
    /// `nodes` node processes. Stores a configuration and waits until all processes are
    /// ready.
    pub async fn start(slots: &[u32], nodes: usize) -> Self {
        let mut cluster = Self::start_without_config(slots, nodes).await;
        cluster.put_config(1).await;
        for node in &mut cluster.nodes {
            node.wait_until_ready().await;
        }
        cluster
    }

    /// Like [`TestCluster::start`], but stores no configuration and does not wait
    /// for the processes.
    pub async fn start_without_config(slots: &[u32], nodes: usize) -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let store = start_platform(PlatformSettings::default()).await.unwrap();
        let mut servers = Vec::new();
        for (index, slots) in slots.iter().enumerate() {
            let id = format!("s{index}");
            let settings = EventServerSettings {
                listen: any_port,
                id: id.clone(),
                slots: *slots,
                events: EVENTS_PER_STREAM,
                interval_ms: EVENT_INTERVAL_MS,
            };
            let standin = start_event_server(settings).await.unwrap();
            servers.push(Server { id, standin });
        }
        let mut cluster = Self {
            addresses: AddressBlock::take().unwrap(),
            store,
            servers,
            nodes: Vec::new(),
            revocation_ms: None,
            memory_mb: None,
            grace_s: DEFAULT_GRACE_S,
        };
        for index in 0..cluster.servers.len() {
            cluster.register_server(index, "ready").await;
        }
        for index in 0..nodes {
            cluster.add_node(&format!("node-{index}"));
        }
        cluster
    }

    pub fn add_node(&mut self, name: &str) {
        self.add_node_with_output(name, None);
    }

    /// Starts a process that writes its log to `output`, or to a file if it is `None`.
    pub fn add_node_with_output(&mut self, name: &str, output: Option<Stdio>) {
        let ip = self.addresses.next_ip();
        let node = NodeProcess::start(
            name,
            ip,
            self.store.address(),
            self.process_bounds(),
            output,
        );
        self.nodes.push(node);
    }

    fn process_bounds(&self) -> ProcessBounds {
        ProcessBounds {
            revocation_ms: self.revocation_ms,
            memory_mb: self.memory_mb,
            grace_s: self.grace_s,
        }
    }

    /// Starts a process that reaches the store through a proxy, and waits until it
    /// is ready.
    pub async fn add_proxied_node(&mut self, name: &str) -> StoreProxy {
        let proxy = StoreProxy::start(self.store.address()).await;
        let ip = self.addresses.next_ip();
        let node = NodeProcess::start(name, ip, proxy.address(), self.process_bounds(), None);
        node.wait_until_ready().await;
        self.nodes.push(node);
        proxy
    }

    /// Starts a process that reaches the servers through proxies of its own, and waits until
    /// it is ready.
    pub async fn add_node_with_own_paths(&mut self, name: &str) -> Paths {
        let addresses = self.servers.iter().map(|server| server.standin.address());
        let addresses: Vec<_> = addresses.collect();
        let paths = self.add_node_with_paths_to(name, &addresses).await;
        self.nodes[self.nodes.len() - 1].wait_until_ready().await;
        paths
    }

    /// Starts a process that reaches the servers at these addresses through proxies of its own.
    pub async fn add_node_with_paths_to(&mut self, name: &str, servers: &[SocketAddr]) -> Paths {
        let mut proxies = Vec::new();
        let mut replacements = Vec::new();
        for server in servers {
            let proxy = UpstreamProxy::start(*server);
            replacements.push(Replacement {
                from: encoded_address(*server),
                to: encoded_address(proxy.address()),
            });
            proxies.push(proxy);
        }
        let store = StoreProxy::start_replacing(self.store.address(), replacements).await;
        let ip = self.addresses.next_ip();
        let node = NodeProcess::start(name, ip, store.address(), self.process_bounds(), None);
        self.nodes.push(node);
        Paths { proxies, store }
    }

    pub async fn put_config(&self, version: u64) {
        self.put_config_with_limit(version, 0).await;
    }

    /// Stores a configuration whose batch route lets `tokens_max` tokens wait; 0 means no
    /// limit.
    /// Stores a configuration in which requests name the parts of their prompts, and the
    /// memory of each server is stated.
    pub async fn put_config_with_kept_prompts(&self, version: u64) {
        let mut config = config(version, 0);
        for route in config["routes"].as_array_mut().unwrap() {
            route["sticky"] = json!(true);
        }
        config["services"][0]["engine"] = json!({"kv_capacity": 100_000, "slots": 4});
        self.put_row("op", "config", &config).await;
    }

    pub async fn put_config_with_limit(&self, version: u64, tokens_max: u64) {
        self.put_row("op", "config", &config(version, tokens_max))
            .await;
    }

    /// Stores a configuration with customers, each a pair of its name and its keys. The route
    /// below `/once/` is public.
    pub async fn put_config_with_customers(&self, version: u64, customers: &[(&str, &[&str])]) {
        let mut config = config(version, 0);
        let customers = customers
            .iter()
            .map(|(name, keys)| json!({"name": name, "api_keys": keys}));
        config["tenants"] = customers.collect();
        config["routes"][2]["public"] = json!(true);
        self.put_row("op", "config", &config).await;
    }

    pub async fn put_row(&self, table: &str, key: &str, value: &Value) {
        self.put_row_in_partition(table, "", key, value).await;
    }

    async fn put_row_in_partition(&self, table: &str, partition: &str, key: &str, value: &Value) {
        let value = value.to_string();
        self.put_bytes(table, partition, key, value.as_bytes())
            .await;
    }

    /// Writes a row with any content, as another writer could.
    pub async fn put_bytes(&self, table: &str, partition: &str, key: &str, value: &[u8]) {
        let value = BASE64.encode(value);
        let put = json!({"table": table, "part": partition, "key": key, "value": value});
        self.put_rows(&json!({"puts": [put]})).await;
    }

    async fn put_rows(&self, transaction: &Value) {
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

    /// Registers a server `count` more times, under different ids.
    pub async fn register_copies(&self, index: usize, count: usize) {
        let registration = self.registration(index, "ready");
        let value = BASE64.encode(registration.to_string());
        let puts: Vec<_> = (0..count)
            .map(|copy| json!({"table": "servers", "key": format!("copy-{copy}"), "value": value}))
            .collect();
        self.put_rows(&json!({"puts": puts})).await;
    }

    /// Registers a server in `state`, such as `ready` or `draining`.
    pub async fn register_server(&self, index: usize, state: &str) {
        let registration = self.registration(index, state);
        self.put_row("servers", &self.servers[index].id, &registration)
            .await;
    }

    /// Registers a server as ready with a version of its software.
    pub async fn register_version(&self, index: usize, version: &str) {
        let mut registration = self.registration(index, "ready");
        registration["version"] = json!(version);
        self.put_row("servers", &self.servers[index].id, &registration)
            .await;
    }

    /// Removes the registration of a server.
    pub async fn unregister_server(&self, index: usize) {
        let row = json!({"table": "servers", "part": "", "key": self.servers[index].id});
        self.put_rows(&json!({"remove": [row]})).await;
    }

    /// Registers a server with a number of slots of its own.
    pub async fn register_server_with_slots(&self, index: usize, slots: u32) {
        let mut registration = self.registration(index, "ready");
        registration["slots"] = json!(slots);
        self.put_row("servers", &self.servers[index].id, &registration)
            .await;
    }

    /// Registers a server as one that has started again, at `started_unix_ms`.
    pub async fn register_restarted_server(&self, index: usize, started_unix_ms: u64) {
        let mut registration = self.registration(index, "ready");
        registration["born"] = json!(started_unix_ms);
        self.put_row("servers", &self.servers[index].id, &registration)
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

    /// Returns the runs at all servers, by request id.
    pub async fn server_runs(&self) -> EventRuns {
        let mut all = EventRuns::new();
        for runs in self.runs_by_server().await {
            for (id, runs) in runs {
                all.entry(id).or_default().extend(runs);
            }
        }
        all
    }

    /// Makes every server close the connection of its next stream after `after`
    /// events.
    pub async fn break_next_streams(&self, after: u64) {
        let path = format!("/standin/cut?after={after}");
        for server in &self.servers {
            let answer = send_request(server.standin.address(), "POST", &path, &[], Vec::new());
            assert_eq!(answer.await.unwrap().status, StatusCode::OK);
        }
    }

    /// Makes every server crash as soon as it answers a request whose prompt has a part.
    pub async fn make_part_crash_servers(&self, part: &str) {
        self.make_servers_crash(&format!("part={part}")).await;
    }

    /// Makes every server crash as the query of the stand-in's control call says.
    pub async fn make_servers_crash(&self, query: &str) {
        let path = format!("/standin/crash?{query}");
        for server in &self.servers {
            let answer = send_request(server.standin.address(), "POST", &path, &[], Vec::new());
            assert_eq!(answer.await.unwrap().status, StatusCode::OK);
        }
    }

    /// Makes a server state a rate limit in all its answers; an empty `value` ends that.
    pub async fn set_stated_limit(&self, index: usize, value: &str) {
        let path = if value.is_empty() {
            "/standin/limit".to_owned()
        } else {
            format!("/standin/limit?value={value}")
        };
        let address = self.servers[index].standin.address();
        let answer = send_request(address, "POST", &path, &[], Vec::new()).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }

    /// Gives a server a version of the weights, which it states in all its answers.
    pub async fn set_weights(&self, index: usize, version: u64) {
        let path = format!("/standin/weights?version={version}");
        let address = self.servers[index].standin.address();
        let answer = send_request(address, "POST", &path, &[], Vec::new()).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }

    /// Registers a server that has ended, and whose address a running one has.
    pub async fn register_ended_server(&self, id: &str, index: usize) {
        let registration = self.registration(index, "ready");
        self.put_row("servers", id, &registration).await;
    }

    /// Returns the number of servers that nobody can connect to.
    pub async fn crashed_count(&self) -> usize {
        let mut count = 0;
        for server in &self.servers {
            let connected = TcpStream::connect(server.standin.address()).await;
            count += usize::from(connected.is_err());
        }
        count
    }

    /// Returns how often a server has crashed, if it listens again.
    pub async fn crash_count(&self, index: usize) -> u64 {
        let address = self.servers[index].standin.address();
        let answer = send_request(address, "GET", "/standin/crashes", &[], Vec::new()).await;
        answer.unwrap().body.parse().unwrap()
    }

    /// Makes a server say in all its answers that it is leaving.
    pub async fn make_server_leave(&self, index: usize) {
        let address = self.servers[index].standin.address();
        let answer = send_request(address, "POST", "/standin/leave", &[], Vec::new()).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }

    /// Returns the runs at a server, by request id.
    pub async fn runs_of_server(&self, index: usize) -> EventRuns {
        let address = self.servers[index].standin.address();
        let answer = send_request(address, "GET", "/standin/runs", &[], Vec::new()).await;
        serde_json::from_str(&answer.unwrap().body).unwrap()
    }

    /// Returns the runs at each server.
    pub async fn runs_by_server(&self) -> Vec<EventRuns> {
        let mut runs = Vec::new();
        for index in 0..self.servers.len() {
            runs.push(self.runs_of_server(index).await);
        }
        runs
    }

    /// Returns the number of runs that a server has begun.
    pub async fn run_count(&self, index: usize) -> usize {
        self.runs_of_server(index)
            .await
            .values()
            .map(Vec::len)
            .sum()
    }

    /// Returns the number of streams that are running at a server.
    pub async fn running_count(&self, index: usize) -> u32 {
        let address = self.servers[index].standin.address();
        let answer = send_request(address, "GET", "/standin/running", &[], Vec::new()).await;
        answer.unwrap().body.parse().unwrap()
    }
}

impl NodeProcess {
    /// Starts a node process. Each process has an IP address of its own, so that the
    /// fixed ports never collide.
    fn start(
        name: &str,
        ip: IpAddr,
        store: SocketAddr,
        bounds: ProcessBounds,
        output: Option<Stdio>,
    ) -> Self {
        let ProcessBounds {
            revocation_ms,
            memory_mb,
            grace_s,
        } = bounds;
        let callers_address = SocketAddr::new(ip, CALLERS_PORT);
        let readiness_address = SocketAddr::new(ip, READINESS_PORT);
        let mut document = json!({
            "node_name": name, "zone": "a", "region": "north", "zones": {"a": "north"},
            "listen": {"front": callers_address.to_string(), "ready_addr": readiness_address.to_string()},
            "port_range": [PEER_PORT, PEER_PORT + 15],
            "bounds": {"grace_s": grace_s, "status_s": 120, "strict_revoke": revocation_ms.is_some(),
                       "revoke_ms": revocation_ms.unwrap_or(0)},
            "platform": {"addr": store.to_string(), "writes_per_s": 800, "reads_per_s": 2000,
                         "row_bytes": 4096}
        });
        if let Some(memory_mb) = memory_mb {
            document["limits"] = json!({"memory_mb": memory_mb});
        }
        let settings_path = env::temp_dir().join(format!("redwingtack-{ip}.json"));
        fs::write(&settings_path, document.to_string()).unwrap();
        let log_path = settings_path.with_extension("log");
        let log_file = File::create(&log_path).unwrap();
        let output = output.unwrap_or_else(|| log_file.into());
        let child = spawn_node(&settings_path, output);
        Self {
            callers_address,
            readiness_address,
            settings_path,
            log_path,
            child,
        }
    }

    /// Kills the process and starts it again at once, at the same addresses.
    pub fn restart(&mut self) {
        self.kill();
        self.start_again();
    }

    /// Kills the process, if it has not ended by itself.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts the process again, which has ended, at the same addresses.
    pub fn start_again(&mut self) {
        let log_file = File::options().append(true).open(&self.log_path).unwrap();
        self.child = spawn_node(&self.settings_path, log_file.into());
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn settings_path(&self) -> &PathBuf {
        &self.settings_path
    }

    /// Returns the most memory that the process has taken up so far, bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        peak_kib.unwrap().trim().parse::<u64>().unwrap() * 1_024
    }

    /// Returns the lines that the process has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap()
    }

    /// Returns the address at which peers exchange where streams began.
    pub fn exchange_address(&self) -> SocketAddr {
        SocketAddr::new(self.callers_address.ip(), PEER_PORT + 1)
    }

    /// Returns whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    pub async fn is_ready(&self) -> bool {
        let answer = send_request(self.readiness_address, "GET", "/ready", &[], Vec::new()).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    pub async fn wait_until_ready(&self) {
        wait_until("the node is ready", async || self.is_ready().await).await;
    }

    /// Waits until the process exits. Returns whether it exited successfully.
    pub async fn wait_for_exit(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(
                Instant::now() < deadline,
                "the process did not exit in time"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request to a streaming route, with a deadline of 4 s, and reads the
    /// whole answer.
    pub async fn send_stream_request(&self, path: &str, id: &str) -> Answer {
        send_stream_request(self.callers_address, path, id).await
    }

    /// Like [`NodeProcess::send_stream_request`], for a prompt with these parts, such as
    /// `a1:200,b2:50`. The body is the text of the prompt, which differs with the parts.
    pub async fn send_prompt(&self, path: &str, id: &str, parts: &str) -> Answer {
        self.send_prompt_with_body(path, id, parts, parts).await
    }

    /// Like [`NodeProcess::send_prompt`], with this body.
    pub async fn send_prompt_with_body(
        &self,
        path: &str,
        id: &str,
        parts: &str,
        body: &str,
    ) -> Answer {
        let headers = [
            ("host", HOST),
            ("redwingtack-request-id", id),
            ("redwingtack-deadline-ms", "4000"),
            ("redwingtack-prompt-prefix", parts),
        ];
        let body = body.as_bytes().to_vec();
        send_request(self.callers_address, "POST", path, &headers, body)
            .await
            .unwrap()
    }
}

fn spawn_node(settings_path: &Path, output: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_redwingtack-node"))
        .env("REDWINGTACK_CONFIG", settings_path)
        .stdout(output)
        .spawn()
        .unwrap()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails if the process has exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let log = fs::read_to_string(&self.log_path).unwrap_or_default();
            println!("log of {}:\n{log}", self.callers_address);
        }
        let _ = fs::remove_file(&self.log_path);
        let _ = fs::remove_file(&self.settings_path);
    }
}

/// Sends a request to a streaming route, with a deadline of 4 s, and reads the whole
/// answer.
pub async fn send_stream_request(address: SocketAddr, path: &str, id: &str) -> Answer {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "4000"),
    ];
    send_request(address, "POST", path, &headers, b"prompt".to_vec())
        .await
        .unwrap()
}

/// Sends a request to a streaming route and closes the connection after a number of events.
/// Returns whether that many arrived.
pub async fn begin_stream(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    events: usize,
) -> bool {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let driver = tokio::spawn(connection);
    let mut request = Request::builder().method("POST").uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::from_static(b"prompt"));
    let response = sender.send_request(request.body(body).unwrap()).await;
    let mut text = Vec::new();
    if let Ok(response) = response {
        let mut body = response.into_body();
        while let Some(Ok(frame)) = body.frame().await {
            text.extend_from_slice(&frame.into_data().unwrap_or_default());
            if String::from_utf8_lossy(&text).matches("\n\n").count() >= events {
                break;
            }
        }
    }
    driver.abort();
    String::from_utf8_lossy(&text).matches("\n\n").count() >= events
}

/// Sends a request on a new connection.
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
        let mut content = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => content.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => is_complete = false,
            }
        }
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8(content).unwrap(),
            is_complete,
        })
    };
    timeout(WAIT_TIMEOUT, exchange).await?
}

/// Waits until `condition` holds. `description` names it in the panic message.
pub async fn wait_until(description: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {description}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the complete stream that answers a request.
pub fn complete_stream(id: &str) -> String {
    scripted_server::events(id, 1..=EVENTS_PER_STREAM)
}

/// Returns the complete output of an item.
pub fn complete_output(id: &str) -> String {
    let lines: Vec<_> = (1..=EVENTS_PER_STREAM)
        .map(|event| format!("{id} {event}"))
        .collect();
    lines.join("\n")
}

/// Returns the beginning of a registration that names an address, as the store encodes it.
/// Addresses on loopback with five digits of port give whole base64 groups.
fn encoded_address(address: SocketAddr) -> Vec<u8> {
    let beginning = format!("{{\"addr\":\"{address}");
    assert_eq!(beginning.len() % 3, 0, "{beginning}");
    BASE64.encode(beginning).into_bytes()
}

/// Returns a configuration; `tokens_max` tokens may wait on its batch route, or any number if it
/// is 0.
pub fn config(version: u64, tokens_max: u64) -> Value {
    let stream = |name: &str, is_resumable: bool| {
        json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": "stream",
               "timeout_ms": 5000, "goal_ms": 300, "gap_aim_ms": 300, "priority": 0,
               "max_attempts": if is_resumable { 3 } else { 1 }, "resumable": is_resumable,
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
             "priority": 2, "max_attempts": 2, "service": "oracle",
             "max_count": tokens_max}
        ],
        "services": [{"name": "oracle", "health_path": "/health"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_000_000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    })
}
