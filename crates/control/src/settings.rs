//! Settings of a control program: flags, environment variables and checks.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use model::{FailureDomain, InstanceId, Region};
use process::{SettingProblem, Settings};

/// Checked settings of a control program.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Address for operators.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Address for health checks and metrics.
    pub admin_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses of other control programs, for when the platform's list
    /// cannot be read.
    pub seeds: Vec<SocketAddr>,
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
pub struct ControlOptions {
    listen: Option<String>,
    peer_listen: Option<String>,
    admin_listen: Option<String>,
    platform: Option<String>,
    seeds: Option<String>,
    instance_id: Option<String>,
    region: Option<String>,
    failure_domain: Option<String>,
    log_level: Option<String>,
}

/// Parser of the command line.
#[must_use]
pub fn options() -> OptionParser<ControlOptions> {
    let listen = long("listen")
        .env("REDWINGTACK_LISTEN")
        .help("Address that operators reach, such as 10.0.0.7:7200")
        .argument("IP:PORT")
        .optional();
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
        .help("Address of the platform's table, object store and instance list")
        .argument("IP:PORT")
        .optional();
    let seeds = long("seeds")
        .env("REDWINGTACK_SEEDS")
        .help(
            "Peer addresses of some other control programs, for a start while the platform is down",
        )
        .argument("IP:PORT,IP:PORT")
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
    let log_level = long("log-level")
        .env("REDWINGTACK_LOG_LEVEL")
        .help("error, warn, info, debug or trace; info unless set")
        .argument("LEVEL")
        .optional();
    construct!(ControlOptions {
        listen,
        peer_listen,
        admin_listen,
        platform,
        seeds,
        instance_id,
        region,
        failure_domain,
        log_level,
    })
    .to_options()
    .descr("Keeps the view of the fleet on one instance and serves operators.")
    .footer("Every flag can also be set by the environment variable shown beside it.")
    .version(env!("CARGO_PKG_VERSION"))
}

impl ControlOptions {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn check(&self) -> Result<ControlSettings, Vec<SettingProblem>> {
        let mut settings = Settings::new();
        let listen = settings.address("listen", self.listen.as_deref());
        let peer_listen = settings.address("peer-listen", self.peer_listen.as_deref());
        let admin_listen = settings.address("admin-listen", self.admin_listen.as_deref());
        let platform = settings.address("platform", self.platform.as_deref());
        let seeds = parse_seeds(&mut settings, self.seeds.as_deref());
        let instance_id = name(&mut settings, "instance-id", self.instance_id.as_deref());
        let region = name(&mut settings, "region", self.region.as_deref());
        let failure_domain = name(
            &mut settings,
            "failure-domain",
            self.failure_domain.as_deref(),
        );
        let checked = || {
            Some(ControlSettings {
                listen: listen?,
                peer_listen: peer_listen?,
                admin_listen: admin_listen?,
                platform: platform?,
                seeds,
                instance_id: InstanceId::from(instance_id?),
                region: Region::from(region?),
                failure_domain: FailureDomain::from(failure_domain?),
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

fn parse_seeds(settings: &mut Settings, text: Option<&str>) -> Vec<SocketAddr> {
    let text = text.unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty())
        .filter_map(|seed| settings.address("seeds", Some(seed)))
        .collect()
}

fn name(settings: &mut Settings, flag: &'static str, text: Option<&str>) -> Option<String> {
    let name: String = settings.required(flag, text)?;
    if name.is_empty() {
        settings.push(flag, "must not be empty".to_owned());
    }
    Some(name)
}
