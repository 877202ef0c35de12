//! `redwingtack-control`: serves the fleet view, the configuration and the
//! operators' API on one instance.

use std::{error::Error, process::ExitCode};

use control::{Control, ControlSettings};

const PROGRAM: &str = "redwingtack-control";

fn main() -> ExitCode {
    let checked = control::options().run().check();
    process::run_program(PROGRAM, checked, |settings| &settings.node.log_level, run)
}

#[tokio::main]
async fn run(settings: &ControlSettings) -> Result<(), Box<dyn Error>> {
    let (admin, shutdown) = process::init_program(settings.node.admin_listen)?;
    let control = Control::start(settings, admin).await?;
    log::info!(
        "event=listening program={PROGRAM} listen={} peer_listen={}",
        control.listen_address(),
        control.peer_address()
    );
    control.run_until(&shutdown).await;
    Ok(())
}
