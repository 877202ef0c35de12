//! Operators' commands on classes, the configuration, jobs, upstreams, instances
//! and the audit trail. Each calls the operators' API of a control program.

mod client;
mod exit;
mod options;
mod output;

use std::{fs, path::Path, process::ExitCode, time::Duration};

use hyper::Method;
use model::parse_config;
use process::SettingsChecker;
use serde_json::Value;

pub use self::options::{OperatorCommand, commands};
use self::{
    client::{Call, CallError, Client},
    exit::Exit,
    options::{Action, Apply, CommonOptions},
};

const PROGRAM: &str = "redwingtack";
/// Maximum time that `--wait` waits until a version is in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two requests for the configuration status while waiting.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a command and returns its exit code. Ends the process with exit code 2 if
/// the address of the control program is missing or malformed.
pub fn run(command: &OperatorCommand) -> ExitCode {
    let mut checker = SettingsChecker::new();
    let address = checker.address("control", command.common.control.as_deref());
    let problems = checker.into_problems();
    let Some(address) = address.filter(|_| problems.is_empty()) else {
        process::exit_with_problems(PROGRAM, &problems);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let exit = match runtime {
        Ok(runtime) => runtime.block_on(execute(command, &Client::new(address))),
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            Exit::Failed
        }
    };
    exit.into()
}

async fn execute(command: &OperatorCommand, client: &Client) -> Exit {
    let common = &command.common;
    match &command.action {
        Action::Apply(apply) => apply_classes(apply, common, client).await,
        Action::ShowClasses => show(client, common, "/v1/config", output::classes).await,
        Action::ConfigStatus => config_status(common, client).await,
        Action::Jobs { limit } => {
            let path = format!("/v1/jobs?limit={limit}");
            show(client, common, &path, output::jobs).await
        }
        Action::Job { id } => {
            let path = format!("/v1/jobs/{id}");
            show(client, common, &path, output::job).await
        }
        Action::Upstreams => show(client, common, "/v1/upstreams", output::upstreams).await,
        Action::Instances => show(client, common, "/v1/instances", output::instances).await,
        Action::Audit { limit } => {
            let path = format!("/v1/audit?limit={limit}");
            show(client, common, &path, output::audit).await
        }
    }
}

/// Fetches the resource at `path` and prints it as text that `format` creates, or
/// as JSON if requested.
async fn show(
    client: &Client,
    common: &CommonOptions,
    path: &str,
    format: fn(&Value) -> String,
) -> Exit {
    match client.call(Call::new(Method::GET, path)).await {
        Ok(body) => {
            print_body(common, &body, format);
            Exit::Done
        }
        Err(error) => report_error(common, &error),
    }
}

async fn apply_classes(apply: &Apply, common: &CommonOptions, client: &Client) -> Exit {
    let text = match read_config(&apply.file) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let replaces = match apply.replaces {
        Some(version) => version,
        None => match client.call(Call::new(Method::GET, "/v1/config")).await {
            Ok(config) => config["version"].as_u64().unwrap_or(0),
            Err(error) => return report_error(common, &error),
        },
    };
    let path = format!("/v1/config?replaces={replaces}");
    let call = Call::new(Method::PUT, &path)
        .with_body(text)
        .with_operator(common.operator())
        .with_idempotency_key();
    let applied = match client.call_with_retries(call).await {
        Ok(applied) => applied,
        Err(error) => return report_error(common, &error),
    };
    if !apply.should_wait {
        print_body(common, &applied, output::applied);
        return Exit::Done;
    }
    let version = applied["version"].as_u64().unwrap_or(0);
    wait_in_force(version, common, client).await
}

/// Waits until all nodes have confirmed `version` or a newer one and all regions
/// can be reached, but at most [`IN_FORCE_TIMEOUT`]. Prints the last status.
async fn wait_in_force(version: u64, common: &CommonOptions, client: &Client) -> Exit {
    let deadline = tokio::time::Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let call = Call::new(Method::GET, "/v1/config/status");
        let status = match client.call(call).await {
            Ok(status) => status,
            Err(error) => return report_error(common, &error),
        };
        let has_timed_out = tokio::time::Instant::now() >= deadline;
        let is_in_force = status["version"].as_u64() >= Some(version) && is_confirmed(&status);
        if is_in_force || has_timed_out {
            print_body(common, &status, output::config_status);
            return confirmed_exit(is_in_force);
        }
        tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

async fn config_status(common: &CommonOptions, client: &Client) -> Exit {
    let call = Call::new(Method::GET, "/v1/config/status");
    match client.call(call).await {
        Ok(status) => {
            print_body(common, &status, output::config_status);
            confirmed_exit(is_confirmed(&status))
        }
        Err(error) => report_error(common, &error),
    }
}

/// Returns whether all nodes have confirmed the current version and all regions
/// can be reached.
fn is_confirmed(status: &Value) -> bool {
    let regions = status["unreachable_regions"].as_array();
    status["confirmed"] == status["total"] && regions.is_none_or(Vec::is_empty)
}

fn confirmed_exit(is_confirmed: bool) -> Exit {
    if is_confirmed {
        Exit::Done
    } else {
        Exit::NotInForce
    }
}

/// Reads and checks a configuration document. The control program checks it as
/// well, but a check here reports mistakes with the name of the file, and also
/// while no control program can be reached.
fn read_config(file: &Path) -> Result<String, Exit> {
    let text = fs::read_to_string(file).map_err(|error| {
        eprintln!("{PROGRAM}: {}: {error}", file.display());
        Exit::InvalidInput
    })?;
    match parse_config(&text) {
        Ok(_) => Ok(text),
        Err(problems) => {
            for problem in problems {
                eprintln!("{}:{}: {}", file.display(), problem.line, problem.message);
            }
            Err(Exit::InvalidInput)
        }
    }
}

/// Prints a response body as text that `format` creates, or as JSON if requested.
fn print_body(common: &CommonOptions, body: &Value, format: fn(&Value) -> String) {
    if common.is_json {
        println!("{body}");
    } else {
        print!("{}", format(body));
    }
}

/// Prints an error and returns the exit that reports it.
fn report_error(common: &CommonOptions, error: &CallError) -> Exit {
    match error {
        CallError::Refused { body } if common.is_json => println!("{body}"),
        CallError::Refused { body } => eprint!("{}", output::refusal(body)),
        CallError::Unreachable(_) | CallError::Lost(_) | CallError::Malformed(_) => {
            eprintln!("{PROGRAM}: {error}");
        }
    }
    Exit::from_error(error)
}
