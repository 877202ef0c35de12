//! Estimate of the store's steady clock.
//!
//! The times of a job are kept on this clock, because the times of day of the instances
//! differ and may jump. An answer of the store says what its clock read when the answer
//! was sent, so the clock is at least that far when the answer arrives.

/// Estimate of the store's clock, from its answers and a monotonic local clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreClock {
    /// Highest observed lead of the store's clock over the local one, milliseconds.
    /// `None` before the first answer.
    lead_ms: Option<i64>,
}

impl StoreClock {
    /// Records that an answer which arrived at `local_ms` says that the store's clock
    /// reads `store_ms`. The lead grows if the local clock stood still while the machine
    /// was suspended.
    pub fn record_answer(&mut self, store_ms: u64, local_ms: u64) {
        let lead_ms = to_signed(store_ms) - to_signed(local_ms);
        self.lead_ms = Some(
            self.lead_ms
                .map_or(lead_ms, |known_ms| known_ms.max(lead_ms)),
        );
    }

    /// Returns what the store's clock reads at `local_ms`, in milliseconds. Before the
    /// first answer, this is the local time.
    #[must_use]
    pub fn at(&self, local_ms: u64) -> u64 {
        let store_ms = to_signed(local_ms) + self.lead_ms.unwrap_or(0);
        u64::try_from(store_ms).unwrap_or(0)
    }
}

fn to_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
