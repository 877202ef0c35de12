//! Refusals that the entry composes.

use model::{ErrorKind, Ran};
use process::Refusal;

/// What is known to have run after two attempts.
pub(crate) fn worse(left: Ran, right: Ran) -> Ran {
    match (left, right) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// A defect of this program.
pub(crate) fn internal(message: &str) -> Refusal {
    Refusal::new(ErrorKind::Internal, message)
}
