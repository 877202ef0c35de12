//! In-memory rows of all tables, with one version counter and a change history.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::LazyLock,
    time::Instant,
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use serde::Deserialize;
use serde_json::{Value, json};

/// What the steady clock reads at the start of the process, milliseconds.
const CLOCK_START_MS: u64 = 5_000_000_000;
/// Maximum length of the name of a table, a partition or a key, bytes.
const NAME_MAX_BYTES: usize = 200;
/// Maximum size of the value of a row, bytes.
const ROW_MAX_BYTES: usize = 4_096;

/// Rows of all tables and the history of their changes.
///
/// Each transaction takes the next version, which is at the same time the version
/// of every row that it writes.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    /// Version of the latest change.
    version: u64,
    rows: BTreeMap<RowId, StoredRow>,
    /// Retained history of changes, oldest first.
    changes: VecDeque<Change>,
    /// Changes up to and including this version have been dropped from `changes`.
    forgotten_version: u64,
    /// Key and decoded value of every put that took effect.
    puts: Vec<(String, String)>,
}

/// Table, partition and key.
type RowId = (String, String, String);

#[derive(Debug, Clone)]
struct StoredRow {
    /// Encoded in base64.
    value: String,
    version: u64,
}

#[derive(Debug, Clone)]
struct Change {
    id: RowId,
    version: u64,
    /// Value in base64, or `None` if the row was removed.
    value: Option<String>,
}

/// JSON body of a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct TransactionBody {
    /// Conditions: the version that each row must have, 0 if it must not exist.
    #[serde(default)]
    if_rev: Vec<RowBody>,
    #[serde(default)]
    puts: Vec<RowBody>,
    #[serde(default)]
    remove: Vec<RowBody>,
}

/// JSON form of a row in a transaction: a condition, a put or a removal.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct RowBody {
    pub(crate) table: String,
    /// Partition.
    #[serde(default)]
    pub(crate) part: String,
    pub(crate) key: String,
    /// Encoded in base64.
    #[serde(default)]
    pub(crate) value: String,
    /// Version that a condition requires; unused in puts and removals.
    #[serde(default)]
    pub(crate) ver: u64,
}

/// Query parameters of a read of rows.
#[derive(Debug, Default)]
pub(crate) struct RangeQuery {
    pub(crate) table: String,
    pub(crate) partition: String,
    /// First key of the range.
    pub(crate) from: String,
    /// Key at which the range ends, exclusive; `None` reads to the end.
    pub(crate) to: Option<String>,
    /// Maximum number of rows of the page.
    pub(crate) limit: usize,
}

impl Tables {
    /// Returns the version of the latest change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Applies all changes if all conditions hold.
    ///
    /// # Errors
    ///
    /// Changes nothing and returns the response to the conflict, with the current
    /// rows of the conditions, if a condition does not hold.
    pub(crate) fn transact(&mut self, body: TransactionBody) -> Result<(), Value> {
        let holds = |row: &RowBody| self.row_version(&row.id()) == row.ver;
        if !body.if_rev.iter().all(holds) {
            let ids = body.if_rev.iter().map(RowBody::id);
            let rows: Vec<_> = ids.filter_map(|id| self.row_json(&id)).collect();
            return Err(json!({"rows": rows, "ver": self.version}));
        }
        self.version += 1;
        for put_row in body.puts {
            self.put(put_row);
        }
        for removed_row in body.remove {
            self.remove(removed_row.id());
        }
        Ok(())
    }

    /// Replaces all rows of a table by `rows`.
    pub(crate) fn replace(&mut self, table: &str, rows: Vec<RowBody>) {
        self.version += 1;
        let new_ids: Vec<_> = rows.iter().map(RowBody::id).collect();
        let old_ids: Vec<_> = self
            .rows
            .keys()
            .filter(|id| id.0 == table)
            .cloned()
            .collect();
        for id in old_ids.into_iter().filter(|id| !new_ids.contains(id)) {
            self.remove(id);
        }
        for row in rows {
            self.put(row);
        }
    }

