//! `redwingtack-batch`: runs items of batch jobs on one instance.

use std::process::ExitCode;

use batch::{Batch, BatchSettings};
use process::{AdminState, Shutdown};

const PROGRAM: &str = "redwingtack-batch";

fn main() -> ExitCode {
    let options = batch::options().run();
    let settings = match options.check() {
        Ok(settings) => settings,
        Err(problems) => process::exit_with_problems(PROGRAM, &problems),
    };
    let _logs = match process::init_logs(&settings.log_level) {
        Ok(logs) => logs,
        Err(error) => {
            let problem = process::SettingProblem {
                flag: "log-level",
                message: error.to_string(),
            };
            process::exit_with_problems(PROGRAM, &[problem])
        }
    };
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=exit error={}", process::quote(&error));
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: &BatchSettings) -> Result<(), Box<dyn std::error::Error>> {
    let admin = AdminState::new()?;
    let shutdown = Shutdown::new();
    let stopping = shutdown.clone();
    tokio::spawn(async move { process::wait_for_signal(&stopping).await });
    tokio::spawn(process::serve_admin(settings.admin_listen, admin.clone()));
    let batch = Batch::start(settings).await?;
    batch.configured().await;
    admin.set_ready(true);
    log::info!(
        "event=ready program={PROGRAM} peer_listen={}",
        batch.peer_address()
    );
    shutdown.stopped().await;
    admin.set_ready(false);
    batch.stop().await;
    Ok(())
}
