//! Instances and upstreams of a scenario and their addresses.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use model::Liveness;
use store::{InstanceListing, ListedInstance, ListedRole};

use crate::{address::AddressBlock, command::Role};

// Each instance, each upstream and the platform have IP addresses of their own, so
// that the same ports can be used at each.
const PLATFORM_PORT: u16 = 7_800;
const UPSTREAM_PORT: u16 = 8_000;
const CONTROL_PORT: u16 = 7_200;
const ENTRY_PORT: u16 = 8_080;
const PEER_PORT: u16 = 7_100;
const ADMIN_PORT: u16 = 7_300;

/// The instances and upstreams that the scenario has declared so far.
#[derive(Debug)]
pub(crate) struct Fleet {
    address_block: AddressBlock,
    platform: SocketAddr,
    instances: BTreeMap<String, InstanceLocation>,
    upstreams: BTreeMap<String, Upstream>,
}

/// Address and failure domain of an instance.
#[derive(Debug, Clone)]
pub(crate) struct InstanceLocation {
    ip: IpAddr,
    failure_domain: String,
}

/// An engine or a plain service.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    /// Service that a plain service belongs to; `None` for an engine.
    pub(crate) service: Option<String>,
    failure_domain: String,
}

impl Fleet {
    pub(crate) fn new() -> Result<Self, String> {
        let mut address_block =
            AddressBlock::take().ok_or("every block of loopback addresses is in use")?;
        let platform = SocketAddr::new(address_block.next_ip(), PLATFORM_PORT);
        Ok(Self {
            address_block,
            platform,
            instances: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        })
    }

    pub(crate) fn platform(&self) -> SocketAddr {
        self.platform
    }

    pub(crate) fn add_instance(&mut self, name: String, failure_domain: String) {
        let ip = self.address_block.next_ip();
        self.instances
            .insert(name, InstanceLocation { ip, failure_domain });
    }

    pub(crate) fn add_upstream(
        &mut self,
        name: String,
        service: Option<String>,
        failure_domain: String,
    ) -> SocketAddr {
        let address = SocketAddr::new(self.address_block.next_ip(), UPSTREAM_PORT);
        let upstream = Upstream {
            address,
            service,
            failure_domain,
        };
        self.upstreams.insert(name, upstream);
        address
    }

    pub(crate) fn upstream(&self, name: &str) -> Result<&Upstream, String> {
        let upstream = self.upstreams.get(name);
        upstream.ok_or_else(|| format!("no upstream is named {name}"))
    }

    pub(crate) fn engines(&self) -> impl Iterator<Item = SocketAddr> {
        let upstreams = self.upstreams.values();
        let engines = upstreams.filter(|upstream| upstream.service.is_none());
        engines.map(|upstream| upstream.address)
    }

    pub(crate) fn services(&self, service: &str) -> impl Iterator<Item = SocketAddr> {
        let upstreams = self.upstreams.values();
        let matching =
            upstreams.filter(move |upstream| upstream.service.as_deref() == Some(service));
        matching.map(|upstream| upstream.address)
    }

    /// Returns the address at which the instance's entry serves customers.
    pub(crate) fn entry(&self, instance: &str) -> Result<SocketAddr, String> {
        Ok(SocketAddr::new(self.location(instance)?.ip, ENTRY_PORT))
    }

    /// Returns the address at which the instance's control program serves
    /// operators.
    pub(crate) fn control(&self, instance: &str) -> Result<SocketAddr, String> {
        Ok(SocketAddr::new(self.location(instance)?.ip, CONTROL_PORT))
    }

    /// Returns the address of the health checks of one of the instance's
    /// programs.
    pub(crate) fn admin(&self, role: Role, instance: &str) -> Result<SocketAddr, String> {
        let location = self.location(instance)?;
        Ok(SocketAddr::new(location.ip, ADMIN_PORT + role_offset(role)))
    }

