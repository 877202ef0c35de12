//! Latencies and counts that one run produced.

use hdrhistogram::Histogram;

/// Longest time that a histogram holds, microseconds.
const RECORDED_MAX_US: u64 = 600_000_000;

/// Whether the region of a request was in a burst at the request's intended
/// arrival time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Outside bursts.
    Steady,
    /// During a burst.
    Burst,
}

/// Latencies of the online requests of one phase.
#[derive(Debug, Clone)]
pub struct Latency {
    /// Time from the intended arrival to the first token, microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between tokens, microseconds.
    pub between_tokens_us: Histogram<u64>,
}

/// Results of one run, or of several runs with different seeds added up.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Latencies outside bursts.
    pub steady: Latency,
    /// Latencies during bursts.
    pub burst: Latency,
    /// Online requests that arrived after the warm-up.
    pub requests: u64,
    /// Online requests that missed a latency target, were refused, or had no
    /// token by the end of the run.
    pub late: u64,
    /// Online requests that the router refused.
    pub refused: u64,
    /// Online requests without a complete answer at the end of the run.
    pub errors: u64,
    /// Batch tokens produced after the warm-up, until requests stop arriving.
    pub batch_tokens: u64,
    /// Batch items cancelled at an engine before their end.
    pub batch_cancels: u64,
    /// Bytes sent between regions.
    pub cross_region_bytes: u64,
    /// Time from the first request of a burst until no engine of the region
    /// had batch work, microseconds. Bursts whose region never drained are in
    /// `bursts_not_drained` instead.
    pub batch_drain_us: Histogram<u64>,
    /// Bursts during which the region's engines always had batch work.
    pub bursts_not_drained: u64,
}

impl Latency {
    fn new() -> Self {
        Self {
            first_token_us: histogram(),
            between_tokens_us: histogram(),
        }
    }

    fn add(&mut self, other: &Self) {
        merge(&mut self.first_token_us, &other.first_token_us);
        merge(&mut self.between_tokens_us, &other.between_tokens_us);
    }
}

impl Outcome {
    /// Creates an outcome with empty histograms and zero counts.
    #[must_use]
    pub fn new() -> Self {
        Self {
            steady: Latency::new(),
            burst: Latency::new(),
            requests: 0,
            late: 0,
            refused: 0,
            errors: 0,
            batch_tokens: 0,
            batch_cancels: 0,
            cross_region_bytes: 0,
            batch_drain_us: histogram(),
            bursts_not_drained: 0,
        }
    }

    /// Returns the latencies of one phase.
    pub fn phase_mut(&mut self, phase: Phase) -> &mut Latency {
        match phase {
            Phase::Steady => &mut self.steady,
            Phase::Burst => &mut self.burst,
        }
    }

    /// Returns the latencies of both phases together.
    #[must_use]
    pub fn all_phases(&self) -> Latency {
        let mut all = self.steady.clone();
        all.add(&self.burst);
        all
    }

    /// Adds the results of another run.
    pub fn add(&mut self, other: &Self) {
        self.steady.add(&other.steady);
        self.burst.add(&other.burst);
        self.requests += other.requests;
        self.late += other.late;
        self.refused += other.refused;
        self.errors += other.errors;
        self.batch_tokens += other.batch_tokens;
        self.batch_cancels += other.batch_cancels;
        self.cross_region_bytes += other.cross_region_bytes;
        merge(&mut self.batch_drain_us, &other.batch_drain_us);
        self.bursts_not_drained += other.bursts_not_drained;
    }

    /// Returns the share of online requests that were late.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        ratio(self.late, self.requests)
    }
}

impl Default for Outcome {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns `a / b`; a `b` of 0 counts as 1.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times stay far below 2^53"
)]
pub fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b.max(1) as f64
}

/// Returns the 99th percentile.
pub fn p99(histogram: &Histogram<u64>) -> u64 {
    histogram.value_at_quantile(0.99)
}

/// Creates an empty histogram of times in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, RECORDED_MAX_US, 3).expect("the bounds are valid")
}

/// Records a time; times above the upper bound count as the bound.
pub fn record(histogram: &mut Histogram<u64>, time_us: u64) {
    histogram.saturating_record(time_us);
}

fn merge(into: &mut Histogram<u64>, from: &Histogram<u64>) {
    into.add(from).expect("histograms have the same bounds");
}
