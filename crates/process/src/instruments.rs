//! Instruments that programs build alike.

use opentelemetry::metrics::{Histogram, Meter};

/// A histogram of times in seconds, with buckets that end at `bounds_s`.
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
