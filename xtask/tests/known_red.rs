//! The list of known failures tolerates just what it names.

use std::collections::BTreeSet;

use xtask::known_red::{Verdict, parse_list};

const RUN: &str = "test a_case ... ok\ntest b_case ... FAILED\n";

fn check(known: &[&str], text: &str, success: bool, green: bool) {
    let known: BTreeSet<String> = known.iter().map(|name| (*name).to_owned()).collect();
    let verdict = Verdict::new(&known, text, success);
    assert_eq!(verdict.is_green(), green, "{verdict:?}");
}

#[test]
fn verdict_unlisted_failure_is_red() {
    check(&[], RUN, false, false);
}

#[test]
fn verdict_listed_failure_is_green() {
    check(&["b_case"], RUN, false, true);
}

#[test]
fn verdict_listed_test_that_passes_is_red() {
    check(&["a_case", "b_case"], RUN, false, false);
}

#[test]
fn verdict_listed_test_that_did_not_run_is_red() {
    check(&["gone_case"], "test a_case ... ok\n", true, false);
}

#[test]
fn verdict_build_error_is_red() {
    check(&[], "", false, false);
}

#[test]
fn parse_list_reads_entries() {
    let known = parse_list("# comment\n\nb_case | cargo test | 7 | hangs | 4\n");
    assert_eq!(known, Ok(BTreeSet::from(["b_case".to_owned()])));
}

#[test]
fn parse_list_refuses_incomplete_entry() {
    assert!(parse_list("b_case | cargo test\n").is_err());
}
