//! Metric instruments that several programs use.

use opentelemetry::metrics::{Histogram, Meter};

/// Builds a histogram of durations in seconds. `bounds_s` are the upper bounds
/// of its buckets, in seconds.
#[must_use]
pub fn time_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds_s: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(bounds_s.to_vec())
        .build()
}
