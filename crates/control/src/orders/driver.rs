//! Carries out orders: reads engines' reports, holds the lease, sends orders.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use membership::{UpstreamEvidence, order_issuer, rendezvous_weight};
use model::{
    InstanceId, Liveness, ModelName, Region, UpstreamEntry, UpstreamId, UpstreamKind, View,
};
use store::{TransactOutcome, Transaction};
use tokio::time::{Instant, MissedTickBehavior, timeout_at};
use upstream::{LoadReport, Order, OrderAction, UpstreamClient};

use super::{EngineState, IssuerLease, LeaseRow, LeaseTimes, TableOp, WriteOutcome, plan_order};
use crate::{ControlSettings, node::Node};

const TICK: Duration = Duration::from_millis(100);
/// Time between two reports of the same engine in a small region.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Weight loads that the fleet starts share the store's rate; each region gets
/// one in this time for each region that has engines.
const LOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which an order is not repeated, whatever the engine reports.
const PENDING: Duration = Duration::from_mins(1);
const TIMES: LeaseTimes = LeaseTimes {
    lease_ms: 15_000,
    max_delivery_ms: 4_000,
};

/// The issuer of a region's orders, on one instance.
pub(crate) struct Orders {
    node: Arc<Node>,
    region: Region,
    own: InstanceId,
    key: String,
    issuer: IssuerLease,
    client: UpstreamClient,
    engines: Vec<EngineState>,
    /// Engines in the order in which they are asked for a report.
    queue: VecDeque<UpstreamId>,
    next_report_at: Instant,
    next_load_at: Instant,
    pending: Vec<(UpstreamId, OrderAction, Instant)>,
}

