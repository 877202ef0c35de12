//! `redwingtack-entry`: the callers' API on one instance.

use std::process::ExitCode;

use entry::{Entry, EntrySettings};
use process::{AdminState, Shutdown};

const PROGRAM: &str = "redwingtack-entry";

fn main() -> ExitCode {
    let options = entry::options().run();
    let settings = match options.check() {
        Ok(settings) => settings,
        Err(problems) => process::exit_with_problems(PROGRAM, &problems),
    };
    let _logs = process::init_logs(&settings.log_level).ok();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(&settings)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=exit error={}", process::quote(&error));
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: &EntrySettings) -> Result<(), Box<dyn std::error::Error>> {
    let admin = AdminState::new()?;
    let shutdown = Shutdown::new();
    let stopping = shutdown.clone();
    tokio::spawn(async move { process::wait_for_signal(&stopping).await });
    tokio::spawn(process::serve_admin(settings.admin_listen, admin.clone()));
    let entry = Entry::start(settings, admin, &shutdown).await?;
    log::info!(
        "event=listening program={PROGRAM} listen={} peer_listen={}",
        entry.address(),
        entry.peer_address()
    );
    entry.run_until(&shutdown).await;
    Ok(())
}
