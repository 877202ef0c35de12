//! Command line of the program: help, version, and a report of all invalid
//! settings.

use std::process::{Command, Output};

fn run_entry(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_redwingtack-entry"));
    let output = command
        .args(arguments)
        .env_clear()
        .envs(variables.iter().copied())
        .output();
    output.expect("the entry starts")
}

fn lossy_string(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn settings_help_names_every_flag() {
    let output = run_entry(&["--help"], &[]);
    assert_eq!(output.status.code(), Some(0));
    let help = lossy_string(&output.stdout);
    let flags = [
        "--listen",
        "--peer-listen",
        "--admin-listen",
        "--control",
        "--platform",
        "--instance-id",
        "--region",
        "--failure-domain",
        "--log-level",
        "--drain-ms",
        "--body-limit-bytes",
        "--worker-threads",
        "--version",
    ];
    for flag in flags {
        assert!(help.contains(flag), "{flag} is missing in:\n{help}");
    }
    assert!(help.contains("REDWINGTACK_PEER_LISTEN"), "{help}");
}

#[test]
fn settings_version_is_printed() {
    let output = run_entry(&["--version"], &[]);
    assert_eq!(output.status.code(), Some(0));
    assert!(lossy_string(&output.stdout).contains(env!("CARGO_PKG_VERSION")));
}

#[test]
fn settings_all_problems_are_reported_at_once() {
    let arguments = [
        "--listen",
        "localhost:80",
        "--drain-ms",
        "soon",
        "--worker-threads",
        "0",
        "--region",
        "",
        "--log-level",
        "info,x=loudly",
    ];
    let variables = [("REDWINGTACK_CONTROL", "nowhere")];
    let output = run_entry(&arguments, &variables);
    assert_eq!(output.status.code(), Some(2));
    let report = lossy_string(&output.stderr);
    let expected = [
        "--listen (REDWINGTACK_LISTEN)",
        "--peer-listen (REDWINGTACK_PEER_LISTEN): is required",
        "--admin-listen (REDWINGTACK_ADMIN_LISTEN): is required",
        "--control (REDWINGTACK_CONTROL): \"nowhere\"",
        "--platform (REDWINGTACK_PLATFORM): is required",
        "--log-level (REDWINGTACK_LOG_LEVEL): \"info,x=loudly\"",
        "--instance-id (REDWINGTACK_INSTANCE_ID): is required",
        "--region (REDWINGTACK_REGION): must not be empty",
        "--failure-domain (REDWINGTACK_FAILURE_DOMAIN): is required",
        "--drain-ms (REDWINGTACK_DRAIN_MS): \"soon\"",
        "--worker-threads (REDWINGTACK_WORKER_THREADS): must be at least 1",
    ];
    for line in expected {
        assert!(report.contains(line), "{line} is missing in:\n{report}");
    }
}

#[test]
fn settings_unknown_flag_is_refused() {
    let output = run_entry(&["--weight", "3"], &[]);
    assert_ne!(output.status.code(), Some(0));
}
