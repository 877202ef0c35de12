//! Between the transactions of crate `jobs` and the platform's messages.

use jobs::{Expect, Reply, RowValue, Transaction, Write};
use store::{Condition, Expected, Mutation, PlatformError, Row, TransactOutcome, TransactRequest};

pub(crate) fn encode(transaction: &Transaction) -> Result<TransactRequest, serde_json::Error> {
    let conditions = transaction.checks.iter().map(|check| Condition {
        key: check.key.clone(),
        expected: match check.expect {
            Expect::Absent => Expected::Absent,
            Expect::Version(version) => Expected::Version(version),
        },
    });
    let mutations = transaction.writes.iter().map(|write| match write {
        Write::Put { key, value } => Ok(Mutation::Put {
            key: key.clone(),
            value: value.encode()?,
        }),
        Write::Delete { key } => Ok(Mutation::Delete { key: key.clone() }),
    });
    Ok(TransactRequest {
        conditions: conditions.collect(),
        mutations: mutations.collect::<Result<_, serde_json::Error>>()?,
    })
}

pub(crate) fn transact_reply(result: Result<TransactOutcome, PlatformError>) -> Reply {
    match result {
        Ok(TransactOutcome::Committed { versions }) => Reply::Committed(versions),
        Ok(TransactOutcome::Conflict { .. }) => Reply::Conflict,
        Err(error) if error.is_not_applied() => Reply::NotApplied,
        Err(_) => Reply::Unknown,
    }
}

pub(crate) fn read_reply(result: Result<Option<Row>, PlatformError>) -> Reply {
    match result {
        Ok(None) => Reply::Row(None),
        Ok(Some(row)) => match RowValue::decode(&row.key, &row.value) {
            Ok(value) => Reply::Row(Some((row.version, value))),
            Err(error) => {
                log::error!("event=row_malformed key={} error={error:?}", row.key);
                Reply::Unknown
            }
        },
        Err(error) if error.is_not_applied() => Reply::NotApplied,
        Err(_) => Reply::Unknown,
    }
}
