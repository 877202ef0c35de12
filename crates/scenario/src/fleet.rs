//! Instances and upstreams of a scenario, and their addresses.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use model::Liveness;
use store::{InstanceListing, ListedInstance, ListedRole};

use crate::{address::AddressBlock, command::Role};

const PLATFORM_PORT: u16 = 7_800;
const UPSTREAM_PORT: u16 = 8_000;
const CONTROL_PORT: u16 = 7_200;
const ENTRY_PORT: u16 = 8_080;
const PEER_PORT: u16 = 7_100;
const ADMIN_PORT: u16 = 7_300;

/// What has been declared so far.
#[derive(Debug)]
pub(crate) struct Fleet {
    block: AddressBlock,
    platform: SocketAddr,
    instances: BTreeMap<String, Place>,
    upstreams: BTreeMap<String, Upstream>,
}

/// Where an instance is.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    ip: IpAddr,
    domain: String,
}

/// An engine or a plain service.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    /// Name of the service; engines have none.
    pub(crate) service: Option<String>,
    domain: String,
}

impl Fleet {
    pub(crate) fn new() -> Result<Self, String> {
        let mut block = AddressBlock::take().ok_or("no loopback addresses are free")?;
        let platform = SocketAddr::new(block.next_ip(), PLATFORM_PORT);
        Ok(Self {
            block,
            platform,
            instances: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        })
    }

    pub(crate) fn platform(&self) -> SocketAddr {
        self.platform
    }

    pub(crate) fn add_instance(&mut self, name: String, domain: String) {
        let ip = self.block.next_ip();
        self.instances.insert(name, Place { ip, domain });
    }

    pub(crate) fn add_upstream(
        &mut self,
        name: String,
        service: Option<String>,
        domain: String,
    ) -> SocketAddr {
        let address = SocketAddr::new(self.block.next_ip(), UPSTREAM_PORT);
        let upstream = Upstream {
            address,
            service,
            domain,
        };
        self.upstreams.insert(name, upstream);
        address
    }

    pub(crate) fn upstream(&self, name: &str) -> Result<&Upstream, String> {
        let upstream = self.upstreams.get(name);
        upstream.ok_or_else(|| format!("no upstream is called {name}"))
    }

    pub(crate) fn engines(&self) -> impl Iterator<Item = SocketAddr> {
        let upstreams = self.upstreams.values();
        let engines = upstreams.filter(|upstream| upstream.service.is_none());
        engines.map(|upstream| upstream.address)
    }

    pub(crate) fn services(&self, service: &str) -> impl Iterator<Item = SocketAddr> {
        let upstreams = self.upstreams.values();
        let same = upstreams.filter(move |upstream| upstream.service.as_deref() == Some(service));
        same.map(|upstream| upstream.address)
    }

    /// Address for callers of an entry.
    pub(crate) fn entry(&self, instance: &str) -> Result<SocketAddr, String> {
        Ok(SocketAddr::new(self.place(instance)?.ip, ENTRY_PORT))
    }

    /// Address for operators of a control program.
    pub(crate) fn control(&self, instance: &str) -> Result<SocketAddr, String> {
        Ok(SocketAddr::new(self.place(instance)?.ip, CONTROL_PORT))
    }

    /// Address of health checks.
    pub(crate) fn admin(&self, role: Role, instance: &str) -> Result<SocketAddr, String> {
        let place = self.place(instance)?;
        Ok(SocketAddr::new(place.ip, ADMIN_PORT + role_offset(role)))
    }

    /// Program and flags of one of an instance's programs.
    pub(crate) fn command_line(
        &self,
        role: Role,
        instance: &str,
    ) -> Result<(&'static str, Vec<String>), String> {
        let place = self.place(instance)?;
        let peer = |role| SocketAddr::new(place.ip, PEER_PORT + role_offset(role));
        let mut flags = vec![
            ("--instance-id", instance.to_owned()),
            ("--region", region(&place.domain).to_owned()),
            ("--failure-domain", place.domain.clone()),
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
            Role::Upstream => return Err("an instance has no upstream program".to_owned()),
        };
        let words = flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value]);
        Ok((program, words.collect()))
    }

    /// The platform's list.
    pub(crate) fn listing(&self, without: &[String], leaving: &[String]) -> InstanceListing {
        let nodes = self.instances.iter().map(|(name, place)| {
            let address = SocketAddr::new(place.ip, PEER_PORT + role_offset(Role::Control));
            (name, ListedRole::Node, address, &place.domain)
        });
        let upstreams = self.upstreams.iter().map(|(name, upstream)| {
            let role = listed_role(upstream);
            (name, role, upstream.address, &upstream.domain)
        });
        let mut instances: Vec<_> = nodes
            .chain(upstreams)
            .filter(|(name, ..)| !without.contains(name))
            .map(|(name, role, address, domain)| ListedInstance {
                id: name.clone(),
                role,
                address: address.to_string(),
                region: region(domain).into(),
                failure_domain: domain.as_str().into(),
                state: if leaving.contains(name) {
                    Liveness::Leaving
                } else {
                    Liveness::Live
                },
            })
            .collect();
        instances.sort_by(|one, other| one.id.cmp(&other.id));
        InstanceListing { instances }
    }

    fn place(&self, instance: &str) -> Result<&Place, String> {
        let place = self.instances.get(instance);
        place.ok_or_else(|| format!("no instance is called {instance}"))
    }

    /// Peer addresses of the other instances' control programs.
    fn seeds(&self, instance: &str) -> String {
        let others = self.instances.iter().filter(|(name, _)| *name != instance);
        let addresses = others.map(|(_, place)| {
            let port = PEER_PORT + role_offset(Role::Control);
            SocketAddr::new(place.ip, port).to_string()
        });
        addresses.collect::<Vec<_>>().join(",")
    }
}

/// The region that a failure domain such as `lima-a` lies in.
fn region(domain: &str) -> &str {
    domain.split('-').next().unwrap_or(domain)
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

/// The programs of an instance share its address, so their ports differ.
const fn role_offset(role: Role) -> u16 {
    match role {
        Role::Control => 0,
        Role::Entry => 1,
        Role::Batch => 2,
        Role::Upstream => 3,
    }
}
