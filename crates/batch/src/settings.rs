//! Settings of a batch program: flags, environment variables and their checks.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use jobs::LEASE_MS;
use model::{FailureDomain, InstanceId, Region};
use process::{SettingProblem, Settings};

const MEMORY_LIMIT_BYTES: usize = 32 << 20;
const LEASE_MIN_MS: u64 = 200;

/// Checked settings of a batch program.
#[derive(Debug, Clone)]
pub struct BatchSettings {
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
    /// Memory for claimed items and uncommitted results, bytes.
    pub memory_limit_bytes: usize,
    /// Length of a lease, milliseconds.
    pub lease_ms: u64,
    /// Specification for the logger.
    pub log_level: String,
}

/// Unchecked settings, as flags and environment variables give them.
#[derive(Debug, Clone)]
pub struct BatchOptions {
    peer_listen: Option<String>,
    admin_listen: Option<String>,
    control: Option<String>,
    platform: Option<String>,
    instance_id: Option<String>,
    region: Option<String>,
    failure_domain: Option<String>,
    memory_limit_bytes: Option<String>,
    lease_ms: Option<String>,
    log_level: Option<String>,
}

/// Parser of the command line.
#[must_use]
pub fn options() -> OptionParser<BatchOptions> {
    let peer_listen = long("peer-listen")
        .env("REDWINGTACK_PEER_LISTEN")
        .help("Address that other programs of the fleet reach, such as 10.0.0.7:7102")
        .argument::<String>("IP:PORT")
        .optional();
    let admin_listen = long("admin-listen")
        .env("REDWINGTACK_ADMIN_LISTEN")
        .help("Address of /healthz, /readyz and /metrics")
        .argument::<String>("IP:PORT")
        .optional();
    let control = long("control")
        .env("REDWINGTACK_CONTROL")
        .help("Peer address of the control program on this instance")
        .argument::<String>("IP:PORT")
        .optional();
    let platform = long("platform")
        .env("REDWINGTACK_PLATFORM")
        .help("Address of the platform's table, object store and instance list")
        .argument::<String>("IP:PORT")
        .optional();
    let instance_id = long("instance-id")
        .env("REDWINGTACK_INSTANCE_ID")
        .help("Name of this instance, unique in the fleet")
        .argument::<String>("NAME")
        .optional();
    let region = long("region")
        .env("REDWINGTACK_REGION")
        .help("Region of this instance")
        .argument::<String>("NAME")
        .optional();
    let failure_domain = long("failure-domain")
        .env("REDWINGTACK_FAILURE_DOMAIN")
        .help("Failure domain of this instance, such as bern-nord")
        .argument::<String>("NAME")
        .optional();
    let memory_limit_bytes = long("memory-limit-bytes")
        .env("REDWINGTACK_MEMORY_LIMIT_BYTES")
        .help("Memory for claimed items and uncommitted results; 33554432 unless set")
        .argument::<String>("BYTES")
        .optional();
    let lease_ms = long("lease-ms")
        .env("REDWINGTACK_LEASE_MS")
        .help("Length of a lease on a chunk of a job; 15000 unless set")
        .argument::<String>("MILLISECONDS")
        .optional();
    let log_level = long("log-level")
        .env("REDWINGTACK_LOG_LEVEL")
        .help("error, warn, info, debug or trace; info unless set")
        .argument::<String>("LEVEL")
        .optional();
    construct!(BatchOptions {
        peer_listen,
        admin_listen,
        control,
        platform,
        instance_id,
        region,
        failure_domain,
        memory_limit_bytes,
        lease_ms,
        log_level,
    })
    .to_options()
    .descr("Runs the items of batch jobs at model engines and plain services.")
    .footer("Every flag can also be set by the environment variable shown beside it.")
    .version(env!("CARGO_PKG_VERSION"))
}

impl BatchOptions {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn check(&self) -> Result<BatchSettings, Vec<SettingProblem>> {
        let mut settings = Settings::new();
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
        let memory_limit_bytes = settings.or_default(
            "memory-limit-bytes",
            self.memory_limit_bytes.as_deref(),
            MEMORY_LIMIT_BYTES,
        );
        let lease_ms = settings.or_default("lease-ms", self.lease_ms.as_deref(), LEASE_MS);
        if lease_ms < LEASE_MIN_MS {
            settings.push("lease-ms", format!("must be at least {LEASE_MIN_MS}"));
        }
        let checked = || {
            Some(BatchSettings {
                peer_listen: peer_listen?,
                admin_listen: admin_listen?,
                control: control?,
                platform: platform?,
                instance_id: InstanceId::from(instance_id?),
                region: Region::from(region?),
                failure_domain: FailureDomain::from(failure_domain?),
                memory_limit_bytes,
                lease_ms,
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
