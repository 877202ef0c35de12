//! Runs the tests and tolerates just those that `KNOWN-RED.txt` lists.
//!
//! An entry is one line, `test | command | seed | seen | issue`, where `test`
//! is the name that the test runner prints. Blank lines and lines that begin
//! with `#` are skipped. A listed test that does not fail is an error too, so
//! that the list cannot outlive the fault.

use std::{
    collections::BTreeSet,
    fmt, fs,
    path::Path,
    process::{Command, ExitCode, Stdio},
};

const FIELDS: usize = 5;

/// Builds every program, runs every test of the workspace and judges the
/// outcome.
#[must_use]
pub fn run_tests(root: &Path) -> ExitCode {
    let known = match read_list(root) {
        Ok(known) => known,
        Err(message) => {
            eprintln!("KNOWN-RED.txt: {message}");
            return ExitCode::FAILURE;
        }
    };
    if !build_programs(root) {
        eprintln!("the programs that scenarios start could not be built");
        return ExitCode::FAILURE;
    }
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
    let verdict = Verdict::new(&known, &text, output.status.success());
    print!("{verdict}");
    if verdict.is_green() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// What a run of the tests means, given the list of known failures.
#[derive(Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Number of tests that passed.
    pub passed: usize,
    /// Failures that are listed.
    pub known: Vec<String>,
    /// Failures that are not listed.
    pub unexpected: Vec<String>,
    /// Listed tests that pass or did not run, so that the list is wrong.
    pub stale: Vec<String>,
    /// Whether the run failed without naming a test, as after a build error.
    pub unexplained: bool,
}

impl Verdict {
    /// Judges the standard output of `cargo test`.
    #[must_use]
    pub fn new(known: &BTreeSet<String>, text: &str, success: bool) -> Self {
        let passed = names(text, " ... ok");
        let failed = names(text, " ... FAILED");
        Self {
            passed: passed.len(),
            known: failed.intersection(known).cloned().collect(),
            unexpected: failed.difference(known).cloned().collect(),
            stale: known.difference(&failed).cloned().collect(),
            unexplained: !success && failed.is_empty(),
        }
    }

    /// Whether nothing happened but what the list says.
    #[must_use]
    pub fn is_green(&self) -> bool {
        self.unexpected.is_empty() && self.stale.is_empty() && !self.unexplained
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for name in &self.known {
            writeln!(f, "known red: {name}")?;
        }
        for name in &self.unexpected {
            writeln!(f, "failed: {name}")?;
        }
        for name in &self.stale {
            writeln!(f, "listed in KNOWN-RED.txt but did not fail: {name}")?;
        }
        if self.unexplained {
            writeln!(f, "the run failed without naming a test")?;
        }
        writeln!(
            f,
            "{} passed, {} failed",
            self.passed,
            self.known.len() + self.unexpected.len()
        )
    }
}

/// Parses the list of known failures.
///
/// # Errors
///
/// Returns the first line that is not an entry.
pub fn parse_list(text: &str) -> Result<BTreeSet<String>, String> {
    let lines = text.lines().map(str::trim);
    lines
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(parse_entry)
        .collect()
}

/// Tests start the programs that they find beside themselves, and `cargo test`
/// builds only those of the tested crate.
fn build_programs(root: &Path) -> bool {
    let status = Command::new("cargo")
        .args(["build", "--workspace", "--bins"])
        .current_dir(root)
        .stdin(Stdio::null())
        .status();
    status.is_ok_and(|status| status.success())
}

/// Names in lines such as `test route_case ... ok`; several test files may use
/// one name, so names are listed per line.
fn names(text: &str, suffix: &str) -> BTreeSet<String> {
    let line_name = |line: &str| Some(line.strip_prefix("test ")?.strip_suffix(suffix)?.to_owned());
    text.lines().filter_map(line_name).collect()
}

fn read_list(root: &Path) -> Result<BTreeSet<String>, String> {
    let path = root.join("KNOWN-RED.txt");
    if !path.exists() {
        return Ok(BTreeSet::new());
    }
    let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
    parse_list(&text)
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
