//! Routes: which requests go to which services, and on what terms.

use std::sync::Arc;

use model::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// Everything that the operator configured, as one version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration; higher replaces lower.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Sorted by host, then by path prefix.
    routes: Vec<Arc<Route>>,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host of its requests, in lower case.
    pub host: Arc<str>,
    /// Beginning of the path of its requests; ends with a slash.
    pub path_prefix: Arc<str>,
    /// What its requests are and what may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer, milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer begins (streams) or is complete,
    /// milliseconds.
    pub goal_ms: u64,
    /// Longest pause between events of an answer on time, milliseconds.
    pub pause_goal_ms: u64,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// Most upstreams that one request may run on.
    pub attempts_max: u32,
    /// Services with their shares of the requests.
    pub services: Vec<ServiceShare>,
}

/// What the requests of a route are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answered by a stream of events.
    Stream {
        /// Whether another upstream can go on after any event.
        is_resumable: bool,
    },
    /// Jobs of many items.
    Batch(BatchDeadlines),
}

/// Times of a route's jobs, counted from the moment of their submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchDeadlines {
    /// When all results are due, milliseconds.
    pub due_after_ms: u64,
    /// When an unfinished item may be given up, milliseconds.
    pub give_up_after_ms: u64,
}

/// Share of a route's requests that one service gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, bytes.
    pub header_max_bytes: u64,
    /// Longest body, bytes.
    pub body_max_bytes: u64,
    /// Longest time for the head of a request, milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time between requests of a connection, milliseconds.
    pub idle_timeout_ms: u64,
}

impl RouteTable {
    /// A table of `routes` in any order.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, limits: CallerLimits) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        Self {
            version,
            limits,
            routes,
        }
    }

    /// The route of a request: of the host's routes, that with the longest
    /// prefix of the path. A port in `host` does not matter.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.of_host(host)
            .iter()
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Whether a host has a route of jobs.
    #[must_use]
    pub fn has_batch_route(&self, host: &str) -> bool {
        self.of_host(host)
            .iter()
            .any(|route| matches!(route.kind, RouteKind::Batch(_)))
    }

    /// All routes.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    fn of_host(&self, host: &str) -> &[Arc<Route>] {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        let first = self.routes.partition_point(|route| *route.host < *name);
        let end = self.routes.partition_point(|route| *route.host <= *name);
        &self.routes[first..end]
    }
}

impl Route {
    /// The service of a request. The same id always gets the same service.
    #[must_use]
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = xxh3_64(request_id.as_bytes()).checked_rem(total)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }

    /// Whether a request may run on another upstream after it may have run.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch(_) => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { is_resumable } => is_resumable,
        }
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. } | RouteKind::Batch(_))
    }
}
