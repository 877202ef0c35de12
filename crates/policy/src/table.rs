//! The upstreams that an entry may use, and what it knows of each.

use model::{
    FailureDomain, InstanceId, InstanceRole, Liveness, ModelName, Region, ServiceName,
    UpstreamEntry, UpstreamId, UpstreamKind, View,
};

use crate::{
    EngineCost, UpstreamLoad, health::Health, prefix::PrefixTable, ring_order, subset::subset,
};

/// Age at which a peer's news of running requests counts nothing, microseconds.
const LOAD_FORGET_US: u64 = 2_000_000;
/// Age at which news of waiting prompt tokens counts nothing, microseconds.
const WAITING_FORGET_US: u64 = 100_000;
/// Time for which an upstream's own word that it leaves outweighs a view,
/// microseconds.
const LEAVING_MEMORY_US: u64 = 60_000_000;
/// Bounds of the learned correction of predictions.
const CORRECTION_RANGE: (f64, f64) = (0.25, 16.0);
/// Weight of the newest observation in the correction.
const CORRECTION_WEIGHT: f64 = 0.02;

/// Requests of one entry at one upstream, or its news of others' there.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of requests without a first token.
    pub prompt_tokens: u32,
}

/// One upstream.
#[derive(Debug)]
pub struct Row {
    pub id: UpstreamId,
    pub region: Region,
    pub failure_domain: FailureDomain,
    pub liveness: Liveness,
    /// When the upstream itself last said that it is leaving, microseconds.
    pub left_at_us: Option<u64>,
    pub health: Health,
    /// Requests of this entry.
    pub own: Work,
    /// Work of everybody else, and when that was so, microseconds.
    pub others: Option<(Work, u64)>,
    /// Batch work, and when that was so, microseconds.
    pub batch: Option<(Work, u64)>,
    /// Observed time to first token as a multiple of the predicted one.
    pub correction: f64,
    pub prefixes: PrefixTable,
}

/// Upstreams that serve one model or service, as indices of rows.
#[derive(Debug)]
struct Group {
    key: GroupKey,
    home: Vec<usize>,
    away: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum GroupKey {
    Model(ModelName),
    Service(ServiceName),
}

/// Rows sorted by upstream, and the groups they fall into.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
    groups: Vec<Group>,
}

/// Sizes of the subsets of one entry.
#[derive(Debug, Clone, Copy)]
pub struct SubsetSizes {
    /// Upstreams per model or service in the home region.
    pub home: usize,
    /// Upstreams per model or service in each other region.
    pub away: usize,
}

impl Row {
    fn new(entry: &UpstreamEntry) -> Self {
        Self {
            id: entry.id.clone(),
            region: entry.region.clone(),
            failure_domain: entry.failure_domain.clone(),
            liveness: entry.liveness,
            left_at_us: None,
            health: Health::new(),
            own: Work::default(),
            others: None,
            batch: None,
            correction: 1.0,
            prefixes: PrefixTable::default(),
        }
    }

    /// Whether the upstream takes work, as far as is known.
    ///
    /// What an upstream said itself goes before a view that lags.
    pub fn takes_work(&self, now_us: u64) -> bool {
        let has_left = self
            .left_at_us
            .is_some_and(|left_us| now_us < left_us + LEAVING_MEMORY_US);
        !has_left
            && matches!(self.liveness, Liveness::Live | Liveness::Suspect)
            && self.health.admits(now_us)
    }

    /// Predicted time from arrival at the upstream to the first token,
    /// microseconds.
    pub fn first_token_us(&self, cost: &EngineCost, prompt_tokens: u32, now_us: u64) -> f64 {
        let batch_running = aged(self.batch, now_us, LOAD_FORGET_US, |work| work.running);
        let batch_waiting = aged(self.batch, now_us, WAITING_FORGET_US, |work| {
            work.prompt_tokens
        });
        let running = self.online_running(now_us) + batch_running;
        let waiting = self.online_waiting(now_us) + batch_waiting + f64::from(prompt_tokens);
        first_token(cost, running, waiting) * self.correction
    }

