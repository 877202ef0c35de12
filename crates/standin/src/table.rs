//! Rows of all tables with one counter of versions, in memory.

use std::collections::{BTreeMap, VecDeque};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use serde::Deserialize;
use serde_json::{Value, json};

/// Rows, and the changes that feeds tell of.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    version: u64,
    rows: BTreeMap<RowId, StoredRow>,
    changes: VecDeque<Change>,
    /// Changes up to this version are no longer known.
    forgotten: u64,
    /// Every put that took effect: key and decoded value.
    puts: Vec<(String, String)>,
}

/// Table, partition and key.
type RowId = (String, String, String);

#[derive(Debug, Clone)]
struct StoredRow {
    value: String,
    version: u64,
}

#[derive(Debug, Clone)]
struct Change {
    id: RowId,
    version: u64,
    /// `None` if the row was removed.
    value: Option<String>,
}

/// A transaction as it stands on the wire.
#[derive(Debug, Deserialize)]
pub(crate) struct TransactionBody {
    #[serde(default)]
    if_rev: Vec<EntryBody>,
    #[serde(default)]
    puts: Vec<EntryBody>,
    #[serde(default)]
    remove: Vec<EntryBody>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct EntryBody {
    pub(crate) table: String,
    #[serde(default)]
    pub(crate) part: String,
    pub(crate) key: String,
    /// Base64.
    #[serde(default)]
    pub(crate) value: String,
    #[serde(default)]
    pub(crate) ver: u64,
}

/// A read as it stands on the wire.
#[derive(Debug, Default)]
pub(crate) struct RangeQuery {
    pub(crate) table: String,
    pub(crate) partition: String,
    pub(crate) from: String,
    pub(crate) to: Option<String>,
    pub(crate) limit: usize,
}

impl Tables {
    /// Version of the last change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Applies all changes if all conditions hold; else gives the answer with
    /// the rows as they are.
    pub(crate) fn transact(&mut self, body: TransactionBody) -> Result<(), Value> {
        let is_met = |entry: &EntryBody| self.row_version(&entry.id()) == entry.ver;
        if !body.if_rev.iter().all(is_met) {
            let ids = body.if_rev.iter().map(EntryBody::id);
            let rows: Vec<_> = ids.filter_map(|id| self.row_json(&id)).collect();
            return Err(json!({"rows": rows, "ver": self.version}));
        }
        self.version += 1;
        for put in body.puts {
            self.put(put);
        }
        for removal in body.remove {
            self.remove(removal.id());
        }
        Ok(())
    }

    /// Makes a table hold just these rows.
    pub(crate) fn replace(&mut self, table: &str, rows: Vec<EntryBody>) {
        self.version += 1;
        let kept: Vec<_> = rows.iter().map(EntryBody::id).collect();
        let old: Vec<_> = self
            .rows
            .keys()
            .filter(|id| id.0 == table)
            .cloned()
            .collect();
        for id in old.into_iter().filter(|id| !kept.contains(id)) {
            self.remove(id);
        }
        for row in rows {
            self.put(row);
        }
    }

    /// Answer to a read of a range.
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
            "rows": rows, "has_more": ids.len() > query.limit, "ver": self.version, "now_ms": 0
        })
    }

    /// Answer to a feed, if a table changed after a version; an error if the
    /// changes since are not known any more.
    pub(crate) fn changes(&self, table: &str, after: u64) -> Result<Option<Value>, ()> {
        if after < self.forgotten {
            return Err(());
        }
        let is_news = |change: &&Change| change.id.0 == table && change.version > after;
        let rows: Vec<_> = self
            .changes
            .iter()
            .filter(is_news)
            .map(Change::json)
            .collect();
        let answer = json!({"rows": rows, "ver": self.version, "now_ms": 0});
        Ok((!rows.is_empty()).then_some(answer))
    }

    /// Forgets all changes so far.
    pub(crate) fn forget(&mut self) {
        self.forgotten = self.version;
        self.changes.clear();
    }

    /// How often each key was put with a value that contains `text`.
    pub(crate) fn put_counts(&self, text: &str) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for (key, value) in &self.puts {
            if value.contains(text) {
                *counts.entry(key.as_str()).or_default() += 1;
            }
        }
        counts
    }

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

    fn put(&mut self, entry: EntryBody) {
        let version = self.version;
        let id = entry.id();
        self.puts.push((entry.key.clone(), entry.text()));
        self.changes.push_back(Change {
            id: id.clone(),
            version,
            value: Some(entry.value.clone()),
        });
        let row = StoredRow {
            value: entry.value,
            version,
        };
        self.rows.insert(id, row);
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
    /// Every row to be changed.
    pub(crate) fn changed(&self) -> impl Iterator<Item = &EntryBody> {
        self.puts.iter().chain(&self.remove)
    }
}

impl EntryBody {
    /// The value, decoded.
    pub(crate) fn text(&self) -> String {
        let content = BASE64.decode(&self.value).unwrap_or_default();
        String::from_utf8_lossy(&content).into_owned()
    }

    fn id(&self) -> RowId {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}
