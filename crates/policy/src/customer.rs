//! Rate limits per customer and class, so that a burst of one customer does not
//! affect the others.

use model::{ClassName, CustomerId};

const US_PER_S: u64 = 1_000_000;
const US_PER_MS: u64 = 1_000;
/// Minimum number of rows at which idle customers are pruned.
const PRUNE_ROWS: usize = 1_024;

/// Error of a request of a customer that is over its limit. The request was not
/// counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time after which one request is allowed again, milliseconds.
    pub retry_after_ms: u64,
}

/// Rate limiter for the customers of one entry program.
///
/// The limiter uses the generic cell rate algorithm (GCRA). Each row holds the
/// theoretical arrival time: the time of the next request of a customer that
/// sends evenly at its limit. A request is allowed if that time is ahead of the
/// current time by at most the burst tolerance. An entry program enforces only
/// its share of the limit, because the load balancer spreads the requests of each
/// customer evenly over the entry programs.
#[derive(Debug)]
pub struct CustomerLimits {
    rows: Vec<Row>,
    entry_count: u64,
    prune_at_rows: usize,
}

#[derive(Debug)]
struct Row {
    customer: CustomerId,
    class: ClassName,
    theoretical_arrival_us: u64,
}

impl CustomerLimits {
    /// Creates a limiter without any customers, for a single entry program.
    #[must_use]
    pub fn new() -> Self {
        Self {
            rows: Vec::new(),
            entry_count: 1,
            prune_at_rows: PRUNE_ROWS,
        }
    }

    /// Sets the number of entry programs over which the load balancer spreads
    /// each customer.
    pub fn set_entry_count(&mut self, entry_count: usize) {
        self.entry_count = u64::try_from(entry_count).unwrap_or(u64::MAX).max(1);
    }

    /// Returns the number of tracked pairs of customer and class.
    #[must_use]
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Counts a request of a customer whose class allows `requests_per_s`.
    ///
    /// # Errors
    ///
    /// Returns [`LimitExceeded`] if the customer is over its limit.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        class: &ClassName,
        requests_per_s: u32,
        now_us: u64,
    ) -> Result<(), LimitExceeded> {
        let emission_interval_us =
            US_PER_S.saturating_mul(self.entry_count) / u64::from(requests_per_s.max(1));
        let burst_us = US_PER_S.max(emission_interval_us);
        let index = self.row_index(customer, class, now_us);
        let row = &mut self.rows[index];
        let theoretical_arrival_us = row.theoretical_arrival_us.max(now_us) + emission_interval_us;
        let allowed_at_us = theoretical_arrival_us.saturating_sub(burst_us);
        if allowed_at_us > now_us {
            let wait_us = allowed_at_us - now_us;
            return Err(LimitExceeded {
                retry_after_ms: wait_us.div_ceil(US_PER_MS),
            });
        }
        row.theoretical_arrival_us = theoretical_arrival_us;
        Ok(())
    }

    /// Returns the index of the row of `customer` and `class`, which is inserted
    /// if it is absent.
    fn row_index(&mut self, customer: &CustomerId, class: &ClassName, now_us: u64) -> usize {
        if self.rows.len() >= self.prune_at_rows {
            self.rows.retain(|row| row.theoretical_arrival_us > now_us);
            self.prune_at_rows = PRUNE_ROWS.max(self.rows.len() * 2);
        }
        let found = self
            .rows
            .binary_search_by(|row| (&row.customer, &row.class).cmp(&(customer, class)));
        match found {
            Ok(index) => index,
            Err(index) => {
                let row = Row {
                    customer: customer.clone(),
                    class: class.clone(),
                    theoretical_arrival_us: now_us,
                };
                self.rows.insert(index, row);
                index
            }
        }
    }
}

impl Default for CustomerLimits {
    fn default() -> Self {
        Self::new()
    }
}
