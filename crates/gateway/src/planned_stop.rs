//! Which requests an instance still takes during a planned stop, and when it makes another attempt.
//!
//! A deadline bounds a request for certain; how long others of its route have lasted does not.
//! Callers that are still sent to the instance are served if their requests are likely to end in
//! time. Later ones can go to other instances, so only those that are certain to end are taken.

use crate::{request_durations::RequestDurations, route::Route};

/// A planned stop that has begun. Times are milliseconds on the clock of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    /// When the requests in progress are ended.
    pub end_ms: u64,
    /// Whether the platform still sends callers to the instance.
    pub is_in_rotation: bool,
}

/// How sure it is that a request ends before a planned stop does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedEnd {
    /// Its deadline is earlier.
    Certain,
    /// The requests of its route have not lasted so long lately.
    Likely,
}

impl ExpectedEnd {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Certain => "certain",
            Self::Likely => "likely",
        }
    }
}

impl PlannedStop {
    /// Returns how sure it is that a request which begins now ends in time, or `None` if it must
    /// not be taken any more.
    #[must_use]
    pub fn find_expected_end(
        &self,
        route: &Route,
        deadline_ms: u64,
        durations: &RequestDurations,
        now_ms: u64,
    ) -> Option<ExpectedEnd> {
        if deadline_ms <= self.end_ms {
            return Some(ExpectedEnd::Certain);
        }
        let is_likely = self.is_in_rotation
            && durations.is_expected_to_end_by(self.end_ms, route, deadline_ms, now_ms);
        is_likely.then_some(ExpectedEnd::Likely)
    }

    /// Returns whether another attempt for a request that has been taken may begin now. If the
    /// request may have run, the caller would have to be told of a failure, so only a known
    /// duration that is too long keeps it from being tried again.
    #[must_use]
    pub fn has_time_to_retry(
        &self,
        route: &Route,
        deadline_ms: u64,
        may_have_run: bool,
        durations: &RequestDurations,
        now_ms: u64,
    ) -> bool {
        let is_unknown = !durations.is_known(route, now_ms);
        (may_have_run && is_unknown)
            || durations.is_expected_to_end_by(self.end_ms, route, deadline_ms, now_ms)
    }
}