    /// Returns the program name and the flags of one of the instance's programs.
    pub(crate) fn command_line(
        &self,
        role: Role,
        instance: &str,
    ) -> Result<(&'static str, Vec<String>), String> {
        let location = self.location(instance)?;
        let peer = |role| SocketAddr::new(location.ip, PEER_PORT + role_offset(role));
        let mut flags = vec![
            ("--instance-id", instance.to_owned()),
            ("--region", region(&location.failure_domain).to_owned()),
            ("--failure-domain", location.failure_domain.clone()),
            ("--platform", self.platform.to_string()),
            ("--peer-listen", peer(role).to_string()),
            ("--admin-listen", self.admin(role, instance)?.to_string()),
        ];
        let program = match role {
            Role::Control => {
                flags.push(("--listen", self.control(instance)?.to_string()));
                flags.push(("--seeds", self.seeds(instance)));
                "redwingtack-control"
            }
            Role::Entry => {
                flags.push(("--listen", self.entry(instance)?.to_string()));
                flags.push(("--control", peer(Role::Control).to_string()));
                "redwingtack-entry"
            }
            Role::Batch => {
                flags.push(("--control", peer(Role::Control).to_string()));
                "redwingtack-batch"
            }
            Role::Upstream => return Err("an instance runs no upstream".to_owned()),
        };
        let arguments = flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value]);
        Ok((program, arguments.collect()))
    }

    /// Returns the list for the platform to publish: everything declared except
    /// the names in `without`; those in `leaving` are marked as leaving.
    pub(crate) fn listing(&self, without: &[String], leaving: &[String]) -> InstanceListing {
        let nodes = self.instances.iter().map(|(name, location)| {
            let address = SocketAddr::new(location.ip, PEER_PORT + role_offset(Role::Control));
            (name, ListedRole::Node, address, &location.failure_domain)
        });
        let upstreams = self.upstreams.iter().map(|(name, upstream)| {
            let role = listed_role(upstream);
            (name, role, upstream.address, &upstream.failure_domain)
        });
        let mut instances: Vec<_> = nodes
            .chain(upstreams)
            .filter(|(name, ..)| !without.contains(name))
            .map(|(name, role, address, failure_domain)| ListedInstance {
                id: name.clone(),
                role,
                address: address.to_string(),
                region: region(failure_domain).into(),
                failure_domain: failure_domain.as_str().into(),
                state: if leaving.contains(name) {
                    Liveness::Leaving
                } else {
                    Liveness::Live
                },
            })
            .collect();
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        InstanceListing { instances }
    }

    fn location(&self, instance: &str) -> Result<&InstanceLocation, String> {
        let location = self.instances.get(instance);
        location.ok_or_else(|| format!("no instance is named {instance}"))
    }

    /// Returns the peer addresses of the other instances' control programs, as a
    /// comma-separated list.
    fn seeds(&self, instance: &str) -> String {
        let others = self.instances.iter().filter(|(name, _)| *name != instance);
        let addresses = others.map(|(_, location)| {
            let port = PEER_PORT + role_offset(Role::Control);
            SocketAddr::new(location.ip, port).to_string()
        });
        addresses.collect::<Vec<_>>().join(",")
    }
}

/// Returns the region of a failure domain: `lima` for `lima-a`.
fn region(failure_domain: &str) -> &str {
    failure_domain.split('-').next().unwrap_or(failure_domain)
}

fn listed_role(upstream: &Upstream) -> ListedRole {
    match &upstream.service {
        Some(service) => ListedRole::Service {
            service: service.as_str().into(),
        },
        None => ListedRole::Engine {
            models: vec!["oraculo".into(), "platzbot".into()],
        },
    }
}

/// Returns the offset of a role's ports. The programs of an instance share its
/// IP address, so they need different ports.
const fn role_offset(role: Role) -> u16 {
    match role {
        Role::Control => 0,
        Role::Entry => 1,
        Role::Batch => 2,
        Role::Upstream => 3,
    }
}
