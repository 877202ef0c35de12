//! Exponentially weighted moving averages of measurements.

/// Weight of a new sample in the average, between 0 and 1.
const SAMPLE_WEIGHT: f64 = 0.2;

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// Adds a sample. The first sample sets the average.
    pub(crate) fn add(&mut self, sample: f64) {
        self.add_weighted(sample, SAMPLE_WEIGHT);
    }

    /// Adds a sample with a weight between 0 and 1. The first sample sets the average.
    pub(crate) fn add_weighted(&mut self, sample: f64, weight: f64) {
        let average = self.value.unwrap_or(sample);
        self.value = Some(average + weight * (sample - average));
    }

    /// Returns the average, or `default` before the first sample.
    pub(crate) fn value_or(self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}
