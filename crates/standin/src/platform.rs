//! Stand-in for the platform's store: rows, transactions, feeds and objects.
//!
//! Tests use the `/standin/` paths to write the rows that the operator, the
//! servers and the platform itself write on the real platform.

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
    table::{RangeQuery, RowBody, Tables, TransactionBody, steady_ms},
};

/// Maximum number of rows of one response.
const PAGE_MAX_ROWS: usize = 500;

/// Parameters of the stand-in platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Delay until a new list of instances becomes visible, in milliseconds.
    pub instances_lag_ms: u64,
}

/// Numbers of requests that took effect, as read from `/standin/counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions, including those that ended in a conflict.
    pub table_writes: u64,
    /// Reads of rows, except those of the instance list.
    pub table_reads: u64,
    /// Writes and removals of objects.
    pub object_writes: u64,
    /// Reads of objects, including those of objects that do not exist.
    pub object_reads: u64,
    /// Reads of the instance list.
    pub instance_reads: u64,
}

/// Starts a stand-in platform in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_platform(settings: PlatformSettings) -> io::Result<Standin> {
    let listen = settings.listen;
    let platform = Platform {
        settings,
        faults: FaultScript::default(),
        state: Mutex::default(),
        version: watch::Sender::new(0),
    };
    server::start(listen, Arc::new(platform)).await
}

