//! Exponentially weighted means of what was measured.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.2;

/// A mean that follows recent samples.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// Takes a sample in. The first one sets the mean.
    pub(crate) fn add(&mut self, sample: f64) {
        let average = self.value.unwrap_or(sample);
        self.value = Some(average + SAMPLE_WEIGHT * (sample - average));
    }

    /// The mean, or `default` before the first sample.
    pub(crate) fn value_or(self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}
