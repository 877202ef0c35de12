//! Conversion of the platform's instance list to the types of the membership
//! core.

use membership::{ListedNode, Listing};
use model::{InstanceId, Liveness, UpstreamEntry, UpstreamId, UpstreamKind};
use store::{InstanceListing, ListedInstance, ListedRole};

/// Separates nodes from upstreams and sorts the upstreams by id and their models
/// by name. Nodes that are not live are left out.
pub(crate) fn convert_listing(listing: InstanceListing) -> Listing {
    let mut converted = Listing::default();
    for instance in listing.instances {
        match instance.role.clone() {
            ListedRole::Node if instance.state == Liveness::Live => {
                converted.nodes.push(ListedNode {
                    id: InstanceId::from(instance.id),
                    region: instance.region,
                    failure_domain: instance.failure_domain,
                    peer_address: instance.address,
                });
            }
            ListedRole::Node => {}
            ListedRole::Engine { mut models } => {
                models.sort_unstable();
                let kind = UpstreamKind::Engine { models };
                converted.upstreams.push(upstream_entry(instance, kind));
            }
            ListedRole::Service { service } => {
                let kind = UpstreamKind::Service { service };
                converted.upstreams.push(upstream_entry(instance, kind));
            }
        }
    }
    converted.upstreams.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    converted
}

fn upstream_entry(instance: ListedInstance, kind: UpstreamKind) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::from(instance.id),
        address: instance.address,
        kind,
        region: instance.region,
        failure_domain: instance.failure_domain,
        liveness: instance.state,
    }
}
