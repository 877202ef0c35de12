//! Helpers for refusals that the entry itself creates.

use model::{ErrorKind, Ran};
use process::Refusal;

/// Combines whether each of two attempts ran into whether the request ran.
pub(crate) fn combined_ran(first: Ran, second: Ran) -> Ran {
    match (first, second) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// Returns the refusal for a defect of this program.
pub(crate) fn internal_error(message: &str) -> Refusal {
    Refusal::new(ErrorKind::Internal, message)
}
