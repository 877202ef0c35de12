//! The commands of the scenario language.

use standin::Fault;

/// A parsed scenario.
#[derive(Debug)]
pub struct Script {
    /// Commands with their line numbers, counted from one.
    pub(crate) commands: Vec<(usize, Command)>,
}

/// What a process runs: one of the programs of an instance, or the stand-in for
/// an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Role {
    /// `redwingtack-control`
    Control,
    /// `redwingtack-entry`
    Entry,
    /// `redwingtack-batch`
    Batch,
    /// `redwingtack-standin engine` or `service`
    Upstream,
}

/// The stand-in that a fault is injected at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    /// The stand-in for the platform.
    Platform,
    /// The engine or service with this name.
    Upstream(String),
}

/// Expected outcome of the submission of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmissionOutcome {
    /// Every instance to which the job was submitted accepted it, all with the
    /// same job id.
    Accepted,
    /// Refused with headers that say that nothing ran and when to retry.
    Refused,
    /// Refused because the idempotency key was used before with other content.
    Conflict,
}

/// One line of a scenario.
///
/// Variants and fields are named after the commands and their arguments. A
/// field `within_ms` is the time limit of a command that waits.
#[derive(Debug)]
pub(crate) enum Command {
    /// `platform [lag=500ms]` starts the stand-in for the platform. `lag`
    /// is how far the list of instances lags behind.
    Platform { lag_ms: u64 },
    /// `engine NAME domain=D [flags="…"]` starts the stand-in for an engine.
    Engine {
        name: String,
        domain: String,
        flags: String,
    },
    /// `service NAME of=SERVICE domain=D [flags="…"]` starts the stand-in
    /// for a plain service.
    Service {
        name: String,
        service: String,
        domain: String,
        flags: String,
    },
    /// `instance NAME domain=D` declares an instance. It starts no process.
    Instance { name: String, domain: String },
    /// `publish [without=A,B] [leaving=C]` sets the list of instances and
    /// upstreams that the platform publishes.
    Publish {
        without: Vec<String>,
        leaving: Vec<String>,
    },
    /// `start control|entry|batch INSTANCE [flags="…"]` starts a program of an
    /// instance.
    Start {
        role: Role,
        instance: String,
        flags: String,
    },
    /// `ready control|entry|batch INSTANCE [within=30s]` waits until `/readyz`
    /// answers with a success.
    Ready {
        role: Role,
        instance: String,
        within_ms: u64,
    },
    /// `up control|entry|batch INSTANCE [within=30s]` waits until `/healthz`
    /// answers with a success.
    Up {
        role: Role,
        instance: String,
        within_ms: u64,
    },
    /// `apply INSTANCE file=F [operator=O] [replaces=N] [expect=STATUS]` applies
    /// a configuration file. Its path is relative to the scenario's folder.
    Apply {
        instance: String,
        file: String,
        operator: String,
        replaces: Option<u64>,
        expected_status: u16,
    },
    /// `race INSTANCE INSTANCE file=F replaces=N` applies a configuration file
    /// at two instances concurrently. One must accept it, the other must answer
    /// with a conflict.
    Race {
        instances: [String; 2],
        file: String,
        replaces: u64,
    },
    /// `in_force VERSION at=A,B [within=4s]` waits until each instance has this
    /// or a higher version of the configuration in force.
    InForce {
        version: u64,
        instances: Vec<String>,
        within_ms: u64,
    },
    /// `keeps VERSION at=A,B for=3s` checks that no instance reports a lower
    /// version of the configuration during this time.
    Keeps {
        version: u64,
        instances: Vec<String>,
        for_ms: u64,
    },
    /// `memory control|entry|batch NAME at_most_mb=N` checks that the resident
    /// memory of a process has been at most N MB since its start.
    Memory {
        role: Role,
        name: String,
        at_most_mb: u64,
    },
    /// `kill|stop|pause|wake control|entry|batch|upstream NAME` sends a signal
    /// to a process.
    Signal {
        signal: ProcessSignal,
        role: Role,
        name: String,
    },
    /// `exited control|entry|batch INSTANCE [code=0] [within=30s]` waits until a
    /// process exits and checks its exit code.
    Exited {
        role: Role,
        name: String,
        code: i32,
        within_ms: u64,
    },
    /// `fault platform|NAME KIND [path=P] [contains=T] [times=N] [for=6s]
    /// [delay=50ms] [writes=N] [reads=N]` injects a fault at a stand-in.
    Fault { target: FaultTarget, fault: Fault },
    /// `clear platform|NAME` removes all faults of a stand-in.
    Clear { target: FaultTarget },
    /// `met platform|NAME [count=1] [within=30s]` waits until faults have
    /// affected at least `count` requests.
    Met {
        target: FaultTarget,
        count: u32,
        within_ms: u64,
    },
    /// `job NAME at=A,B class=C items=N [tokens=N] [bad=N] [key=K]
    /// [customer=C] [expect=accepted|refused|conflict] [resend_within=30s]`
    /// submits a job to all named instances concurrently; `bad` is the number of
    /// its items that always fail.
    Job {
        name: String,
        instances: Vec<String>,
        class: String,
        items: JobItems,
        key: String,
        customer: String,
        expected_outcome: SubmissionOutcome,
        resend_within_ms: Option<u64>,
    },
    /// `settled JOB at=INSTANCE [state=completed] [within=30s]` waits until a job
    /// reaches a state.
    Settled {
        job: String,
        instance: String,
        state: String,
        within_ms: u64,
    },
    /// `results JOB at=INSTANCE completed=N [failed=N]` checks the numbers of
    /// items in the output and the error file. Each item may be in the files only
    /// once and must have the complete answer to its own prompt.
    Results {
        job: String,
        instance: String,
        completed: usize,
        failed: usize,
    },
    /// `cancel JOB at=INSTANCE` cancels a job.
    Cancel { job: String, instance: String },
    /// `runs at_least=N [within=30s]` waits until the engines have started at
    /// least this many prompts in total.
    Runs { at_least: u32, within_ms: u64 },
    /// `repeats at_most=N` checks that engines have started prompts again at most
    /// this often, counted over all engines.
    Repeats { at_most: u32 },
    /// `repeated at_least=N within=3s` waits until engines have started
    /// prompts again at least this often.
    Repeated { at_least: u32, within_ms: u64 },
    /// `costs [writes=N] [reads=N]` checks that there have been at most this many
    /// operations on the platform's table since the platform's start.
    Costs { writes: u64, reads: u64 },
    /// `puts contains=T [at_least=N] [at_most=N] [within=30s]` waits until at
    /// least `at_least` keys of the platform's table have been put with a value
    /// that contains T. It fails if one of them was put more often than
    /// `at_most`.
    Puts {
        contains: String,
        at_least: usize,
        at_most: u32,
        within_ms: u64,
    },
    /// `quiet for=2s [after=1s]` checks that no request reaches any engine for
    /// this time, after a first wait.
    Quiet { after_ms: u64, for_ms: u64 },
    /// `load NAME at=A,B rate=N for=5s [tokens=N] [class=C] [marker=M]
    /// [prompts=N]` sends streamed chat requests in the background, open loop, to
    /// those of the instances that are ready. `prompts` limits the number of
    /// different prompts.
    Load {
        name: String,
        instances: Vec<String>,
        class: Option<String>,
        rate_per_s: u32,
        for_ms: u64,
        tokens: u32,
        marker: String,
        prompts: Option<u64>,
    },
    /// `load_end NAME [cut=N] [failed=N] [refused=N] [slowest=10s]
    /// [within=30s]` waits for the end of a load. At most the given numbers of
    /// requests may have been cut, failed or refused; every other one, and at
    /// least one, must have received the complete answer to its own prompt, within
    /// `slowest`.
    LoadEnd {
        name: String,
        cut: usize,
        failed: usize,
        refused: usize,
        slowest_ms: u64,
        within_ms: u64,
    },
    /// `call at=INSTANCE service=S id=ID [key=K] [status=200] [ran=no]`
    /// calls a plain service. `status=lost` expects the connection to break;
    /// `status=any` accepts every outcome. `ran` is the expected value of the
    /// header `redwingtack-ran`. `call_in_background` does not wait for the
    /// response.
    Call {
        instance: String,
        service: String,
        id: String,
        key: Option<String>,
        expected_status: String,
        expected_ran: Option<String>,
        in_background: bool,
    },
    /// `calls SERVICE id=ID [at_least=N] [at_most=N] [within=30s]` waits until
    /// the call has run at least `at_least` times. It fails if the call ran more
    /// than `at_most` times.
    Calls {
        service: String,
        id: String,
        at_least: u32,
        at_most: u32,
        within_ms: u64,
    },
    /// `idle UPSTREAM for=2s [after=2s]` checks that no request reaches this
    /// engine for this time, after a first wait.
    Idle {
        upstream: String,
        after_ms: u64,
        for_ms: u64,
    },
    /// `leaving UPSTREAM` makes an engine refuse new requests.
    Leaving { upstream: String },
    /// `include FILE` runs the commands of another file.
    Include { file: String },
    /// `wait 3s` sleeps.
    Wait { duration_ms: u64 },
}

/// Items of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobItems {
    /// Number of items.
    pub(crate) count: usize,
    /// Number of items, from the first one on, that always fail.
    pub(crate) failing: usize,
    /// Number of tokens in each answer.
    pub(crate) tokens: u32,
}

/// A signal to send to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessSignal {
    /// SIGKILL
    Kill,
    /// SIGTERM
    Stop,
    /// SIGSTOP
    Pause,
    /// SIGCONT
    Wake,
}
