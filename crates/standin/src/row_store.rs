//! Stand-in of the users' platform's store: rows, transactions and feeds.
//!
//! Tests play the operator and the servers through `/standin/rows`.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    FaultScript, Standin,
    http::{self as server, Body, Handler, Reply},
};

/// Rows of one answer.
const PAGE_MAX_ROWS: usize = 500;

/// Starts the store in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_row_store(listen: SocketAddr) -> io::Result<Standin> {
    let store = RowStore {
        faults: FaultScript::default(),
        inner: Mutex::default(),
        version: watch::Sender::new(0),
    };
    server::start(listen, Arc::new(store)).await
}

struct RowStore {
    faults: FaultScript,
    inner: Mutex<Inner>,
    version: watch::Sender<u64>,
}

type RowId = (String, String, String);

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    rows: BTreeMap<RowId, StoredRow>,
    changes: VecDeque<Change>,
    /// Changes up to this version are no longer known.
    forgotten: u64,
    transactions: u64,
}

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

#[derive(Debug, Deserialize)]
struct TransactionBody {
    #[serde(default)]
    if_rev: Vec<EntryBody>,
    #[serde(default)]
    puts: Vec<EntryBody>,
    #[serde(default)]
    remove: Vec<EntryBody>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct EntryBody {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
}

impl Handler for RowStore {
    fn faults(&self) -> &FaultScript {
        &self.faults
    }

    fn control(&self, request: Request<Bytes>) -> http::Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/standin/rows") => self.transact(&request),
            (&Method::POST, "/standin/forget") => {
                let mut inner = self.lock();
                inner.forgotten = inner.version;
                inner.changes.clear();
                server::text(StatusCode::OK, "forgotten\n")
            }
            (&Method::GET, "/standin/counts") => {
                server::json(&json!({"transactions": self.lock().transactions}))
            }
            _ => server::text(StatusCode::NOT_FOUND, "no such control\n"),
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::POST, "/rows-tx") if writes_to_others(&request) => {
                server::text(StatusCode::FORBIDDEN, "not your table\n")
            }
            (&Method::POST, "/rows-tx") => self.transact(&request),
            (&Method::GET, "/rows-get") => self.rows(&request),
            (&Method::GET, "/rows-feed") => self.feed(&request).await,
            _ => server::text(StatusCode::NOT_FOUND, "no such call\n"),
        })
    }
}

impl RowStore {
    fn transact(&self, request: &Request<Bytes>) -> http::Response<Body> {
        let body: TransactionBody = match server::decode(request) {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let mut inner = self.lock();
        inner.transactions += 1;
        let is_met = |entry: &EntryBody| inner.row_version(&entry.id()) == entry.ver;
        if !body.if_rev.iter().all(is_met) {
            let ids = body.if_rev.iter().map(EntryBody::id);
            let rows: Vec<_> = ids.filter_map(|id| inner.row_json(&id)).collect();
            let mut answer = server::json(&json!({"rows": rows, "ver": inner.version}));
            *answer.status_mut() = StatusCode::PRECONDITION_FAILED;
            return answer;
        }
        inner.version += 1;
        for put in body.puts {
            inner.put(put);
        }
        for removal in body.remove {
            inner.remove(removal.id());
        }
        self.version.send_replace(inner.version);
        server::json(&json!({"ver": inner.version, "now_ms": 0}))
    }

    fn rows(&self, request: &Request<Bytes>) -> http::Response<Body> {
        let text = |name: &str| server::query(request, name).unwrap_or_default();
        let (table, part) = (text("table"), text("part"));
        let (from, to) = (text("from"), server::query(request, "to"));
        let limit = text("limit")
            .parse()
            .unwrap_or(PAGE_MAX_ROWS)
            .min(PAGE_MAX_ROWS);
        let inner = self.lock();
        let is_in_range = |id: &RowId| {
            id.0 == table && id.1 == part && id.2 >= from && to.as_ref().is_none_or(|to| id.2 < *to)
        };
        let ids: Vec<_> = inner
            .rows
            .keys()
            .filter(|id| is_in_range(id))
            .cloned()
            .collect();
        let rows: Vec<_> = ids
            .iter()
            .take(limit)
            .filter_map(|id| inner.row_json(id))
            .collect();
        server::json(&json!({
            "rows": rows, "has_more": ids.len() > limit, "ver": inner.version, "now_ms": 0
        }))
    }

    async fn feed(&self, request: &Request<Bytes>) -> http::Response<Body> {
        let text = |name: &str| server::query(request, name).unwrap_or_default();
        let table = text("table");
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait_ms: u64 = text("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut versions = self.version.subscribe();
        loop {
            // Marks the version as seen before the changes are looked up.
            versions.borrow_and_update();
            if let Some(answer) = self.changes(&table, after) {
                return answer;
            }
            if timeout_at(until, versions.changed()).await.is_err() {
                return server::json(&json!({"rows": [], "ver": after, "now_ms": 0}));
            }
        }
    }

    fn changes(&self, table: &str, after: u64) -> Option<http::Response<Body>> {
        let inner = self.lock();
        if after < inner.forgotten {
            return Some(server::text(StatusCode::GONE, "history is gone\n"));
        }
        let is_news = |change: &&Change| change.id.0 == table && change.version > after;
        let rows: Vec<_> = inner
            .changes
            .iter()
            .filter(is_news)
            .map(Change::json)
            .collect();
        (!rows.is_empty())
            .then(|| server::json(&json!({"rows": rows, "ver": inner.version, "now_ms": 0})))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
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

impl EntryBody {
    fn id(&self) -> RowId {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

/// Programs of ours may not write where the operator and the servers do.
fn writes_to_others(request: &Request<Bytes>) -> bool {
    let Ok(body) = serde_json::from_slice::<TransactionBody>(request.body()) else {
        return false;
    };
    let mut entries = body.puts.iter().chain(&body.remove);
    entries.any(|entry| matches!(&*entry.table, "op" | "servers"))
}
