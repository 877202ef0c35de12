//! Resident memory of a control program by the number of upstreams that the
//! platform lists.
//!
//! The stand-in platform runs in the same process and holds the list too, so the
//! results are upper bounds. The sizes are measured in ascending order because
//! freed memory stays resident.

use std::{net::SocketAddr, time::Duration};

use control::{Control, ControlSettings};
use model::{FailureDomain, InstanceId, Liveness, ModelName, Region, View};
use peer::{PeerClient, PeerRequest, PeerResponse};
use process::{AdminState, NodeSettings, Shutdown};
use standin::{PlatformSettings, StandinClient, start_platform};
use store::{InstanceListing, ListedInstance, ListedRole};
use tokio::time::Instant;

use super::cost::resident_bytes;

/// Numbers of upstreams that the platform lists.
const SIZES: [usize; 4] = [12, 1_000, 5_000, 10_000];
const REGIONS: usize = 7;
const SETTLE_TIME: Duration = Duration::from_secs(12);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Measures each size and prints one line for it.
///
/// # Errors
///
/// Returns a message if a program cannot be started, or its view does not show
/// the list before the time-out.
pub async fn measure() -> Result<(), String> {
    let baseline_bytes = resident_bytes()?;
    let platform = start_platform(PlatformSettings::default())
        .await
        .map_err(|error| error.to_string())?;
    let platform_client = StandinClient::new(platform.address());
    let settings = control_settings(platform.address());
    let control = Control::start(&settings, AdminState::default())
        .await
        .map_err(|error| error.to_string())?;
    let peer = control.peer_address();
    let shutdown = Shutdown::new();
    let stopping = shutdown.clone();
    let node_task = tokio::spawn(async move { control.run_until(&stopping).await });
    for upstreams in SIZES {
        let listing = InstanceListing {
            instances: (0..upstreams).map(engine_listing).collect(),
        };
        platform_client
            .set_instances(&listing)
            .await
            .map_err(|error| error.to_string())?;
        let region_upstreams = upstreams.div_ceil(REGIONS);
        await_view(peer, |view| view.upstreams.len() >= region_upstreams).await?;
        // Waits for several reads of the list, because their buffers count as
        // memory too.
        tokio::time::sleep(SETTLE_TIME).await;
        println!(
            "capacity part=memory upstreams={upstreams} resident_bytes={} \
             of_which_before_the_start={baseline_bytes}",
            resident_bytes()?
        );
    }
    shutdown.begin();
    node_task.await.map_err(|error| error.to_string())
}

fn control_settings(platform: SocketAddr) -> ControlSettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    ControlSettings {
        node: NodeSettings {
            peer_listen: any_port,
            admin_listen: any_port,
            platform,
            instance_id: InstanceId::new("instance-000001"),
            region: Region::new("region-0"),
            failure_domain: FailureDomain::new("domain-0-0"),
            log_level: "info".to_owned(),
        },
        listen: any_port,
        seeds: Vec::new(),
    }
}

fn engine_listing(index: usize) -> ListedInstance {
    ListedInstance {
        id: format!("engine-{index:06}"),
        role: ListedRole::Engine {
            models: vec![ModelName::from(format!("model-{}", index % 9))],
        },
        // Nothing listens on this address. No order is sent to the engine,
        // since orders need a report of every engine first.
        address: format!("127.0.0.1:{}", 1 + index % 9),
        region: Region::from(format!("region-{}", index % REGIONS)),
        failure_domain: FailureDomain::from(format!("domain-{}", index % (3 * REGIONS))),
        state: Liveness::Live,
    }
}

async fn await_view(peer: SocketAddr, condition: impl Fn(&View) -> bool) -> Result<(), String> {
    let client = PeerClient::new();
    let wait_until = Instant::now() + TIMEOUT;
    while Instant::now() < wait_until {
        let request = PeerRequest::ViewSince {
            revision: 0,
            wait_ms: 0,
        };
        let deadline = Instant::now() + TIMEOUT;
        if let Ok(PeerResponse::View(view)) =
            client.call(&peer.to_string(), &request, deadline).await
            && condition(&view)
        {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Err("the node's view did not show the listed upstreams before the time-out".to_owned())
}
