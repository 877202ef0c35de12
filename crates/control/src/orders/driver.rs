//! Executes the issuer's work: renews the lease, reads the engines' load reports
//! and sends orders.

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

/// Interval between two ticks of the driver.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two load reports of the same engine. It is longer in
/// a region with many engines, because each tick reads at most one report.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two orders of a region, to be multiplied by the number of
/// regions that have engines. All engines load model weights from the store and
/// share its rate limit, so the fleet starts one load per interval.
const ORDER_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a sent order counts as carried out, whatever the engine
/// reports. Without it, the order would be repeated until a report shows its
/// outcome.
const PENDING_DURATION: Duration = Duration::from_mins(1);
/// Durations of the issuer's lease. The holder renews the lease every third of
/// `lease_ms`, so that one renewal without a response does not interrupt its
/// orders.
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    lease_ms: 15_000,
    max_delivery_ms: 4_000,
};

/// Sends the orders of a region while this node holds the issuer's lease.
pub(crate) struct OrderDriver {
    node: Arc<Node>,
    region: Region,
    local_id: InstanceId,
    lease_key: String,
    lease: IssuerLease,
    client: UpstreamClient,
    engines: Vec<EngineState>,
    /// Engines whose load reports are to be read next, in this order.
    report_queue: VecDeque<UpstreamId>,
    next_report_at: Instant,
    next_order_at: Instant,
    /// Orders sent, each with the time until which it counts as carried out.
    pending_orders: Vec<(UpstreamId, OrderAction, Instant)>,
}

