//! Peers as proxies: which peer makes an attempt for this instance at an upstream that this
//! instance has no path to.
//!
//! Load pattern: some of the instances, up to all of a failure domain, lose the path to
//! upstreams while their callers keep coming. The others then make the attempts of several
//! instances, and should share them evenly. A proxy only makes the attempt. Placement,
//! retries, and the accounts of loads and limits stay with the instance that has the caller.

use std::net::SocketAddr;

use model::{InstanceId, Region};
use rand::{RngExt, rngs::SmallRng};

use crate::{
    LoadNotice, PathNotice, UpstreamTable,
    moving_average::MovingAverage,
    target::Target,
    upstream_row::UpstreamRow,
    upstream_table::{OTHER_REGION_ROUND_TRIP_MS, SAME_REGION_ROUND_TRIP_MS},
};

/// Number of peers of each region that are considered for an attempt. They are drawn at
/// random, so that instances that choose at the same time spread their attempts.
const PEERS_PER_REGION: usize = 4;
/// Cost of each request that a peer has in flight, milliseconds. It stands for the processor
/// time that these requests take from one more.
const IN_FLIGHT_COST_MS: f64 = 1.0;
/// Time for which a peer that could not make an attempt is not asked again, milliseconds.
/// Its notice has told by then what it has no path to.
const FAILED_PROXY_PAUSE_MS: u64 = 500;

/// What this instance knows of a peer as a proxy.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProxyState {
    /// Address from which the peer sends its notices, and at which it takes attempts.
    /// `None` until the first notice.
    address: Option<SocketAddr>,
    /// What the peer told about its paths.
    notice: PathNotice,
    /// Number of attempts that the peer makes for this instance.
    attempts: u32,
    /// Until when the peer is not asked.
    paused_until_ms: u64,
    round_trip_ms: MovingAverage,
}

/// A peer that makes an attempt for this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxyPeer {
    /// Id of the peer.
    pub instance: InstanceId,
    /// Address at which it takes attempts.
    pub address: SocketAddr,
}

/// A peer that may make an attempt.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    peer: ProxyPeer,
    region: Region,
    round_trip_ms: f64,
    in_flight_cost_ms: f64,
    notice: PathNotice,
}

/// The proxies for an attempt, a few of each region.
#[derive(Debug, Default)]
pub(crate) struct Proxies(Vec<Proxy>);

impl Proxies {
    /// Returns the proxy through which the round trip to an upstream is shortest, with this
    /// round trip in milliseconds.
    pub(crate) fn best(&self, row: &UpstreamRow, region: Option<&Region>) -> Option<(&Proxy, f64)> {
        let reaching = self.0.iter().filter(|proxy| !proxy.notice.has_lost(row));
        let with_round_trip = reaching.map(|proxy| {
            let second_leg_ms = if region == Some(&proxy.region) {
                SAME_REGION_ROUND_TRIP_MS
            } else {
                OTHER_REGION_ROUND_TRIP_MS
            };
            (proxy, proxy.round_trip_ms + second_leg_ms)
        });
        with_round_trip.min_by(|(a, a_ms), (b, b_ms)| {
            let cost_a_ms = a_ms + a.in_flight_cost_ms;
            cost_a_ms.total_cmp(&(b_ms + b.in_flight_cost_ms))
        })
    }
}

impl UpstreamTable {
    /// Records what the peer at `address` tells about its paths; `None` if it has lost none.
    pub fn receive_paths(
        &mut self,
        instance: &InstanceId,
        address: SocketAddr,
        notice: Option<PathNotice>,
    ) {
        if let Some(proxy) = self.peer_notices.proxy_mut(instance) {
            proxy.address = Some(address);
            proxy.notice = notice.unwrap_or_default();
        }
    }

    /// Returns the peer that is to make an attempt at an upstream, or `None` if this instance
    /// has a path of its own, or none is known to reach the upstream.
    pub fn proxy_for(&mut self, target: &Target, now_ms: u64) -> Option<ProxyPeer> {
        let row = self.known_incarnation(target)?;
        if !self.allows_proxies(row) {
            return None;
        }
        self.peer_to_ask(target, &[], now_ms)
    }

    /// Returns a peer that may reach an upstream to which the path of this instance is lost,
    /// other than those in `asked`.
    pub fn peer_to_ask(
        &mut self,
        target: &Target,
        asked: &[InstanceId],
        now_ms: u64,
    ) -> Option<ProxyPeer> {
        if !self.has_lost_path(target) {
            return None;
        }
        let mut proxies = self.proxies(now_ms);
        proxies
            .0
            .retain(|proxy| !asked.contains(&proxy.peer.instance));
        let row = &self.rows[self.find(&target.upstream).ok()?];
        let region = self.region_of(&row.entry.failure_domain);
        let (proxy, _) = proxies.best(row, region)?;
        Some(proxy.peer.clone())
    }

