//! Limits per customer and class, so that one customer's burst is its own.

use model::{ClassName, CustomerId};

const US_PER_S: u64 = 1_000_000;
const US_PER_MS: u64 = 1_000;
/// Rows beyond this number are checked for idle customers.
const PRUNE_ROWS: usize = 1_024;

/// The customer is over its limit; nothing was counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time after which one request is allowed again, milliseconds.
    pub retry_after_ms: u64,
}

/// Request rates of customers at one entry.
///
/// Each row holds the time at which a customer that sends evenly at its limit
/// would send next; a request is allowed while that time is at most the burst
/// tolerance ahead (the generic cell rate algorithm). An entry enforces its
/// share of the limit: the balancer spreads a customer evenly over entries.
#[derive(Debug)]
pub struct CustomerLimits {
    rows: Vec<Row>,
    entries: u64,
    prune_at_rows: usize,
}

#[derive(Debug)]
struct Row {
    customer: CustomerId,
    class: ClassName,
    next_at_us: u64,
}

impl CustomerLimits {
    /// No customer has sent anything yet; this entry is the only one.
    #[must_use]
    pub fn new() -> Self {
        Self {
            rows: Vec::new(),
            entries: 1,
            prune_at_rows: PRUNE_ROWS,
        }
    }

    /// Sets over how many entries the balancer spreads a customer.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entries = u64::try_from(entries).unwrap_or(u64::MAX).max(1);
    }

    /// Number of customers and classes remembered.
    #[must_use]
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Counts a request of a customer whose class allows `requests_per_s`.
    ///
    /// # Errors
    ///
    /// Refuses when the customer is over its limit, with the time to come back.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        class: &ClassName,
        requests_per_s: u32,
        now_us: u64,
    ) -> Result<(), LimitExceeded> {
        let gap_us = US_PER_S.saturating_mul(self.entries) / u64::from(requests_per_s.max(1));
        let burst_us = US_PER_S.max(gap_us);
        let index = self.row(customer, class, now_us);
        let row = &mut self.rows[index];
        let next_at_us = row.next_at_us.max(now_us) + gap_us;
        let allowed_at_us = next_at_us.saturating_sub(burst_us);
        if allowed_at_us > now_us {
            let wait_us = allowed_at_us - now_us;
            return Err(LimitExceeded {
                retry_after_ms: wait_us.div_ceil(US_PER_MS),
            });
        }
        row.next_at_us = next_at_us;
        Ok(())
    }

    fn row(&mut self, customer: &CustomerId, class: &ClassName, now_us: u64) -> usize {
        if self.rows.len() >= self.prune_at_rows {
            self.rows.retain(|row| row.next_at_us > now_us);
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
                    next_at_us: now_us,
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
