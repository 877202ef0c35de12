//! How long upstreams of a service take to read one token of a prompt, measured from answers.
//!
//! Waits and slow moments lengthen single answers by far more than a prompt does, so the
//! rate is the slope of a resistant line (Tukey): the medians of the third of the answers
//! with the shortest prompts and of the third with the longest. A window is split into an
//! older and a newer half, and the rate is what both confirm.

/// Number of answers in one half of the window.
const HALF_WINDOW: usize = 64;
/// Minimum difference of the median prompts of the outer thirds for a measurement, tokens.
const MIN_SPREAD_TOKENS: f64 = 64.0;
/// The rate is measured anew after this many answers.
const ANSWERS_PER_MEASUREMENT: usize = 16;

/// Rate at which the upstreams of a service read prompts.
#[derive(Debug, Default, Clone)]
pub(crate) struct PrefillRate {
    /// Answers of the window, oldest first.
    answers: Vec<FirstEvent>,
    unmeasured: usize,
    ms_per_token: f64,
}

/// When an answer began, and how much of its prompt had to be read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FirstEvent {
    pub(crate) read_tokens: u32,
    /// Time from sending the request to the first event, without the round trip,
    /// milliseconds.
    pub(crate) after_ms: f64,
}

impl PrefillRate {
    /// Adds an answer.
    pub(crate) fn add(&mut self, answer: FirstEvent) {
        if self.answers.len() == 2 * HALF_WINDOW {
            self.answers.remove(0);
        }
        self.answers.push(answer);
        self.unmeasured += 1;
        if self.unmeasured >= ANSWERS_PER_MEASUREMENT && self.answers.len() == 2 * HALF_WINDOW {
            let (older, newer) = self.answers.split_at(HALF_WINDOW);
            self.ms_per_token = slope(older).min(slope(newer)).max(0.0);
            self.unmeasured = 0;
        }
    }

    /// Returns the time to read one token, milliseconds, or 0 before it is measured.
    pub(crate) fn ms_per_token(&self) -> f64 {
        self.ms_per_token
    }
}

/// Returns the slope of the resistant line through `answers`, or 0 if the prompts differ too
/// little.
fn slope(answers: &[FirstEvent]) -> f64 {
    let mut sorted = answers.to_vec();
    sorted.sort_by_key(|answer| answer.read_tokens);
    let third = sorted.len() / 3;
    let shortest = &sorted[..third];
    let longest = &sorted[sorted.len() - third..];
    let tokens = |third: &[FirstEvent]| median(third, |answer| f64::from(answer.read_tokens));
    let after_ms = |third: &[FirstEvent]| median(third, |answer| answer.after_ms);
    let spread_tokens = tokens(longest) - tokens(shortest);
    if spread_tokens < MIN_SPREAD_TOKENS {
        return 0.0;
    }
    (after_ms(longest) - after_ms(shortest)) / spread_tokens
}

fn median(answers: &[FirstEvent], value: impl Fn(&FirstEvent) -> f64) -> f64 {
    let mut values: Vec<_> = answers.iter().map(value).collect();
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
