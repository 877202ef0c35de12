//! Stand-in of the platform's store: rows, transactions, feeds and objects.
//!
//! Tests play the operator, the servers and the platform's list of instances
//! through `/standin/`.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use store::{INSTANCES_TABLE, InstanceListing, ListedInstance};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    FaultScript, Standin,
    http::{self as server, Body, Handler, Reply},
    table::{EntryBody, RangeQuery, Tables, TransactionBody},
};

/// Rows of one answer.
const PAGE_MAX_ROWS: usize = 500;

/// Parameters of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// How far the list of instances lags behind, milliseconds.
    pub instances_lag_ms: u64,
}

/// Requests that took effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions, conflicts included.
    pub table_writes: u64,
    /// Reads of rows, but for those of the instance list.
    pub table_reads: u64,
    /// Objects written or removed.
    pub object_writes: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Reads of the instance list.
    pub instance_reads: u64,
}

/// Starts the platform in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_platform(settings: PlatformSettings) -> io::Result<Standin> {
    let listen = settings.listen;
    let state = State {
        settings,
        faults: FaultScript::default(),
        inner: Mutex::default(),
        version: watch::Sender::new(0),
    };
    server::start(listen, Arc::new(state)).await
}

struct State {
    settings: PlatformSettings,
    faults: FaultScript,
    inner: Mutex<Inner>,
    version: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    tables: Tables,
    objects: BTreeMap<String, Bytes>,
    /// Lists of instances that nobody sees yet.
    listings: VecDeque<(Instant, InstanceListing)>,
    counts: PlatformCounts,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            instances_lag_ms: 0,
        }
    }
}

impl Handler for State {
    fn faults(&self) -> &FaultScript {
        &self.faults
    }

    fn control(&self, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/counts") => server::json(&self.lock().counts),
            (&Method::GET, "/standin/puts") => {
                let text = server::query(&request, "contains").unwrap_or_default();
                server::json(&self.lock().tables.put_counts(&text))
            }
            (&Method::PUT, "/standin/instances") => self.set_instances(&request),
            (&Method::POST, "/standin/rows") => self.transact(&request),
            (&Method::POST, "/standin/forget") => {
                self.lock().tables.forget();
                server::text(StatusCode::OK, "forgotten\n")
            }
            _ => server::text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    /// The body with the values of its rows in plain text.
    fn searchable(&self, request: &Request<Bytes>) -> Bytes {
        let body = request.body();
        let Ok(transaction) = serde_json::from_slice::<TransactionBody>(body) else {
            return body.clone();
        };
        let mut text = String::from_utf8_lossy(body).into_owned();
        for entry in transaction.changed() {
            text.push('\n');
            text.push_str(&entry.text());
        }
        Bytes::from(text)
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        for call in ["/blob-put/", "/blob-get/", "/blob-drop/"] {
            if let Some(name) = path.strip_prefix(call) {
                return Ok(self.object(request, server::unescape(name)));
            }
        }
        Ok(match (request.method(), path.as_str()) {
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

impl State {
    fn transact(&self, request: &Request<Bytes>) -> Response<Body> {
        let body: TransactionBody = match server::decode(request) {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let mut inner = self.lock();
        inner.counts.table_writes += 1;
        if let Err(conflict) = inner.tables.transact(body) {
            let mut answer = server::json(&conflict);
            *answer.status_mut() = StatusCode::PRECONDITION_FAILED;
            return answer;
        }
        let version = inner.tables.version();
        self.version.send_replace(version);
        server::json(&json!({"ver": version, "now_ms": 0}))
    }

    fn rows(&self, request: &Request<Bytes>) -> Response<Body> {
        let text = |name: &str| server::query(request, name).unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(PAGE_MAX_ROWS);
        let query = RangeQuery {
            table: text("table"),
            partition: text("part"),
            from: text("from"),
            to: server::query(request, "to"),
            limit: limit.min(PAGE_MAX_ROWS),
        };
        let mut inner = self.lock();
        if query.table == INSTANCES_TABLE {
            inner.counts.instance_reads += 1;
            self.show_listings(&mut inner);
        } else {
            inner.counts.table_reads += 1;
        }
        server::json(&inner.tables.page(&query))
    }

    async fn feed(&self, request: &Request<Bytes>) -> Response<Body> {
        let text = |name: &str| server::query(request, name).unwrap_or_default();
        let table = text("table");
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait_ms: u64 = text("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut versions = self.version.subscribe();
        loop {
            // Marks the version as seen before the changes are looked up.
            versions.borrow_and_update();
            match self.lock().tables.changes(&table, after) {
                Ok(Some(answer)) => return server::json(&answer),
                Ok(None) => {}
                Err(()) => return server::text(StatusCode::GONE, "history is gone\n"),
            }
            if timeout_at(until, versions.changed()).await.is_err() {
                return server::json(&json!({"rows": [], "ver": after, "now_ms": 0}));
            }
        }
    }

    fn object(&self, request: Request<Bytes>, name: String) -> Response<Body> {
        let mut inner = self.lock();
        match *request.method() {
            Method::PUT => {
                inner.counts.object_writes += 1;
                inner.objects.insert(name, request.into_body());
                server::text(StatusCode::OK, "written\n")
            }
            Method::DELETE => {
                inner.counts.object_writes += 1;
                inner.objects.remove(&name);
                server::text(StatusCode::OK, "removed\n")
            }
            Method::GET => {
                inner.counts.object_reads += 1;
                match inner.objects.get(&name) {
                    Some(content) => Response::new(server::full(content.clone())),
                    None => server::text(StatusCode::NOT_FOUND, "no such object\n"),
                }
            }
            _ => server::text(StatusCode::METHOD_NOT_ALLOWED, "no\n"),
        }
    }

    fn set_instances(&self, request: &Request<Bytes>) -> Response<Body> {
        match server::decode::<InstanceListing>(request) {
            Ok(listing) => {
                let shown_at =
                    Instant::now() + Duration::from_millis(self.settings.instances_lag_ms);
                self.lock().listings.push_back((shown_at, listing));
                server::text(StatusCode::OK, "set\n")
            }
            Err(answer) => answer,
        }
    }

    /// Writes the newest listing that is old enough.
    fn show_listings(&self, inner: &mut Inner) {
        let now = Instant::now();
        let mut shown = None;
        while inner.listings.front().is_some_and(|(at, _)| *at <= now) {
            shown = inner.listings.pop_front();
        }
        let Some((_, listing)) = shown else { return };
        let rows = listing.instances.iter().map(instance_row).collect();
        inner.tables.replace(INSTANCES_TABLE, rows);
        self.version.send_replace(inner.tables.version());
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn instance_row(instance: &ListedInstance) -> EntryBody {
    EntryBody {
        table: INSTANCES_TABLE.to_owned(),
        part: String::new(),
        key: instance.id.clone(),
        value: BASE64.encode(json!(instance).to_string()),
        ver: 0,
    }
}

/// Programs of ours may not write where the operator and the servers do.
fn writes_to_others(request: &Request<Bytes>) -> bool {
    let Ok(body) = serde_json::from_slice::<TransactionBody>(request.body()) else {
        return false;
    };
    body.changed()
        .any(|entry| matches!(&*entry.table, "op" | "servers" | INSTANCES_TABLE))
}
