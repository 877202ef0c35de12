//! Settings that the entry, batch and control programs of an instance share.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use flexi_logger::LogSpecification;
use model::{FailureDomain, InstanceId, Region};

use crate::SettingsChecker;

const LOG_LEVEL: &str = "info";

/// Footer of each program's help.
pub const HELP_FOOTER: &str =
    "Every flag can also be set by the environment variable shown beside it.";

/// Checked settings.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Address for health checks and metrics.
    pub admin_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// This instance.
    pub instance_id: InstanceId,
    /// Region of this instance.
    pub region: Region,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// Specification for the logger.
    pub log_level: String,
}

/// Unchecked settings, as flags and environment variables give them.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    peer_listen: Option<String>,
    admin_listen: Option<String>,
    platform: Option<String>,
    instance_id: Option<String>,
    region: Option<String>,
    failure_domain: Option<String>,
    log_level: Option<String>,
}

/// Parser of the shared flags.
#[must_use]
pub fn node_options() -> impl Parser<NodeOptions> {
    let peer_listen = long("peer-listen")
        .env("REDWINGTACK_PEER_LISTEN")
        .help("Address that other programs of the fleet reach, such as 10.0.0.7:7100")
        .argument("IP:PORT")
        .optional();
    let admin_listen = long("admin-listen")
        .env("REDWINGTACK_ADMIN_LISTEN")
        .help("Address of /healthz, /readyz and /metrics")
        .argument("IP:PORT")
        .optional();
    let platform = long("platform")
        .env("REDWINGTACK_PLATFORM")
        .help("Address of the platform's store")
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
    let log_level = log_level_option();
    construct!(NodeOptions {
        peer_listen,
        admin_listen,
        platform,
        instance_id,
        region,
        failure_domain,
        log_level,
    })
}

/// Parser of `--log-level`.
#[must_use]
pub fn log_level_option() -> impl Parser<Option<String>> {
    long("log-level")
        .env("REDWINGTACK_LOG_LEVEL")
        .help("error, warn, info, debug or trace; info unless set")
        .argument("LEVEL")
        .optional()
}

/// Parser of `--control`, the address of the control program beside a program.
#[must_use]
pub fn control_option() -> impl Parser<Option<String>> {
    long("control")
        .env("REDWINGTACK_CONTROL")
        .help("Peer address of the control program on this instance")
        .argument("IP:PORT")
        .optional()
}

impl NodeOptions {
    /// Checks every setting; `None` if one is missing or malformed. The
    /// problems are with `settings`.
    #[must_use]
    pub fn check(&self, settings: &mut SettingsChecker) -> Option<NodeSettings> {
        let peer_listen = settings.address("peer-listen", self.peer_listen.as_deref());
        let admin_listen = settings.address("admin-listen", self.admin_listen.as_deref());
        let platform = settings.address("platform", self.platform.as_deref());
        let instance_id = name(settings, "instance-id", self.instance_id.as_deref());
        let region = name(settings, "region", self.region.as_deref());
        let failure_domain = name(settings, "failure-domain", self.failure_domain.as_deref());
        let log_level = check_log_level(settings, self.log_level.as_deref());
        Some(NodeSettings {
            peer_listen: peer_listen?,
            admin_listen: admin_listen?,
            platform: platform?,
            instance_id: InstanceId::from(instance_id?),
            region: Region::from(region?),
            failure_domain: FailureDomain::from(failure_domain?),
            log_level,
        })
    }
}

/// Checks a specification for the logger; remembers a problem if it is
/// malformed.
pub fn check_log_level(settings: &mut SettingsChecker, text: Option<&str>) -> String {
    let level = text.unwrap_or(LOG_LEVEL);
    if let Err(error) = LogSpecification::parse(level) {
        settings.add_problem("log-level", format!("{level:?} is not valid: {error}"));
    }
    level.to_owned()
}

fn name(settings: &mut SettingsChecker, flag: &'static str, text: Option<&str>) -> Option<String> {
    let name: String = settings.required(flag, text)?;
    if name.is_empty() {
        settings.add_problem(flag, "must not be empty".to_owned());
    }
    Some(name)
}
