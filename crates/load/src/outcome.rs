//! What a run showed.

use hdrhistogram::Histogram;

/// Largest time recorded, microseconds.
const RECORDED_MAX_US: u64 = 600_000_000;

/// Whether a request's region was in a burst when it was meant to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Between bursts.
    Steady,
    /// In a burst.
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

/// Figures of one run, or of several with other seeds taken together.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Latencies between bursts.
    pub steady: Latency,
    /// Latencies in bursts.
    pub burst: Latency,
    /// Online requests measured.
    pub requests: u64,
    /// Online requests that missed their target or were refused.
    pub late: u64,
    /// Online requests refused.
    pub refused: u64,
    /// Online requests without a whole answer at the end of the run.
    pub errors: u64,
    /// Batch tokens produced in the measured time.
    pub batch_tokens: u64,
    /// Batch tokens prefilled again because items were cancelled.
    pub batch_cancels: u64,
    /// Bytes across regions.
    pub cross_region_bytes: u64,
    /// Time from a burst's first request until no batch work was at the
    /// region's engines, microseconds; only bursts for which that happened.
    pub batch_drain_us: Histogram<u64>,
    /// Bursts during which the region's engines were never free of batch work.
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
    /// Nothing measured yet.
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

    /// Latencies of one phase.
    pub fn phase_mut(&mut self, phase: Phase) -> &mut Latency {
        match phase {
            Phase::Steady => &mut self.steady,
            Phase::Burst => &mut self.burst,
        }
    }

    /// Latencies of both phases.
    #[must_use]
    pub fn all_phases(&self) -> Latency {
        let mut all = self.steady.clone();
        all.add(&self.burst);
        all
    }

    /// Takes in the figures of another run.
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

    /// Share of the online requests that were late.
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

/// One count as a multiple of another.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times stay far below 2^53"
)]
pub fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b.max(1) as f64
}

/// The 99th percentile.
pub fn p99(histogram: &Histogram<u64>) -> u64 {
    histogram.value_at_quantile(0.99)
}

/// An empty histogram of times.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, RECORDED_MAX_US, 3).expect("the bounds are valid")
}

/// Records a time.
pub fn record(histogram: &mut Histogram<u64>, time_us: u64) {
    histogram.saturating_record(time_us);
}

fn merge(into: &mut Histogram<u64>, from: &Histogram<u64>) {
    into.add(from).expect("histograms have the same bounds");
}