impl Orders {
    pub(crate) fn new(settings: &ControlSettings, node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            region: settings.node.region.clone(),
            own: settings.node.instance_id.clone(),
            key: format!("lease/orders/{}", settings.node.region),
            issuer: IssuerLease::new(settings.node.instance_id.clone(), TIMES),
            client: UpstreamClient::new(),
            engines: Vec::new(),
            queue: VecDeque::new(),
            next_report_at: Instant::now(),
            next_load_at: Instant::now(),
            pending: Vec::new(),
        }
    }

    /// Issues orders while this program is the issuer.
    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let published = self.node.published().borrow().clone();
            let is_candidate = published.synced && self.is_candidate(&published.view);
            if let Some(op) = self.issuer.tick(is_candidate, self.node.now_ms()) {
                self.call_table(op).await;
            }
            if self.issuer.permission(self.node.now_ms()).is_none() {
                self.forget();
                continue;
            }
            self.read_report(&published.view).await;
            self.issue(&published.view).await;
        }
    }

    /// A program without engines to order needs no lease.
    fn is_candidate(&self, view: &View) -> bool {
        let issuer = order_issuer(view, &self.region);
        let is_issuer = issuer.is_some_and(|entry| entry.id == self.own);
        is_issuer && self.region_engines(view).next().is_some()
    }

    fn region_engines<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a UpstreamEntry> {
        view.upstreams.iter().filter(|entry| {
            entry.region == self.region
                && entry.liveness <= Liveness::Suspect
                && matches!(entry.kind, UpstreamKind::Engine { .. })
        })
    }

    async fn call_table(&mut self, op: TableOp) {
        let mut next = Some(op);
        while let Some(op) = next.take() {
            match op {
                TableOp::Read => {
                    let row = self.read_lease().await;
                    next = self.issuer.on_row_read(row, self.node.now_ms());
                }
                TableOp::Write {
                    expected_version,
                    row,
                } => {
                    let fence = row.fence;
                    let outcome = self.write_lease(expected_version, &row).await;
                    self.issuer.on_row_written(outcome, self.node.now_ms());
                    log::debug!("event=orders_lease fence={fence} outcome={outcome:?}");
                }
            }
        }
    }

    async fn read_lease(&self) -> Result<Option<(u64, LeaseRow)>, ()> {
        let row = self.node.store().row(&self.key).await.map_err(|error| {
            log::debug!("event=orders_lease_unread error={error:?}");
        })?;
        let Some(row) = row else { return Ok(None) };
        let lease = serde_json::from_slice(&row.value).map_err(|error| {
            log::error!("event=orders_lease_malformed error={error:?}");
        })?;
        Ok(Some((row.version, lease)))
    }

    async fn write_lease(&self, expected_version: u64, row: &LeaseRow) -> WriteOutcome {
        let Ok(value) = serde_json::to_vec(row) else {
            return WriteOutcome::Conflict;
        };
        let lease = store::row_id(&self.key);
        let transaction = Transaction {
            conditions: vec![lease.clone().at_version(expected_version)],
            puts: vec![lease.with_value(value.into())],
            ..Transaction::default()
        };
        match self.node.store().transact(&transaction).await {
            Ok(TransactOutcome::Committed { version }) => WriteOutcome::Committed(version),
            Ok(TransactOutcome::Conflict { .. }) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        }
    }

    /// Reports of an earlier time as issuer are worth nothing later.
    fn forget(&mut self) {
        self.engines.clear();
        self.queue.clear();
        self.pending.clear();
    }

    /// Asks the engine whose report is oldest, at most one with each tick.
    async fn read_report(&mut self, view: &View) {
        if self.queue.is_empty() && self.next_report_at <= Instant::now() {
            self.next_report_at = Instant::now() + REPORT_INTERVAL;
            self.queue = self
                .region_engines(view)
                .map(|entry| entry.id.clone())
                .collect();
            let listed = self.queue.clone();
            self.engines.retain(|engine| listed.contains(&engine.id));
        }
        let Some(id) = self.queue.pop_front() else {
            return;
        };
        let Some(address) = address(view, &id) else {
            return;
        };
        match self.client.load_report(address).await {
            Ok(report) => self.note_report(&id, report),
            Err(error) => {
                self.engines.retain(|engine| engine.id != id);
                log::debug!("event=engine_report_missing engine={id} error={error:?}");
            }
        }
    }

    fn note_report(&mut self, id: &UpstreamId, mut report: LoadReport) {
        report.models.sort_unstable();
        if report.leaving {
            self.node.evidence(&[UpstreamEvidence {
                id: id.clone(),
                liveness: Liveness::Leaving,
                seen_at_ms: self.node.now_ms().saturating_sub(report.age_ms),
            }]);
        }
        self.node.models_reported(id, report.models.clone());
        let state = EngineState {
            id: id.clone(),
            models: report.models,
            running: report.running,
            waiting_prompt_tokens: report.waiting_prompt_tokens,
        };
        match self.engines.binary_search_by(|engine| engine.id.cmp(id)) {
            Ok(index) => self.engines[index] = state,
            Err(index) => self.engines.insert(index, state),
        }
    }

    /// Sends the most urgent order once every engine has reported.
    async fn issue(&mut self, view: &View) {
        let now = Instant::now();
        self.pending.retain(|(_, _, until)| *until > now);
        let is_complete = self.engines.len() == self.region_engines(view).count();
        if !is_complete || self.next_load_at > now {
            return;
        }
        let engines = self.with_pending();
        let covered = covered_elsewhere(view, &self.region);
        let Some((id, action)) = plan_order(&view.config, &engines, &covered) else {
            return;
        };
        let Some(address) = address(view, &id) else {
            return;
        };
        let Some(permission) = self.issuer.permission(self.node.now_ms()) else {
            return;
        };
        let regions = u32::try_from(engine_regions(view).len()).unwrap_or(u32::MAX);
        self.next_load_at = now + LOAD_INTERVAL * regions.max(1);
        self.pending
            .push((id.clone(), action.clone(), now + PENDING));
        let order = Order {
            fence: permission.fence,
            order_id: uuid::Uuid::new_v4().simple().to_string(),
            action,
        };
        log::info!(
            "event=order_sent engine={id} fence={} action={}",
            order.fence,
            process::quote(&format!("{:?}", order.action))
        );
        let deadline = self.node.instant(permission.deadline_ms);
        match timeout_at(deadline, self.client.send_order(address, &order)).await {
            Ok(Ok(answer)) => {
                let mut models = answer.models;
                models.sort_unstable();
                self.node.models_reported(&id, models);
            }
            // The engine may still obey; its next report shows the outcome.
            Ok(Err(error)) => log::warn!("event=order_failed engine={id} error={error:?}"),
            Err(_) => log::info!("event=order_unanswered engine={id}"),
        }
    }

    /// Engines as they will be once the orders under way have been obeyed.
    fn with_pending(&self) -> Vec<EngineState> {
        let mut engines = self.engines.clone();
        for (id, action, _) in &self.pending {
            let Ok(index) = engines.binary_search_by(|engine| engine.id.cmp(id)) else {
                continue;
            };
            let models = &mut engines[index].models;
            match action {
                OrderAction::Load { model } => {
                    if let Err(index) = models.binary_search(model) {
                        models.insert(index, model.clone());
                    }
                }
                OrderAction::Unload { model } => models.retain(|loaded| loaded != model),
            }
        }
        engines
    }
}

/// Regions that have engines, sorted.
fn engine_regions(view: &View) -> Vec<Region> {
    let engines = view
        .upstreams
        .iter()
        .filter(|entry| matches!(entry.kind, UpstreamKind::Engine { .. }));
    let mut regions: Vec<Region> = engines.map(|entry| entry.region.clone()).collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}

/// Models that this region need not care for: an engine elsewhere has them, or
/// another region is to load them first.
fn covered_elsewhere(view: &View, own: &Region) -> Vec<ModelName> {
    let regions = engine_regions(view);
    let is_covered = |model: &ModelName| {
        let mut others = view.upstreams.iter().filter(|entry| entry.region != *own);
        let first = regions
            .iter()
            .max_by_key(|region| rendezvous_weight(model.as_str(), region.as_str()));
        others.any(|entry| entry.serves_model(model)) || first != Some(own)
    };
    let models = view.config.models.iter().map(|entry| &entry.model);
    models.filter(|model| is_covered(model)).cloned().collect()
}

fn address(view: &View, id: &UpstreamId) -> Option<SocketAddr> {
    let index = view
        .upstreams
        .binary_search_by(|entry| entry.id.cmp(id))
        .ok()?;
    view.upstreams[index].address.parse().ok()
}