    /// The same if the upstream held no batch work.
    pub fn first_token_alone_us(&self, cost: &EngineCost, prompt_tokens: u32, now_us: u64) -> f64 {
        let waiting = self.online_waiting(now_us) + f64::from(prompt_tokens);
        first_token(cost, self.online_running(now_us), waiting) * self.correction
    }

    fn online_running(&self, now_us: u64) -> f64 {
        f64::from(self.own.running) + aged(self.others, now_us, LOAD_FORGET_US, |work| work.running)
    }

    fn online_waiting(&self, now_us: u64) -> f64 {
        let others = aged(self.others, now_us, WAITING_FORGET_US, |work| {
            work.prompt_tokens
        });
        f64::from(self.own.prompt_tokens) + others
    }

    /// Compares a prediction with what came.
    pub fn observe(&mut self, predicted_us: f64, first_token_us: f64) {
        let ratio = first_token_us / predicted_us.max(1.0) * self.correction;
        let mean = self.correction + (ratio - self.correction) * CORRECTION_WEIGHT;
        self.correction = mean.clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1);
    }

    /// Takes over an owner's news of the whole work at the upstream.
    pub fn set_load(&mut self, load: &UpstreamLoad, at_us: u64) {
        let others = Work {
            running: load.online_running.saturating_sub(self.own.running),
            prompt_tokens: load
                .online_prompt_tokens
                .saturating_sub(self.own.prompt_tokens),
        };
        let batch = Work {
            running: load.batch_running,
            prompt_tokens: load.batch_prompt_tokens,
        };
        self.others = Some((others, at_us));
        self.batch = Some((batch, at_us));
    }

    /// Takes over an engine's own report, unless newer news are at hand.
    pub fn set_report(&mut self, running: u32, waiting_prompt_tokens: u32, at_us: u64) {
        if self.others.is_some_and(|(_, newer_us)| newer_us >= at_us) {
            return;
        }
        let others = Work {
            running: running.saturating_sub(self.own.running),
            prompt_tokens: waiting_prompt_tokens.saturating_sub(self.own.prompt_tokens),
        };
        self.others = Some((others, at_us));
        self.batch = None;
    }
}

/// Half a step until the next begins, if one is under way, then that step.
fn first_token(cost: &EngineCost, running: f64, waiting_tokens: f64) -> f64 {
    let residual_us = if running > 0.0 {
        cost.step_duration_us(running, 0.0) / 2.0
    } else {
        0.0
    };
    residual_us + cost.step_duration_us(running, waiting_tokens)
}

fn aged(
    news: Option<(Work, u64)>,
    now_us: u64,
    forget_us: u64,
    figure: impl Fn(&Work) -> u32,
) -> f64 {
    let Some((work, at_us)) = news else {
        return 0.0;
    };
    let left_us = forget_us.saturating_sub(now_us.saturating_sub(at_us));
    f64::from(figure(&work)) * us(left_us) / us(forget_us)
}

/// Microseconds as a float; exact below 2^53.
#[expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds stay far below 2^53"
)]
pub fn us(time_us: u64) -> f64 {
    time_us as f64
}

impl Table {
    /// Replaces the table by what `view` holds for the entry `instance`, and
    /// keeps what is known of upstreams that stay.
    pub fn rebuild(
        &mut self,
        view: &View,
        instance: &InstanceId,
        home: &Region,
        sizes: SubsetSizes,
    ) {
        let mut groups = Vec::new();
        let mut used: Vec<usize> = Vec::new();
        for key in group_keys(view) {
            let group = choose(view, &key, instance, home, sizes);
            used.extend(group.home.iter().chain(&group.away));
            groups.push(group);
        }
        used.sort_unstable();
        used.dedup();
        let old = std::mem::take(&mut self.rows);
        self.rows = used
            .iter()
            .map(|index| Row::new(&view.upstreams[*index]))
            .collect();
        self.rows.sort_by(|a, b| a.id.cmp(&b.id));
        self.keep_known(old);
        for group in &mut groups {
            for index in group.home.iter_mut().chain(&mut group.away) {
                let id = &view.upstreams[*index].id;
                *index = self.find(id).unwrap_or_default();
            }
        }
        self.groups = groups;
    }

