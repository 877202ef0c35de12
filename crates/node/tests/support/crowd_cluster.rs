//! A process with little memory and a server for the clients of a crowd.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    net::SocketAddr,
    time::Duration,
};

use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{
    Answer, HOST, NodeProcess, TestCluster, complete_stream, config,
    crowd::{Crowd, Outcome},
    crowd_load::{ITEM_SEPARATOR, Load},
    discarding_server::DiscardingServer,
    encoded_address,
    process_usage::{PeakUsage, UsageMonitor},
    send_request,
    store_proxy::{Replacement, StoreProxy},
    upstream_proxy::{PathState, UpstreamProxy},
    wait_until,
};

/// Memory of the machine, MB.
pub const MEMORY_MB: u64 = 64;
/// Descriptors of the machine.
const DESCRIPTORS_MAX: usize = 400;
const BYTES_PER_MB: u64 = 1_000_000;
/// Maximum size of a request body, bytes.
pub const BODY_MAX_BYTES: usize = 2_000_000;
/// Number of clients of a crowd.
pub const CLIENTS: usize = 100;
/// Descriptors that a process may have open besides the connections of the crowd: for its files
/// and listeners, and for its connections to the store, servers and peers.
const OTHER_DESCRIPTORS_MAX: usize = 150;
/// Time-out of the routes, milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 20_000;
/// Time within which jobs are due, milliseconds.
const JOB_DUE_MS: u64 = 600_000;
/// Time for which an ordinary client tries again after refusals, and for which a crowd's last
/// answers may come after their time-out.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time within which processes know a new server.
const TIME_TO_LEARN: Duration = Duration::from_millis(300);
/// Time after a cut from which requests go through a peer, and the number of answers in a row
/// that show it.
const DETECTION: Duration = Duration::from_secs(1);
const ANSWERS_THROUGH_PEER: usize = 8;
/// Statuses which promise that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Status of a body over the limit.
const TOO_LARGE: u16 = 413;
/// Statuses of requests that were sent to a server or would have been, and are not answered.
const FAILURES: [u16; 2] = [502, 504];

/// A cluster whose processes have little memory.
pub struct CrowdCluster {
    pub cluster: TestCluster,
    pub server: DiscardingServer,
    /// One for each process.
    monitors: Vec<UsageMonitor>,
    /// Ids of requests that must not have run.
    refused: BTreeSet<String>,
    problems: Vec<String>,
}

impl CrowdCluster {
    /// Starts one process and a server that answers items after `item_duration`.
    pub async fn start(item_duration: Duration) -> Self {
        let mut cluster = Self::start_without_nodes(item_duration).await;
        cluster.cluster.add_node("node-0");
        cluster.limit_last_node().await;
        cluster
    }

    /// Starts a process whose path to the server is lost, and a peer that has one.
    pub async fn start_cut_off() -> (Self, StoreProxy, UpstreamProxy) {
        let mut cluster = Self::start_without_nodes(Duration::ZERO).await;
        let server_address = cluster.server.address;
        let mut path = UpstreamProxy::start(server_address);
        let replacement = Replacement {
            from: encoded_address(server_address),
            to: encoded_address(path.address()),
        };
        let store_address = cluster.cluster.store.address();
        let store = StoreProxy::start_replacing(store_address, vec![replacement]).await;
        let ip = cluster.cluster.addresses.next_ip();
        let node = NodeProcess::start(
            "cut-off",
            ip,
            store.address(),
            cluster.cluster.process_bounds(),
            None,
        );
        cluster.cluster.nodes.push(node);
        cluster.limit_last_node().await;
        cluster.cluster.add_node("peer");
        cluster.limit_last_node().await;
        cluster.serve_ordinary("warm-up").await;
        path.set_state(PathState::Refusing).await;
        cluster.wait_for_path_through_peer().await;
        (cluster, store, path)
    }

    /// Waits until requests are answered through the peer. Those that meet the cut may fail.
    async fn wait_for_path_through_peer(&self) {
        let address = self.cluster.nodes[0].callers_address;
        let cut_at = Instant::now();
        wait_until("requests are answered through the peer", async || {
            let mut is_answered = true;
            for number in 0..ANSWERS_THROUGH_PEER {
                let id = format!("cut-{}-{number}", cut_at.elapsed().as_millis());
                let answer = send_ordinary(address, &id).await;
                is_answered &= answer.is_ok_and(|answer| answer.body == complete_stream(&id));
            }
            is_answered && cut_at.elapsed() > DETECTION
        })
        .await;
    }

