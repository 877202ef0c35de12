//! Asks the fleet which configuration version is in force on each node.

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

/// Time that a node of the own region has to answer.
const NODE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that another region has to answer for all its nodes.
const REGION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Most nodes asked at once.
const QUESTIONS_MAX: usize = 32;

/// Which version is in force where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConfigStatus {
    /// Highest version that any node has in force.
    pub version: u64,
    /// Nodes that have it in force.
    pub confirmed: usize,
    /// Nodes that were asked.
    pub total: usize,
    /// Regions of which no node answered.
    pub unreachable_regions: Vec<String>,
    /// Every node.
    pub nodes: Vec<NodeConfigStatus>,
}

/// One node of a [`ConfigStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeConfigStatus {
    /// The node.
    pub id: String,
    /// Its region.
    pub region: String,
    /// Its version, absent if it did not answer.
    pub version: Option<u64>,
    /// Whether it has the highest version in force.
    pub confirmed: bool,
}

/// Asks every node: those of the own region directly, each other region
/// through one of its nodes.
pub(crate) async fn fleet_status(node: &Arc<Node>) -> ConfigStatus {
    let mut regions = JoinSet::new();
    for summary in node.other_regions() {
        let node = Arc::clone(node);
        regions.spawn(async move {
            let answer = remote_status(&node, &summary.sample).await;
            (summary.region, answer)
        });
    }
    let mut nodes = region_status(node).await;
    let mut unreachable_regions = Vec::new();
    while let Some(joined) = regions.join_next().await {
        match joined {
            Ok((_, Some(answer))) => nodes.extend(answer),
            Ok((region, None)) => unreachable_regions.push(region.to_string()),
            Err(error) => log::error!("event=status_failed error={}", process::quote(&error)),
        }
    }
    unreachable_regions.sort_unstable();
    summarize(nodes, unreachable_regions)
}

/// Asks every node of the own region.
pub(crate) async fn region_status(node: &Arc<Node>) -> Vec<NodeStatus> {
    let limit = Arc::new(Semaphore::new(QUESTIONS_MAX));
    let deadline = Instant::now() + REGION_TIMEOUT;
    let mut questions = JoinSet::new();
    for target in node.region_nodes() {
        questions.spawn(ask_node(
            Arc::clone(node),
            target,
            Arc::clone(&limit),
            deadline,
        ));
    }
    let mut statuses = vec![node.status()];
    while let Some(joined) = questions.join_next().await {
        match joined {
            Ok(status) => statuses.push(status),
            Err(error) => log::error!("event=status_failed error={}", process::quote(&error)),
        }
    }
    statuses
}

async fn ask_node(
    node: Arc<Node>,
    target: NodeRecord,
    limit: Arc<Semaphore>,
    deadline: Instant,
) -> NodeStatus {
    let silent = NodeStatus {
        id: target.id.clone(),
        region: target.region.clone(),
        config_version: None,
    };
    let Ok(Ok(_permit)) = timeout_at(deadline, limit.acquire()).await else {
        return silent;
    };
    let deadline = deadline.min(Instant::now() + NODE_TIMEOUT);
    let answer = ask(&node, &target.peer_address, false, deadline).await;
    answer
        .and_then(|statuses| statuses.into_iter().next())
        .unwrap_or(silent)
}

/// Tries the nodes that stand for a region until one answers.
async fn remote_status(node: &Node, sample: &[NodeRecord]) -> Option<Vec<NodeStatus>> {
    let deadline = Instant::now() + REGION_TIMEOUT + NODE_TIMEOUT;
    for target in sample {
        if let Some(statuses) = ask(node, &target.peer_address, true, deadline).await {
            return Some(statuses);
        }
        if Instant::now() >= deadline {
            break;
        }
    }
    None
}

async fn ask(
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
    let highest = statuses.iter().filter_map(|status| status.config_version);
    let version = highest.max().unwrap_or(0);
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
