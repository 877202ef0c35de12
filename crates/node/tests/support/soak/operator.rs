//! Carries out a plan: the operator, the platform and the servers of a soak.

use std::{collections::VecDeque, sync::Arc};

use serde_json::Value;
use tokio::time::sleep;

use super::{
    Finding, Shared,
    history::{Deed, GRACE_S, Part, Span},
    plan::{Operation, SERVERS, Shape, USUAL_SHAPE},
    process_operations::ProcessState,
    store_writes::{
        OTHER_SERVICE, SLOTS, USUAL_SERVICE, post, put, registration, shaped_config, transact,
    },
};
use crate::support::{TestCluster, store_proxy::StoreProxy};

/// Memory that the settings of a process state, MB.
const MEMORY_MB: u64 = 290;

/// A row to be written as soon as it is due and the store takes it.
#[derive(Debug)]
pub struct Write {
    pub due_ms: u64,
    pub transaction: Value,
    pub is_config: bool,
}

/// Does what a plan says, and brings processes back.
pub struct Operator {
    pub cluster: TestCluster,
    pub shared: Arc<Shared>,
    pub states: Vec<ProcessState>,
    /// When each process was last started, milliseconds since the soak began.
    pub started_ms: Vec<u64>,
    /// How long each process has waited for a processor, milliseconds.
    pub waited_ms: Vec<u64>,
    /// Paths to the store, by instance.
    pub store_paths: Vec<StoreProxy>,
    /// Instances that are cut off from the store, each with the time at which that ends.
    pub cut_off: Vec<(usize, u64)>,
    pub writes: Vec<Write>,
    pub findings: Vec<Finding>,
    plan: VecDeque<(u64, Operation)>,
    config_version: u64,
}

/// Starts the parts of a soak, and waits until all instances are ready. Returns the paths of the
/// instances to the store.
pub async fn start_cluster(instances: usize) -> (TestCluster, Vec<StoreProxy>) {
    let slots = [SLOTS; SERVERS + 1];
    let mut cluster = TestCluster::start_without_config(&slots, 0).await;
    cluster.grace_s = GRACE_S;
    cluster.memory_mb = Some(MEMORY_MB);
    for server in 0..=SERVERS {
        let id = cluster.servers[server].id.clone();
        let registration = server_registration(&cluster, server, "ready", 1);
        cluster.put_row("servers", &id, &registration).await;
    }
    let config = shaped_config(1, USUAL_SHAPE);
    cluster.put_row("op", "config", &config).await;
    let mut store_paths = Vec::new();
    for instance in 0..instances {
        let name = format!("node-{instance}");
        store_paths.push(cluster.add_proxied_node(&name).await);
    }
    (cluster, store_paths)
}

pub fn server_registration(
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
    pub fn new(
        cluster: TestCluster,
        store_paths: Vec<StoreProxy>,
        shared: Arc<Shared>,
        plan: Vec<(u64, Operation)>,
    ) -> Self {
        Self {
            states: vec![ProcessState::Running; cluster.nodes.len()],
            started_ms: vec![0; cluster.nodes.len()],
            waited_ms: vec![0; cluster.nodes.len()],
            cluster,
            shared,
            store_paths,
            cut_off: Vec::new(),
            writes: Vec::new(),
            findings: Vec::new(),
            plan: plan.into(),
            config_version: 1,
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
            self.watch_for_stall(instance);
        }
        self.end_cut_offs();
        self.write_due().await;
    }

    /// Ends all that was done, and waits until all processes are ready.
    pub async fn heal(&mut self) {
        self.plan.clear();
        self.configure(USUAL_SHAPE);
        let is_busy = |operator: &Self| {
            let is_running = |state: &ProcessState| *state == ProcessState::Running;
            !operator.states.iter().all(is_running)
                || !operator.writes.is_empty()
                || !operator.cut_off.is_empty()
        };
        while is_busy(self) {
            self.tick().await;
            sleep(super::TICK).await;
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

    pub fn now_ms(&self) -> u64 {
        self.shared.clock.now_ms()
    }

    pub fn record(&self, part: Part, deed: Deed, span: Span) {
        let mut history = self.shared.history.lock().unwrap();
        history.record(part, deed, span);
    }

    pub fn begin(&self, instance: usize, deed: Deed) {
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
            Operation::Slow { instance, for_ms } => self.slow_down(instance, for_ms),
            Operation::CutOff {
                instance,
                is_silent,
                for_ms,
            } => self.cut_off(instance, is_silent, for_ms),
            Operation::Configure(shape) => self.configure(shape),
            Operation::Store { fault, for_ms } => self.disrupt_store(fault, for_ms).await,
            Operation::Forget => {
                post(self.cluster.store.address(), "/standin/forget", Vec::new()).await;
            }
            Operation::Server { server, fault } => self.disrupt_server(server, fault).await,
        }
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
}
