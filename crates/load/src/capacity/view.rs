//! Cost of the fleet view, and of routing by it, for the programs that read the
//! view from a control program.

use std::hint::black_box;

use membership::simulation::{Cluster, Topology};
use model::{InstanceId, ModelName, Region, View};
use peer::{PeerResponse, decode, encode};
use policy::{Destination, RouteRequest, Router};

use super::cost::{cpu_s, to_f64};

/// Numbers of upstreams in the fleet.
const SIZES: [usize; 4] = [280, 1_400, 5_000, 10_000];
/// Routing decisions per measurement.
const ROUTE_COUNT: u64 = 20_000;
/// Repetitions per measurement of coding the view and of passing it to a router.
const CODING_COUNT: u64 = 100;
const US_PER_S: f64 = 1_000_000.0;

/// Measures size and processor time of a view, and the processor time of a
/// routing decision, at each size, and prints one line per run.
///
/// # Errors
///
/// Returns a message if a view cannot be encoded or decoded, or the processor
/// time cannot be read.
pub fn measure(runs: u32) -> Result<(), String> {
    for upstreams in SIZES {
        let view = sample_view(upstreams);
        for run in 0..runs {
            let (bytes, coding_us) = measure_coding(&view)?;
            let (rebuild_us, route_us) = measure_routing(&view)?;
            println!(
                "capacity part=view run={run} fleet_upstreams={upstreams} view_upstreams={} \
                 view_instances={} view_bytes={bytes} encode_and_decode_us={coding_us:.0} \
                 router_rebuild_us={rebuild_us:.0} route_us={route_us:.2}",
                view.upstreams.len(),
                view.instances.len()
            );
        }
    }
    Ok(())
}

/// Returns the view of one node in a simulated fleet with `upstreams` upstreams.
fn sample_view(upstreams: usize) -> View {
    let mut cluster = Cluster::new(Topology {
        nodes: 70,
        upstreams,
        regions: 7,
        domains_per_region: 3,
    });
    cluster.run_for(10_000);
    cluster
        .fleet(0)
        .map(|fleet| fleet.view(cluster.now_ms()))
        .unwrap_or_default()
}

fn measure_coding(view: &View) -> Result<(usize, f64), String> {
    let message = PeerResponse::View(Box::new(view.clone()));
    let mut bytes = 0;
    let started_s = cpu_s()?;
    for _ in 0..CODING_COUNT {
        let body = encode(&message).map_err(|error| error.to_string())?;
        let decoded: PeerResponse = decode(&body).map_err(|error| error.to_string())?;
        bytes = body.len();
        black_box(decoded);
    }
    Ok((
        bytes,
        (cpu_s()? - started_s) * US_PER_S / to_f64(CODING_COUNT),
    ))
}

fn measure_routing(view: &View) -> Result<(f64, f64), String> {
    let mut router = Router::new(InstanceId::new("instance"), Region::new("region-0"), 1);
    let started_s = cpu_s()?;
    for _ in 0..CODING_COUNT {
        router.set_view(view);
    }
    let rebuild_us = (cpu_s()? - started_s) * US_PER_S / to_f64(CODING_COUNT);
    let started_s = cpu_s()?;
    for index in 0..ROUTE_COUNT {
        let now_us = index * 100;
        let request = RouteRequest {
            destination: Destination::Model(ModelName::from(format!("model-{}", index % 9))),
            prompt_tokens: 300,
            prefix_hashes: (0..18).map(|block| index % 50 * 100 + block).collect(),
            first_token_deadline_us: now_us + 430_000,
            excluded: Vec::new(),
            link_bytes: 2_000,
        };
        if let Ok(route) = router.route(&request, now_us) {
            router.on_sent(route.attempt, now_us);
            router.on_first_token(route.attempt, now_us + 50);
            router.on_ended(route.attempt, now_us + 60);
        }
    }
    Ok((
        rebuild_us,
        (cpu_s()? - started_s) * US_PER_S / to_f64(ROUTE_COUNT),
    ))
}
