//! The table from error kind to answer is closed and consistent.

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
        assert!((400..600).contains(&status), "{kind:?} answers {status}");
    }
}

#[test]
fn answer_unavailable_tells_when_to_come_back() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if matches!(answer.status, 429 | 503) {
            assert!(matches!(answer.retry, RetryAdvice::AfterS(1..)), "{kind:?}");
            assert_eq!(answer.ran, Ran::No, "{kind:?}");
        }
    }
}
