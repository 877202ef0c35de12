//! Converts between the transactions and replies of crate `jobs` and those of
//! crate `store`.

use jobs::{Condition, ExpectedRow, Reply, RowValue, Write};
use store::{Row, StoreError, TransactOutcome, Transaction};

pub(crate) fn encode(transaction: &jobs::Transaction) -> Result<Transaction, serde_json::Error> {
    let mut encoded = Transaction {
        conditions: transaction
            .conditions
            .iter()
            .map(encode_condition)
            .collect(),
        ..Transaction::default()
    };
    for write in &transaction.writes {
        match write {
            Write::Put { key, value } => {
                let value = value.encode()?.into();
                encoded.puts.push(store::row_id(key).with_value(value));
            }
            Write::Delete { key } => encoded.removals.push(store::row_id(key).removed()),
        }
    }
    Ok(encoded)
}

fn encode_condition(condition: &Condition) -> store::RowCondition {
    let version = match condition.expect {
        ExpectedRow::Absent => 0,
        ExpectedRow::Version(version) => version,
    };
    store::row_id(&condition.key).at_version(version)
}

pub(crate) fn transact_reply(result: Result<TransactOutcome, StoreError>) -> Reply {
    match result {
        Ok(TransactOutcome::Committed { version }) => Reply::Committed { version },
        Ok(TransactOutcome::Conflict { .. }) => Reply::Conflict,
        Err(error) if error.is_not_done() => Reply::NotApplied,
        Err(_) => Reply::Unknown,
    }
}

pub(crate) fn read_reply(result: Result<Option<Row>, StoreError>) -> Reply {
    match result {
        Ok(None) => Reply::Row(None),
        Ok(Some(row)) => match RowValue::decode(&row.key, &row.value) {
            Ok(value) => Reply::Row(Some((row.version, value))),
            Err(error) => {
                log::error!("event=row_malformed key={} error={error:?}", row.key);
                Reply::Unknown
            }
        },
        Err(error) if error.is_not_done() => Reply::NotApplied,
        Err(_) => Reply::Unknown,
    }
}
