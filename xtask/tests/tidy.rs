//! Each tidy rule finds what it is for.

use std::path::Path;

use xtask::tidy::check_file;

fn check(path: &str, text: &str, expected: &[(usize, &str)]) {
    let mut findings = Vec::new();
    check_file(Path::new(path), text, &mut findings);
    let found: Vec<_> = findings
        .iter()
        .map(|finding| (finding.line, finding.message.as_str()))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn check_file_accepts_clean_module() {
    check(
        "src/a.rs",
        "//! Doc.\n\n#[derive(Debug, Clone)]\nstruct A {\n    age_ms: u64,\n}\n",
        &[],
    );
}

#[test]
fn check_file_missing_module_doc() {
    check(
        "src/a.rs",
        "fn a() {}\n",
        &[(1, "the module has no `//!` doc comment at its top")],
    );
}

#[test]
fn check_file_derive_without_debug_first() {
    let text = "//! Doc.\n#[derive(Clone, Debug)]\nstruct A;\n";
    check("src/a.rs", text, &[(2, "`Debug` comes first in a derive")]);
}

#[test]
fn check_file_time_without_unit() {
    let text = "//! Doc.\nstruct A {\n    pub retry_delay: u64,\n}\n";
    check(
        "src/a.rs",
        text,
        &[(3, "a time or size carries its unit as a suffix")],
    );
}

#[test]
fn check_file_banner() {
    let text = "//! Doc.\n// Copyright somebody\n";
    check("src/a.rs", text, &[(2, "source files carry no notice")]);
}

#[test]
fn check_file_test_module_in_source() {
    let text = "//! Doc.\n#[cfg(test)]\nmod tests {}\n";
    check("src/a.rs", text, &[(2, "tests live in test files")]);
    check("tests/a.rs", text, &[]);
}

#[test]
fn check_file_too_long() {
    let text = format!("//! Doc.\n{}", "\n".repeat(500));
    check(
        "src/a.rs",
        &text,
        &[(501, "the file is longer than 500 lines")],
    );
}
