//! Metrics of quotas. Only the customers that were refused first have counts of their own.

use std::cell::RefCell;

use gateway::QuotaSource;
use model::CustomerName;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};

/// Maximum number of customers that have time series of their own. The others are counted
/// together as [`OTHERS`].
const CUSTOMERS_MAX: usize = 20;
/// Label of all customers without time series of their own.
const OTHERS: &str = "(others)";

/// OpenTelemetry instruments of quotas.
#[derive(Debug)]
pub(crate) struct QuotaMetrics {
    granted: Counter<u64>,
    refused: Counter<u64>,
    /// Customers with time series of their own.
    named: RefCell<Vec<CustomerName>>,
}

impl QuotaMetrics {
    /// Creates the instruments on a meter.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            granted: counter(
                "redwingtack.quota.granted",
                "Requests counted against a quota, by what they were counted against",
            ),
            refused: counter(
                "redwingtack.quota.refused",
                "Requests refused because a quota was used up, by customer",
            ),
            named: RefCell::default(),
        }
    }

    pub(crate) fn on_granted(&self, source: QuotaSource) {
        self.granted
            .add(1, &[KeyValue::new("source", source.as_str())]);
    }

    pub(crate) fn on_refused(&self, customer: &CustomerName) {
        let mut named = self.named.borrow_mut();
        let is_named = match named.binary_search(customer) {
            Ok(_) => true,
            Err(index) if named.len() < CUSTOMERS_MAX => {
                named.insert(index, customer.clone());
                true
            }
            Err(_) => false,
        };
        let label = if is_named {
            customer.as_str().to_owned()
        } else {
            OTHERS.to_owned()
        };
        self.refused.add(1, &[KeyValue::new("customer", label)]);
    }
}
