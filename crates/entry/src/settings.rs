//! Settings of an entry: command-line flags, environment variables and their
//! validation.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use process::{
    HELP_FOOTER, NodeOptions, NodeSettings, SettingProblem, SettingsChecker, control_option,
    node_options,
};

const DEFAULT_BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_DRAIN_MS: u64 = 5_000;

/// Validated settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Settings that all programs of an instance share.
    pub node: NodeSettings,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Peer address of the control program on this instance.
    pub control: SocketAddr,
    /// Maximum size of the body of a chat or service request, in bytes.
    pub body_limit_bytes: usize,
    /// Time for which a stopping entry still accepts connections, in milliseconds;
    /// in this time the load balancer notices that the entry is not ready.
    pub drain_ms: u64,
    /// Number of threads that serve requests.
    pub worker_threads: usize,
}

/// Settings as given by flags and environment variables, not yet validated.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    node: NodeOptions,
    listen: Option<String>,
    control: Option<String>,
    body_limit_bytes: Option<String>,
    drain_ms: Option<String>,
    worker_threads: Option<String>,
}

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<EntryOptions> {
    let node = node_options();
    let control = control_option();
    let listen = long("listen")
        .env("REDWINGTACK_LISTEN")
        .help("Listen for callers on this address, such as 0.0.0.0:8080")
        .argument("IP:PORT")
        .optional();
    let body_limit_bytes = long("body-limit-bytes")
        .env("REDWINGTACK_BODY_LIMIT_BYTES")
        .help("Refuse chat and service requests whose body is longer than this many bytes [default: 4194304]")
        .argument("BYTES")
        .optional();
    let drain_ms = long("drain-ms")
        .env("REDWINGTACK_DRAIN_MS")
        .help("Accept connections for this many milliseconds after a stop signal, so that the load balancer can notice the stop [default: 5000]")
        .argument("MS")
        .optional();
    let worker_threads = long("worker-threads")
        .env("REDWINGTACK_WORKER_THREADS")
        .help("Serve requests with this many threads [default: one per processor]")
        .argument("N")
        .optional();
    construct!(EntryOptions {
        node,
        listen,
        control,
        body_limit_bytes,
        drain_ms,
        worker_threads,
    })
    .to_options()
    .descr(
        "Serve the callers' HTTP API: chat completions, models, files, batches and plain services",
    )
    .footer(HELP_FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

impl EntryOptions {
    /// Validates every setting.
    ///
    /// # Errors
    ///
    /// Returns the problems of all invalid settings.
    pub fn check(&self) -> Result<EntrySettings, Vec<SettingProblem>> {
        let mut checker = SettingsChecker::new();
        let node = self.node.check(&mut checker);
        let listen = checker.address("listen", self.listen.as_deref());
        let control = checker.address("control", self.control.as_deref());
        let body_limit_bytes = checker.or_default(
            "body-limit-bytes",
            self.body_limit_bytes.as_deref(),
            DEFAULT_BODY_LIMIT_BYTES,
        );
        let drain_ms = checker.or_default("drain-ms", self.drain_ms.as_deref(), DEFAULT_DRAIN_MS);
        let worker_threads = checker.or_default(
            "worker-threads",
            self.worker_threads.as_deref(),
            available_processors(),
        );
        if worker_threads == 0 {
            checker.add_problem("worker-threads", "must be at least 1".to_owned());
        }
        let validated = || {
            Some(EntrySettings {
                node: node?,
                listen: listen?,
                control: control?,
                body_limit_bytes,
                drain_ms,
                worker_threads,
            })
        };
        let validated = validated();
        checker.finish(validated)
    }
}

fn available_processors() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
