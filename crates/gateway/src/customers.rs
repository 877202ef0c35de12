//! The customers of the configuration, and the keys that name them.
//!
//! Keys are secrets. Only their digests are kept, so that no log line, metric or message
//! can contain a key.

use std::sync::Arc;

use model::CustomerName;
use sha2::{Digest, Sha256};

/// Size of a digest, bytes.
const DIGEST_BYTES: usize = 16;

/// Digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// A customer of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerName,
    /// Priority of the customer's requests, which replaces that of the route; 0 is the most
    /// urgent.
    pub priority: Option<u32>,
    /// Limit on the customer's online requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Limit on the online requests of one customer, for all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Number of requests above this rate that may be sent at once.
    pub burst: f64,
}

/// The customers of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CustomerTable {
    /// Sorted by digest.
    keys: Vec<KeyRow>,
    /// Sorted by name.
    customers: Vec<Arc<Customer>>,
}

#[derive(Debug, Clone, PartialEq)]
struct KeyRow {
    digest: KeyDigest,
    customer: Arc<Customer>,
}

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&Sha256::digest(key)[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl CustomerTable {
    /// Creates a table of customers, each with the digests of its keys, in any order.
    #[must_use]
    pub fn new(customers: Vec<(Customer, Vec<KeyDigest>)>) -> Self {
        let mut table = Self::default();
        for (customer, digests) in customers {
            let customer = Arc::new(customer);
            let rows = digests.into_iter().map(|digest| KeyRow {
                digest,
                customer: Arc::clone(&customer),
            });
            table.keys.extend(rows);
            table.customers.push(customer);
        }
        table.keys.sort_by_key(|row| row.digest);
        table.customers.sort_by(|a, b| a.name.cmp(&b.name));
        table
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn find(&self, digest: &KeyDigest) -> Option<&Arc<Customer>> {
        let index = self.keys.binary_search_by_key(digest, |row| row.digest);
        Some(&self.keys[index.ok()?].customer)
    }

    /// Returns the digests of all keys with their customers, sorted by digest.
    pub(crate) fn keys(&self) -> impl Iterator<Item = (&KeyDigest, &Arc<Customer>)> {
        self.keys.iter().map(|row| (&row.digest, &row.customer))
    }

    /// Returns the customer of a name.
    #[must_use]
    pub fn customer(&self, name: &CustomerName) -> Option<&Arc<Customer>> {
        let index = self.customers.binary_search_by(|row| row.name.cmp(name));
        Some(&self.customers[index.ok()?])
    }

    /// Returns all customers, sorted by name.
    #[must_use]
    pub fn customers(&self) -> &[Arc<Customer>] {
        &self.customers
    }
}
