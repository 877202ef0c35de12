//! Routing, admission control, ejection and notices of [`Router`].

use model::{
    ErrorKind, FailureDomain, FleetConfig, InstanceEntry, InstanceId, InstanceRole, Liveness,
    ModelName, Region, ServiceName, UpstreamEntry, UpstreamId, UpstreamKind, View,
};
use policy::{Destination, RouteRequest, Router, UpstreamLoad, prefix_hashes};

const MODEL: &str = "oraculo";
const FAR_DEADLINE_US: u64 = 60_000_000;

fn upstream(id: &str, region: &str, liveness: Liveness) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(id),
        address: "127.0.0.1:1".to_owned(),
        kind: UpstreamKind::Engine {
            models: vec![ModelName::new(MODEL)],
        },
        region: Region::new(region),
        failure_domain: FailureDomain::new(region),
        liveness,
    }
}

fn entry(id: &str, region: &str) -> InstanceEntry {
    InstanceEntry {
        id: InstanceId::new(id),
        role: InstanceRole::Entry,
        peer_address: "127.0.0.1:1".to_owned(),
        region: Region::new(region),
        failure_domain: FailureDomain::new(region),
        liveness: Liveness::Live,
        incarnation: 1,
    }
}

fn view(upstreams: &[(&str, &str, Liveness)]) -> View {
    View {
        revision: 1,
        config: FleetConfig::default(),
        instances: vec![
            entry("e1", "lima"),
            entry("e2", "lima"),
            entry("e3", "cusco"),
        ],
        upstreams: upstreams
            .iter()
            .map(|(id, region, liveness)| upstream(id, region, *liveness))
            .collect(),
    }
}

fn router(upstreams: &[(&str, &str, Liveness)]) -> Router {
    let mut router = Router::new(InstanceId::new("e1"), Region::new("lima"), 7);
    router.set_view(&view(upstreams));
    router
}

fn request(prompt_tokens: u32, first_token_deadline_us: u64) -> RouteRequest {
    RouteRequest {
        destination: Destination::Model(ModelName::new(MODEL)),
        prompt_tokens,
        prefix_hashes: Vec::new(),
        first_token_deadline_us,
        excluded: Vec::new(),
        link_bytes: 1_000,
    }
}

const THREE_UPSTREAMS: [(&str, &str, Liveness); 3] = [
    ("a", "lima", Liveness::Live),
    ("b", "lima", Liveness::Live),
    ("c", "cusco", Liveness::Live),
];

#[test]
fn route_prefers_home_region() {
    let mut router = router(&THREE_UPSTREAMS);
    for _ in 0..20 {
        let route = router.route(&request(100, FAR_DEADLINE_US), 0).unwrap();
        assert_ne!(route.upstream.as_str(), "c");
        assert!(!route.crosses_region);
    }
    assert_eq!(router.cross_region_bytes(), 0);
}

#[test]
fn route_spreads_own_requests() {
    let mut router = router(&THREE_UPSTREAMS);
    let first = router.route(&request(300, FAR_DEADLINE_US), 0).unwrap();
    let second = router.route(&request(300, FAR_DEADLINE_US), 0).unwrap();
    assert_ne!(first.upstream, second.upstream);
}

#[test]
fn route_crosses_region_when_target_is_unreachable_at_home_only() {
    let mut router = router(&THREE_UPSTREAMS);
    for id in ["a", "b"] {
        let load = UpstreamLoad {
            upstream: UpstreamId::new(id),
            online_running: 40,
            online_prompt_tokens: 20_000,
            batch_running: 0,
            batch_prompt_tokens: 0,
        };
        router.on_load(&load, 0, 0);
    }
    let route = router.route(&request(100, 200_000), 0).unwrap();
    assert_eq!(route.upstream.as_str(), "c");
    assert!(route.crosses_region);
    assert_eq!(router.cross_region_bytes(), 1_000);
}

#[test]
fn route_refuses_unreachable_target_with_retry_after() {
    let mut router = router(&THREE_UPSTREAMS);
    let refusal = router.route(&request(20_000, 500_000), 0).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::TargetUnreachable);
    assert!(refusal.retry_after_ms > 0);
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn route_refuses_without_upstream() {
    let mut router = router(&[("a", "lima", Liveness::Leaving)]);
    let refusal = router.route(&request(1, FAR_DEADLINE_US), 0).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NoUpstream);
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn route_skips_excluded_upstreams() {
    let mut router = router(&THREE_UPSTREAMS);
    let mut retry = request(10, FAR_DEADLINE_US);
    retry.excluded = vec![UpstreamId::new("a")];
    for _ in 0..5 {
        assert_eq!(router.route(&retry, 0).unwrap().upstream.as_str(), "b");
    }
}

