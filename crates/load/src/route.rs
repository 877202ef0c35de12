//! `route`: processor time of a routing decision at several fleet sizes.

use std::{hint::black_box, time::Instant};

use model::{InstanceId, ModelName, View};
use policy::{Destination, RouteRequest, Router};

use crate::{
    FleetShape,
    fleet::{MODEL, region_name},
};

/// Decisions per measurement.
const DECISIONS: u32 = 20_000;
/// Number of requests in flight while measuring.
const IN_FLIGHT: usize = 64;
/// Measurements per size; the median is printed.
const REPEATS: usize = 5;
/// Upstreams per region, entries per region, and the size of the upstream
/// subset that an entry uses in its own region. With seven regions, 1,428
/// upstreams and 514 entries are the fleet size that the design assumes: 10,000
/// upstreams and 3,600 nodes.
const SIZES: [(usize, usize, usize); 6] = [
    (3, 3, 16),
    (100, 40, 4),
    (100, 40, 16),
    (100, 40, 64),
    (1_428, 514, 16),
    (1_428, 514, 64),
];

/// Measures each size and prints one line for it.
pub fn route() {
    for (engines, entries, subset) in SIZES {
        let shape = FleetShape {
            regions: 7,
            engines,
            entries,
            ..FleetShape::default()
        };
        let view = shape.view(|_| true);
        let mut decisions_ns: Vec<u64> = Vec::new();
        let mut views_us: Vec<u64> = Vec::new();
        for _ in 0..REPEATS {
            let (decision, set_view) = measure(&view, subset);
            decisions_ns.push(decision);
            views_us.push(set_view);
        }
        decisions_ns.sort_unstable();
        views_us.sort_unstable();
        println!(
            "route upstreams={} entries={} home_subset={subset} decision_ns={} \
             decision_ns_min={} decision_ns_max={} set_view_us={}",
            shape.engine_count(),
            shape.entry_count(),
            decisions_ns[REPEATS / 2],
            decisions_ns[0],
            decisions_ns[REPEATS - 1],
            views_us[REPEATS / 2],
        );
    }
}

/// Returns the time of a decision, including the handling of the first token
/// and the end of its request, in nanoseconds, and the time of
/// `Router::set_view` in microseconds.
fn measure(view: &View, subset: usize) -> (u64, u64) {
    let mut router =
        Router::new(InstanceId::new("entry-0000"), region_name(0), 1).with_subset_sizes(subset, 4);
    let started_at = Instant::now();
    router.set_view(view);
    let view_us = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    let request = RouteRequest {
        destination: Destination::Model(ModelName::new(MODEL)),
        prompt_tokens: 300,
        prefix_hashes: vec![1, 2, 3, 4],
        first_token_deadline_us: u64::MAX / 2,
        excluded: Vec::new(),
        link_bytes: 1_000,
    };
    let mut in_flight = std::collections::VecDeque::new();
    let started_at = Instant::now();
    for step in 0..DECISIONS {
        let now_us = u64::from(step) * 1_000;
        if let Ok(route) = router.route(black_box(&request), now_us) {
            router.on_sent(route.attempt, now_us);
            in_flight.push_back(route.attempt);
        }
        if in_flight.len() > IN_FLIGHT
            && let Some(attempt) = in_flight.pop_front()
        {
            router.on_first_token(attempt, now_us);
            router.on_ended(attempt, now_us);
        }
        if step % 16 == 0 {
            black_box(router.take_notices(now_us));
        }
    }
    let elapsed_ns = u64::try_from(started_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
    (elapsed_ns / u64::from(DECISIONS), view_us)
}
