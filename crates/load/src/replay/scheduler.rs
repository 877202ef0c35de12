//! One simulated instance: its batch items, and its scheduling decisions, which
//! [`UpstreamTable`] and related types of crate `gateway` make as in production.

use gateway::{
    BatchDemand, BatchRun, LoadNotice, Locality, NoticeScheduler, Placement, PlacementRequest,
    Preemption, RunForecast, Target, UpstreamEntry, UpstreamState, UpstreamTable, Urgency,
    WorkKind, runs_to_preempt, service_hash,
};
use model::{FailureDomain, InstanceId, Region, ServiceName, SoftwareVersion, UpstreamId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    Ablation,
    arrivals::{EVENT_TOKENS, Pattern},
};

/// Time within which the first event of an answer should arrive, milliseconds.
pub(super) const ANSWER_GOAL_MS: u64 = 300;
/// Number of requests that an upstream serves concurrently.
pub(super) const SLOTS: u32 = 8;
/// Mean time until one of the slots of a full upstream becomes free, and until an answer
/// begins that has a slot, milliseconds at the usual speed.
const SLOT_RELEASE_MS: f64 = 90.0;
const FIRST_EVENT_MS: f64 = 25.0;
const PORT: u16 = 8_000;
const VERSION: &str = "v1";

/// Scheduling state of one instance.
#[derive(Debug)]
pub(super) struct Scheduler {
    pub(super) upstream_table: UpstreamTable,
    pub(super) items: Vec<Item>,
    instance: InstanceId,
    pub(super) region: Region,
    service: ServiceName,
    forecast: RunForecast,
    notice_schedule: NoticeScheduler,
    notice_sequence: u64,
    ablation: Option<Ablation>,
    /// True speed of each upstream, by index.
    speeds: Vec<f64>,
    rng: SmallRng,
}

/// An item of an accepted job.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) tokens_done: u32,
    pub(super) accepted_us: u64,
    pub(super) due_ms: u64,
    pub(super) state: ItemState,
}

/// Progress of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ItemState {
    Waiting,
    Running {
        target: Target,
        sequence: usize,
        began_ms: u64,
        tokens_at_start: u32,
    },
    Done,
}

/// A change to the instance's runs that has to be made now.
#[derive(Debug)]
pub(super) enum Action {
    /// Starts item `index`.
    Start { index: usize, target: Target },
    /// Preempts the run of item `index`.
    Preempt { index: usize },
}

/// Returns the name of a region.
pub(super) fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// Returns the table entry of an upstream.
pub(super) fn upstream_entry(index: usize, region: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: upstream_id(index),
        service: ServiceName::new("hints"),
        address: ([127, 0, 0, 1], PORT).into(),
        failure_domain: FailureDomain::new(&region_name(region)),
        weights: None,
        version: SoftwareVersion::new(VERSION),
        slots: SLOTS,
        state: UpstreamState::Ready,
        warm_up_remaining_ms: 0,
        started_unix_ms: 1,
    }
}

/// Returns the ID of an upstream.
pub(super) fn upstream_id(index: usize) -> UpstreamId {
    UpstreamId::new(&format!("upstream-{index:05}"))
}

/// Returns the index of the upstream with this ID.
pub(super) fn upstream_index(id: &UpstreamId) -> usize {
    index_of(id.as_str())
}

/// Returns the index of the instance with this ID.
pub(super) fn instance_index(id: &InstanceId) -> usize {
    index_of(id.as_str())
}

