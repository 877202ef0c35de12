//! Refusals that the entry composes.

use model::{ErrorKind, Ran};
use process::Refusal;

/// What is known to have run after two attempts.
pub(crate) fn combined_ran(first: Ran, second: Ran) -> Ran {
    match (first, second) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// A defect of this program.
pub(crate) fn internal_error(message: &str) -> Refusal {
    Refusal::new(ErrorKind::Internal, message)
}
