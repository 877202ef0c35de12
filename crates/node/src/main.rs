//! `redwingtack-node`: the process that runs on every instance of the users'
//! platform.
//!
//! This crate exists to do the I/O of an instance: it forwards callers' requests to
//! upstreams, stores batch jobs and runs their items. The crates `gateway` and
//! `ledger` make the decisions without I/O; the crate `platform` holds the protocols
//! and formats of the users' platform. All tasks run on one thread.
//!
//! Terms:
//! - An instance is one machine of the fleet and the process on it; the other
//!   instances are its peers.
//! - An upstream is a model server that is registered in the store. Each request in
//!   flight there holds one of its slots.
//! - An answer is an HTTP response, either of an upstream or to a caller.
//! - A batch job consists of items. One instance at a time is the owner of the job
//!   and runs the items; each run sends one item to an upstream.
//! - The store is the platform's store of tables. A feed delivers the changes of one
//!   table.
//!
//! Begin reading at [`node::Node`], the shared state, and [`dispatch::serve`], the
//! handler of callers' requests. The module `feeds` follows the store, `jobs` runs
//! batch jobs, and `proxied_attempt` and `proxy_listener` are the two sides of an
//! attempt that a peer makes.

mod answer;
mod attempt;
mod body_memory;
mod caller_connections;
mod caller_stream;
mod clock;
mod codec;
mod config_feed;
mod connection_pool;
mod crash_detection;
mod customers;
mod datagrams;
mod dispatch;
mod empty_answers;
mod end_to_end_headers;
mod exchange;
mod feeds;
mod forward;
mod frame_reader;
mod freshness_check;
mod heartbeats;
mod identity_checks;
mod jobs;
mod listener;
mod load_notices;
mod metrics;
mod no_answer;
mod node;
mod options;
mod origin_exchange;
mod path_probes;
mod peer_connections;
mod proxied_attempt;
mod proxy_listener;
mod proxy_message;
mod quarantine;
mod quota_metrics;
mod quotas;
mod rate_limits;
mod read_limit;
mod record_holders;
mod registrations;
mod relay;
mod shutdown;
mod stop_admission;
mod store_calls;
mod stream_versions;
mod upstream_connections;
mod version_lists;
mod where_query;

use std::{io, net::SocketAddr, process::ExitCode, rc::Rc};

use process::AdminState;
use tokio::{
    runtime::{Builder, Runtime},
    task::{LocalSet, spawn_local},
};

use crate::{node::Node, options::Options, shutdown::Signals};

const PROGRAM: &str = "redwingtack-node";
/// Exit code if the settings or the log level are invalid.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = Options::parse();
    let (runtime, signals) = match start_runtime() {
        Ok(started) => started,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match platform::read_settings() {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{PROGRAM}: {} settings are wrong:", problems.len());
            for problem in problems {
                eprintln!("  {problem}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check_settings {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let logs = match process::init_nonblocking_logs(&options.log_level) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("{PROGRAM}: --log-level: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, run(settings, options.metrics_port, signals));
    if let Err(error) = &result {
        log::error!("event=exit error={}", process::quote(error));
    }
    // Answers in progress log that they are cut.
    drop(tasks);
    logs.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// Creates the runtime and installs the signal handlers.
fn start_runtime() -> io::Result<(Runtime, Signals)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let context = runtime.enter();
    let signals = Signals::new()?;
    drop(context);
    Ok((runtime, signals))
}

/// Starts all tasks and returns after a planned stop.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened.
async fn run(
    settings: platform::Settings,
    metrics_port: Option<u16>,
    signals: Signals,
) -> Result<(), Box<dyn std::error::Error>> {
    let admin = AdminState::new()?;
    let node = Rc::new(Node::new(settings));
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(node.settings().front_listen.ip(), port);
        spawn_local(metrics::serve(Rc::clone(&node), address, admin));
    }
    log::info!(
        "event=started instance={} region={} store={}",
        node.owner_id.instance,
        node.settings().region,
        node.settings().store_address
    );
    listener::start(&node).await?;
    load_notices::start(&node).await?;
    origin_exchange::start(&node).await?;
    quotas::start(&node).await?;
    proxy_listener::start(&node).await?;
    spawn_local(path_probes::run(Rc::clone(&node)));
    spawn_local(rate_limits::run(Rc::clone(&node)));
    feeds::start(&node);
    jobs::start(&node);
    shutdown::run_until_stopped(&node, signals).await;
    Ok(())
}
