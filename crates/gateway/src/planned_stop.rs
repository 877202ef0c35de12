//! Which requests an instance still takes during a planned stop, and which attempts it replaces.
//!
//! A deadline bounds a request for certain; how long others of its route have lasted does not.
//! Callers that are still sent to the instance are served if their requests are expected to end
//! in time. Later ones could as well go to another instance, so that an answer which could only
//! be cut is not begun any more.

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

/// Why a request is expected to end before a planned stop does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndBound {
    /// Its deadline is earlier.
    Deadline,
    /// The requests of its route have not lasted so long lately.
    Durations,
}

impl EndBound {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Durations => "durations",
        }
    }
}

impl PlannedStop {
    /// Returns why a request that begins now is expected to end in time, or `None` if it must
    /// not be taken any more. A stream whose events have been passed on can only be cut, so its
    /// end must be certain once callers go elsewhere.
    #[must_use]
    pub fn find_bound(
        &self,
        route: &Route,
        deadline_ms: u64,
        durations: &RequestDurations,
        now_ms: u64,
    ) -> Option<EndBound> {
        if deadline_ms <= self.end_ms {
            return Some(EndBound::Deadline);
        }
        let may_be_cut = route.is_stream() && !self.is_in_rotation;
        let is_expected =
            !may_be_cut && durations.is_expected_to_end_by(self.end_ms, route, deadline_ms, now_ms);
        is_expected.then_some(EndBound::Durations)
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
