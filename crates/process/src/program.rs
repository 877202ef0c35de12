//! Start and end of a program: settings, logs, signals and exit codes.

use std::{error::Error, process::ExitCode};

use crate::{AdminState, SettingProblem, Shutdown, exit_with_problems, init_logs, quote};

/// Starts logging and calls `run`. Returns the exit code of a success or a
/// failure according to the result of `run`, and logs its error. Ends the
/// process with exit code 2 if `checked` contains problems or the log level is
/// invalid.
pub fn run_program<S>(
    program: &str,
    checked: Result<S, Vec<SettingProblem>>,
    log_level: fn(&S) -> &str,
    run: fn(&S) -> Result<(), Box<dyn Error>>,
) -> ExitCode {
    let settings = match checked {
        Ok(settings) => settings,
        Err(problems) => exit_with_problems(program, &problems),
    };
    let _logs = match init_logs(log_level(&settings)) {
        Ok(logs) => logs,
        Err(error) => {
            let problem = SettingProblem {
                flag: "log-level",
                message: error.to_string(),
            };
            exit_with_problems(program, &[problem])
        }
    };
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=exit program={program} error={}", quote(&error));
            ExitCode::FAILURE
        }
    }
}

/// Starts to serve the admin endpoints at `admin_listen`, and begins the returned
/// shutdown at the first SIGTERM or SIGINT. Must be called within a Tokio
/// runtime.
///
/// # Errors
///
/// Returns an error if the metrics exporter cannot be built or the signal
/// handlers cannot be installed.
pub fn init_program(
    admin_listen: std::net::SocketAddr,
) -> Result<(AdminState, Shutdown), Box<dyn Error>> {
    let admin = AdminState::new()?;
    let shutdown = Shutdown::new();
    crate::begin_shutdown_on_signal(&shutdown)?;
    tokio::spawn(crate::serve_admin(admin_listen, admin.clone()));
    Ok((admin, shutdown))
}
