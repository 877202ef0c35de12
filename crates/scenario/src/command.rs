//! The commands of the test language.

use standin::Fault;

/// A parsed scenario.
#[derive(Debug)]
pub struct Script {
    /// Commands with their lines, counted from one.
    pub(crate) commands: Vec<(usize, Command)>,
}

/// Which program of an instance.
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

/// Stand-in that a fault is scripted at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    /// The platform.
    Platform,
    /// An engine or service by name.
    Upstream(String),
}

/// How a submission of a job is expected to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobEnd {
    /// Accepted by every instance asked, as one job.
    Accepted,
    /// Refused as not run, with a time to come back.
    Refused,
    /// Refused since the key was used with another content.
    Conflict,
}

/// One line of a scenario. Fields named `within_ms` limit a wait.
#[derive(Debug)]
pub(crate) enum Command {
    /// `platform [lag=500ms]` starts the platform's stand-in.
    Platform { lag_ms: u64 },
    /// `engine NAME domain=D [flags="…"]` starts an engine.
    Engine {
        name: String,
        domain: String,
        flags: String,
    },
    /// `service NAME of=SERVICE domain=D [flags="…"]` starts a plain service.
    Service {
        name: String,
        service: String,
        domain: String,
        flags: String,
    },
    /// `instance NAME domain=D` declares an instance without starting anything.
    Instance { name: String, domain: String },
    /// `publish [without=A,B] [leaving=C]` sets the platform's list.
    Publish {
        without: Vec<String>,
        leaving: Vec<String>,
    },
    /// `start control|entry|batch INSTANCE [flags="…"]`
    Start {
        role: Role,
        instance: String,
        flags: String,
    },
    /// `ready control|entry|batch INSTANCE [within=30s]` waits for `/readyz`.
    Ready {
        role: Role,
        instance: String,
        within_ms: u64,
    },
    /// `up control|entry|batch INSTANCE [within=30s]` waits for `/healthz`.
    Up {
        role: Role,
        instance: String,
        within_ms: u64,
    },
    /// `apply INSTANCE file=F [operator=O] [replaces=N] [expect=STATUS]` applies
    /// a configuration file that lies beside the scenario.
    Apply {
        instance: String,
        file: String,
        operator: String,
        replaces: Option<u64>,
        status: u16,
    },
    /// `race INSTANCE INSTANCE file=F replaces=N` applies at two instances at
    /// once; one must be accepted and one meet a conflict.
    Race {
        instances: [String; 2],
        file: String,
        replaces: u64,
    },
    /// `in_force VERSION at=A,B [within=4s]`
    InForce {
        version: u64,
        instances: Vec<String>,
        within_ms: u64,
    },
    /// `keeps VERSION at=A,B for=3s`: no lower version shows in this time.
    Keeps {
        version: u64,
        instances: Vec<String>,
        for_ms: u64,
    },
    /// `memory control|entry|batch NAME at_most_mb=N`: highest resident memory
    /// since its start.
    Memory {
        role: Role,
        name: String,
        at_most_mb: u64,
    },
    /// `kill|stop|pause|wake control|entry|batch|upstream NAME`
    Signal {
        signal: ProcessSignal,
        role: Role,
        name: String,
    },
    /// `exited control|entry|batch INSTANCE [code=0] [within=30s]`
    Exited {
        role: Role,
        name: String,
        code: i32,
        within_ms: u64,
    },
    /// `fault platform|NAME KIND [path=P] [contains=T] [times=N] [for=6s]
    /// [delay=50ms] [writes=N] [reads=N]`
    Fault { target: FaultTarget, fault: Fault },
    /// `clear platform|NAME` ends its faults.
    Clear { target: FaultTarget },
    /// `met platform|NAME [count=1] [within=30s]` waits until faults struck.
    Met {
        target: FaultTarget,
        count: u32,
        within_ms: u64,
    },
    /// `job NAME at=A,B class=C items=N [tokens=N] [bad=N] [key=K]
    /// [customer=C] [expect=accepted|refused|conflict] [resend_within=30s]`
    /// submits at all named instances at once.
    Job {
        name: String,
        instances: Vec<String>,
        class: String,
        items: JobItems,
        key: String,
        customer: String,
        end: JobEnd,
        resend_within_ms: Option<u64>,
    },
    /// `settled JOB at=INSTANCE [state=completed] [within=30s]`
    Settled {
        job: String,
        instance: String,
        state: String,
        within_ms: u64,
    },
    /// `results JOB at=INSTANCE completed=N [failed=N]`: each item of the input
    /// stands in the output or error file once, with its own whole answer.
    Results {
        job: String,
        instance: String,
        completed: usize,
        failed: usize,
    },
    /// `cancel JOB at=INSTANCE`
    Cancel { job: String, instance: String },
    /// `runs at_least=N [within=30s]` waits until engines started so many.
    Runs { at_least: u32, within_ms: u64 },
    /// `repeats at_most=N`: starts of prompts beyond the first, at all engines.
    Repeats { at_most: u32 },
    /// `repeated at_least=N within=3s` waits for such starts.
    Repeated { at_least: u32, within_ms: u64 },
    /// `costs [writes=N] [reads=N]`: at most so many operations on the
    /// platform's table since the start.
    Costs { writes: u64, reads: u64 },
    /// `puts contains=T [at_least=N] [at_most=N] [within=30s]`: waits until so
    /// many keys of the table were put with a value that contains T; none of
    /// them more often than `at_most`.
    Puts {
        contains: String,
        at_least: usize,
        at_most: u32,
        within_ms: u64,
    },
    /// `quiet for=2s [after=1s]`: no request reaches any engine in this time.
    Quiet { after_ms: u64, for_ms: u64 },
    /// `load NAME at=A,B rate=N for=5s [tokens=N] [class=C] [marker=M]
    /// [prompts=N]` sends streamed chats in the background to the instances
    /// that are ready; every N of them share a prompt.
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
    /// [within=30s]`: at most so many ended like this, every other got its own
    /// whole answer, none later than `slowest`.
    LoadEnd {
        name: String,
        cut: usize,
        failed: usize,
        refused: usize,
        slowest_ms: u64,
        within_ms: u64,
    },
    /// `call at=INSTANCE service=S id=ID [key=K] [status=200] [ran=no]`
    /// calls a plain service; `status=lost` expects the connection to break and
    /// `status=any` expects nothing. `call_in_background` does not wait.
    Call {
        instance: String,
        service: String,
        id: String,
        key: Option<String>,
        status: String,
        ran: Option<String>,
        in_background: bool,
    },
    /// `calls SERVICE id=ID [at_least=N] [at_most=N] [within=30s]` waits until
    /// the call ran so often; more than `at_most` fails.
    Calls {
        service: String,
        id: String,
        at_least: u32,
        at_most: u32,
        within_ms: u64,
    },
    /// `idle UPSTREAM for=2s [after=2s]`: no request reaches this engine.
    Idle {
        upstream: String,
        after_ms: u64,
        for_ms: u64,
    },
    /// `leaving UPSTREAM` makes an engine refuse new work.
    Leaving { upstream: String },
    /// `include FILE` runs the commands of another file.
    Include { file: String },
    /// `wait 3s`
    Wait { span_ms: u64 },
}

/// Items of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobItems {
    /// All items.
    pub(crate) count: usize,
    /// How many of them always fail.
    pub(crate) bad: usize,
    /// Tokens of each answer.
    pub(crate) tokens: u32,
}

/// A signal sent to a process.
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
