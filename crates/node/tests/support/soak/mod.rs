//! A soak: instances, servers, callers, batch jobs and an operator who does to them what a seed
//! draws. Afterwards each sentence of the rule that nothing accepted is lost and no request ends
//! without an answer is judged by what the clients saw.

pub mod callers;
pub mod exchange;
pub mod fault_operations;
pub mod finish;
pub mod history;
pub mod job_clients;
pub mod job_log;
pub mod judge_jobs;
pub mod judge_requests;
pub mod late_callers;
pub mod operator;
pub mod plan;
pub mod process_operations;
pub mod requests;
pub mod store_writes;

use std::{
    env, mem,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinSet, time::sleep};

use history::{Deed, History, Part, STALL_MIN_MS, SoakClock, Span};
use job_log::JobLog;
use operator::Operator;
use plan::Family;
use requests::RequestRecord;

/// Number of callers that call all the time, and of those that wait for a stop.
const CALLERS: usize = 14;
const LATE_CALLERS: usize = 20;
/// Number of clients that submit jobs, and of those that visit them.
const SUBMITTERS: usize = 3;
const VISITORS: usize = 5;
/// Interval at which the operator looks at what is due.
const TICK: Duration = Duration::from_millis(10);

/// What a soak is drawn from.
#[derive(Debug, Clone, Copy)]
pub struct SoakSettings {
    pub seed: u64,
    /// Time in which clients come and things are done to the parts.
    pub duration: Duration,
    pub instances: usize,
}

/// What all tasks of a soak share.
#[derive(Debug)]
pub struct Shared {
    pub clock: SoakClock,
    /// Addresses for callers, by instance.
    pub addresses: Vec<SocketAddr>,
    pub requests: Mutex<Vec<RequestRecord>>,
    pub jobs: Mutex<Vec<JobLog>>,
    pub history: Mutex<History>,
    seed: u64,
    has_stopped: AtomicBool,
}

/// A sentence of a rule that was broken.
#[derive(Debug)]
pub struct Finding {
    pub at_ms: u64,
    pub text: String,
}

impl SoakSettings {
    /// Returns the settings that the environment names, with those of `default` for what it does
    /// not name, or `None` if it names none.
    #[must_use]
    pub fn from_environment(default: Self) -> Option<Self> {
        let named = |name: &str| env::var(name).ok()?.parse::<u64>().ok();
        let seed = named("REDWINGTACK_SOAK_SEED");
        let duration = named("REDWINGTACK_SOAK_SECONDS").map(Duration::from_secs);
        let instances = named("REDWINGTACK_SOAK_INSTANCES");
        if seed.is_none() && duration.is_none() && instances.is_none() {
            return None;
        }
        Some(Self {
            seed: seed.unwrap_or(default.seed),
            duration: duration.unwrap_or(default.duration),
            instances: instances.map_or(default.instances, |count| usize::try_from(count).unwrap()),
        })
    }
}

impl Shared {
    pub fn new(seed: u64, addresses: Vec<SocketAddr>) -> Self {
        Self {
            clock: SoakClock::start(),
            addresses,
            requests: Mutex::default(),
            jobs: Mutex::default(),
            history: Mutex::default(),
            seed,
            has_stopped: AtomicBool::new(false),
        }
    }

    /// Returns whether the clients are to stop.
    pub fn has_stopped(&self) -> bool {
        self.has_stopped.load(Ordering::Acquire)
    }

    /// Returns the seed of one client.
    pub fn seed_of(&self, role: &str, number: usize) -> u64 {
        let role: u64 = role.bytes().map(u64::from).sum();
        let number = u64::try_from(number).unwrap();
        self.seed
            .wrapping_mul(1_000_003)
            .wrapping_add(role * 1_000 + number)
    }

    pub fn add_request(&self, record: RequestRecord) {
        self.requests.lock().unwrap().push(record);
    }

    /// Returns the number of the job.
    pub fn add_job(&self, job: JobLog) -> usize {
        let mut jobs = self.jobs.lock().unwrap();
        jobs.push(job);
        jobs.len() - 1
    }

    pub fn with_job<T>(&self, job: usize, action: impl FnOnce(&mut JobLog) -> T) -> T {
        action(&mut self.jobs.lock().unwrap()[job])
    }
}

/// Plays a soak. Returns what broke a rule; prints what was done and seen.
pub async fn run(settings: SoakSettings) -> Vec<Finding> {
    let family = Family::of_seed(settings.seed);
    println!("{settings:?} {family:?}");
    let (cluster, store_paths) = operator::start_cluster(settings.instances).await;
    let nodes = cluster.nodes.iter();
    let addresses = nodes.map(|node| node.callers_address).collect();
    let shared = Arc::new(Shared::new(settings.seed, addresses));
    let until_ms = u64::try_from(settings.duration.as_millis()).unwrap();
    let plan = plan::draw(settings.seed, family, settings.instances, until_ms);
    let mut operator = Operator::new(cluster, store_paths, Arc::clone(&shared), plan);
    tokio::spawn(watch_for_stalls(Arc::clone(&shared)));
    let clients = start_clients(&shared);
    while shared.clock.now_ms() < until_ms {
        operator.tick().await;
        sleep(TICK).await;
    }
    shared.has_stopped.store(true, Ordering::Release);
    operator.heal().await;
    clients.join_all().await;
    finish::finish(&shared).await;
    let mut findings = mem::take(&mut operator.findings);
    let runs = operator.cluster.runs_by_server().await;
    findings.extend(judge_requests::judge(&shared, &runs));
    findings.extend(judge_jobs::judge(&shared));
    findings.sort_by_key(|finding| finding.at_ms);
    print_history(&shared);
    if !findings.is_empty() {
        for node in &operator.cluster.nodes {
            println!("log of {}:\n{}", node.callers_address, node.log());
        }
    }
    findings
}

fn start_clients(shared: &Arc<Shared>) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for number in 0..CALLERS {
        clients.spawn(callers::call(Arc::clone(shared), number));
    }
    for number in 0..LATE_CALLERS {
        clients.spawn(late_callers::call(Arc::clone(shared), number));
    }
    for number in 0..SUBMITTERS {
        clients.spawn(job_clients::submit_jobs(Arc::clone(shared), number));
    }
    for number in 0..VISITORS {
        clients.spawn(job_clients::visit_jobs(Arc::clone(shared), number));
    }
    clients
}

/// Records when this process had no processor.
async fn watch_for_stalls(shared: Arc<Shared>) {
    let mut last_ms = shared.clock.now_ms();
    loop {
        sleep(TICK).await;
        let now_ms = shared.clock.now_ms();
        if now_ms >= last_ms + STALL_MIN_MS {
            let mut history = shared.history.lock().unwrap();
            history.record(Part::Machine, Deed::Stall, Span::new(last_ms, now_ms));
        }
        last_ms = now_ms;
    }
}

fn print_history(shared: &Shared) {
    let mut entries = shared.history.lock().unwrap().entries().to_vec();
    entries.sort_by_key(|entry| entry.span.from_ms);
    for entry in entries {
        println!("{entry:?}");
    }
}