#[test]
fn route_serves_plain_services() {
    let mut view = view(&THREE_UPSTREAMS);
    view.upstreams[0].kind = UpstreamKind::Service {
        service: ServiceName::new("booking"),
    };
    let mut router = Router::new(InstanceId::new("e1"), Region::new("lima"), 7);
    router.set_view(&view);
    let mut request = request(0, FAR_DEADLINE_US);
    request.destination = Destination::Service(ServiceName::new("booking"));
    assert_eq!(router.route(&request, 0).unwrap().upstream.as_str(), "a");
    assert!(router.take_notices(0).is_empty());
}

#[test]
fn route_prefers_cached_prefix_until_load_outweighs_it() {
    let prompt = vec![b'x'; 4_096];
    let mut router = router(&THREE_UPSTREAMS);
    let mut request = request(1_024, FAR_DEADLINE_US);
    request.prefix_hashes = prefix_hashes(&prompt);
    let first = router.route(&request, 0).unwrap();
    router.on_sent(first.attempt, 0);
    router.on_first_token(first.attempt, 70_000);
    router.on_ended(first.attempt, 80_000);
    let again = router.route(&request, 90_000).unwrap();
    assert_eq!(again.upstream, first.upstream);
    let load = UpstreamLoad {
        upstream: first.upstream.clone(),
        online_running: 10,
        online_prompt_tokens: 4_000,
        batch_running: 0,
        batch_prompt_tokens: 0,
    };
    router.on_load(&load, 0, 100_000);
    let third = router.route(&request, 100_000).unwrap();
    assert_ne!(third.upstream, first.upstream);
}

#[test]
fn on_failure_leaving_overrides_lagging_view() {
    let mut router = router(&THREE_UPSTREAMS);
    let route = router.route(&request(10, FAR_DEADLINE_US), 0).unwrap();
    router.on_failure(route.attempt, ErrorKind::UpstreamLeaving, 0);
    router.set_view(&view(&THREE_UPSTREAMS));
    for _ in 0..10 {
        let next = router
            .route(&request(10, FAR_DEADLINE_US), 1_000_000)
            .unwrap();
        assert_ne!(next.upstream, route.upstream);
    }
}

#[test]
fn on_failure_ejects_then_probes_once() {
    let mut router = router(&[("a", "lima", Liveness::Live)]);
    let request = request(10, FAR_DEADLINE_US);
    let route = router.route(&request, 0).unwrap();
    router.on_failure(route.attempt, ErrorKind::ConnectRefused, 0);
    let refusal = router.route(&request, 10_000).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NoUpstream);
    assert_eq!(refusal.retry_after_ms, 990);
    let probe = router.route(&request, 1_000_000).unwrap();
    assert!(router.route(&request, 1_000_001).is_err());
    router.on_first_token(probe.attempt, 1_050_000);
    assert!(router.route(&request, 1_050_001).is_ok());
}

#[test]
fn take_notices_coalesces_starts_and_ends() {
    let mut router = router(&[("a", "lima", Liveness::Live)]);
    let request = request(100, FAR_DEADLINE_US);
    let first = router.route(&request, 0).unwrap();
    router.route(&request, 0).unwrap();
    assert_eq!(router.notices_due_at_us(), Some(0));
    let notices = router.take_notices(0);
    assert_eq!(notices.len(), 1);
    assert_eq!(
        (
            notices[0].started_requests,
            notices[0].uncached_prompt_tokens
        ),
        (2, 200)
    );
    assert_eq!(router.notices_due_at_us(), None);
    router.on_sent(first.attempt, 0);
    router.on_first_token(first.attempt, 30_000);
    router.on_token(first.attempt, 45_000);
    router.on_ended(first.attempt, 45_000);
    assert!(router.notices_due_at_us().is_some_and(|at_us| at_us > 0));
    let notices = router.take_notices(50_000);
    assert_eq!(notices[0].ended_requests, 1);
    assert_eq!(notices[0].first_token_us, 30_000);
    assert_eq!(notices[0].between_tokens_us, 15_000);
}
