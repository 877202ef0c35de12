//! Checks of layout and manner that neither the formatter nor the linter makes.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

/// Longest source file, lines.
const FILE_MAX_LINES: usize = 500;
/// Longest test file, lines.
const TEST_FILE_MAX_LINES: usize = 900;
/// Names of durations and times need one of these endings.
const TIME_SUFFIXES: [&str; 4] = ["_s", "_ms", "_us", "_ns"];
/// Field names that hold a time or a size and say no unit.
const BARE_NAMES: [&str; 12] = [
    "timeout", "deadline", "delay", "interval", "latency", "elapsed", "expiry", "ttl", "age",
    "size", "duration", "backoff",
];
/// Openings of licence notices and banners.
const BANNERS: [&str; 3] = ["// Copyright", "// SPDX", "/* Copyright"];

/// One departure from the rules.
#[derive(Debug)]
pub struct Finding {
    /// File.
    pub path: PathBuf,
    /// Line, counted from one.
    pub line: usize,
    /// The rule that is not kept.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.message)
    }
}

/// Checks every Rust source file below `root`.
#[must_use]
pub fn check_tree(root: &Path) -> Vec<Finding> {
    let mut files = Vec::new();
    let mut findings = Vec::new();
    for folder in ["crates", "platform", "xtask"] {
        if let Err(error) = collect(&root.join(folder), &mut files) {
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

/// Checks one file.
pub fn check_file(path: &Path, text: &str, findings: &mut Vec<Finding>) {
    let is_test = path.components().any(|part| part.as_os_str() == "tests");
    let mut push = |line: usize, message: &str| {
        findings.push(Finding {
            path: path.to_owned(),
            line,
            message: message.to_owned(),
        });
    };
    let limit = if is_test {
        TEST_FILE_MAX_LINES
    } else {
        FILE_MAX_LINES
    };
    if text.lines().count() > limit {
        push(
            text.lines().count(),
            &format!("the file is longer than {limit} lines"),
        );
    }
    if !text.starts_with("//!") {
        push(1, "the module has no `//!` doc comment at its top");
    }
    for (index, line) in text.lines().enumerate() {
        for message in check_line(line.trim(), is_test) {
            push(index + 1, message);
        }
    }
}

fn check_line(line: &str, is_test: bool) -> Vec<&'static str> {
    let mut messages = Vec::new();
    if BANNERS.iter().any(|banner| line.starts_with(banner)) {
        messages.push("source files carry no notice");
    }
    if let Some(derives) = line.strip_prefix("#[derive(")
        && !derives.starts_with("Debug")
        && !derives.starts_with(')')
    {
        messages.push("`Debug` comes first in a derive");
    }
    if !is_test && line == "#[cfg(test)]" {
        messages.push("tests live in test files");
    }
    if let Some(name) = field_name(line)
        && lacks_unit(name)
    {
        messages.push("a time or size carries its unit as a suffix");
    }
    messages
}

fn field_name(line: &str) -> Option<&str> {
    let line = line.strip_prefix("pub ").unwrap_or(line);
    let (name, rest) = line.split_once(": ")?;
    let is_name = name
        .chars()
        .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
    let is_number = ["u16", "u32", "u64", "i64", "f64", "usize"]
        .iter()
        .any(|number| rest.trim_end_matches(',') == *number);
    (is_name && is_number).then_some(name)
}

fn lacks_unit(name: &str) -> bool {
    let last = name.rsplit('_').next().unwrap_or(name);
    let has_time_suffix = TIME_SUFFIXES.iter().any(|suffix| name.ends_with(suffix));
    !has_time_suffix && BARE_NAMES.contains(&last)
}

fn collect(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            if path.file_name().is_some_and(|name| name != "target") {
                collect(&path, files)?;
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}
