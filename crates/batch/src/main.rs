//! `redwingtack-batch`: the batch program of an instance.

use std::{error::Error, process::ExitCode};

use batch::{Batch, BatchSettings};

const PROGRAM: &str = "redwingtack-batch";

fn main() -> ExitCode {
    let checked = batch::options().run().check();
    process::run_program(PROGRAM, checked, |settings| &settings.node.log_level, run)
}

#[tokio::main]
async fn run(settings: &BatchSettings) -> Result<(), Box<dyn Error>> {
    let (admin, shutdown) = process::init_program(settings.node.admin_listen)?;
    let batch = Batch::start(settings).await?;
    batch.wait_until_configured().await;
    admin.set_ready(true);
    log::info!(
        "event=ready program={PROGRAM} peer_listen={}",
        batch.peer_address()
    );
    shutdown.begun().await;
    admin.set_ready(false);
    batch.stop().await;
    Ok(())
}
