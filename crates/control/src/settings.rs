//! Settings of a control program: flags, environment variables and checks.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use process::{
    HELP_FOOTER, NodeOptions, NodeSettings, SettingProblem, SettingsChecker, node_options,
};

/// Checked settings of a control program.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Settings that all programs of an instance share.
    pub node: NodeSettings,
    /// Address for operators.
    pub listen: SocketAddr,
    /// Peer addresses of other control programs, for when the platform's list
    /// cannot be read.
    pub seeds: Vec<SocketAddr>,
}

/// Unchecked settings, as flags and environment variables give them.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    node: NodeOptions,
    listen: Option<String>,
    seeds: Option<String>,
}

/// Parser of the command line.
#[must_use]
pub fn options() -> OptionParser<ControlOptions> {
    let node = node_options();
    let listen = long("listen")
        .env("REDWINGTACK_LISTEN")
        .help("Address that operators reach, such as 10.0.0.7:7200")
        .argument("IP:PORT")
        .optional();
    let seeds = long("seeds")
        .env("REDWINGTACK_SEEDS")
        .help(
            "Peer addresses of some other control programs, for a start while the platform is down",
        )
        .argument("IP:PORT,IP:PORT")
        .optional();
    construct!(ControlOptions {
        node,
        listen,
        seeds,
    })
    .to_options()
    .descr("Keeps the view of the fleet on one instance and serves operators.")
    .footer(HELP_FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

impl ControlOptions {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn check(&self) -> Result<ControlSettings, Vec<SettingProblem>> {
        let mut settings = SettingsChecker::new();
        let node = self.node.check(&mut settings);
        let listen = settings.address("listen", self.listen.as_deref());
        let seeds = parse_seeds(&mut settings, self.seeds.as_deref());
        let checked = || {
            Some(ControlSettings {
                node: node?,
                listen: listen?,
                seeds,
            })
        };
        let checked = checked();
        settings.finish(checked)
    }
}

fn parse_seeds(settings: &mut SettingsChecker, text: Option<&str>) -> Vec<SocketAddr> {
    let text = text.unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty())
        .filter_map(|seed| settings.address("seeds", Some(seed)))
        .collect()
}
