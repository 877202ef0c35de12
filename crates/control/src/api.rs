//! HTTP API for operators.

mod config;
mod listings;
mod refusal;

use std::sync::Arc;

use salvo::{Router, Service, catcher::Catcher};

use crate::node::Node;

/// Returns the HTTP service with the routes of the API.
pub(crate) fn service(node: &Arc<Node>) -> Service {
    let config = Router::with_path("config")
        .get(config::GetConfig::new(node))
        .put(config::PutConfig::new(node))
        .push(Router::with_path("status").get(config::GetConfigStatus::new(node)));
    let jobs = Router::with_path("jobs")
        .get(listings::ListJobs::new(node))
        .push(Router::with_path("{id}").get(listings::GetJob::new(node)));
    let root = Router::with_path("v1")
        .push(config)
        .push(jobs)
        .push(Router::with_path("upstreams").get(listings::ListUpstreams::new(node)))
        .push(Router::with_path("instances").get(listings::ListInstances::new(node)))
        .push(Router::with_path("audit").get(listings::ListAuditRecords::new(node)));
    Service::new(Router::new().push(root)).catcher(Catcher::new(refusal::refuse_unrouted))
}
