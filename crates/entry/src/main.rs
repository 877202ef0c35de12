//! `redwingtack-entry`: serves the callers' API on one instance.

use std::{error::Error, process::ExitCode};

use entry::{Entry, EntrySettings};

const PROGRAM: &str = "redwingtack-entry";

fn main() -> ExitCode {
    let checked = entry::options().run().check();
    process::run_program(PROGRAM, checked, |settings| &settings.node.log_level, run)
}

fn run(settings: &EntrySettings) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: &EntrySettings) -> Result<(), Box<dyn Error>> {
    let (admin, shutdown) = process::init_program(settings.node.admin_listen)?;
    let entry = Entry::start(settings, admin, &shutdown).await?;
    log::info!(
        "event=listening program={PROGRAM} listen={} peer_listen={}",
        entry.address(),
        entry.peer_address()
    );
    entry.run_until(&shutdown).await;
    Ok(())
}
