//! Checks of source layout and style that rustfmt and clippy do not make.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

/// Maximum length of a source file, in lines.
const SOURCE_FILE_MAX_LINES: usize = 500;
/// Maximum length of a test file, in lines.
const TEST_FILE_MAX_LINES: usize = 900;
/// Suffixes that state the unit of a duration or point in time.
const TIME_SUFFIXES: [&str; 4] = ["_s", "_ms", "_us", "_ns"];
/// Last words of field names that hold a time or a size without stating a unit.
const UNITLESS_NAMES: [&str; 12] = [
    "timeout", "deadline", "delay", "interval", "latency", "elapsed", "expiry", "ttl", "age",
    "size", "duration", "backoff",
];
/// Prefixes of licence notices and banners.
const BANNER_PREFIXES: [&str; 3] = ["// Copyright", "// SPDX", "/* Copyright"];

/// One violation of a rule.
#[derive(Debug)]
pub struct Finding {
    /// File that violates the rule, or the folder or file that cannot be read.
    pub path: PathBuf,
    /// Line number, counted from one; zero for a path that cannot be read.
    pub line: usize,
    /// The violated rule, or why the path cannot be read.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.message)
    }
}

/// Checks every Rust source file of the project in `root`. Files and folders that
/// cannot be read are findings too.
#[must_use]
pub fn check_tree(root: &Path) -> Vec<Finding> {
    let mut files = Vec::new();
    let mut findings = Vec::new();
    for folder in ["crates", "platform", "xtask"] {
        if let Err(error) = collect_rust_files(&root.join(folder), &mut files) {
            let message = format!("cannot be read: {error}");
            findings.push(Finding {
                path: root.join(folder),
                line: 0,
                message,
            });
        }
    }
    files.sort();
    for path in files {
        match fs::read_to_string(&path) {
            Ok(text) => check_file(&path, &text, &mut findings),
            Err(error) => {
                let message = format!("cannot be read: {error}");
                findings.push(Finding {
                    path,
                    line: 0,
                    message,
                });
            }
        }
    }
    findings
}

/// Checks the content `text` of the file `path` and adds the violations to
/// `findings`. A file below a folder `tests` is checked as a test file.
pub fn check_file(path: &Path, text: &str, findings: &mut Vec<Finding>) {
    let is_test = path.components().any(|part| part.as_os_str() == "tests");
    let mut report = |line: usize, message: &str| {
        findings.push(Finding {
            path: path.to_owned(),
            line,
            message: message.to_owned(),
        });
    };
    let limit = if is_test {
        TEST_FILE_MAX_LINES
    } else {
        SOURCE_FILE_MAX_LINES
    };
    if text.lines().count() > limit {
        report(
            text.lines().count(),
            &format!("the file is longer than {limit} lines"),
        );
    }
    if !text.starts_with("//!") {
        report(1, "the module has no `//!` doc comment at its top");
    }
    for (index, line) in text.lines().enumerate() {
        for message in check_line(line.trim(), is_test) {
            report(index + 1, message);
        }
    }
}

fn check_line(line: &str, is_test: bool) -> Vec<&'static str> {
    let mut messages = Vec::new();
    if BANNER_PREFIXES
        .iter()
        .any(|prefix| line.starts_with(prefix))
    {
        messages.push("source files must not have a licence notice or banner");
    }
    if let Some(derives) = line.strip_prefix("#[derive(")
        && !derives.starts_with("Debug")
        && !derives.starts_with(')')
    {
        messages.push("`Debug` must come first in a derive");
    }
    if !is_test && line == "#[cfg(test)]" {
        messages.push("unit tests belong in test files");
    }
    if let Some(name) = field_name(line)
        && lacks_unit(name)
    {
        messages.push("the name of a time or size must end in its unit");
    }
    messages
}

/// Returns the name of the numeric field that `line` declares.
fn field_name(line: &str) -> Option<&str> {
    let line = line.strip_prefix("pub ").unwrap_or(line);
    let (name, rest) = line.split_once(": ")?;
    let is_identifier = name
        .chars()
        .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
    let is_number = ["u16", "u32", "u64", "i64", "f64", "usize"]
        .iter()
        .any(|number_type| rest.trim_end_matches(',') == *number_type);
    (is_identifier && is_number).then_some(name)
}

fn lacks_unit(name: &str) -> bool {
    let last_word = name.rsplit('_').next().unwrap_or(name);
    let has_time_suffix = TIME_SUFFIXES.iter().any(|suffix| name.ends_with(suffix));
    !has_time_suffix && UNITLESS_NAMES.contains(&last_word)
}

fn collect_rust_files(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            if path.file_name().is_some_and(|name| name != "target") {
                collect_rust_files(&path, files)?;
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}
