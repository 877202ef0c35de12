//! Stand-in of the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use store::{InstanceListing, TransactRequest, paths};
use tokio::time::Instant;

use crate::{
    FaultScript, Standin,
    http::{self as server, Body, Handler, Reply},
    table::Table,
};

/// Rows of a page if the request names no limit.
const PAGE_DEFAULT_ROWS: usize = 1_000;

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
    /// Reads of rows and pages.
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
    };
    server::start(listen, Arc::new(state)).await
}

struct State {
    settings: PlatformSettings,
    faults: FaultScript,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    table: Table,
    objects: BTreeMap<String, Bytes>,
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
                server::json(&self.lock().table.put_counts(&text))
            }
            (&Method::PUT, "/standin/instances") => self.set_instances(&request),
            _ => server::text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        if let Some(name) = path.strip_prefix(paths::OBJECTS) {
            return Ok(self.object(request, &server::unescape(name)));
        }
        Ok(match (request.method(), path.as_str()) {
            (&Method::POST, paths::TRANSACT) => self.transact(&request),
            (&Method::GET, paths::ROW) => self.row(&request),
            (&Method::GET, paths::ROWS) => self.rows(&request),
            (&Method::GET, paths::INSTANCES) => self.instances(),
            _ => server::text(StatusCode::NOT_FOUND, "no such path\n"),
        })
    }
}

impl State {
    fn set_instances(&self, request: &Request<Bytes>) -> Response<Body> {
        match server::decode::<InstanceListing>(request) {
            Ok(listing) => {
                self.lock().listings.push_back((Instant::now(), listing));
                server::text(StatusCode::OK, "set\n")
            }
            Err(answer) => answer,
        }
    }

    fn transact(&self, request: &Request<Bytes>) -> Response<Body> {
        match server::decode::<TransactRequest>(request) {
            Ok(transaction) => {
                let mut inner = self.lock();
                inner.counts.table_writes += 1;
                server::json(&inner.table.transact(transaction))
            }
            Err(answer) => answer,
        }
    }

    fn row(&self, request: &Request<Bytes>) -> Response<Body> {
        let key = server::query(request, "key").unwrap_or_default();
        let mut inner = self.lock();
        inner.counts.table_reads += 1;
        match inner.table.row(&key) {
            Some(row) => server::json(row),
            None => server::text(StatusCode::NOT_FOUND, "no such row\n"),
        }
    }

    fn rows(&self, request: &Request<Bytes>) -> Response<Body> {
        let prefix = server::query(request, "prefix").unwrap_or_default();
        let after = server::query(request, "after");
        let limit = server::query(request, "limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(PAGE_DEFAULT_ROWS);
        let mut inner = self.lock();
        inner.counts.table_reads += 1;
        server::json(&inner.table.page(&prefix, after.as_deref(), limit))
    }

    fn object(&self, request: Request<Bytes>, name: &str) -> Response<Body> {
        match *request.method() {
            Method::PUT => {
                let mut inner = self.lock();
                inner.counts.object_writes += 1;
                inner.objects.insert(name.to_owned(), request.into_body());
                server::text(StatusCode::OK, "written\n")
            }
            Method::DELETE => {
                let mut inner = self.lock();
                inner.counts.object_writes += 1;
                inner.objects.remove(name);
                server::text(StatusCode::OK, "removed\n")
            }
            Method::GET => self.read_object(&request, name),
            _ => server::text(StatusCode::METHOD_NOT_ALLOWED, "no\n"),
        }
    }

    fn read_object(&self, request: &Request<Bytes>, name: &str) -> Response<Body> {
        let mut inner = self.lock();
        inner.counts.object_reads += 1;
        let Some(content) = inner.objects.get(name).cloned() else {
            return server::text(StatusCode::NOT_FOUND, "no such object\n");
        };
        drop(inner);
        let Some(range) = request.headers().get(header::RANGE) else {
            return Response::new(server::full(content));
        };
        let Some((first, last)) = parse_range(range) else {
            return server::text(StatusCode::RANGE_NOT_SATISFIABLE, "malformed range\n");
        };
        let end = last.saturating_add(1).min(content.len());
        let mut response = Response::new(server::full(content.slice(first.min(end)..end)));
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
        response
    }

    /// The newest listing that is old enough.
    fn instances(&self) -> Response<Body> {
        let lag = Duration::from_millis(self.settings.instances_lag_ms);
        let mut inner = self.lock();
        inner.counts.instance_reads += 1;
        let seen = |set_at: Instant| set_at.elapsed() >= lag;
        while inner.listings.get(1).is_some_and(|next| seen(next.0)) {
            inner.listings.pop_front();
        }
        match inner.listings.front() {
            Some((set_at, listing)) if seen(*set_at) => server::json(listing),
            _ => server::json(&InstanceListing {
                instances: Vec::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// First and last byte of `bytes=a-b`.
fn parse_range(value: &http::HeaderValue) -> Option<(usize, usize)> {
    let (first, last) = value
        .to_str()
        .ok()?
        .strip_prefix("bytes=")?
        .split_once('-')?;
    let last = if last.is_empty() {
        usize::MAX
    } else {
        last.parse().ok()?
    };
    Some((first.parse().ok()?, last))
}
