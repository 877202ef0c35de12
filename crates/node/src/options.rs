//! Command-line options.

use bpaf::{Parser, construct, long};

const DEFAULT_LOG_LEVEL: &str = "info";

/// Command-line options. All other settings come from the platform's settings
/// file.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Log filter, such as `info` or `debug`.
    pub(crate) log_level: String,
    /// Port at which metrics are served, on the address for callers. `None`
    /// disables them.
    pub(crate) metrics_port: Option<u16>,
    /// Whether to only check the settings file and exit.
    pub(crate) check_settings: bool,
}

impl Options {
    /// Parses the command line. Exits the process after `--help` or `--version`
    /// and if an option is invalid.
    pub(crate) fn parse() -> Self {
        let log_level = long("log-level")
            .env("REDWINGTACK_LOG_LEVEL")
            .help("Least severe log level, such as info or debug")
            .argument("LEVEL")
            .fallback(DEFAULT_LOG_LEVEL.to_owned());
        let check_settings = long("check-settings")
            .help("Check the settings file that REDWINGTACK_CONFIG names and exit")
            .switch();
        let metrics_port = long("metrics-port")
            .env("REDWINGTACK_METRICS_PORT")
            .help("Port of /metrics, at the address for callers")
            .argument("PORT")
            .optional();
        construct!(Options {
            log_level,
            metrics_port,
            check_settings,
        })
        .to_options()
        .descr("Serves callers and jobs of one instance on the users' platform")
        .version(env!("CARGO_PKG_VERSION"))
        .run()
    }
}
