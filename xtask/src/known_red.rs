//! Runs the tests and tolerates just those that `KNOWN-RED.txt` lists.
//!
//! An entry is one line, `test | command | seed | seen | issue`, where `test`
//! is the name that the test runner prints. Blank lines and lines that begin
//! with `#` are skipped. A listed test that passes is an error too, so that
//! the list cannot outlive the fault.

use std::{
    collections::BTreeSet,
    fs,
    path::Path,
    process::{Command, ExitCode, Stdio},
};

const FIELDS: usize = 5;

/// Runs every test of the workspace and judges the outcome.
pub fn run_tests(root: &Path) -> ExitCode {
    let known = match read_list(root) {
        Ok(known) => known,
        Err(message) => {
            eprintln!("KNOWN-RED.txt: {message}");
            return ExitCode::FAILURE;
        }
    };
    let output = Command::new("cargo")
        .args(["test", "--workspace", "--no-fail-fast"])
        .current_dir(root)
        .stdin(Stdio::null())
        .stderr(Stdio::inherit())
        .output();
    let output = match output {
        Ok(output) => output,
        Err(error) => {
            eprintln!("cargo test could not be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let text = String::from_utf8_lossy(&output.stdout);
    print!("{text}");
    judge(&known, &Outcome::parse(&text), output.status.success())
}

struct Outcome {
    passed: BTreeSet<String>,
    failed: BTreeSet<String>,
}

impl Outcome {
    fn parse(text: &str) -> Self {
        let with_suffix = |suffix: &str| {
            let names = text.lines().filter_map(|line| {
                line.strip_prefix("test ")?
                    .strip_suffix(suffix)
                    .map(str::to_owned)
            });
            names.collect()
        };
        Self {
            passed: with_suffix(" ... ok"),
            failed: with_suffix(" ... FAILED"),
        }
    }
}

fn judge(known: &BTreeSet<String>, outcome: &Outcome, success: bool) -> ExitCode {
    let unexpected: Vec<_> = outcome.failed.difference(known).collect();
    let healed: Vec<_> = known.intersection(&outcome.passed).collect();
    for name in outcome.failed.intersection(known) {
        println!("known red: {name}");
    }
    for name in &unexpected {
        eprintln!("failed: {name}");
    }
    for name in &healed {
        eprintln!("passes although KNOWN-RED.txt lists it: {name}");
    }
    // A run that fails without naming a test (a build error, a crash) is red.
    let explained = success || !outcome.failed.is_empty();
    let green = unexpected.is_empty() && healed.is_empty() && explained;
    println!(
        "{} passed, {} failed",
        outcome.passed.len(),
        outcome.failed.len()
    );
    if green {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn read_list(root: &Path) -> Result<BTreeSet<String>, String> {
    let path = root.join("KNOWN-RED.txt");
    if !path.exists() {
        return Ok(BTreeSet::new());
    }
    let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
    let lines = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines.map(parse_entry).collect()
}

fn parse_entry(line: &str) -> Result<String, String> {
    let fields: Vec<_> = line.split('|').map(str::trim).collect();
    if fields.len() != FIELDS || fields.iter().any(|field| field.is_empty()) {
        return Err(format!(
            "expected `test | command | seed | seen | issue`, found {line:?}"
        ));
    }
    Ok(fields[0].to_owned())
}
