//! Consistency of the table that maps error kinds to responses.

use std::collections::BTreeSet;

use model::{ErrorKind, Ran, RetryAdvice};

#[test]
fn answer_codes_are_unique() {
    let codes: BTreeSet<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.answer().code)
        .collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
}

#[test]
fn answer_statuses_are_errors() {
    for kind in ErrorKind::ALL {
        let status = kind.answer().status;
        assert!((400..600).contains(&status), "{kind:?} has status {status}");
    }
}

#[test]
fn answer_429_and_503_give_retry_delay_and_did_not_run() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if matches!(answer.status, 429 | 503) {
            assert!(matches!(answer.retry, RetryAdvice::AfterS(1..)), "{kind:?}");
            assert_eq!(answer.ran, Ran::No, "{kind:?}");
        }
    }
}
