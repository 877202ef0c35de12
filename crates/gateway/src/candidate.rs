//! An upstream that is weighed for an online request.

use crate::weights::WeightsFit;

/// An upstream that may serve a request.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) index: usize,
    /// Number of requests that peers are expected to have placed there since their
    /// last notices.
    pub(crate) unseen: u32,
    /// Whether this instance or a peer has a path to the upstream.
    pub(crate) has_path: bool,
    pub(crate) preference: Preference,
    /// Round trip to the upstream, through a proxy if this instance has no path to it.
    pub(crate) round_trip_ms: f64,
    /// Part of the round trip that the way through a proxy adds.
    pub(crate) detour_ms: f64,
    pub(crate) expected_ms: f64,
    pub(crate) cost_ms: f64,
    /// Number of leading parts of the prompt that the upstream keeps.
    pub(crate) kept_parts: usize,
    pub(crate) kept_tokens: u32,
    /// Time that is saved because these tokens need not be read.
    pub(crate) saved_ms: f64,
    /// By how much recent answers began sooner than is usual at the other candidates, or the
    /// usual delay if there are none.
    pub(crate) lead_ms: f64,
}

impl Candidate {
    /// Returns when an answer would begin if this instance had a path to the upstream,
    /// milliseconds from now. It decides about a refusal: callers do not choose which
    /// instance has lost its path, and are to be served as often as those of others.
    pub(crate) fn due_ms(&self) -> f64 {
        self.expected_ms - self.detour_ms
    }

    /// Returns when the first event is expected, compared to other upstreams, milliseconds
    /// from now. The time to read the whole prompt is left out.
    pub(crate) fn first_event_ms(&self) -> f64 {
        self.expected_ms + self.lead_ms - self.saved_ms
    }

    /// Returns the cost for a request without a prompt, with the usual delay at least.
    pub(crate) fn usual_cost_ms(&self) -> f64 {
        self.cost_ms + self.lead_ms
    }
}

/// Returns the position of the candidate behind a detour that would answer soonest without
/// it.
pub(crate) fn soonest_behind_detour(candidates: &[Candidate]) -> Option<usize> {
    let positions = 0..candidates.len();
    positions
        .filter(|position| candidates[*position].detour_ms > 0.0)
        .min_by(|a, b| candidates[*a].due_ms().total_cmp(&candidates[*b].due_ms()))
}

/// Whether an upstream is preferred to others, whatever the costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Preference {
    /// Whether the upstream is neither ejected nor without any path. The others are used as a
    /// last resort.
    pub(crate) is_usable: bool,
    /// Whether the request was not sent there before.
    pub(crate) is_untried: bool,
    /// Whether the upstream has the weights that the request requires.
    pub(crate) weights: WeightsFit,
}