impl OrderDriver {
    pub(crate) fn new(settings: &ControlSettings, node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            region: settings.node.region.clone(),
            local_id: settings.node.instance_id.clone(),
            lease_key: format!("lease/orders/{}", settings.node.region),
            lease: IssuerLease::new(settings.node.instance_id.clone(), LEASE_TIMES),
            client: UpstreamClient::new(),
            engines: Vec::new(),
            report_queue: VecDeque::new(),
            next_report_at: Instant::now(),
            next_order_at: Instant::now(),
            pending_orders: Vec::new(),
        }
    }

    /// Competes for the lease and sends orders while holding it, until the task
    /// is aborted.
    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let published = self.node.subscribe().borrow().clone();
            let is_candidate = published.is_synced && self.is_candidate(&published.view);
            if let Some(op) = self.lease.tick(is_candidate, self.node.now_ms()) {
                self.perform_table_ops(op).await;
            }
            if self.lease.permission(self.node.now_ms()).is_none() {
                self.discard_reports_and_orders();
                continue;
            }
            self.read_report(&published.view).await;
            self.send_next_order(&published.view).await;
        }
    }

    /// Returns whether this node should hold the lease: the view names it as the
    /// issuer, and the region has engines that could be given orders.
    fn is_candidate(&self, view: &View) -> bool {
        let issuer = order_issuer(view, &self.region);
        let is_issuer = issuer.is_some_and(|entry| entry.id == self.local_id);
        is_issuer && self.region_engines(view).next().is_some()
    }

    fn region_engines<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a UpstreamEntry> {
        view.upstreams.iter().filter(|entry| {
            entry.region == self.region
                && entry.liveness <= Liveness::Suspect
                && matches!(entry.kind, UpstreamKind::Engine { .. })
        })
    }

    /// Performs `op` and the operations that follow from its outcome.
    async fn perform_table_ops(&mut self, op: TableOp) {
        let mut next = Some(op);
        while let Some(op) = next.take() {
            match op {
                TableOp::Read => {
                    let row = self.read_lease().await;
                    next = self.lease.on_row_read(row, self.node.now_ms());
                }
                TableOp::Write {
                    expected_version,
                    row,
                } => {
                    let fence = row.fence;
                    let outcome = self.write_lease(expected_version, &row).await;
                    self.lease.on_row_written(outcome, self.node.now_ms());
                    log::debug!("event=orders_lease fence={fence} outcome={outcome:?}");
                }
            }
        }
    }

    async fn read_lease(&self) -> Result<Option<(u64, LeaseRow)>, ()> {
        let row = self
            .node
            .store()
            .row(&self.lease_key)
            .await
            .map_err(|error| {
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
        let row_id = store::row_id(&self.lease_key);
        let transaction = Transaction {
            conditions: vec![row_id.clone().at_version(expected_version)],
            puts: vec![row_id.with_value(value.into())],
            ..Transaction::default()
        };
        match self.node.store().transact(&transaction).await {
            Ok(TransactOutcome::Committed { version }) => WriteOutcome::Committed(version),
            Ok(TransactOutcome::Conflict { .. }) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        }
    }

    /// Discards reports and pending orders. They would be outdated when this node
    /// becomes the issuer again.
    fn discard_reports_and_orders(&mut self) {
        self.engines.clear();
        self.report_queue.clear();
        self.pending_orders.clear();
    }

    /// Reads the load report of the next engine in the queue, at most one report
    /// per tick. Refills the queue with all engines of the region.
    async fn read_report(&mut self, view: &View) {
        if self.report_queue.is_empty() && self.next_report_at <= Instant::now() {
            self.next_report_at = Instant::now() + REPORT_INTERVAL;
            self.report_queue = self
                .region_engines(view)
                .map(|entry| entry.id.clone())
                .collect();
            let known_engines = self.report_queue.clone();
            self.engines
                .retain(|engine| known_engines.contains(&engine.id));
        }
        let Some(id) = self.report_queue.pop_front() else {
            return;
        };
        let Some(address) = upstream_address(view, &id) else {
            return;
        };
        match self.client.load_report(address).await {
            Ok(report) => self.record_report(&id, report),
            Err(error) => {
                self.engines.retain(|engine| engine.id != id);
                log::debug!("event=engine_report_missing engine={id} error={error:?}");
            }
        }
    }

    fn record_report(&mut self, id: &UpstreamId, mut report: LoadReport) {
        report.models.sort_unstable();
        if report.leaving {
            self.node.on_evidence(&[UpstreamEvidence {
                id: id.clone(),
                liveness: Liveness::Leaving,
                seen_at_ms: self.node.now_ms().saturating_sub(report.age_ms),
            }]);
        }
        self.node.on_models_reported(id, report.models.clone());
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

    /// Sends the most urgent order, if one is due and every engine has reported.
    async fn send_next_order(&mut self, view: &View) {
        let now = Instant::now();
        self.pending_orders.retain(|(_, _, until)| *until > now);
        let all_reported = self.engines.len() == self.region_engines(view).count();
        if !all_reported || self.next_order_at > now {
            return;
        }
        let engines = self.engines_with_pending_orders();
        let covered = models_covered_elsewhere(view, &self.region);
        let Some((id, action)) = plan_order(&view.config, &engines, &covered) else {
            return;
        };
        let Some(address) = upstream_address(view, &id) else {
            return;
        };
        let Some(permission) = self.lease.permission(self.node.now_ms()) else {
            return;
        };
        let regions = u32::try_from(engine_regions(view).len()).unwrap_or(u32::MAX);
        self.next_order_at = now + ORDER_INTERVAL * regions.max(1);
        self.pending_orders
            .push((id.clone(), action.clone(), now + PENDING_DURATION));
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
                self.node.on_models_reported(&id, models);
            }
            // The engine may still carry out the order; its next report shows
            // the outcome.
            Ok(Err(error)) => log::warn!("event=order_failed engine={id} error={error:?}"),
            Err(_) => log::info!("event=order_unanswered engine={id}"),
        }
    }

    /// Returns the engines in the state that they will have once all pending
    /// orders are carried out.
    fn engines_with_pending_orders(&self) -> Vec<EngineState> {
        let mut engines = self.engines.clone();
        for (id, action, _) in &self.pending_orders {
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

/// Returns the regions that have engines, sorted.
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

/// Returns the configured models that this region need not load: an engine in
/// another region serves the model, or rendezvous hashing assigns the first load
/// of the model to another region.
fn models_covered_elsewhere(view: &View, local_region: &Region) -> Vec<ModelName> {
    let regions = engine_regions(view);
    let is_covered = |model: &ModelName| {
        let mut others = view
            .upstreams
            .iter()
            .filter(|entry| entry.region != *local_region);
        let assigned_region = regions
            .iter()
            .max_by_key(|region| rendezvous_weight(model.as_str(), region.as_str()));
        others.any(|entry| entry.serves_model(model)) || assigned_region != Some(local_region)
    };
    let models = view.config.models.iter().map(|entry| &entry.model);
    models.filter(|model| is_covered(model)).cloned().collect()
}

fn upstream_address(view: &View, id: &UpstreamId) -> Option<SocketAddr> {
    let index = view
        .upstreams
        .binary_search_by(|entry| entry.id.cmp(id))
        .ok()?;
    view.upstreams[index].address.parse().ok()
}
