//! Customers by their keys, and keys that no customer has.

use std::time::{Duration, Instant};

use gateway::{Customer, CustomerTable, KeyDigest, UnknownKeys};
use model::CustomerName;

const CUSTOMERS: u32 = 2_000;

fn digest(key: &str) -> KeyDigest {
    KeyDigest::new(key.as_bytes())
}

/// Returns a table in which each customer has the keys that follow its name.
fn table(customers: &[(&str, &[&str])]) -> CustomerTable {
    let rows = customers.iter().map(|(name, keys)| {
        let customer = Customer {
            name: CustomerName::new(name),
            priority: None,
            quota: None,
        };
        (customer, keys.iter().map(|key| digest(key)).collect())
    });
    CustomerTable::new(rows.collect())
}

#[test]
fn unknown_key_counts_as_unknown_until_it_expires() {
    let mut keys = UnknownKeys::default();
    keys.record_unknown(digest("a"), 1_000);
    assert!(keys.is_unknown(&digest("a"), 1_999));
    assert!(!keys.is_unknown(&digest("a"), 2_000));
    assert!(!keys.is_unknown(&digest("b"), 1_000));
}

#[test]
fn new_version_ends_what_is_known_of_unknown_keys() {
    let mut keys = UnknownKeys::default();
    keys.record_unknown(digest("a"), 1_000);
    keys.record_version(None, Some(&table(&[("one", &["a"])])), 2);
    assert!(!keys.is_unknown(&digest("a"), 1_001));
}

#[test]
fn flood_of_unknown_keys_is_kept_only_in_part() {
    let mut keys = UnknownKeys::default();
    for index in 0..10_000 {
        keys.record_unknown(digest(&index.to_string()), 1_000);
    }
    let kept = (0..10_000).filter(|index| keys.is_unknown(&digest(&index.to_string()), 1_000));
    assert_eq!(kept.count(), 256);
    keys.record_unknown(digest("later"), 2_000);
    assert!(keys.is_unknown(&digest("later"), 2_000));
}

#[test]
fn removed_key_leads_to_its_customer_and_version() {
    let mut keys = UnknownKeys::default();
    let old = table(&[("one", &["a", "b"]), ("two", &["c"])]);
    let new = table(&[("one", &["b"]), ("two", &["c"])]);
    keys.record_version(Some(&old), Some(&new), 7);
    let removal = keys.removal(&digest("a")).unwrap();
    assert_eq!(removal.customer.name.as_str(), "one");
    assert_eq!(removal.config_version, 7);
    assert_eq!(keys.removal(&digest("b")), None);
}

/// Looking a key up takes far less than anything else that is done for a request, and the keys
/// of 2,000 customers take far less memory than their document.
#[test]
fn keys_of_2000_customers_are_found_quickly() {
    let names: Vec<_> = (0..CUSTOMERS)
        .map(|index| format!("customer-{index}"))
        .collect();
    let keys: Vec<_> = (0..CUSTOMERS).map(|index| format!("key-{index}")).collect();
    let keys: Vec<_> = keys.iter().map(|key| [key.as_str()]).collect();
    let rows = names.iter().zip(&keys);
    let rows: Vec<_> = rows
        .map(|(name, keys)| (name.as_str(), &keys[..]))
        .collect();
    let table = table(&rows);
    let began = Instant::now();
    for (name, [key]) in names.iter().zip(&keys) {
        let customer = table.find(&digest(key)).unwrap();
        assert_eq!(customer.name.as_str(), name);
    }
    let per_lookup = began.elapsed() / CUSTOMERS;
    println!("{per_lookup:?} for each digest and lookup");
    assert!(per_lookup < Duration::from_millis(1));
}