    async fn start_without_nodes(item_duration: Duration) -> Self {
        let cluster = TestCluster::start_without_config(&[], 0).await;
        cluster.put_row("op", "config", &crowd_config()).await;
        let server = DiscardingServer::start(item_duration).await;
        server.register(&cluster, "s0").await;
        Self {
            cluster,
            server,
            monitors: Vec::new(),
            refused: BTreeSet::new(),
            problems: Vec::new(),
        }
    }

    /// Starts the last process again on a machine with these limits, and begins to watch it.
    async fn limit_last_node(&mut self) {
        let node = self.cluster.nodes.last_mut().unwrap();
        let settings = fs::read_to_string(node.settings_path()).unwrap();
        let mut settings: Value = serde_json::from_str(&settings).unwrap();
        settings["limits"] = json!({
            "cpu_share": 1.0, "cores": 1, "memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS_MAX,
            "link_mbps": 1000.0, "disk_mb": 0
        });
        fs::write(node.settings_path(), settings.to_string()).unwrap();
        node.restart();
        node.wait_until_ready().await;
        sleep(TIME_TO_LEARN).await;
        self.monitors
            .push(UsageMonitor::start(node.id(), node.callers_address.ip()));
    }

    /// Has a crowd send its load to the first process. An ordinary request is answered while the
    /// crowd stays, and one after it has gone. Returns the outcomes of the crowd's requests.
    pub async fn press(
        &mut self,
        name: &str,
        clients: usize,
        load: &Load,
    ) -> BTreeMap<String, Outcome> {
        let SocketAddr::V4(address) = self.cluster.nodes[0].callers_address else {
            panic!("the address of the process is not an IPv4 address");
        };
        let crowd = Crowd::start(address, name, clients, load);
        crowd.press().await;
        let awaits_all = load.is_over_limit || load.is_whole();
        let time = ANSWER_TIMEOUT + load.timeout();
        if awaits_all && !crowd.wait_for_outcomes(time).await {
            self.problems.push(format!(
                "{name}: some clients got neither an answer nor a close"
            ));
        }
        let sent_bytes = crowd.sent_bytes();
        self.serve_ordinary(&format!("{name}-beside")).await;
        let outcomes = crowd.outcomes();
        drop(crowd);
        self.serve_ordinary(&format!("{name}-after")).await;
        println!("{name}: {sent_bytes} bytes sent, {:?}", count(&outcomes));
        self.note_outcomes(&outcomes, load);
        outcomes
    }

    /// Sends an ordinary request until it is answered, as a client may after a promise that
    /// nothing has run.
    pub async fn serve_ordinary(&mut self, name: &str) {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let address = self.cluster.nodes[0].callers_address;
        let mut attempt = 0;
        loop {
            let id = format!("{name}-{attempt}");
            let answer = send_ordinary(address, &id).await;
            if let Ok(answer) = &answer
                && answer.status == StatusCode::OK
                && answer.is_complete
                && answer.body == complete_stream(&id)
            {
                return;
            }
            let may_retry = answer
                .as_ref()
                .map_or(true, |answer| PROMISES.contains(&answer.status.as_u16()));
            let has_exited = self.cluster.nodes[0].has_exited();
            if !may_retry || has_exited || Instant::now() > deadline {
                self.problems
                    .push(format!("ordinary request {id} got {answer:?}"));
                return;
            }
            if answer.is_ok() {
                self.refused.insert(id);
            }
            attempt += 1;
            sleep(RETRY_DELAY).await;
        }
    }

    /// Notes which requests of a crowd must not have run and which answers no page allows.
    fn note_outcomes(&mut self, outcomes: &BTreeMap<String, Outcome>, load: &Load) {
        for (id, outcome) in outcomes {
            let is_refused = match *outcome {
                Outcome::Answered(status) => {
                    if !is_allowed(status, load) {
                        self.problems.push(format!("request {id} got {status}"));
                    }
                    is_refusal(status)
                }
                Outcome::Closed => false,
            };
            if is_refused || !load.is_whole() {
                self.refused.insert(id.clone());
            }
        }
    }