struct Platform {
    settings: PlatformSettings,
    faults: FaultScript,
    state: Mutex<PlatformState>,
    /// Version of the latest change of the rows; wakes feed requests that wait.
    version: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct PlatformState {
    tables: Tables,
    /// Contents by object name.
    objects: BTreeMap<String, Bytes>,
    /// Lists of instances that are not visible yet, each with the time from which
    /// it is.
    pending_listings: VecDeque<(Instant, InstanceListing)>,
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

impl Handler for Platform {
    fn faults(&self) -> &FaultScript {
        &self.faults
    }

    fn handle_control(&self, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/counts") => server::json_response(&self.lock().counts),
            (&Method::GET, "/standin/puts") => {
                let text = server::query_parameter(&request, "contains").unwrap_or_default();
                server::json_response(&self.lock().tables.put_counts(&text))
            }
            (&Method::PUT, "/standin/instances") => self.set_instances(&request),
            (&Method::POST, "/standin/rows") => self.transact(&request),
            (&Method::POST, "/standin/forget") => {
                self.lock().tables.forget_changes();
                server::text_response(StatusCode::OK, "forgotten\n")
            }
            _ => server::text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    /// Appends the decoded values of the rows of a transaction to its body, because
    /// the body holds them in base64. A read has no body and is searched by its query.
    fn searchable_body(&self, request: &Request<Bytes>) -> Bytes {
        let body = request.body();
        if request.method() == Method::GET {
            let query = request.uri().query().unwrap_or_default();
            return Bytes::copy_from_slice(query.as_bytes());
        }
        let Ok(transaction) = serde_json::from_slice::<TransactionBody>(body) else {
            return body.clone();
        };
        let mut searchable_text = String::from_utf8_lossy(body).into_owned();
        for row in transaction.changed_rows() {
            searchable_text.push('\n');
            searchable_text.push_str(&row.decoded_value());
        }
        Bytes::from(searchable_text)
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        for prefix in ["/blob-put/", "/blob-get/", "/blob-drop/"] {
            if let Some(name) = path.strip_prefix(prefix) {
                return Ok(self.handle_object(request, server::percent_decode(name)));
            }
        }
        Ok(match (request.method(), path.as_str()) {
            (&Method::POST, "/rows-tx") => {
                refusal_to_program(&request).unwrap_or_else(|| self.transact(&request))
            }
            (&Method::GET, "/rows-get") => self.read_rows(&request),
            (&Method::GET, "/rows-feed") => self.poll_feed(&request).await,
            _ => server::text_response(StatusCode::NOT_FOUND, "no such path\n"),
        })
    }
}

impl Platform {
    fn transact(&self, request: &Request<Bytes>) -> Response<Body> {
        let body: TransactionBody = match server::decode_json(request) {
            Ok(body) => body,
            Err(response) => return response,
        };
        let mut state = self.lock();
        state.counts.table_writes += 1;
        if let Err(conflict) = state.tables.transact(body) {
            let mut response = server::json_response(&conflict);
            *response.status_mut() = StatusCode::PRECONDITION_FAILED;
            return response;
        }
        let version = state.tables.version();
        self.version.send_replace(version);
        server::json_response(&json!({"ver": version, "now_ms": steady_ms()}))
    }

    fn read_rows(&self, request: &Request<Bytes>) -> Response<Body> {
        let parameter = |name: &str| server::query_parameter(request, name).unwrap_or_default();
        let limit = parameter("limit").parse().unwrap_or(PAGE_MAX_ROWS);
        let query = RangeQuery {
            table: parameter("table"),
            partition: parameter("part"),
            from: parameter("from"),
            to: server::query_parameter(request, "to"),
            limit: limit.min(PAGE_MAX_ROWS),
        };
        let mut state = self.lock();
        if query.table == INSTANCES_TABLE {
            state.counts.instance_reads += 1;
            self.apply_due_listings(&mut state);
        } else {
            state.counts.table_reads += 1;
        }
        server::json_response(&state.tables.page(&query))
    }

    async fn poll_feed(&self, request: &Request<Bytes>) -> Response<Body> {
        let parameter = |name: &str| server::query_parameter(request, name).unwrap_or_default();
        let table = parameter("table");
        let after: u64 = parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut versions = self.version.subscribe();
        loop {
            // The version is marked as seen before the changes are looked up, so
            // that a change made in between wakes the wait below.
            versions.borrow_and_update();
            match self.lock().tables.changes_after(&table, after) {
                Ok(Some(page)) => return server::json_response(&page),
                Ok(None) => {}
                Err(()) => return server::text_response(StatusCode::GONE, "feed history gone\n"),
            }
            if timeout_at(deadline, versions.changed()).await.is_err() {
                return server::json_response(
                    &json!({"rows": [], "ver": after, "now_ms": steady_ms()}),
                );
            }
        }
    }

    fn handle_object(&self, request: Request<Bytes>, name: String) -> Response<Body> {
        let mut state = self.lock();
        match *request.method() {
            Method::PUT => {
                state.counts.object_writes += 1;
                state.objects.insert(name, request.into_body());
                server::text_response(StatusCode::OK, "written\n")
            }
            Method::DELETE => {
                state.counts.object_writes += 1;
                state.objects.remove(&name);
                server::text_response(StatusCode::OK, "removed\n")
            }
            Method::GET => {
                state.counts.object_reads += 1;
                match state.objects.get(&name) {
                    Some(content) => Response::new(server::full_body(content.clone())),
                    None => server::text_response(StatusCode::NOT_FOUND, "no such object\n"),
                }
            }
            _ => server::text_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
        }
    }

    fn set_instances(&self, request: &Request<Bytes>) -> Response<Body> {
        match server::decode_json::<InstanceListing>(request) {
            Ok(listing) => {
                let visible_at =
                    Instant::now() + Duration::from_millis(self.settings.instances_lag_ms);
                self.lock()
                    .pending_listings
                    .push_back((visible_at, listing));
                server::text_response(StatusCode::OK, "set\n")
            }
            Err(response) => response,
        }
    }

    /// Writes the newest list of instances that has become visible into its table.
    fn apply_due_listings(&self, state: &mut PlatformState) {
        let now = Instant::now();
        let mut newest = None;
        while state
            .pending_listings
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            newest = state.pending_listings.pop_front();
        }
        let Some((_, listing)) = newest else { return };
        let rows = listing.instances.iter().map(instance_row).collect();
        state.tables.replace(INSTANCES_TABLE, rows);
        self.version.send_replace(state.tables.version());
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn instance_row(instance: &ListedInstance) -> RowBody {
    RowBody {
        table: INSTANCES_TABLE.to_owned(),
        part: String::new(),
        key: instance.id.clone(),
        value: BASE64.encode(json!(instance).to_string()),
        ver: 0,
    }
}

/// Returns the refusal of a transaction that the programs under test must not make: it writes to
/// a table that only the operator, the servers or the platform itself write, or it is not within
/// the limits of the store.
fn refusal_to_program(request: &Request<Bytes>) -> Option<Response<Body>> {
    let body = serde_json::from_slice::<TransactionBody>(request.body()).ok()?;
    let is_restricted = |row: &RowBody| matches!(&*row.table, "op" | "servers" | INSTANCES_TABLE);
    let (status, message) = if body.changed_rows().any(is_restricted) {
        let message = "programs may not write to this table\n";
        (StatusCode::FORBIDDEN, message)
    } else if !body.is_within_limits() {
        (StatusCode::BAD_REQUEST, "a name or a value is too long\n")
    } else {
        return None;
    };
    Some(server::text_response(status, message))
}
