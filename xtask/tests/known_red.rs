//! Tests that a run is accepted only if exactly the listed tests fail.

use std::collections::BTreeSet;

use xtask::known_red::{Verdict, parse_known_failures};

const TEST_OUTPUT: &str = "test a_case ... ok\ntest b_case ... FAILED\n";

fn assert_verdict(known_failures: &[&str], text: &str, is_success: bool, expected: bool) {
    let known_failures: BTreeSet<String> = known_failures
        .iter()
        .map(|name| (*name).to_owned())
        .collect();
    let verdict = Verdict::new(&known_failures, text, is_success);
    assert_eq!(verdict.is_accepted(), expected, "{verdict:?}");
}

#[test]
fn verdict_unlisted_failure_is_not_accepted() {
    assert_verdict(&[], TEST_OUTPUT, false, false);
}

#[test]
fn verdict_listed_failure_is_accepted() {
    assert_verdict(&["b_case"], TEST_OUTPUT, false, true);
}

#[test]
fn verdict_listed_test_that_passes_is_not_accepted() {
    assert_verdict(&["a_case", "b_case"], TEST_OUTPUT, false, false);
}

#[test]
fn verdict_listed_test_that_did_not_run_is_not_accepted() {
    assert_verdict(&["gone_case"], "test a_case ... ok\n", true, false);
}

#[test]
fn verdict_build_error_is_not_accepted() {
    assert_verdict(&[], "", false, false);
}

#[test]
fn parse_known_failures_skips_comments_and_blank_lines() {
    let known_failures = parse_known_failures("# comment\n\nb_case | cargo test | 7 | hangs | 4\n");
    assert_eq!(known_failures, Ok(BTreeSet::from(["b_case".to_owned()])));
}

#[test]
fn parse_known_failures_incomplete_entry_is_an_error() {
    assert!(parse_known_failures("b_case | cargo test\n").is_err());
}
