//! Carries out a plan: the operator, the platform and the servers of a soak.

use std::{
    collections::VecDeque,
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::{
    Finding, Shared,
    history::{Deed, GRACE_S, Part, Span},
    plan::{Operation, SERVERS, ServerFault, Shape, StoreFault, USUAL_SHAPE},
    store_writes::{
        OTHER_SERVICE, SLOTS, USUAL_SERVICE, post, put, registration, remove_server, shaped_config,
        transact,
    },
};
use crate::support::TestCluster;

/// Time for which a server goes on after it has said that it leaves, milliseconds.
const LEAVE_MS: u64 = 3_500;
/// Time for which a server that has left is down, milliseconds.
const RENEW_MS: u64 = 300;
/// Time within which the next stream of a server, which breaks, is sure to come, milliseconds.
const CUT_WITHIN_MS: u64 = 10_000;
/// Time after a fault of a stand-in in which calls that it has hit end, milliseconds.
const FAULT_MARGIN_MS: u64 = 200;
/// Calls to the store per second while it takes few.
const LIMITED_CALLS_PER_S: u32 = 3;

/// State of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProcessState {
    Running,
    /// It was sent SIGTERM.
    Stopping {
        kill_ms: u64,
        down_ms: u64,
    },
    Frozen {
        until_ms: u64,
    },
    Ended {
        start_ms: u64,
    },
}

/// A row to be written as soon as it is due and the store takes it.
#[derive(Debug)]
struct Write {
    due_ms: u64,
    transaction: Value,
    is_config: bool,
}

/// Does what a plan says, and brings processes back.
pub struct Operator {
    pub cluster: TestCluster,
    shared: Arc<Shared>,
    plan: VecDeque<(u64, Operation)>,
    states: Vec<ProcessState>,
    writes: Vec<Write>,
    config_version: u64,
    findings: Vec<Finding>,
}

/// Starts the parts of a soak, and waits until all instances are ready. Returns the addresses
/// for callers, by instance.
pub async fn start_cluster(instances: usize) -> (TestCluster, Vec<SocketAddr>) {
    let slots = [SLOTS; SERVERS + 1];
    let mut cluster = TestCluster::start_without_config(&slots, 0).await;
    cluster.grace_s = GRACE_S;
    for server in 0..=SERVERS {
        let id = cluster.servers[server].id.clone();
        let registration = server_registration(&cluster, server, "ready", 1);
        cluster.put_row("servers", &id, &registration).await;
    }
    let config = shaped_config(1, USUAL_SHAPE);
    cluster.put_row("op", "config", &config).await;
    for instance in 0..instances {
        cluster.add_node(&format!("node-{instance}"));
    }
    for node in &cluster.nodes {
        node.wait_until_ready().await;
    }
    let addresses = cluster.nodes.iter().map(|node| node.callers_address);
    let addresses = addresses.collect();
    (cluster, addresses)
}

fn server_registration(
    cluster: &TestCluster,
    server: usize,
    state: &str,
    born_unix_ms: u64,
) -> Value {
    let service = if server < SERVERS {
        USUAL_SERVICE
    } else {
        OTHER_SERVICE
    };
    let address = cluster.servers[server].standin.address();
    registration(address, service, state, born_unix_ms)
}

impl Operator {
    pub fn new(cluster: TestCluster, shared: Arc<Shared>, plan: Vec<(u64, Operation)>) -> Self {
        Self {
            states: vec![ProcessState::Running; cluster.nodes.len()],
            cluster,
            shared,
            plan: plan.into(),
            writes: Vec::new(),
            config_version: 1,
            findings: Vec::new(),
        }
    }

