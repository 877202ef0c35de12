//! `redwingtack dev`: the whole path in one process, for a first try.

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
const PORT: u16 = 8080;
const LOG_LEVEL: &str = "warn";

/// Unchecked settings of `redwingtack dev`.
#[derive(Debug, Clone)]
pub struct DevOptions {
    listen: Option<String>,
    log_level: Option<String>,
}

/// Parser of the subcommand.
pub fn options() -> OptionParser<DevOptions> {
    let listen = long("listen")
        .env("REDWINGTACK_LISTEN")
        .help("Address that callers reach; 127.0.0.1:8080 unless set")
        .argument("IP:PORT")
        .optional();
    let log_level = long("log-level")
        .env("REDWINGTACK_LOG_LEVEL")
        .help("error, warn, info, debug or trace; warn unless set")
        .argument("LEVEL")
        .optional();
    construct!(DevOptions { listen, log_level })
        .to_options()
        .descr("Runs the whole path in one process on built-in stand-ins.")
}

/// Runs until SIGINT or SIGTERM.
pub fn run(options: &DevOptions) -> ExitCode {
    let mut settings = SettingsChecker::new();
    let default = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT));
    let listen = settings.or_default("listen", options.listen.as_deref(), default);
    let level = options.log_level.as_deref().unwrap_or(LOG_LEVEL);
    let level = process::check_log_level(&mut settings, Some(level));
    let checked = settings.finish(Some((listen, level)));
    process::run_program(
        PROGRAM,
        checked,
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
    fleet.ready().await?;
    println!("ready: http://{}/v1", fleet.address());
    fleet.run_until(&shutdown).await;
    println!("stopped");
    Ok(())
}
