//! Background work of an entry: views, load reports, notices and evidence.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use model::{DispatchNotice, Liveness, UpstreamEntry, UpstreamId, UpstreamKind, View};
use peer::{PeerClient, PeerRequest};
use process::{AdminState, Shutdown};
use tokio::{sync::watch, task::JoinSet, time::Instant};

use crate::{fleet::Fleet, server::Shared};

/// Time between two load reports of one engine, if few are known.
const LOAD_INTERVAL_MS: u64 = 500;
/// Shortest time between two load reports of any engines, which bounds what
/// reports cost however many engines are known.
const LOAD_GAP_MIN_MS: u64 = 125;
/// Longest time that notices are held back to be coalesced.
const NOTICE_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a message to a peer is given up.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts the tasks; they end with the returned set.
pub(crate) fn start(
    shared: &Arc<Shared>,
    fleet: &Fleet,
    admin: &AdminState,
    shutdown: &Shutdown,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_view(
        Arc::clone(shared),
        fleet.subscribe(),
        admin.clone(),
        shutdown.clone(),
    ));
    tasks.spawn(poll_loads(Arc::clone(shared)));
    tasks.spawn(send_notices(Arc::clone(shared)));
    if let Some(control) = fleet.control_address() {
        let control = control.to_owned();
        tasks.spawn(send_evidence(Arc::clone(shared), control));
    }
    tasks
}

async fn follow_view(
    shared: Arc<Shared>,
    mut view: watch::Receiver<Arc<View>>,
    admin: AdminState,
    shutdown: Shutdown,
) {
    loop {
        let current = Arc::clone(&view.borrow_and_update());
        shared.dispatcher.set_view(&current);
        let live = current
            .instances
            .iter()
            .filter(|instance| instance.liveness == Liveness::Live)
            .count();
        shared
            .jobs
            .set_live_instances(u32::try_from(live).unwrap_or(u32::MAX));
        if current.config.version > 0 && !shutdown.is_stopping() {
            admin.set_ready(true);
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Asks the engines for their load, one after the other.
async fn poll_loads(shared: Arc<Shared>) {
    let mut polls = JoinSet::new();
    loop {
        let view = Arc::clone(&shared.view.borrow());
        let engines: Vec<_> = shared
            .dispatcher
            .upstreams()
            .into_iter()
            .filter_map(|id| Some((engine_address(&view, &id)?, id)))
            .collect();
        let gap = load_gap(engines.len());
        for (address, id) in engines {
            polls.spawn(poll_load(Arc::clone(&shared), id, address));
            tokio::time::sleep(gap).await;
            while polls.try_join_next().is_some() {}
        }
        if polls.is_empty() {
            tokio::time::sleep(gap).await;
        }
    }
}

fn load_gap(engines: usize) -> Duration {
    let engines = u64::try_from(engines).unwrap_or(u64::MAX).max(1);
    Duration::from_millis((LOAD_INTERVAL_MS / engines).max(LOAD_GAP_MIN_MS))
}

async fn poll_load(shared: Arc<Shared>, id: UpstreamId, address: SocketAddr) {
    match shared.upstreams.load_report(address).await {
        Ok(report) => shared.dispatcher.on_report(&id, &report),
        Err(error) => log::debug!(
            "event=load_unknown upstream={id} error={}",
            process::quote(&error)
        ),
    }
}

async fn send_notices(shared: Arc<Shared>) {
    let mut sends = JoinSet::new();
    loop {
        if shared.dispatcher.is_idle() {
            shared.dispatcher.notices_ready().await;
        } else {
            tokio::select! {
                () = shared.dispatcher.notices_ready() => {}
                () = tokio::time::sleep(NOTICE_INTERVAL) => {}
            }
        }
        let notices = shared.dispatcher.take_notices();
        let view = Arc::clone(&shared.view.borrow());
        for (owner, notices) in by_owner(&view, notices) {
            sends.spawn(send(
                shared.peers.clone(),
                owner,
                PeerRequest::Notices(notices),
            ));
        }
        while sends.try_join_next().is_some() {}
    }
}

/// Groups notices by the peer address of the batch program that owns the
/// upstream's window.
fn by_owner(view: &View, notices: Vec<DispatchNotice>) -> Vec<(String, Vec<DispatchNotice>)> {
    let mut groups: Vec<(String, Vec<DispatchNotice>)> = Vec::new();
    for notice in notices {
        let Some(owner) = window_owner(view, &notice.upstream) else {
            continue;
        };
        match groups.binary_search_by(|group| group.0.cmp(&owner)) {
            Ok(index) => groups[index].1.push(notice),
            Err(index) => groups.insert(index, (owner, vec![notice])),
        }
    }
    groups
}

fn window_owner(view: &View, upstream: &UpstreamId) -> Option<String> {
    let upstream = find(view, upstream)?;
    let owner = membership::batch_window_owner(view, upstream)?;
    Some(owner.peer_address.clone())
}

async fn send_evidence(shared: Arc<Shared>, control: String) {
    loop {
        shared.dispatcher.evidence().ready().await;
        let evidence = shared.dispatcher.evidence().take();
        if !evidence.is_empty() {
            send(
                shared.peers.clone(),
                control.clone(),
                PeerRequest::Evidence(evidence),
            )
            .await;
        }
    }
}

async fn send(peers: PeerClient, address: String, request: PeerRequest) {
    let deadline = Instant::now() + PEER_TIMEOUT;
    if let Err(error) = peers.call(&address, &request, deadline).await {
        log::debug!(
            "event=peer_call_failed peer={address} error={}",
            process::quote(&error)
        );
    }
}

fn engine_address(view: &View, id: &UpstreamId) -> Option<SocketAddr> {
    let upstream = find(view, id)?;
    match upstream.kind {
        UpstreamKind::Engine { .. } => upstream.address.parse().ok(),
        UpstreamKind::Service { .. } => None,
    }
}

fn find<'a>(view: &'a View, id: &UpstreamId) -> Option<&'a UpstreamEntry> {
    let index = view
        .upstreams
        .binary_search_by(|upstream| upstream.id.cmp(id))
        .ok()?;
    Some(&view.upstreams[index])
}
