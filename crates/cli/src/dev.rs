//! `redwingtack dev`: a whole fleet in one process, for trying out the system.

mod config;
mod fleet;

use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    process::ExitCode,
};

use bpaf::{OptionParser, Parser, construct, long};
use process::{SettingsChecker, Shutdown};

use self::fleet::DevFleet;

const PROGRAM: &str = "redwingtack dev";
const DEFAULT_PORT: u16 = 8080;
const DEFAULT_LOG_LEVEL: &str = "warn";

/// Unchecked settings of `redwingtack dev`.
#[derive(Debug, Clone)]
pub struct DevOptions {
    listen: Option<String>,
    log_level: Option<String>,
}

/// Returns the parser of the subcommand's options.
pub fn options() -> OptionParser<DevOptions> {
    let listen = long("listen")
        .env("REDWINGTACK_LISTEN")
        .help("Serve callers on this address [default: 127.0.0.1:8080]")
        .argument("IP:PORT")
        .optional();
    let log_level = long("log-level")
        .env("REDWINGTACK_LOG_LEVEL")
        .help("Log at this level: error, warn, info, debug or trace [default: warn]")
        .argument("LEVEL")
        .optional();
    construct!(DevOptions { listen, log_level })
        .to_options()
        .descr("Run a whole fleet in one process, with stand-ins for upstreams and platform")
}

/// Runs a fleet until SIGINT or SIGTERM and returns the exit code.
pub fn run(options: &DevOptions) -> ExitCode {
    let mut checker = SettingsChecker::new();
    let default_listen = SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT));
    let listen = checker.or_default("listen", options.listen.as_deref(), default_listen);
    let level = options.log_level.as_deref().unwrap_or(DEFAULT_LOG_LEVEL);
    let level = process::check_log_level(&mut checker, Some(level));
    let validated = checker.finish(Some((listen, level)));
    process::run_program(
        PROGRAM,
        validated,
        |settings| &settings.1,
        |settings| serve(settings.0),
    )
}

#[tokio::main]
async fn serve(listen: SocketAddr) -> Result<(), Box<dyn Error>> {
    let shutdown = Shutdown::new();
    process::begin_shutdown_on_signal(&shutdown)?;
    let fleet = DevFleet::start(listen, &shutdown).await?;
    fleet.print_addresses();
    fleet.wait_until_ready().await?;
    println!("ready: http://{}/v1", fleet.callers_address());
    fleet.run_until(&shutdown).await;
    println!("stopped");
    Ok(())
}
