//! Operators' HTTP API.

mod config;
mod listings;
mod refusal;

use std::sync::Arc;

use salvo::{Router, Service, catcher::Catcher};

use crate::node::Node;

/// Routes of the API.
pub(crate) fn service(node: &Arc<Node>) -> Service {
    let config = Router::with_path("config")
        .get(config::Show::new(node))
        .put(config::Apply::new(node))
        .push(Router::with_path("status").get(config::Status::new(node)));
    let jobs = Router::with_path("jobs")
        .get(listings::Jobs::new(node))
        .push(Router::with_path("{id}").get(listings::Job::new(node)));
    let root = Router::with_path("v1")
        .push(config)
        .push(jobs)
        .push(Router::with_path("upstreams").get(listings::Upstreams::new(node)))
        .push(Router::with_path("instances").get(listings::Instances::new(node)))
        .push(Router::with_path("audit").get(listings::Audit::new(node)));
    Service::new(Router::new().push(root)).catcher(Catcher::new(refusal::refuse_unrouted))
}
