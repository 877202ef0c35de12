//! Tests that each tidy rule reports its violations.

use std::path::Path;

use xtask::tidy::check_file;

fn assert_findings(path: &str, text: &str, expected: &[(usize, &str)]) {
    let mut findings = Vec::new();
    check_file(Path::new(path), text, &mut findings);
    let actual: Vec<_> = findings
        .iter()
        .map(|finding| (finding.line, finding.message.as_str()))
        .collect();
    assert_eq!(actual, expected);
}

#[test]
fn check_file_valid_module_has_no_findings() {
    assert_findings(
        "src/a.rs",
        "//! Doc.\n\n#[derive(Debug, Clone)]\nstruct A {\n    age_ms: u64,\n}\n",
        &[],
    );
}

#[test]
fn check_file_missing_module_doc() {
    assert_findings(
        "src/a.rs",
        "fn a() {}\n",
        &[(1, "the module has no `//!` doc comment at its top")],
    );
}

#[test]
fn check_file_derive_without_debug_first() {
    let text = "//! Doc.\n#[derive(Clone, Debug)]\nstruct A;\n";
    assert_findings(
        "src/a.rs",
        text,
        &[(2, "`Debug` must come first in a derive")],
    );
}

#[test]
fn check_file_time_without_unit() {
    let text = "//! Doc.\nstruct A {\n    pub retry_delay: u64,\n}\n";
    assert_findings(
        "src/a.rs",
        text,
        &[(3, "the name of a time or size must end in its unit")],
    );
}

#[test]
fn check_file_banner() {
    let text = "//! Doc.\n// Copyright somebody\n";
    assert_findings(
        "src/a.rs",
        text,
        &[(2, "source files must not have a licence notice or banner")],
    );
}

#[test]
fn check_file_test_module_in_source() {
    let text = "//! Doc.\n#[cfg(test)]\nmod tests {}\n";
    assert_findings("src/a.rs", text, &[(2, "unit tests belong in test files")]);
    assert_findings("tests/a.rs", text, &[]);
}

#[test]
fn check_file_too_long() {
    let text = format!("//! Doc.\n{}", "\n".repeat(500));
    assert_findings(
        "src/a.rs",
        &text,
        &[(501, "the file is longer than 500 lines")],
    );
}
