//! Routes: which requests go to which services, and with which limits.

use std::sync::Arc;

use model::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::{customers::CustomerTable, prompt_placement::ServiceMemory};

/// One version of the configuration of the operator.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration. A higher version replaces a lower one.
    pub version: u64,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The customers; `None` if the configuration names none, so that requests need no key.
    pub customers: Option<Arc<CustomerTable>>,
    /// Memory of the upstreams of the services that keep prompts.
    pub prompt_memory: Vec<ServiceMemory>,
    /// Paths of the health checks of the services that have one.
    health_paths: Vec<(ServiceName, Arc<str>)>,
    /// Sorted by host, then by path prefix.
    routes: Vec<Arc<Route>>,
}

/// A route, with the services and limits for the requests that match it.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Arc<str>,
    /// Host of the matching requests, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path of the matching requests. It ends with a slash.
    pub path_prefix: Arc<str>,
    /// Kind of the requests, which decides whether they may be retried.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to its final answer,
    /// milliseconds.
    pub timeout_ms: u64,
    /// Latency goal, milliseconds: time within which a streamed answer begins,
    /// and any other answer is complete.
    pub goal_ms: u64,
    /// Goal for the maximum pause between two events of a streamed answer,
    /// milliseconds.
    pub pause_goal_ms: u64,
    /// Priority among the routes; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key, although the configuration names customers.
    pub is_public: bool,
    /// Whether requests name the parts of their prompts, which upstreams keep.
    pub names_prompt_parts: bool,
    /// Maximum number of attempts that may run one request.
    pub attempts_max: u32,
    /// Services that share the requests, with their weights.
    pub services: Vec<ServiceShare>,
}

/// Kind of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that must run at most once.
    NonIdempotent,
    /// Requests that are answered by a stream of events.
    Stream {
        /// Whether another upstream can resume the stream after any event.
        is_resumable: bool,
    },
    /// Batch jobs of many items.
    Batch(BatchTerms),
}

/// Terms of the jobs of a route. Times count from the submission of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchTerms {
    /// Time after which all results are due, milliseconds.
    pub due_after_ms: u64,
    /// Time after which an incomplete item may be abandoned, milliseconds.
    pub give_up_after_ms: u64,
    /// Maximum number of tokens of all accepted items that wait for a result, or `None`
    /// if there is no limit.
    pub waiting_tokens_max: Option<u64>,
}

/// Share of the requests of a route that one service receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, bytes.
    pub header_max_bytes: u64,
    /// Maximum size of a request body, bytes.
    pub body_max_bytes: u64,
    /// Maximum time until the head of a request is complete, milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time between two requests of a connection, milliseconds.
    pub idle_timeout_ms: u64,
}

impl RouteTable {
    /// Creates a table of `routes`, which may be in any order.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, limits: CallerLimits) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        Self {
            version,
            limits,
            customers: None,
            prompt_memory: Vec::new(),
            health_paths: Vec::new(),
            routes,
        }
    }

    /// Sets the customers.
    #[must_use]
    pub fn with_customers(mut self, customers: CustomerTable) -> Self {
        self.customers = Some(Arc::new(customers));
        self
    }

    /// Sets the memory of the upstreams of the services that keep prompts.
    #[must_use]
    pub fn with_prompt_memory(mut self, memory: Vec<ServiceMemory>) -> Self {
        self.prompt_memory = memory;
        self
    }

    /// Sets the paths of the health checks of services.
    #[must_use]
    pub fn with_health_paths(mut self, mut paths: Vec<(ServiceName, Arc<str>)>) -> Self {
        paths.sort();
        self.health_paths = paths;
        self
    }

    /// Returns the path of the health check of a service, or `None` if it has none.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<&str> {
        let paths = &self.health_paths;
        let index = paths.binary_search_by(|(name, _)| name.cmp(service)).ok()?;
        Some(&paths[index].1)
    }

    /// Returns the route of a request: among the routes of the host, the one
    /// with the longest matching path prefix. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.host_routes(host)
            .iter()
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns whether a host has a route for batch jobs.
    #[must_use]
    pub fn has_batch_route(&self, host: &str) -> bool {
        self.batch_routes(host).next().is_some()
    }

    /// Returns whether a host has a route for batch jobs that needs no key.
    #[must_use]
    pub fn has_public_batch_route(&self, host: &str) -> bool {
        self.batch_routes(host).any(|route| route.is_public)
    }

    /// Returns all routes, sorted by host and path prefix.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    fn batch_routes(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        let routes = self.host_routes(host).iter();
        routes.filter(|route| matches!(route.kind, RouteKind::Batch(_)))
    }

    fn host_routes(&self, host: &str) -> &[Arc<Route>] {
        let name = normalize_host(host);
        let first = self.routes.partition_point(|route| *route.host < *name);
        let end = self.routes.partition_point(|route| *route.host <= *name);
        &self.routes[first..end]
    }
}

impl Route {
    /// Returns the service for a request, or `None` if the weights add up to 0.
    /// The same request id is always assigned to the same service.
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

    /// Returns whether a request may be retried at another upstream after an
    /// attempt that may have run it.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch(_) => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the requests are answered by streams of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. } | RouteKind::Batch(_))
    }
}

/// Returns the name of a host as routes hold it: without the port, and in lower case.
#[must_use]
pub fn normalize_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
