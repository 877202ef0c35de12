//! Settings of the control program, read from flags and environment variables.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use process::{
    HELP_FOOTER, NodeOptions, NodeSettings, SettingProblem, SettingsChecker, node_options,
};

/// Checked settings of the control program.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Settings that all programs of an instance share.
    pub node: NodeSettings,
    /// Address of the operators' API.
    pub listen: SocketAddr,
    /// Peer addresses of other control programs, which this program contacts at
    /// startup even if the platform's instance list cannot be read.
    pub seeds: Vec<SocketAddr>,
}

/// Unchecked settings, as given by flags and environment variables.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    node: NodeOptions,
    listen: Option<String>,
    seeds: Option<String>,
}

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<ControlOptions> {
    let node = node_options();
    let listen = long("listen")
        .env("REDWINGTACK_LISTEN")
        .help("Listen for operators on this address, such as 10.0.0.7:7200")
        .argument("IP:PORT")
        .optional();
    let seeds = long("seeds")
        .env("REDWINGTACK_SEEDS")
        .help(
            "Contact these control programs at startup, so that the node can start while the platform is down [default: none]",
        )
        .argument("IP:PORT,IP:PORT")
        .optional();
    construct!(ControlOptions {
        node,
        listen,
        seeds,
    })
    .to_options()
    .descr("Maintain the fleet view on one instance and serve the operators' API")
    .footer(HELP_FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

impl ControlOptions {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns all problems found, not only the first.
    pub fn check(&self) -> Result<ControlSettings, Vec<SettingProblem>> {
        let mut checker = SettingsChecker::new();
        let node = self.node.check(&mut checker);
        let listen = checker.address("listen", self.listen.as_deref());
        let seeds = parse_seeds(&mut checker, self.seeds.as_deref());
        let validated = || {
            Some(ControlSettings {
                node: node?,
                listen: listen?,
                seeds,
            })
        };
        let validated = validated();
        checker.finish(validated)
    }
}

fn parse_seeds(checker: &mut SettingsChecker, list: Option<&str>) -> Vec<SocketAddr> {
    let list = list.unwrap_or_default();
    list.split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty())
        .filter_map(|seed| checker.address("seeds", Some(seed)))
        .collect()
}
