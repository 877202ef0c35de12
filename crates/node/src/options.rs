//! Command-line options.

use bpaf::{Parser, construct, long};

const DEFAULT_LOG_LEVEL: &str = "info";

/// Command-line options. All other settings come from the platform's settings
/// file.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Least severe level that is logged, such as `info` or `debug`.
    pub(crate) log_level: String,
    /// Port on which metrics are served, at the IP address for callers. `None` disables
    /// the metrics endpoint.
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
            .help("Log at this level: error, warn, info, debug or trace [default: info]")
            .argument("LEVEL")
            .fallback(DEFAULT_LOG_LEVEL.to_owned());
        let check_settings = long("check-settings")
            .help("Check the settings file at REDWINGTACK_CONFIG and exit [default: /etc/redwingtack/local.json]")
            .switch();
        let metrics_port = long("metrics-port")
            .env("REDWINGTACK_METRICS_PORT")
            .help("Serve /metrics on this port of the address that serves callers [default: not served]")
            .argument("PORT")
            .optional();
        construct!(Options {
            log_level,
            metrics_port,
            check_settings,
        })
        .to_options()
        .descr("Serve online requests and batch jobs on one instance of the platform")
        .version(env!("CARGO_PKG_VERSION"))
        .run()
    }
}
