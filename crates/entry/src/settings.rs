//! Settings of an entry: flags, environment variables and their checks.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use model::{FailureDomain, InstanceId, Region};
use process::{SettingProblem, Settings};

const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
const DRAIN_MS: u64 = 5_000;
const WORKER_THREADS: usize = 2;

/// Checked settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Address for health checks and metrics.
    pub admin_listen: SocketAddr,
    /// Peer address of the control program on this instance.
    pub control: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// This instance.
    pub instance_id: InstanceId,
    /// Region of this instance.
    pub region: Region,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// Longest body of a chat or service request, bytes.
    pub body_limit_bytes: usize,
    /// Time for which a stopping entry still accepts connections, milliseconds.
    pub drain_ms: u64,
    /// Threads that serve requests.
    pub worker_threads: usize,
    /// Specification for the logger.
    pub log_level: String,
}

/// Unchecked settings, as flags and environment variables give them.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    listen: Option<String>,
    peer_listen: Option<String>,
    admin_listen: Option<String>,
    control: Option<String>,
    platform: Option<String>,
    instance_id: Option<String>,
    region: Option<String>,
    failure_domain: Option<String>,
    body_limit_bytes: Option<String>,
    drain_ms: Option<String>,
    worker_threads: Option<String>,
    log_level: Option<String>,
}

/// Parser of the command line.
#[must_use]
pub fn options() -> OptionParser<EntryOptions> {
    let listen = long("listen")
        .env("REDWINGTACK_LISTEN")
        .help("Address that callers reach, such as 0.0.0.0:8080")
        .argument("IP:PORT")
        .optional();
    let peer_listen = long("peer-listen")
        .env("REDWINGTACK_PEER_LISTEN")
        .help("Address that other programs of the fleet reach, such as 10.0.0.7:7101")
        .argument("IP:PORT")
        .optional();
    let admin_listen = long("admin-listen")
        .env("REDWINGTACK_ADMIN_LISTEN")
        .help("Address of /healthz, /readyz and /metrics")
        .argument("IP:PORT")
        .optional();
    let control = long("control")
        .env("REDWINGTACK_CONTROL")
        .help("Peer address of the control program on this instance")
        .argument("IP:PORT")
        .optional();
    let platform = long("platform")
        .env("REDWINGTACK_PLATFORM")
        .help("Address of the platform's table, object store and instance list")
        .argument("IP:PORT")
        .optional();
    let instance_id = long("instance-id")
        .env("REDWINGTACK_INSTANCE_ID")
        .help("Name of this instance, unique in the fleet")
        .argument("NAME")
        .optional();
    let region = long("region")
        .env("REDWINGTACK_REGION")
        .help("Region of this instance")
        .argument("NAME")
        .optional();
    let failure_domain = long("failure-domain")
        .env("REDWINGTACK_FAILURE_DOMAIN")
        .help("Failure domain of this instance, such as lima-a")
        .argument("NAME")
        .optional();
    let body_limit_bytes = long("body-limit-bytes")
        .env("REDWINGTACK_BODY_LIMIT_BYTES")
        .help("Longest body of a chat or service request; 4194304 unless set")
        .argument("BYTES")
        .optional();
    let drain_ms = long("drain-ms")
        .env("REDWINGTACK_DRAIN_MS")
        .help("Time for which a stopping entry still accepts connections, so that the balancer notices; 5000 unless set")
        .argument("MS")
        .optional();
    let worker_threads = long("worker-threads")
        .env("REDWINGTACK_WORKER_THREADS")
        .help("Threads that serve requests; 2 unless set")
        .argument("N")
        .optional();
    let log_level = long("log-level")
        .env("REDWINGTACK_LOG_LEVEL")
        .help("error, warn, info, debug or trace; info unless set")
        .argument("LEVEL")
        .optional();
    construct!(EntryOptions {
        listen,
        peer_listen,
        admin_listen,
        control,
        platform,
        instance_id,
        region,
        failure_domain,
        body_limit_bytes,
        drain_ms,
        worker_threads,
        log_level,
    })
    .to_options()
    .descr("Serves callers: chat completions, models, files, batches and plain services.")
    .footer("Every flag can also be set by the environment variable shown beside it.")
    .version(env!("CARGO_PKG_VERSION"))
}

impl EntryOptions {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn check(&self) -> Result<EntrySettings, Vec<SettingProblem>> {
        let mut settings = Settings::new();
        let listen = settings.address("listen", self.listen.as_deref());
        let peer_listen = settings.address("peer-listen", self.peer_listen.as_deref());
        let admin_listen = settings.address("admin-listen", self.admin_listen.as_deref());
        let control = settings.address("control", self.control.as_deref());
        let platform = settings.address("platform", self.platform.as_deref());
        let instance_id = name(&mut settings, "instance-id", self.instance_id.as_deref());
        let region = name(&mut settings, "region", self.region.as_deref());
        let failure_domain = name(
            &mut settings,
            "failure-domain",
            self.failure_domain.as_deref(),
        );
        let body_limit_bytes = settings.or_default(
            "body-limit-bytes",
            self.body_limit_bytes.as_deref(),
            BODY_LIMIT_BYTES,
        );
        let drain_ms = settings.or_default("drain-ms", self.drain_ms.as_deref(), DRAIN_MS);
        let worker_threads = settings.or_default(
            "worker-threads",
            self.worker_threads.as_deref(),
            WORKER_THREADS,
        );
        if worker_threads == 0 {
            settings.push("worker-threads", "must be at least 1".to_owned());
        }
        let checked = || {
            Some(EntrySettings {
                listen: listen?,
                peer_listen: peer_listen?,
                admin_listen: admin_listen?,
                control: control?,
                platform: platform?,
                instance_id: InstanceId::from(instance_id?),
                region: Region::from(region?),
                failure_domain: FailureDomain::from(failure_domain?),
                body_limit_bytes,
                drain_ms,
                worker_threads,
                log_level: self.log_level.clone().unwrap_or_else(|| "info".to_owned()),
            })
        };
        let checked = checked();
        let problems = settings.into_problems();
        match checked {
            Some(checked) if problems.is_empty() => Ok(checked),
            _ => Err(problems),
        }
    }
}

fn name(settings: &mut Settings, flag: &'static str, text: Option<&str>) -> Option<String> {
    let name: String = settings.required(flag, text)?;
    if name.is_empty() {
        settings.push(flag, "must not be empty".to_owned());
    }
    Some(name)
}
