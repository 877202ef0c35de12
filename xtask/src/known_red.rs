//! Runs the tests and tolerates only the failures that `KNOWN-RED.txt` lists.
//!
//! An entry is one line, `test | command | seed | seen | issue`, where `test`
//! is the name that the test runner prints. Blank lines and lines that begin
//! with `#` are skipped. A listed test that does not fail is an error too, so
//! that an entry is removed as soon as its fault is fixed.

use std::{
    collections::BTreeSet,
    fmt, fs,
    path::Path,
    process::{Command, ExitCode, Stdio},
};

/// Number of fields of an entry.
const ENTRY_FIELD_COUNT: usize = 5;

/// Builds every program, runs every test of the workspace and prints the verdict.
/// The exit code is a success if exactly the listed tests failed.
#[must_use]
pub fn run_tests(root: &Path) -> ExitCode {
    let known_failures = match read_known_failures(root) {
        Ok(known_failures) => known_failures,
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
    let verdict = Verdict::new(&known_failures, &text, output.status.success());
    print!("{verdict}");
    if verdict.is_accepted() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Outcome of a test run, compared with the list of known failures.
#[derive(Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Number of tests that passed.
    pub passed: usize,
    /// Failures that are listed.
    pub known_failures: Vec<String>,
    /// Failures that are not listed.
    pub unexpected_failures: Vec<String>,
    /// Listed tests that passed or did not run, so that their entries are out of
    /// date.
    pub stale_entries: Vec<String>,
    /// Whether the run failed without naming a test, as after a build error.
    pub failed_without_test: bool,
}

impl Verdict {
    /// Evaluates the standard output and the exit status of `cargo test`.
    #[must_use]
    pub fn new(known_failures: &BTreeSet<String>, text: &str, is_success: bool) -> Self {
        let passed = test_names(text, " ... ok");
        let failed = test_names(text, " ... FAILED");
        Self {
            passed: passed.len(),
            known_failures: failed.intersection(known_failures).cloned().collect(),
            unexpected_failures: failed.difference(known_failures).cloned().collect(),
            stale_entries: known_failures.difference(&failed).cloned().collect(),
            failed_without_test: !is_success && failed.is_empty(),
        }
    }

    /// Returns whether exactly the listed tests failed.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.unexpected_failures.is_empty()
            && self.stale_entries.is_empty()
            && !self.failed_without_test
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for name in &self.known_failures {
            writeln!(f, "known red: {name}")?;
        }
        for name in &self.unexpected_failures {
            writeln!(f, "failed: {name}")?;
        }
        for name in &self.stale_entries {
            writeln!(f, "listed in KNOWN-RED.txt but did not fail: {name}")?;
        }
        if self.failed_without_test {
            writeln!(f, "the run failed without naming a test")?;
        }
        writeln!(
            f,
            "{} passed, {} failed",
            self.passed,
            self.known_failures.len() + self.unexpected_failures.len()
        )
    }
}

/// Parses the list of known failures into the names of the tests.
///
/// # Errors
///
/// Returns a message that quotes the first line that is not a valid entry.
pub fn parse_known_failures(text: &str) -> Result<BTreeSet<String>, String> {
    let lines = text.lines().map(str::trim);
    lines
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(parse_entry)
        .collect()
}

/// Builds the programs that tests start from the target folder. `cargo test` alone
/// builds only the programs of the crates under test.
fn build_programs(root: &Path) -> bool {
    let status = Command::new("cargo")
        .args(["build", "--workspace", "--bins"])
        .current_dir(root)
        .stdin(Stdio::null())
        .status();
    status.is_ok_and(|status| status.success())
}

/// Returns the names of the tests whose result lines, such as
/// `test route_case ... ok`, end in `suffix`. Tests of the same name in several
/// files count once.
fn test_names(text: &str, suffix: &str) -> BTreeSet<String> {
    let line_name = |line: &str| Some(line.strip_prefix("test ")?.strip_suffix(suffix)?.to_owned());
    text.lines().filter_map(line_name).collect()
}

fn read_known_failures(root: &Path) -> Result<BTreeSet<String>, String> {
    let path = root.join("KNOWN-RED.txt");
    if !path.exists() {
        return Ok(BTreeSet::new());
    }
    let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
    parse_known_failures(&text)
}

fn parse_entry(line: &str) -> Result<String, String> {
    let fields: Vec<_> = line.split('|').map(str::trim).collect();
    if fields.len() != ENTRY_FIELD_COUNT || fields.iter().any(|field| field.is_empty()) {
        return Err(format!(
            "expected `test | command | seed | seen | issue`, found {line:?}"
        ));
    }
    Ok(fields[0].to_owned())
}
