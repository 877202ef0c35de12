//! Settings that the entry, batch and control programs of an instance share.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use flexi_logger::LogSpecification;
use model::{FailureDomain, InstanceId, Region};

use crate::SettingsChecker;

const DEFAULT_LOG_LEVEL: &str = "info";

/// Footer of the help text of each program.
pub const HELP_FOOTER: &str = "Each flag can also be set through the environment variable shown next to it. Flags without a default are required.";

/// Checked settings that the programs of an instance share.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Address that peers of the fleet connect to.
    pub peer_listen: SocketAddr,
    /// Address of the admin endpoints for health checks and metrics.
    pub admin_listen: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Id of this instance, unique in the fleet.
    pub instance_id: InstanceId,
    /// Region of this instance.
    pub region: Region,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// Log specification of `flexi_logger`.
    pub log_level: String,
}

/// Unchecked values of the shared settings, from flags and environment
/// variables.
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

/// Returns the parser of the flags that the programs of an instance share.
#[must_use]
pub fn node_options() -> impl Parser<NodeOptions> {
    let peer_listen = long("peer-listen")
        .env("REDWINGTACK_PEER_LISTEN")
        .help("Listen for other programs of the fleet on this address, such as 10.0.0.7:7100")
        .argument("IP:PORT")
        .optional();
    let admin_listen = long("admin-listen")
        .env("REDWINGTACK_ADMIN_LISTEN")
        .help("Serve /healthz, /readyz and /metrics on this address")
        .argument("IP:PORT")
        .optional();
    let platform = long("platform")
        .env("REDWINGTACK_PLATFORM")
        .help("Connect to the platform's store at this address")
        .argument("IP:PORT")
        .optional();
    let instance_id = long("instance-id")
        .env("REDWINGTACK_INSTANCE_ID")
        .help("Set the name of this instance, which must be unique in the fleet")
        .argument("NAME")
        .optional();
    let region = long("region")
        .env("REDWINGTACK_REGION")
        .help("Set the region of this instance")
        .argument("NAME")
        .optional();
    let failure_domain = long("failure-domain")
        .env("REDWINGTACK_FAILURE_DOMAIN")
        .help("Set the failure domain of this instance, such as lima-a")
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

/// Returns the parser of `--log-level`.
#[must_use]
pub fn log_level_option() -> impl Parser<Option<String>> {
    long("log-level")
        .env("REDWINGTACK_LOG_LEVEL")
        .help("Log at this level: error, warn, info, debug or trace [default: info]")
        .argument("LEVEL")
        .optional()
}

/// Returns the parser of `--control`, the peer address of the control program
/// on the same instance.
#[must_use]
pub fn control_option() -> impl Parser<Option<String>> {
    long("control")
        .env("REDWINGTACK_CONTROL")
        .help("Connect to the control program of this instance at this peer address")
        .argument("IP:PORT")
        .optional()
}

impl NodeOptions {
    /// Checks all settings. Returns `None` if one is missing or malformed, after
    /// adding the problems to `checker`.
    #[must_use]
    pub fn check(&self, checker: &mut SettingsChecker) -> Option<NodeSettings> {
        let peer_listen = checker.address("peer-listen", self.peer_listen.as_deref());
        let admin_listen = checker.address("admin-listen", self.admin_listen.as_deref());
        let platform = checker.address("platform", self.platform.as_deref());
        let instance_id = parse_non_empty(checker, "instance-id", self.instance_id.as_deref());
        let region = parse_non_empty(checker, "region", self.region.as_deref());
        let failure_domain =
            parse_non_empty(checker, "failure-domain", self.failure_domain.as_deref());
        let log_level = check_log_level(checker, self.log_level.as_deref());
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

/// Returns the log specification to use, which is `info` if `text` is `None`.
/// Adds a problem to `checker` if the specification is malformed.
pub fn check_log_level(checker: &mut SettingsChecker, text: Option<&str>) -> String {
    let level = text.unwrap_or(DEFAULT_LOG_LEVEL);
    if let Err(error) = LogSpecification::parse(level) {
        checker.add_problem("log-level", format!("{level:?} is not valid: {error}"));
    }
    level.to_owned()
}

/// Parses a required value that must not be empty. Returns `None` if the value
/// is absent. Adds a problem to `checker` if the value is absent or empty.
fn parse_non_empty(
    checker: &mut SettingsChecker,
    flag: &'static str,
    text: Option<&str>,
) -> Option<String> {
    let value: String = checker.required(flag, text)?;
    if value.is_empty() {
        checker.add_problem(flag, "must not be empty".to_owned());
    }
    Some(value)
}