    /// Does what is due.
    pub async fn tick(&mut self) {
        let now_ms = self.now_ms();
        while self.plan.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let (_, operation) = self.plan.pop_front().unwrap();
            self.carry_out(operation).await;
        }
        for instance in 0..self.states.len() {
            self.advance(instance);
        }
        self.write_due().await;
    }

    /// Ends all that was done, and waits until all processes are ready.
    pub async fn heal(&mut self) {
        self.plan.clear();
        self.configure(USUAL_SHAPE);
        let is_busy = |operator: &Self| {
            let is_running = |state: &ProcessState| *state == ProcessState::Running;
            !operator.states.iter().all(is_running) || !operator.writes.is_empty()
        };
        while is_busy(self) {
            self.tick().await;
            tokio::time::sleep(super::TICK).await;
        }
        let servers = self.cluster.servers.iter();
        let mut standins: Vec<_> = servers.map(|server| server.standin.address()).collect();
        standins.push(self.cluster.store.address());
        for standin in standins {
            super::finish::clear_faults(standin).await;
        }
        for node in &self.cluster.nodes {
            node.wait_until_ready().await;
        }
    }

    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    fn now_ms(&self) -> u64 {
        self.shared.clock.now_ms()
    }

    fn record(&self, part: Part, deed: Deed, span: Span) {
        let mut history = self.shared.history.lock().unwrap();
        history.record(part, deed, span);
    }

    fn begin(&self, instance: usize, deed: Deed) {
        let now_ms = self.now_ms();
        let mut history = self.shared.history.lock().unwrap();
        history.begin(Part::Instance(instance), deed, now_ms);
    }

    async fn carry_out(&mut self, operation: Operation) {
        match operation {
            Operation::Stop { instance, down_ms } => self.stop(instance, down_ms),
            Operation::Hangup {
                instance,
                is_changed,
            } => self.hang_up(instance, is_changed),
            Operation::Kill { instance, down_ms } => self.kill(instance, down_ms),
            Operation::Freeze { instance, for_ms } => self.freeze(instance, for_ms),
            Operation::Configure(shape) => self.configure(shape),
            Operation::Store { fault, for_ms } => self.disrupt_store(fault, for_ms).await,
            Operation::Forget => {
                post(self.cluster.store.address(), "/standin/forget", Vec::new()).await;
            }
            Operation::Server { server, fault } => self.disrupt_server(server, fault).await,
        }
    }

    /// A process that is stopping already gets the signal again.
    fn stop(&mut self, instance: usize, down_ms: u64) {
        match self.states[instance] {
            ProcessState::Running => {
                self.begin(instance, Deed::Stop);
                self.cluster.nodes[instance].signal(Signal::SIGTERM);
                let kill_ms = self.now_ms() + GRACE_S * 1_000;
                self.states[instance] = ProcessState::Stopping { kill_ms, down_ms };
            }
            ProcessState::Stopping { .. } => self.cluster.nodes[instance].signal(Signal::SIGTERM),
            ProcessState::Frozen { .. } | ProcessState::Ended { .. } => {}
        }
    }

    fn hang_up(&mut self, instance: usize, is_changed: bool) {
        if matches!(self.states[instance], ProcessState::Ended { .. }) {
            return;
        }
        let now_ms = self.now_ms();
        let node = &self.cluster.nodes[instance];
        if is_changed {
            change_settings(node.settings_path());
        }
        node.signal(Signal::SIGHUP);
        let span = Span::new(now_ms, now_ms);
        self.record(Part::Instance(instance), Deed::Hangup, span);
    }

    fn kill(&mut self, instance: usize, down_ms: u64) {
        if matches!(self.states[instance], ProcessState::Ended { .. }) {
            return;
        }
        self.begin(instance, Deed::Disrupt("kill"));
        self.cluster.nodes[instance].kill();
        let start_ms = self.now_ms() + down_ms;
        self.states[instance] = ProcessState::Ended { start_ms };
    }

    fn freeze(&mut self, instance: usize, for_ms: u64) {
        if self.states[instance] == ProcessState::Running {
            self.begin(instance, Deed::Disrupt("freeze"));
            self.cluster.nodes[instance].signal(Signal::SIGSTOP);
            let until_ms = self.now_ms() + for_ms;
            self.states[instance] = ProcessState::Frozen { until_ms };
        }
    }

    /// Brings one process on: back from a freeze, to its end, or up again.
    fn advance(&mut self, instance: usize) {
        let now_ms = self.now_ms();
        let node = &mut self.cluster.nodes[instance];
        match self.states[instance] {
            ProcessState::Running => {
                if node.has_exited() {
                    let text = format!("instance {instance} has ended by itself");
                    let at_ms = now_ms;
                    self.findings.push(Finding { at_ms, text });
                    self.begin(instance, Deed::Disrupt("ended by itself"));
                    self.states[instance] = ProcessState::Ended { start_ms: now_ms };
                }
            }
            ProcessState::Stopping { kill_ms, down_ms } => {
                if now_ms >= kill_ms || node.has_exited() {
                    node.kill();
                    let start_ms = now_ms + down_ms;
                    self.states[instance] = ProcessState::Ended { start_ms };
                }
            }
            ProcessState::Frozen { until_ms } => {
                if now_ms >= until_ms {
                    node.signal(Signal::SIGCONT);
                    self.end(instance, ProcessState::Running);
                }
            }
            ProcessState::Ended { start_ms } => {
                if now_ms >= start_ms {
                    node.start_again();
                    self.end(instance, ProcessState::Running);
                    let span = Span::new(now_ms, now_ms);
                    self.record(Part::Instance(instance), Deed::Start, span);
                }
            }
        }
    }

    /// Ends what was done to an instance.
    fn end(&mut self, instance: usize, state: ProcessState) {
        let now_ms = self.now_ms();
        let mut history = self.shared.history.lock().unwrap();
        history.end(Part::Instance(instance), now_ms);
        self.states[instance] = state;
    }

    fn configure(&mut self, shape: Shape) {
        self.config_version += 1;
        let config = shaped_config(self.config_version, shape);
        println!(
            "{} ms: version {} {shape:?}",
            self.now_ms(),
            self.config_version
        );
        self.writes.push(Write {
            due_ms: self.now_ms(),
            transaction: put("op", "config", &config),
            is_config: true,
        });
    }

    /// Writes what is due, in order, until the store does not answer.
    async fn write_due(&mut self) {
        let now_ms = self.now_ms();
        while let Some(index) = self.writes.iter().position(|write| write.due_ms <= now_ms) {
            let from_ms = self.now_ms();
            let store = self.cluster.store.address();
            if !transact(store, &self.writes[index].transaction).await {
                return;
            }
            if self.writes.remove(index).is_config {
                let span = Span::new(from_ms, self.now_ms());
                self.record(Part::Store, Deed::Configure, span);
            }
        }
    }

    async fn disrupt_store(&mut self, fault: StoreFault, for_ms: u64) {
        let (name, kind, margin_ms) = match fault {
            StoreFault::Down => ("down", json!("down"), 0),
            StoreFault::Refuse => ("refuse", json!("refuse"), 0),
            StoreFault::Hang => ("hang", json!("hang"), 0),
            StoreFault::LoseAnswers => ("lost answers", json!("reset_after_body"), 0),
            StoreFault::LoseWithSilence => ("silence", json!("hang_after_body"), 0),
            StoreFault::Slow { delay_ms } => {
                ("slow", json!({"slow": {"delay_ms": delay_ms}}), delay_ms)
            }
            StoreFault::Limit => {
                let calls = LIMITED_CALLS_PER_S;
                let limit = json!({"limit": {"writes_per_s": calls, "reads_per_s": calls}});
                ("limit", limit, 0)
            }
        };
        let from_ms = self.now_ms();
        inject(self.cluster.store.address(), &kind, for_ms).await;
        let to_ms = from_ms + for_ms + margin_ms + FAULT_MARGIN_MS;
        self.record(Part::Store, Deed::Disrupt(name), Span::new(from_ms, to_ms));
    }

    async fn disrupt_server(&mut self, server: usize, fault: ServerFault) {
        let now_ms = self.now_ms();
        let address = self.cluster.servers[server].standin.address();
        let (name, from_ms, for_ms) = match fault {
            ServerFault::Crash { for_ms } => {
                inject(address, &json!("down"), for_ms).await;
                ("crash", now_ms, for_ms)
            }
            ServerFault::Cut => {
                post(address, "/standin/cut?after=2", Vec::new()).await;
                ("cut", now_ms, CUT_WITHIN_MS)
            }
            ServerFault::LoseAnswers { for_ms } => {
                inject(address, &json!("reset_after_body"), for_ms).await;
                ("lost answers", now_ms, for_ms)
            }
            ServerFault::Refuse { for_ms } => {
                inject(address, &json!("refuse"), for_ms).await;
                ("refuse", now_ms, for_ms)
            }
            ServerFault::Release | ServerFault::Vanish => {
                self.renew(server, fault == ServerFault::Vanish);
                ("renewed", now_ms + LEAVE_MS, RENEW_MS)
            }
        };
        let to_ms = from_ms + for_ms + FAULT_MARGIN_MS;
        let span = Span::new(from_ms, to_ms);
        self.record(Part::Server(server), Deed::Disrupt(name), span);
    }

    /// Has a server say that it leaves, or its registration removed, and start again later.
    fn renew(&mut self, server: usize, is_silent: bool) {
        let id = self.cluster.servers[server].id.clone();
        let address = self.cluster.servers[server].standin.address();
        let leave = if is_silent {
            remove_server(&id)
        } else {
            put(
                "servers",
                &id,
                &server_registration(&self.cluster, server, "draining", 1),
            )
        };
        let back = server_registration(&self.cluster, server, "ready", unix_ms());
        let now_ms = self.now_ms();
        let writes = [
            (now_ms, leave),
            (now_ms + LEAVE_MS + RENEW_MS, put("servers", &id, &back)),
        ];
        for (due_ms, transaction) in writes {
            self.writes.push(Write {
                due_ms,
                transaction,
                is_config: false,
            });
        }
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(LEAVE_MS)).await;
            inject(address, &json!("down"), RENEW_MS).await;
        });
    }
}

async fn inject(standin: SocketAddr, kind: &Value, for_ms: u64) {
    let fault = json!({"kind": kind, "for_ms": for_ms});
    post(standin, "/standin/faults", fault.to_string().into_bytes()).await;
}

/// Changes a bound of the settings that has no effect in a soak.
fn change_settings(path: &std::path::Path) {
    let text = fs::read_to_string(path).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    let slack = settings["bounds"]["quota_slack"].as_u64().unwrap_or(0);
    settings["bounds"]["quota_slack"] = json!(slack + 1);
    fs::write(path, settings.to_string()).unwrap();
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_epoch.as_millis()).unwrap()
}
