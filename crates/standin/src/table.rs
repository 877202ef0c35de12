//! The transactional table, in memory.

use std::{collections::BTreeMap, ops::Bound};

use store::{Condition, Expected, Mutation, Row, RowPage, TransactOutcome, TransactRequest};

/// Rows by key.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, Row>,
    /// Every put that took effect.
    journal: Vec<(String, String)>,
}

impl Table {
    /// Applies all mutations if all conditions hold.
    pub(crate) fn transact(&mut self, request: TransactRequest) -> TransactOutcome {
        let failed = request
            .conditions
            .iter()
            .find(|condition| !self.holds(condition));
        if let Some(condition) = failed {
            return TransactOutcome::Conflict {
                key: condition.key.clone(),
                row: self.rows.get(&condition.key).cloned(),
            };
        }
        let mut versions = Vec::new();
        for mutation in request.mutations {
            match mutation {
                Mutation::Put { key, value } => versions.push(self.put(key, value)),
                Mutation::Delete { key } => {
                    self.rows.remove(&key);
                }
            }
        }
        TransactOutcome::Committed { versions }
    }

    pub(crate) fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    pub(crate) fn page(&self, prefix: &str, after: Option<&str>, limit: usize) -> RowPage {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let mut rows: Vec<_> = self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit.saturating_add(1))
            .map(|(_, row)| row.clone())
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        RowPage { rows, more }
    }

    /// How often each key was put with a value that contains `text`.
    pub(crate) fn put_counts(&self, text: &str) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for (key, value) in &self.journal {
            if value.contains(text) {
                *counts.entry(key.as_str()).or_default() += 1;
            }
        }
        counts
    }

    fn holds(&self, condition: &Condition) -> bool {
        let version = self.rows.get(&condition.key).map(|row| row.version);
        match condition.expected {
            Expected::Absent => version.is_none(),
            Expected::Version(expected) => version == Some(expected),
        }
    }

    fn put(&mut self, key: String, value: String) -> u64 {
        let version = self.rows.get(&key).map_or(0, |row| row.version) + 1;
        self.journal.push((key.clone(), value.clone()));
        let row = Row {
            key: key.clone(),
            version,
            value,
        };
        self.rows.insert(key, row);
        version
    }
}
