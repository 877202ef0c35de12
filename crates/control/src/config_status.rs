//! Collects the configuration version that is in force on each node of the
//! fleet.

use std::{sync::Arc, time::Duration};

use membership::NodeRecord;
use peer::{NodeStatus, PeerRequest, PeerResponse};
use serde::Serialize;
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, timeout_at},
};

use crate::node::Node;

/// Time-out of a request to one node of this region.
const NODE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time within which the status of all nodes of a region is collected.
const REGION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of nodes that are asked concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Configuration versions in force across the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConfigStatus {
    /// Highest version that any node has in force.
    pub version: u64,
    /// Number of nodes on which that version is in force.
    pub confirmed: usize,
    /// Number of nodes that were asked. Nodes of unreachable regions are not
    /// counted.
    pub total: usize,
    /// Regions in which no node responded, sorted.
    pub unreachable_regions: Vec<String>,
    /// All nodes that were asked, sorted by region and id.
    pub nodes: Vec<NodeConfigStatus>,
}

/// One node of a [`ConfigStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeConfigStatus {
    /// Instance id of the node.
    pub id: String,
    /// Region of the node.
    pub region: String,
    /// Version in force on the node; `None` if the node did not respond.
    pub version: Option<u64>,
    /// Whether the highest version is in force on the node.
    pub confirmed: bool,
}

/// Asks every node of the fleet: the nodes of this region directly, and those
/// of each other region through one node of that region.
pub(crate) async fn fleet_status(node: &Arc<Node>) -> ConfigStatus {
    let mut regions = JoinSet::new();
    for summary in node.other_regions() {
        let node = Arc::clone(node);
        regions.spawn(async move {
            let response = other_region_status(&node, &summary.sample).await;
            (summary.region, response)
        });
    }
    let mut nodes = region_status(node).await;
    let mut unreachable_regions = Vec::new();
    while let Some(joined) = regions.join_next().await {
        match joined {
            Ok((_, Some(response))) => nodes.extend(response),
            Ok((region, None)) => unreachable_regions.push(region.to_string()),
            Err(error) => log::error!("event=status_failed error={}", process::quote(&error)),
        }
    }
    unreachable_regions.sort_unstable();
    summarize(nodes, unreachable_regions)
}

/// Asks every node of this region, at most [`MAX_CONCURRENT_REQUESTS`] at a
/// time.
pub(crate) async fn region_status(node: &Arc<Node>) -> Vec<NodeStatus> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    let deadline = Instant::now() + REGION_TIMEOUT;
    let mut requests = JoinSet::new();
    for target in node.region_nodes() {
        requests.spawn(request_node_status(
            Arc::clone(node),
            target,
            Arc::clone(&permits),
            deadline,
        ));
    }
    let mut statuses = vec![node.config_status()];
    while let Some(joined) = requests.join_next().await {
        match joined {
            Ok(status) => statuses.push(status),
            Err(error) => log::error!("event=status_failed error={}", process::quote(&error)),
        }
    }
    statuses
}

async fn request_node_status(
    node: Arc<Node>,
    target: NodeRecord,
    permits: Arc<Semaphore>,
    deadline: Instant,
) -> NodeStatus {
    let no_response = NodeStatus {
        id: target.id.clone(),
        region: target.region.clone(),
        config_version: None,
    };
    let Ok(Ok(_permit)) = timeout_at(deadline, permits.acquire()).await else {
        return no_response;
    };
    let deadline = deadline.min(Instant::now() + NODE_TIMEOUT);
    let response = request_statuses(&node, &target.peer_address, false, deadline).await;
    response
        .and_then(|statuses| statuses.into_iter().next())
        .unwrap_or(no_response)
}

/// Asks for the status of all nodes of another region. Tries the nodes known of
/// that region in turn until one responds.
async fn other_region_status(node: &Node, sample: &[NodeRecord]) -> Option<Vec<NodeStatus>> {
    let deadline = Instant::now() + REGION_TIMEOUT + NODE_TIMEOUT;
    for target in sample {
        if let Some(statuses) = request_statuses(node, &target.peer_address, true, deadline).await {
            return Some(statuses);
        }
        if Instant::now() >= deadline {
            break;
        }
    }
    None
}

async fn request_statuses(
    node: &Node,
    address: &str,
    region_wide: bool,
    deadline: Instant,
) -> Option<Vec<NodeStatus>> {
    let request = PeerRequest::ConfigStatus { region_wide };
    match node.client().call(address, &request, deadline).await {
        Ok(PeerResponse::ConfigStatus(statuses)) => Some(statuses),
        Ok(_) => None,
        Err(error) => {
            log::debug!("event=status_unanswered peer={address} error={error:?}");
            None
        }
    }
}

fn summarize(mut statuses: Vec<NodeStatus>, unreachable_regions: Vec<String>) -> ConfigStatus {
    statuses.sort_unstable_by(|a, b| (&a.region, &a.id).cmp(&(&b.region, &b.id)));
    let versions = statuses.iter().filter_map(|status| status.config_version);
    let version = versions.max().unwrap_or(0);
    let nodes: Vec<NodeConfigStatus> = statuses
        .into_iter()
        .map(|status| NodeConfigStatus {
            id: status.id.to_string(),
            region: status.region.to_string(),
            version: status.config_version,
            confirmed: status.config_version == Some(version),
        })
        .collect();
    ConfigStatus {
        version,
        confirmed: nodes.iter().filter(|node| node.confirmed).count(),
        total: nodes.len(),
        unreachable_regions,
        nodes,
    }
}