fn index_of(id: &str) -> usize {
    let number = id.rsplit('-').next();
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

impl Scheduler {
    pub(super) fn new(
        index: usize,
        pattern: &Pattern,
        upstreams: &[UpstreamEntry],
        ablation: Option<Ablation>,
        seed: u64,
    ) -> Self {
        let regions = pattern.regions;
        let instance = InstanceId::new(&format!("instance-{index:05}"));
        let region = region_name(index % regions);
        let regions_by_domain = (0..regions).map(region_name).map(|name| {
            let domain = FailureDomain::new(&name);
            (domain, Region::new(&name))
        });
        let locality = Locality {
            instance: instance.clone(),
            failure_domain: FailureDomain::new(&region),
            region: Region::new(&region),
            regions: regions_by_domain.collect(),
        };
        let seed = seed ^ (index as u64) << 32;
        let mut upstream_table = UpstreamTable::new(locality, seed);
        for entry in upstreams {
            upstream_table.upsert(entry.clone(), 0);
        }
        Self {
            upstream_table,
            items: Vec::new(),
            instance,
            region: Region::new(&region),
            service: ServiceName::new("hints"),
            forecast: RunForecast::default(),
            notice_schedule: NoticeScheduler::default(),
            notice_sequence: 0,
            ablation,
            speeds: (0..pattern.upstreams)
                .map(|index| pattern.speed(index))
                .collect(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the placement of an online request.
    pub(super) fn place(
        &mut self,
        tried: &[UpstreamId],
        may_refuse: bool,
        now_ms: u64,
    ) -> Placement {
        let request = PlacementRequest {
            service: &self.service,
            prompt_parts: &[],
            tried,
            goal_ms: ANSWER_GOAL_MS,
            waited_ms: 0,
            version: None,
            weights: None,
            may_refuse: may_refuse && self.ablation != Some(Ablation::Refusals),
        };
        let placement = self.upstream_table.place(&request, now_ms);
        let Some(upstream) = self.baseline_upstream() else {
            return placement;
        };
        match placement {
            Placement::Send {
                expected_ms, load, ..
            } => Placement::Send {
                target: self.target(upstream),
                expected_ms,
                load,
                kept_tokens: 0,
                preemption: Preemption::Nothing,
            },
            refused @ Placement::Refuse { .. } => refused,
        }
    }

    /// Returns the indices of the peers to which a load notice is due.
    pub(super) fn due_peers(&mut self, peer_regions: &[Region], now_ms: u64) -> Vec<usize> {
        if self.ablation == Some(Ablation::NoticeScheduling) {
            return (0..peer_regions.len()).collect();
        }
        self.notice_schedule
            .due_peers(&self.upstream_table, peer_regions, now_ms)
    }

    /// Returns a load notice for the other instances.
    pub(super) fn notice(&mut self) -> LoadNotice {
        self.notice_sequence += 1;
        let shares_plan = self.ablation != Some(Ablation::SharedPlan);
        LoadNotice {
            instance: self.instance.clone(),
            started_unix_ms: 1,
            sequence: self.notice_sequence,
            region: self.region.clone(),
            store_age_ms: Some(0),
            job_takeovers: Vec::new(),
            batch_queue: if shares_plan {
                self.upstream_table.batch_queue().to_vec()
            } else {
                Vec::new()
            },
            loads: self.upstream_table.own_loads(),
        }
    }

    /// Returns the items to preempt and to start now.
    pub(super) fn next_actions(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ablation != Some(Ablation::Preemption) {
            for (upstream, count) in self.upstream_table.preemptions() {
                let indices = self.least_urgent_items(&upstream, count, now_ms);
                actions.extend(indices.into_iter().map(|index| Action::Preempt { index }));
            }
        }
        let waiting = self.publish_batch_state(now_ms);
        let plan = self.upstream_table.batch_plan(&self.service, now_ms);
        let starts = waiting.into_iter().zip(plan);
        actions.extend(starts.map(|(index, target)| Action::Start { index, target }));
        actions
    }

    /// Records that the run of an item has started.
    pub(super) fn record_item_start(
        &mut self,
        index: usize,
        target: &Target,
        sequence: usize,
        now_ms: u64,
    ) {
        self.upstream_table
            .record_start(target, WorkKind::Batch, now_ms);
        let item = &mut self.items[index];
        item.state = ItemState::Running {
            target: target.clone(),
            sequence,
            began_ms: now_ms,
            tokens_at_start: item.tokens_done,
        };
        self.publish_batch_state(now_ms);
    }

    /// Records that the run of an item has ended. Returns whether the item is
    /// complete.
    pub(super) fn record_item_end(&mut self, index: usize, tokens_done: u32, now_ms: u64) -> bool {
        let item = &mut self.items[index];
        let ItemState::Running {
            target,
            began_ms,
            tokens_at_start,
            ..
        } = std::mem::replace(&mut item.state, ItemState::Waiting)
        else {
            return false;
        };
        item.tokens_done = tokens_done;
        let is_done = tokens_done >= item.output_tokens;
        let events = u64::from((tokens_done - tokens_at_start) / EVENT_TOKENS);
        let run_ms = now_ms - began_ms;
        self.forecast.record_run(run_ms, events);
        self.upstream_table.record_end(&target, WorkKind::Batch);
        if is_done {
            item.state = ItemState::Done;
            let all_events = u64::from(item.output_tokens / EVENT_TOKENS);
            self.forecast
                .record_completed_item(item.output_tokens, all_events);
            self.upstream_table
                .record_completion(&target, WorkKind::Batch, run_ms);
        }
        self.publish_batch_state(now_ms);
        is_done
    }

    /// Updates the batch queue and the batch runs in the upstream table.
    /// Returns the waiting items, most urgent first.
    pub(super) fn publish_batch_state(&mut self, now_ms: u64) -> Vec<usize> {
        let mut waiting: Vec<_> = self
            .indices(|state| *state == ItemState::Waiting)
            .map(|index| (self.urgency(index, now_ms), index))
            .collect();
        waiting.sort_unstable();
        let service = service_hash(&self.service);
        let demands = waiting.iter().map(|(urgency, _)| (service, *urgency));
        let queue = BatchDemand::queue(demands);
        self.upstream_table.set_batch_queue(queue);
        let runs: Vec<_> = self
            .items
            .iter()
            .enumerate()
            .filter_map(|(index, item)| match &item.state {
                ItemState::Running { target, .. } => Some(BatchRun {
                    upstream: target.upstream.clone(),
                    urgency: self.urgency(index, now_ms),
                }),
                ItemState::Waiting | ItemState::Done => None,
            })
            .collect();
        self.upstream_table.set_batch_runs(&runs);
        waiting.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns up to `count` items to preempt at an upstream.
    pub(super) fn least_urgent_items(
        &self,
        upstream: &UpstreamId,
        count: u32,
        now_ms: u64,
    ) -> Vec<usize> {
        let runs_at_upstream = |state: &ItemState| matches!(state, ItemState::Running { target, .. } if target.upstream == *upstream);
        let runs = self
            .indices(runs_at_upstream)
            .map(|index| (self.urgency(index, now_ms), index));
        runs_to_preempt(runs, count)
    }

    fn indices(&self, is_selected: impl Fn(&ItemState) -> bool) -> impl Iterator<Item = usize> {
        let matching = self
            .items
            .iter()
            .enumerate()
            .filter(move |(_, item)| is_selected(&item.state));
        matching.map(|(index, _)| index)
    }

    fn urgency(&self, index: usize, now_ms: u64) -> Urgency {
        let item = &self.items[index];
        let events = u64::from(item.tokens_done / EVENT_TOKENS);
        let remaining_ms = if self.ablation == Some(Ablation::Forecast) {
            0
        } else {
            self.forecast.remaining_ms(item.output_tokens, events)
        };
        Urgency::new(item.due_ms, remaining_ms, now_ms)
    }

    /// Returns the upstream that a baseline would choose, or `None` if this run has none.
    fn baseline_upstream(&mut self) -> Option<UpstreamId> {
        let loads: Vec<_> = self
            .upstream_table
            .in_flight()
            .map(|known| {
                let load = known.own_online + known.own_batch;
                (
                    known.upstream,
                    load + known.peers_online + known.peers_batch,
                )
            })
            .collect();
        let first = self.rng.random_range(0..loads.len());
        let second = self.rng.random_range(0..loads.len());
        // Ties go to a random upstream.
        let rotated = (first..loads.len()).chain(0..first);
        let speed = |index: usize| self.speeds[upstream_index(&loads[index].0)];
        let delay = |index: usize| {
            let excess = (loads[index].1 + 1).saturating_sub(SLOTS);
            (f64::from(excess) * SLOT_RELEASE_MS + FIRST_EVENT_MS) / speed(index)
        };
        let index = match self.ablation? {
            Ablation::Placement => first,
            Ablation::LeastRequests => rotated.min_by_key(|index| loads[*index].1)?,
            Ablation::TwoChoices => [first, second].into_iter().min_by_key(|i| loads[*i].1)?,
            Ablation::ShortestDelay => rotated.min_by(|a, b| delay(*a).total_cmp(&delay(*b)))?,
            _ => return None,
        };
        Some(loads[index].0.clone())
    }

    fn target(&self, upstream: UpstreamId) -> Target {
        Target {
            upstream,
            service: self.service.clone(),
            version: SoftwareVersion::new(VERSION),
            address: ([127, 0, 0, 1], PORT).into(),
            started_unix_ms: 1,
        }
    }
}
