//! Which requests an instance still takes during a planned stop, and which attempts it replaces.
//!
//! A deadline bounds a request for certain; how long others of its route have lasted does not.
//! Callers that are still sent to the instance are served if their requests are likely to end in
//! time. Later ones can go to other instances, so only those that are certain to end are taken.

use crate::{request_durations::RequestDurations, route::Route};

/// A request that has been silent for some time is expected to last this many times as long,
/// once more, if another attempt replaces the silent one.
const SILENCE_MULTIPLE: u64 = 4;

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

    /// Returns whether another attempt may replace one that was sent at `sent_at_ms` and has been
    /// silent until `silent_until_ms`. It takes at least as long as the first one would have, and
    /// the silence shows that this request may last longer than others.
    #[must_use]
    pub fn may_replace_silent(
        &self,
        sent_at_ms: u64,
        silent_until_ms: u64,
        deadline_ms: u64,
    ) -> bool {
        let silence_ms = silent_until_ms.saturating_sub(sent_at_ms);
        let expected_ms = silence_ms.saturating_mul(SILENCE_MULTIPLE);
        silent_until_ms.saturating_add(expected_ms).min(deadline_ms) <= self.end_ms
    }
}