    /// Checks that an accepted job is known and that the body of its last item can be read, unless
    /// the item has a result.
    pub async fn check_kept(&mut self, job: &str, load: &Load) {
        let item_id = load.last_item_id(job);
        let answer = self
            .send_job_call(&format!("/items/{job}?id={item_id}"))
            .await;
        let has_body = answer.status == StatusCode::OK && answer.body == load.item_content();
        let results = self.send_job_call(&format!("/lots/{job}?after=0")).await;
        let has_result = answer.status == StatusCode::NOT_FOUND && results.body.contains(&item_id);
        if results.status != StatusCode::OK || !(has_body || has_result) {
            let status = answer.status;
            self.problems.push(format!(
                "job {job}: the body of {item_id} got {status}, the results {}",
                results.status
            ));
        }
    }

    /// Sends a call about a job until it is not refused.
    async fn send_job_call(&self, path: &str) -> Answer {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let address = self.cluster.nodes[0].callers_address;
            let answer = send_request(address, "GET", path, &[("host", HOST)], Vec::new()).await;
            let answer = answer.unwrap();
            if !PROMISES.contains(&answer.status.as_u16()) || Instant::now() > deadline {
                return answer;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Checks everything that must hold after the crowds of a test.
    pub fn assert_holds(self) {
        self.assert_holds_after(CLIENTS);
    }

    /// Checks everything that must hold after crowds of `clients` clients. A process may have a
    /// descriptor for each of them, up to those of the machine.
    pub fn assert_holds_after(mut self, clients: usize) {
        for (index, monitor) in self.monitors.iter().enumerate() {
            let has_exited = self.cluster.nodes[index].has_exited();
            match monitor.peak().filter(|_| !has_exited) {
                Some(peak) => {
                    self.problems
                        .extend(problems_of_usage(index, peak, clients));
                }
                None => self.problems.push(format!("process {index} ended")),
            }
        }
        for run in self.server.runs() {
            if self.refused.contains(request_of(&run)) {
                self.problems
                    .push(format!("{run} has run, but its request was refused"));
            }
        }
        assert!(self.problems.is_empty(), "{:#?}", self.problems);
    }
}

/// Returns whether a status says that the request has not run and never will.
fn is_refusal(status: u16) -> bool {
    status == TOO_LARGE || PROMISES.contains(&status)
}

/// Returns whether a request of a crowd may be answered with a status.
fn is_allowed(status: u16, load: &Load) -> bool {
    if load.announces_too_much() {
        return status == TOO_LARGE;
    }
    let is_served = load.is_whole() && (status == load.success() || FAILURES.contains(&status));
    is_served || is_refusal(status)
}

/// Returns the id of the request that led to a run: that of the job if it is an item's.
fn request_of(run: &str) -> &str {
    run.rsplit_once(ITEM_SEPARATOR).map_or(run, |(job, _)| job)
}

fn problems_of_usage(index: usize, peak: PeakUsage, clients: usize) -> Vec<String> {
    println!("process {index}: {peak:?}");
    let memory_max_bytes = MEMORY_MB * BYTES_PER_MB;
    let mut problems = Vec::new();
    if peak.resident_bytes.max(peak.memory_bytes) > memory_max_bytes {
        problems.push(format!(
            "process {index} has more than {MEMORY_MB} MB: {peak:?}"
        ));
    }
    let descriptors_max = DESCRIPTORS_MAX.min(clients + OTHER_DESCRIPTORS_MAX);
    if peak.descriptors > descriptors_max {
        problems.push(format!(
            "process {index} has more than {descriptors_max} descriptors: {peak:?}"
        ));
    }
    problems
}

/// Returns the number of requests with each outcome.
fn count(outcomes: &BTreeMap<String, Outcome>) -> BTreeMap<Outcome, usize> {
    let mut counts = BTreeMap::new();
    for outcome in outcomes.values() {
        *counts.entry(*outcome).or_default() += 1;
    }
    counts
}

/// Returns a configuration whose bodies are small, and whose time-outs no test meets.
fn crowd_config() -> Value {
    let mut config = config(1, 0);
    config["limits"]["max_body_bytes"] = json!(BODY_MAX_BYTES);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(ROUTE_TIMEOUT_MS);
    }
    let batch = &mut config["routes"][3];
    batch["due_ms"] = json!(JOB_DUE_MS);
    batch["max_wait_s"] = json!(JOB_DUE_MS / 1_000);
    config
}

async fn send_ordinary(address: SocketAddr, id: &str) -> io::Result<Answer> {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "10000"),
    ];
    send_request(address, "POST", "/long/x", &headers, b"prompt".to_vec()).await
}
