//! Resident memory of a real control program by the number of upstreams on the
//! platform's list.
//!
//! The stand-in platform lives in the same process and keeps the list too, so
//! that the figures are upper bounds. Sizes grow, as freed memory stays
//! resident.

use std::{net::SocketAddr, time::Duration};

use control::{Control, ControlSettings};
use model::{FailureDomain, InstanceId, Liveness, ModelName, Region, View};
use peer::{PeerClient, PeerRequest, PeerResponse};
use process::{AdminState, NodeSettings, Shutdown};
use standin::{PlatformSettings, StandinClient, start_platform};
use store::{InstanceListing, ListedInstance, ListedRole};
use tokio::time::Instant;

use super::cost::resident_bytes;

const SIZES: [usize; 4] = [12, 1_000, 5_000, 10_000];
const REGIONS: usize = 7;
const SETTLE: Duration = Duration::from_secs(12);
const LONG: Duration = Duration::from_secs(30);

/// Prints the memory at each size.
///
/// # Errors
///
/// Returns a message if a program cannot be started.
pub async fn measure() -> Result<(), String> {
    let empty_bytes = resident_bytes()?;
    let platform = start_platform(PlatformSettings::default())
        .await
        .map_err(|error| error.to_string())?;
    let remote = StandinClient::new(platform.address());
    let settings = settings(platform.address());
    let control = Control::start(&settings, AdminState::default())
        .await
        .map_err(|error| error.to_string())?;
    let peer = control.peer_address();
    let shutdown = Shutdown::new();
    let stopping = shutdown.clone();
    let program = tokio::spawn(async move { control.run_until(&stopping).await });
    for upstreams in SIZES {
        let listing = InstanceListing {
            instances: (0..upstreams).map(listed).collect(),
        };
        remote
            .set_instances(&listing)
            .await
            .map_err(|error| error.to_string())?;
        let first = upstreams.div_ceil(REGIONS);
        wait_for(peer, |view| view.upstreams.len() >= first).await?;
        // Several reads of the list, whose buffers count too.
        tokio::time::sleep(SETTLE).await;
        println!(
            "capacity part=memory upstreams={upstreams} resident_bytes={} \
             of_which_before_the_start={empty_bytes}",
            resident_bytes()?
        );
    }
    shutdown.begin();
    program.await.map_err(|error| error.to_string())
}

fn settings(platform: SocketAddr) -> ControlSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ControlSettings {
        node: NodeSettings {
            peer_listen: any,
            admin_listen: any,
            platform,
            instance_id: InstanceId::new("instance-000001"),
            region: Region::new("region-0"),
            failure_domain: FailureDomain::new("domain-0-0"),
            log_level: "info".to_owned(),
        },
        listen: any,
        seeds: Vec::new(),
    }
}

fn listed(index: usize) -> ListedInstance {
    ListedInstance {
        id: format!("engine-{index:06}"),
        role: ListedRole::Engine {
            models: vec![ModelName::from(format!("model-{}", index % 9))],
        },
        // Nothing listens there; orders need a report of every engine first.
        address: format!("127.0.0.1:{}", 1 + index % 9),
        region: Region::from(format!("region-{}", index % REGIONS)),
        failure_domain: FailureDomain::from(format!("domain-{}", index % (3 * REGIONS))),
        state: Liveness::Live,
    }
}

async fn wait_for(peer: SocketAddr, condition: impl Fn(&View) -> bool) -> Result<(), String> {
    let client = PeerClient::new();
    let give_up_at = Instant::now() + LONG;
    while Instant::now() < give_up_at {
        let request = PeerRequest::ViewSince {
            revision: 0,
            wait_ms: 0,
        };
        let deadline = Instant::now() + LONG;
        if let Ok(PeerResponse::View(view)) =
            client.call(&peer.to_string(), &request, deadline).await
            && condition(&view)
        {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Err("the list has not arrived".to_owned())
}
