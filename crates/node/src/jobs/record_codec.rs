//! Decodes job records, including those that earlier versions of the program wrote.

use ledger::JobRecord;
use platform::{Row, StoreError};
use serde_json::{Value, from_slice, from_value};

use crate::{clock::unix_ms, node::Node};

/// Fields with times in Unix milliseconds in records of earlier versions of the program,
/// and the fields with times of the store's clock that replace them.
const UNIX_TIME_FIELDS: [(&str, &str); 3] = [
    ("accepted_unix_ms", "accepted_at_ms"),
    ("due_unix_ms", "due_at_ms"),
    ("give_up_unix_ms", "give_up_at_ms"),
];
/// Decodes a job record from its row.
pub(crate) fn decode_record(node: &Node, row: &Row) -> Result<JobRecord, StoreError> {
    from_slice(&row.value)
        .or_else(|error| decode_record_of_earlier_version(node, row).ok_or(error))
        .map_err(|error| StoreError::Protocol(error.to_string()))
}

/// Decodes a record whose times are in Unix milliseconds.
fn decode_record_of_earlier_version(node: &Node, row: &Row) -> Option<JobRecord> {
    let mut record: Value = from_slice(&row.value).ok()?;
    let fields = record.as_object_mut()?;
    for (unix_name, name) in UNIX_TIME_FIELDS {
        let at_unix_ms = fields.get(unix_name)?.as_u64()?;
        let at_ms = (at_unix_ms + node.store_now_ms()).saturating_sub(unix_ms());
        fields.insert(name.to_owned(), at_ms.into());
    }
    from_value(record).ok()
}
