//! Upstream tables, routes and notices for the tests.

#![allow(dead_code, reason = "no test file uses all of the helpers")]

pub mod quarantine_fleet;
pub mod quota_fleet;

use std::sync::Arc;

use gateway::{
    CallerLimits, LoadNotice, Locality, Placement, PlacementRequest, Route, RouteKind,
    ServiceShare, Target, UpstreamEntry, UpstreamLoad, UpstreamState, UpstreamTable, upstream_hash,
};
use model::{FailureDomain, InstanceId, Region, ServiceName, SoftwareVersion, UpstreamId};

pub const SLOTS: u32 = 8;
pub const GOAL_MS: u64 = 300;

pub fn locality(instance: &str) -> Locality {
    Locality {
        instance: InstanceId::new(instance),
        failure_domain: FailureDomain::new("north-a"),
        region: Region::new("north"),
        regions: Arc::from([
            (FailureDomain::new("north-a"), Region::new("north")),
            (FailureDomain::new("north-b"), Region::new("north")),
            (FailureDomain::new("south-a"), Region::new("south")),
        ]),
    }
}

pub fn service() -> ServiceName {
    ServiceName::new("hints")
}

pub fn entry(id: &str, domain: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(id),
        service: service(),
        address: "127.0.0.1:9000".parse().unwrap(),
        failure_domain: FailureDomain::new(domain),
        version: SoftwareVersion::new("v1"),
        weights: None,
        slots: SLOTS,
        state: UpstreamState::Ready,
        warm_up_remaining_ms: 0,
        started_unix_ms: 1,
    }
}

/// Creates a table of upstreams with these ids and failure domains.
pub fn upstream_table(instance: &str, upstreams: &[(&str, &str)]) -> UpstreamTable {
    let mut table = UpstreamTable::new(locality(instance), 7);
    for (id, domain) in upstreams {
        table.upsert(entry(id, domain), 0);
    }
    table
}

pub fn place(table: &mut UpstreamTable, now_ms: u64) -> Placement {
    place_after_attempts(table, &[], true, now_ms)
}

pub fn place_after_attempts(
    table: &mut UpstreamTable,
    tried: &[UpstreamId],
    may_refuse: bool,
    now_ms: u64,
) -> Placement {
    let service = service();
    let request = PlacementRequest {
        service: &service,
        prompt_parts: &[],
        tried,
        goal_ms: GOAL_MS,
        waited_ms: 0,
        version: None,
        weights: None,
        may_refuse,
    };
    table.place(&request, now_ms)
}

pub fn target_of(placement: &Placement) -> &Target {
    match placement {
        Placement::Send { target, .. } => target,
        Placement::Refuse { .. } => panic!("refused: {placement:?}"),
    }
}

pub fn expected_ms_of(placement: &Placement) -> u64 {
    match placement {
        Placement::Send { expected_ms, .. } | Placement::Refuse { expected_ms, .. } => *expected_ms,
    }
}

/// Creates a notice of a peer with loads as (upstream, online, batch).
pub fn notice(instance: &str, sequence: u64, loads: &[(&str, u16, u16)]) -> LoadNotice {
    let mut loads: Vec<_> = loads
        .iter()
        .map(|(id, online, batch)| UpstreamLoad {
            upstream: upstream_hash(&UpstreamId::new(id)),
            online: *online,
            batch: *batch,
            preemptible: *batch,
            least_urgent_key: 1,
        })
        .collect();
    loads.sort_by_key(|load| load.upstream);
    LoadNotice {
        instance: InstanceId::new(instance),
        started_unix_ms: 1,
        sequence,
        region: Region::new("north"),
        store_age_ms: Some(0),
        job_takeovers: Vec::new(),
        batch_queue: Vec::new(),
        loads,
    }
}

pub fn route(kind: RouteKind) -> Route {
    Route {
        name: "r".into(),
        host: "h.example".into(),
        path_prefix: "/a/".into(),
        kind,
        timeout_ms: 5_000,
        goal_ms: GOAL_MS,
        pause_goal_ms: 300,
        priority: 0,
        is_public: false,
        names_prompt_parts: false,
        attempts_max: 2,
        services: vec![ServiceShare {
            service: service(),
            weight: 1,
        }],
    }
}

pub fn limits() -> CallerLimits {
    CallerLimits {
        header_max_bytes: 16_384,
        body_max_bytes: 1_000_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    }
}
