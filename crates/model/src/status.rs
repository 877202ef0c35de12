//! Which numbers are the status of an HTTP answer.

use std::ops::Range;

/// Valid statuses of final answers.
const VALID: Range<u16> = 200..600;

/// Returns whether a number may be the status of a final answer to a request of ours. Any other
/// answer is to be treated like a server error (RFC 9110, section 15), also a 101 (Switching
/// Protocols), for which no request asks. HTTP libraries pass over the other interim answers.
#[must_use]
pub fn is_valid_status(status: u16) -> bool {
    VALID.contains(&status)
}