    /// Index of an upstream's row.
    pub fn find(&self, id: &UpstreamId) -> Option<usize> {
        self.rows.binary_search_by(|row| row.id.cmp(id)).ok()
    }

    /// The row of an upstream.
    pub fn row_mut(&mut self, id: &UpstreamId) -> Option<&mut Row> {
        let index = self.find(id)?;
        Some(&mut self.rows[index])
    }

    /// The row at an index.
    pub fn row_at_mut(&mut self, index: usize) -> &mut Row {
        &mut self.rows[index]
    }

    /// Every row.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Rows that serve a model in the home region and elsewhere.
    pub fn serving_model(&self, model: &ModelName) -> (&[usize], &[usize]) {
        self.group(&GroupKey::Model(model.clone()))
    }

    /// Rows that serve a plain service in the home region and elsewhere.
    pub fn serving_service(&self, service: &ServiceName) -> (&[usize], &[usize]) {
        self.group(&GroupKey::Service(service.clone()))
    }

    fn group(&self, key: &GroupKey) -> (&[usize], &[usize]) {
        match self.groups.binary_search_by(|group| group.key.cmp(key)) {
            Ok(index) => (&self.groups[index].home, &self.groups[index].away),
            Err(_) => (&[], &[]),
        }
    }

    /// Moves the old rows' knowledge into the new ones.
    fn keep_known(&mut self, old: Vec<Row>) {
        for mut row in old {
            if let Some(fresh) = self.row_mut(&row.id) {
                row.liveness = fresh.liveness;
                row.region = fresh.region.clone();
                row.failure_domain = fresh.failure_domain.clone();
                *fresh = row;
            }
        }
    }
}

fn group_keys(view: &View) -> Vec<GroupKey> {
    let mut keys = Vec::new();
    for upstream in &view.upstreams {
        match &upstream.kind {
            UpstreamKind::Engine { models } => {
                keys.extend(models.iter().cloned().map(GroupKey::Model));
            }
            UpstreamKind::Service { service } => keys.push(GroupKey::Service(service.clone())),
        }
    }
    keys.sort_unstable();
    keys.dedup();
    keys
}

fn serves(upstream: &UpstreamEntry, key: &GroupKey) -> bool {
    match (key, &upstream.kind) {
        (GroupKey::Model(model), _) => upstream.serves_model(model),
        (GroupKey::Service(wanted), UpstreamKind::Service { service }) => wanted == service,
        (GroupKey::Service(_), UpstreamKind::Engine { .. }) => false,
    }
}

fn choose(
    view: &View,
    key: &GroupKey,
    instance: &InstanceId,
    home: &Region,
    sizes: SubsetSizes,
) -> Group {
    let (rank, entries) = rank_among_entries(view, instance, home);
    let mut regions: Vec<&Region> = view.upstreams.iter().map(|u| &u.region).collect();
    regions.sort_unstable();
    regions.dedup();
    let mut group = Group {
        key: key.clone(),
        home: Vec::new(),
        away: Vec::new(),
    };
    for region in regions {
        let members: Vec<usize> = (0..view.upstreams.len())
            .filter(|index| {
                let upstream = &view.upstreams[*index];
                upstream.region == *region
                    && upstream.liveness != Liveness::Dead
                    && serves(upstream, key)
            })
            .collect();
        let names = members
            .iter()
            .map(|index| view.upstreams[*index].id.as_str());
        let order: Vec<usize> = ring_order(names).into_iter().map(|i| members[i]).collect();
        if region == home {
            group.home = subset(&order, rank, entries, sizes.home);
        } else {
            group.away.extend(subset(&order, rank, entries, sizes.away));
        }
    }
    group
}

/// Rank of an entry among the entries of its region, and their number.
fn rank_among_entries(view: &View, instance: &InstanceId, home: &Region) -> (usize, usize) {
    let mut entries: Vec<&InstanceId> = view
        .instances
        .iter()
        .filter(|entry| entry.role == InstanceRole::Entry && entry.region == *home)
        .map(|entry| &entry.id)
        .collect();
    entries.sort_unstable();
    let rank = entries
        .binary_search(&instance)
        .unwrap_or_else(|insertion| insertion);
    (rank, entries.len().max(1))
}