    /// Returns whether any peer may make attempts at an upstream.
    pub(crate) fn has_proxy(&self, row: &UpstreamRow, now_ms: u64) -> bool {
        let mut proxies = self.peer_notices.proxies();
        self.allows_proxies(row)
            && proxies.any(|(_, state)| state.is_usable(now_ms) && !state.notice.has_lost(row))
    }

    /// Records that a peer begins an attempt for this instance.
    pub fn record_proxied_start(&mut self, peer: &InstanceId) {
        if let Some(proxy) = self.peer_notices.proxy_mut(peer) {
            proxy.attempts += 1;
        }
    }

    /// Records that an attempt of a peer for this instance has ended.
    pub fn record_proxied_end(&mut self, peer: &InstanceId) {
        if let Some(proxy) = self.peer_notices.proxy_mut(peer) {
            proxy.attempts = proxy.attempts.saturating_sub(1);
        }
    }

    /// Records that a peer could not make an attempt.
    pub fn record_proxy_failure(&mut self, peer: &InstanceId, now_ms: u64) {
        if let Some(proxy) = self.peer_notices.proxy_mut(peer) {
            proxy.paused_until_ms = now_ms + FAILED_PROXY_PAUSE_MS;
        }
    }

    /// Records the round trip to a peer, measured while a connection was opened.
    pub fn record_proxy_round_trip(&mut self, peer: &InstanceId, round_trip_ms: f64) {
        if let Some(proxy) = self.peer_notices.proxy_mut(peer) {
            proxy.round_trip_ms.add(round_trip_ms);
        }
    }

    /// Returns the proxies for an attempt.
    pub(crate) fn proxies(&mut self, now_ms: u64) -> Proxies {
        let mut drawn: Vec<Drawn<'_>> = Vec::new();
        for (notice, state) in self.peer_notices.proxies() {
            if !state.is_usable(now_ms) {
                continue;
            }
            let position = drawn
                .iter()
                .position(|drawn| *drawn.region == notice.region);
            let position = position.unwrap_or_else(|| {
                drawn.push(Drawn::new(&notice.region));
                drawn.len() - 1
            });
            drawn[position].consider(notice, state, &mut self.rng);
        }
        let own_region = &self.locality.region;
        let peers = drawn.into_iter().flat_map(|drawn| drawn.peers);
        Proxies(
            peers
                .filter_map(|(notice, state)| Proxy::new(notice, state, own_region))
                .collect(),
        )
    }
}

impl Proxy {
    /// Returns `None` if the address of the peer is not known yet.
    fn new(notice: &LoadNotice, state: &ProxyState, own_region: &Region) -> Option<Self> {
        let default_ms = if notice.region == *own_region {
            SAME_REGION_ROUND_TRIP_MS
        } else {
            OTHER_REGION_ROUND_TRIP_MS
        };
        let own: u32 = notice.loads.iter().map(|load| u32::from(load.online)).sum();
        let in_flight = own + state.notice.proxied.max(state.attempts);
        Some(Self {
            peer: ProxyPeer {
                instance: notice.instance.clone(),
                address: state.address?,
            },
            region: notice.region.clone(),
            round_trip_ms: state.round_trip_ms.value_or(default_ms),
            in_flight_cost_ms: f64::from(in_flight) * IN_FLIGHT_COST_MS,
            notice: state.notice.clone(),
        })
    }
}

impl ProxyState {
    fn is_usable(&self, now_ms: u64) -> bool {
        self.address.is_some() && now_ms >= self.paused_until_ms
    }
}

/// Peers of one region, drawn at random.
#[derive(Debug)]
struct Drawn<'a> {
    region: &'a Region,
    considered: usize,
    peers: Vec<(&'a LoadNotice, &'a ProxyState)>,
}

impl<'a> Drawn<'a> {
    fn new(region: &'a Region) -> Self {
        Self {
            region,
            considered: 0,
            peers: Vec::with_capacity(PEERS_PER_REGION),
        }
    }

    /// Considers one more peer, by reservoir sampling.
    fn consider(&mut self, notice: &'a LoadNotice, state: &'a ProxyState, rng: &mut SmallRng) {
        self.considered += 1;
        if self.peers.len() < PEERS_PER_REGION {
            self.peers.push((notice, state));
            return;
        }
        let position = rng.random_range(0..self.considered);
        if let Some(peer) = self.peers.get_mut(position) {
            *peer = (notice, state);
        }
    }
}
