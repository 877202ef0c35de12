//! Background tasks of an entry, which apply new views, poll engines for their
//! load, and send dispatch notices and evidence to peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use model::{DispatchNotice, Liveness, UpstreamEntry, UpstreamId, UpstreamKind, View};
use peer::{PeerClient, PeerRequest};
use process::{AdminState, Shutdown};
use tokio::{sync::watch, task::JoinSet, time::Instant};

use crate::{server::ServerState, view_source::ViewSource};

/// Interval between two load polls of one engine while few engines are known.
const LOAD_POLL_INTERVAL_MS: u64 = 500;
/// Minimum time between two load polls, whichever engines they go to. It bounds the
/// cost of polling however many engines are known.
const LOAD_POLL_GAP_MIN_MS: u64 = 125;
/// Maximum time for which notices are held back to be coalesced.
const NOTICE_MAX_DELAY: Duration = Duration::from_millis(20);
/// Time-out of a message to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts the background tasks, which are aborted when the returned set is
/// dropped.
pub(crate) fn start(
    state: &Arc<ServerState>,
    view_source: &ViewSource,
    admin: &AdminState,
    shutdown: &Shutdown,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_view(
        Arc::clone(state),
        view_source.subscribe(),
        admin.clone(),
        shutdown.clone(),
    ));
    tasks.spawn(poll_loads(Arc::clone(state)));
    tasks.spawn(send_notices(Arc::clone(state)));
    if let Some(control) = view_source.control_address() {
        let control = control.to_owned();
        tasks.spawn(send_evidence(Arc::clone(state), control));
    }
    tasks
}

async fn follow_view(
    state: Arc<ServerState>,
    mut view: watch::Receiver<Arc<View>>,
    admin: AdminState,
    shutdown: Shutdown,
) {
    loop {
        let current = Arc::clone(&view.borrow_and_update());
        state.dispatcher.set_view(&current);
        let live_count = current
            .instances
            .iter()
            .filter(|instance| instance.liveness == Liveness::Live)
            .count();
        state
            .jobs
            .set_live_instances(u32::try_from(live_count).unwrap_or(u32::MAX));
        if current.config.version > 0 && !shutdown.is_stopping() {
            admin.set_ready(true);
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Polls the engines for their load in turn, at even intervals.
async fn poll_loads(state: Arc<ServerState>) {
    let mut polls = JoinSet::new();
    loop {
        let view = Arc::clone(&state.view.borrow());
        let engines: Vec<_> = state
            .dispatcher
            .upstream_ids()
            .into_iter()
            .filter_map(|id| Some((engine_address(&view, &id)?, id)))
            .collect();
        let gap = load_poll_gap(engines.len());
        for (address, id) in engines {
            polls.spawn(poll_load(Arc::clone(&state), id, address));
            tokio::time::sleep(gap).await;
            while polls.try_join_next().is_some() {}
        }
        if polls.is_empty() {
            tokio::time::sleep(gap).await;
        }
    }
}

fn load_poll_gap(engines: usize) -> Duration {
    let engines = u64::try_from(engines).unwrap_or(u64::MAX).max(1);
    Duration::from_millis((LOAD_POLL_INTERVAL_MS / engines).max(LOAD_POLL_GAP_MIN_MS))
}

async fn poll_load(state: Arc<ServerState>, id: UpstreamId, address: SocketAddr) {
    match state.upstreams.load_report(address).await {
        Ok(report) => state.dispatcher.on_report(&id, &report),
        Err(error) => log::debug!(
            "event=load_unknown upstream={id} error={}",
            process::quote(&error)
        ),
    }
}

async fn send_notices(state: Arc<ServerState>) {
    let mut sends = JoinSet::new();
    loop {
        if state.dispatcher.is_idle() {
            state.dispatcher.notices_ready().await;
        } else {
            tokio::select! {
                () = state.dispatcher.notices_ready() => {}
                () = tokio::time::sleep(NOTICE_MAX_DELAY) => {}
            }
        }
        let notices = state.dispatcher.take_notices();
        let view = Arc::clone(&state.view.borrow());
        for (owner, notices) in group_by_owner(&view, notices) {
            sends.spawn(send_to_peer(
                state.peers.clone(),
                owner,
                PeerRequest::Notices(notices),
            ));
        }
        while sends.try_join_next().is_some() {}
    }
}

/// Groups notices by the peer address of the batch program that owns the batch
/// window of the notice's upstream. Notices without an owner are dropped.
fn group_by_owner(view: &View, notices: Vec<DispatchNotice>) -> Vec<(String, Vec<DispatchNotice>)> {
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
    let upstream = find_upstream(view, upstream)?;
    let owner = membership::batch_window_owner(view, upstream)?;
    Some(owner.peer_address.clone())
}

async fn send_evidence(state: Arc<ServerState>, control: String) {
    loop {
        state.dispatcher.evidence().ready().await;
        let evidence = state.dispatcher.evidence().take();
        if !evidence.is_empty() {
            send_to_peer(
                state.peers.clone(),
                control.clone(),
                PeerRequest::Evidence(evidence),
            )
            .await;
        }
    }
}

async fn send_to_peer(peers: PeerClient, address: String, request: PeerRequest) {
    let deadline = Instant::now() + PEER_TIMEOUT;
    if let Err(error) = peers.call(&address, &request, deadline).await {
        log::debug!(
            "event=peer_call_failed peer={address} error={}",
            process::quote(&error)
        );
    }
}

fn engine_address(view: &View, id: &UpstreamId) -> Option<SocketAddr> {
    let upstream = find_upstream(view, id)?;
    match upstream.kind {
        UpstreamKind::Engine { .. } => upstream.address.parse().ok(),
        UpstreamKind::Service { .. } => None,
    }
}

fn find_upstream<'a>(view: &'a View, id: &UpstreamId) -> Option<&'a UpstreamEntry> {
    let index = view
        .upstreams
        .binary_search_by(|upstream| upstream.id.cmp(id))
        .ok()?;
    Some(&view.upstreams[index])
}