    /// Returns the response to a read of a range of keys.
    pub(crate) fn page(&self, query: &RangeQuery) -> Value {
        let is_in_range = |id: &RowId| {
            id.0 == query.table
                && id.1 == query.partition
                && id.2 >= query.from
                && query.to.as_ref().is_none_or(|to| id.2 < *to)
        };
        let ids: Vec<_> = self.rows.keys().filter(|id| is_in_range(id)).collect();
        let rows: Vec<_> = ids
            .iter()
            .take(query.limit)
            .filter_map(|id| self.row_json(id))
            .collect();
        json!({
            "rows": rows, "has_more": ids.len() > query.limit, "ver": self.version, "now_ms": steady_ms()
        })
    }

    /// Returns the response to a feed request, or `None` if the table has not
    /// changed after version `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the change history no longer reaches back to `after`.
    pub(crate) fn changes_after(&self, table: &str, after: u64) -> Result<Option<Value>, ()> {
        if after < self.forgotten_version {
            return Err(());
        }
        let is_newer = |change: &&Change| change.id.0 == table && change.version > after;
        let rows: Vec<_> = self
            .changes
            .iter()
            .filter(is_newer)
            .map(Change::json)
            .collect();
        let page = json!({"rows": rows, "ver": self.version, "now_ms": steady_ms()});
        Ok((!rows.is_empty()).then_some(page))
    }

    /// Drops the change history, so that a feed from an earlier version fails.
    pub(crate) fn forget_changes(&mut self) {
        self.forgotten_version = self.version;
        self.changes.clear();
    }

    /// Returns by row key how often a value that contains `text` was put.
    pub(crate) fn put_counts(&self, text: &str) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for (key, value) in &self.puts {
            if value.contains(text) {
                *counts.entry(key.as_str()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the version of a row, 0 if it does not exist.
    fn row_version(&self, id: &RowId) -> u64 {
        self.rows.get(id).map_or(0, |row| row.version)
    }

    fn row_json(&self, id: &RowId) -> Option<Value> {
        let row = self.rows.get(id)?;
        let (table, part, key) = id;
        Some(json!({
            "table": table, "part": part, "key": key, "value": row.value, "ver": row.version
        }))
    }

    fn put(&mut self, row: RowBody) {
        let version = self.version;
        let id = row.id();
        self.puts.push((row.key.clone(), row.decoded_value()));
        self.changes.push_back(Change {
            id: id.clone(),
            version,
            value: Some(row.value.clone()),
        });
        let stored_row = StoredRow {
            value: row.value,
            version,
        };
        self.rows.insert(id, stored_row);
    }

    fn remove(&mut self, id: RowId) {
        if self.rows.remove(&id).is_some() {
            self.changes.push_back(Change {
                id,
                version: self.version,
                value: None,
            });
        }
    }
}

impl Change {
    fn json(&self) -> Value {
        let (table, part, key) = &self.id;
        let mut row = json!({"table": table, "part": part, "key": key, "ver": self.version});
        match &self.value {
            Some(value) => row["value"] = json!(value),
            None => row["removed"] = json!(true),
        }
        row
    }
}

impl TransactionBody {
    /// Returns every row that the transaction puts or removes.
    pub(crate) fn changed_rows(&self) -> impl Iterator<Item = &RowBody> {
        self.puts.iter().chain(&self.remove)
    }

    /// Returns whether all rows are within the limits of the store.
    pub(crate) fn is_within_limits(&self) -> bool {
        let mut rows = self.if_rev.iter().chain(self.changed_rows());
        rows.all(RowBody::is_within_limits)
    }
}

impl RowBody {
    /// Returns the decoded value, with malformed UTF-8 replaced; empty if the value
    /// is not valid base64.
    pub(crate) fn decoded_value(&self) -> String {
        let bytes = BASE64.decode(&self.value).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn id(&self) -> RowId {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }

    fn is_within_limits(&self) -> bool {
        let names = [&self.table, &self.part, &self.key];
        names.iter().all(|name| name.len() <= NAME_MAX_BYTES)
            && self.value.len() <= ROW_MAX_BYTES.div_ceil(3) * 4
    }
}

/// Returns the steady clock of the stand-in, in milliseconds. It is far from the time of
/// day and from the uptime of any process.
pub(crate) fn steady_ms() -> u64 {
    static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
    let elapsed_ms = u64::try_from(STARTED.elapsed().as_millis()).unwrap_or(u64::MAX);
    CLOCK_START_MS + elapsed_ms
}
