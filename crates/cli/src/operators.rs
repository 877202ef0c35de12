//! Operators' commands: classes, configuration, jobs, upstreams, audit trail.

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
    options::{Apply, Connection, Verb},
};

const PROGRAM: &str = "redwingtack";
/// Time that `--wait` gives a version to come into force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks at who has a version in force.
const IN_FORCE_POLL: Duration = Duration::from_millis(200);

/// Runs one command and returns its exit code.
pub fn run(command: &OperatorCommand) -> ExitCode {
    let mut settings = SettingsChecker::new();
    let address = settings.address("control", command.connection.control.as_deref());
    let problems = settings.into_problems();
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
    let connection = &command.connection;
    match &command.verb {
        Verb::Apply(apply) => apply_classes(apply, connection, client).await,
        Verb::ShowClasses => look(client, connection, "/v1/config", output::classes).await,
        Verb::ConfigStatus => config_status(connection, client).await,
        Verb::Jobs { limit } => {
            let path = format!("/v1/jobs?limit={limit}");
            look(client, connection, &path, output::jobs).await
        }
        Verb::Job { id } => {
            let path = format!("/v1/jobs/{id}");
            look(client, connection, &path, output::job).await
        }
        Verb::Upstreams => look(client, connection, "/v1/upstreams", output::upstreams).await,
        Verb::Instances => look(client, connection, "/v1/instances", output::instances).await,
        Verb::Audit { limit } => {
            let path = format!("/v1/audit?limit={limit}");
            look(client, connection, &path, output::audit).await
        }
    }
}

/// Fetches something and prints it.
async fn look(
    client: &Client,
    connection: &Connection,
    path: &str,
    print: fn(&Value) -> String,
) -> Exit {
    match client.call(Call::new(Method::GET, path)).await {
        Ok(body) => {
            show(connection, &body, print);
            Exit::Done
        }
        Err(error) => report(connection, &error),
    }
}

async fn apply_classes(apply: &Apply, connection: &Connection, client: &Client) -> Exit {
    let text = match read_document(&apply.file) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let replaces = match apply.replaces {
        Some(version) => version,
        None => match client.call(Call::new(Method::GET, "/v1/config")).await {
            Ok(config) => config["version"].as_u64().unwrap_or(0),
            Err(error) => return report(connection, &error),
        },
    };
    let path = format!("/v1/config?replaces={replaces}");
    let call = Call::new(Method::PUT, &path)
        .with_body(text)
        .with_operator(connection.operator())
        .with_fresh_key();
    let applied = match client.call_until_answered(call).await {
        Ok(applied) => applied,
        Err(error) => return report(connection, &error),
    };
    if !apply.wait {
        show(connection, &applied, output::applied);
        return Exit::Done;
    }
    let version = applied["version"].as_u64().unwrap_or(0);
    wait_in_force(version, connection, client).await
}

/// Waits until every node that can be asked has `version` in force.
async fn wait_in_force(version: u64, connection: &Connection, client: &Client) -> Exit {
    let give_up_at = tokio::time::Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let call = Call::new(Method::GET, "/v1/config/status");
        let status = match client.call(call).await {
            Ok(status) => status,
            Err(error) => return report(connection, &error),
        };
        let is_over = tokio::time::Instant::now() >= give_up_at;
        let is_in_force = status["version"].as_u64() >= Some(version) && is_confirmed(&status);
        if is_in_force || is_over {
            show(connection, &status, output::config_status);
            return confirmed_exit(is_in_force);
        }
        tokio::time::sleep(IN_FORCE_POLL).await;
    }
}

async fn config_status(connection: &Connection, client: &Client) -> Exit {
    let call = Call::new(Method::GET, "/v1/config/status");
    match client.call(call).await {
        Ok(status) => {
            show(connection, &status, output::config_status);
            confirmed_exit(is_confirmed(&status))
        }
        Err(error) => report(connection, &error),
    }
}

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

/// Reads and checks the document here too, so that mistakes show with the name
/// of the file even while no control program can be reached.
fn read_document(file: &Path) -> Result<String, Exit> {
    let text = fs::read_to_string(file).map_err(|error| {
        eprintln!("{PROGRAM}: {}: {error}", file.display());
        Exit::WrongInput
    })?;
    match parse_config(&text) {
        Ok(_) => Ok(text),
        Err(problems) => {
            for problem in problems {
                eprintln!("{}:{}: {}", file.display(), problem.line, problem.message);
            }
            Err(Exit::WrongInput)
        }
    }
}

fn show(connection: &Connection, body: &Value, print: fn(&Value) -> String) {
    if connection.json {
        println!("{body}");
    } else {
        print!("{}", print(body));
    }
}

fn report(connection: &Connection, error: &CallError) -> Exit {
    match error {
        CallError::Refused { body } if connection.json => println!("{body}"),
        CallError::Refused { body } => eprint!("{}", output::refusal(body)),
        CallError::Unreachable(_) | CallError::Lost(_) | CallError::Malformed(_) => {
            eprintln!("{PROGRAM}: {error}");
        }
    }
    Exit::of(error)
}
