//! The upstreams that an entry program may use, and the known state of each.

use model::{
    FailureDomain, InstanceId, InstanceRole, Liveness, ModelName, Region, ServiceName,
    UpstreamEntry, UpstreamId, UpstreamKind, View,
};

use crate::{
    EngineCost, UpstreamLoad, health::Health, prefix::PrefixTable, ring_order, subset::subset,
};

/// Age at which a reported number of running requests has decayed to zero,
/// microseconds.
const RUNNING_DECAY_US: u64 = 2_000_000;
/// Age at which a reported number of waiting prompt tokens has decayed to zero,
/// microseconds.
const WAITING_DECAY_US: u64 = 100_000;
/// Time for which an upstream's own announcement that it is leaving overrides
/// the view of the fleet, microseconds.
const LEAVING_TTL_US: u64 = 60_000_000;
/// Bounds of the learned correction factor of predictions.
const CORRECTION_RANGE: (f64, f64) = (0.25, 16.0);
/// Weight of the newest observation in the correction factor, an exponentially
/// weighted moving average.
const CORRECTION_WEIGHT: f64 = 0.02;

/// Work at one upstream, either of this entry program or reported to it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// Number of requests in flight.
    pub running: u32,
    /// Number of prompt tokens of requests that have no first token yet.
    pub prompt_tokens: u32,
}

/// Known state of one upstream.
#[derive(Debug)]
pub struct Row {
    pub id: UpstreamId,
    pub region: Region,
    pub failure_domain: FailureDomain,
    pub liveness: Liveness,
    /// When the upstream itself last announced that it is leaving,
    /// microseconds.
    pub leaving_at_us: Option<u64>,
    pub health: Health,
    /// Requests of this entry program.
    pub own: Work,
    /// Work of other programs, and the time that it describes, microseconds.
    /// After an engine's own report, this includes batch work.
    pub others: Option<(Work, u64)>,
    /// Batch work, and the time that it describes, microseconds.
    pub batch: Option<(Work, u64)>,
    /// Ratio of the observed to the predicted time to first token.
    pub correction: f64,
    pub prefixes: PrefixTable,
}

/// Upstreams that serve one model or service, as indices into the rows of
/// [`UpstreamTable`].
#[derive(Debug)]
struct UpstreamGroup {
    key: GroupKey,
    home: Vec<usize>,
    remote: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum GroupKey {
    Model(ModelName),
    Service(ServiceName),
}

/// Rows sorted by upstream, and groups of them sorted by model or service.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    rows: Vec<Row>,
    groups: Vec<UpstreamGroup>,
}

/// Sizes of the subsets that one entry program uses.
#[derive(Debug, Clone, Copy)]
pub struct SubsetSizes {
    /// Number of upstreams per model or service in the home region.
    pub home: usize,
    /// Number of upstreams per model or service in each other region.
    pub remote: usize,
}

impl Row {
    fn new(entry: &UpstreamEntry) -> Self {
        Self {
            id: entry.id.clone(),
            region: entry.region.clone(),
            failure_domain: entry.failure_domain.clone(),
            liveness: entry.liveness,
            leaving_at_us: None,
            health: Health::new(),
            own: Work::default(),
            others: None,
            batch: None,
            correction: 1.0,
            prefixes: PrefixTable::default(),
        }
    }

    /// Returns whether the upstream is expected to accept requests.
    ///
    /// The upstream's own announcement that it is leaving takes precedence over
    /// the view of the fleet, which lags behind.
    pub fn accepts_requests(&self, now_us: u64) -> bool {
        let is_leaving = self
            .leaving_at_us
            .is_some_and(|leaving_us| now_us < leaving_us + LEAVING_TTL_US);
        !is_leaving
            && matches!(self.liveness, Liveness::Live | Liveness::Suspect)
            && self.health.admits_request(now_us)
    }

    /// Returns the predicted time from arrival at the upstream to the first
    /// token, microseconds.
    pub fn predicted_first_token_us(
        &self,
        cost: &EngineCost,
        prompt_tokens: u32,
        now_us: u64,
    ) -> f64 {
        let batch_running = decayed(self.batch, now_us, RUNNING_DECAY_US, |work| work.running);
        let batch_waiting = decayed(self.batch, now_us, WAITING_DECAY_US, |work| {
            work.prompt_tokens
        });
        let running = self.online_running(now_us) + batch_running;
        let waiting = self.online_waiting(now_us) + batch_waiting + f64::from(prompt_tokens);
        predict_first_token_us(cost, running, waiting) * self.correction
    }

    /// Returns the predicted time to the first token if the upstream held no
    /// batch work, microseconds.
    pub fn predicted_first_token_without_batch_us(
        &self,
        cost: &EngineCost,
        prompt_tokens: u32,
        now_us: u64,
    ) -> f64 {
        let waiting = self.online_waiting(now_us) + f64::from(prompt_tokens);
        predict_first_token_us(cost, self.online_running(now_us), waiting) * self.correction
    }

    fn online_running(&self, now_us: u64) -> f64 {
        f64::from(self.own.running)
            + decayed(self.others, now_us, RUNNING_DECAY_US, |work| work.running)
    }

    fn online_waiting(&self, now_us: u64) -> f64 {
        let other_tokens = decayed(self.others, now_us, WAITING_DECAY_US, |work| {
            work.prompt_tokens
        });
        f64::from(self.own.prompt_tokens) + other_tokens
    }

    /// Updates the correction factor from a predicted and the observed time to
    /// first token.
    pub fn update_correction(&mut self, predicted_us: f64, first_token_us: f64) {
        let ratio = first_token_us / predicted_us.max(1.0) * self.correction;
        let mean = self.correction + (ratio - self.correction) * CORRECTION_WEIGHT;
        self.correction = mean.clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1);
    }

    /// Records the total work at the upstream as the owner of its batch window
    /// reported it.
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

    /// Records an engine's own report, unless a newer one is known. The report
    /// does not distinguish batch work from online work.
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

/// Returns the predicted time to first token, microseconds. This is the expected
/// rest of the step in progress, half a step, if requests are running, and the
/// step that prefills the prompt.
fn predict_first_token_us(cost: &EngineCost, running: f64, waiting_tokens: f64) -> f64 {
    let residual_us = if running > 0.0 {
        cost.step_duration_us(running, 0.0) / 2.0
    } else {
        0.0
    };
    residual_us + cost.step_duration_us(running, waiting_tokens)
}

/// Returns a reported value decayed linearly with its age, down to zero at
/// `decay_us`.
fn decayed(
    observed: Option<(Work, u64)>,
    now_us: u64,
    decay_us: u64,
    value: impl Fn(&Work) -> u32,
) -> f64 {
    let Some((work, at_us)) = observed else {
        return 0.0;
    };
    let remaining_us = decay_us.saturating_sub(now_us.saturating_sub(at_us));
    f64::from(value(&work)) * to_f64(remaining_us) / to_f64(decay_us)
}

/// Converts microseconds or another count to a float; exact below 2^53.
#[expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds stay far below 2^53"
)]
pub fn to_f64(value: u64) -> f64 {
    value as f64
}

impl UpstreamTable {
    /// Rebuilds the table from `view` for the entry `instance` in region `home`.
    /// The known state of upstreams that remain in the table is kept.
    pub fn rebuild(
        &mut self,
        view: &View,
        instance: &InstanceId,
        home: &Region,
        subset_sizes: SubsetSizes,
    ) {
        let mut groups = Vec::new();
        let mut selected: Vec<usize> = Vec::new();
        for key in group_keys(view) {
            let group = build_group(view, &key, instance, home, subset_sizes);
            selected.extend(group.home.iter().chain(&group.remote));
            groups.push(group);
        }
        selected.sort_unstable();
        selected.dedup();
        let old_rows = std::mem::take(&mut self.rows);
        self.rows = selected
            .iter()
            .map(|index| Row::new(&view.upstreams[*index]))
            .collect();
        self.rows.sort_by(|a, b| a.id.cmp(&b.id));
        self.carry_over_state(old_rows);
        for group in &mut groups {
            for index in group.home.iter_mut().chain(&mut group.remote) {
                let id = &view.upstreams[*index].id;
                *index = self.find(id).unwrap_or_default();
            }
        }
        self.groups = groups;
    }

    /// Returns the index of an upstream's row.
    pub fn find(&self, id: &UpstreamId) -> Option<usize> {
        self.rows.binary_search_by(|row| row.id.cmp(id)).ok()
    }

    /// Returns the row of an upstream.
    pub fn row_mut(&mut self, id: &UpstreamId) -> Option<&mut Row> {
        let index = self.find(id)?;
        Some(&mut self.rows[index])
    }

    /// Returns the row at an index.
    pub fn row_at_mut(&mut self, index: usize) -> &mut Row {
        &mut self.rows[index]
    }

    /// Returns all rows, sorted by upstream.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the indices of the rows that serve a model, in the home region and
    /// in other regions.
    pub fn serving_model(&self, model: &ModelName) -> (&[usize], &[usize]) {
        self.group(&GroupKey::Model(model.clone()))
    }

    /// Returns the indices of the rows that serve a plain service, in the home
    /// region and in other regions.
    pub fn serving_service(&self, service: &ServiceName) -> (&[usize], &[usize]) {
        self.group(&GroupKey::Service(service.clone()))
    }

    fn group(&self, key: &GroupKey) -> (&[usize], &[usize]) {
        match self.groups.binary_search_by(|group| group.key.cmp(key)) {
            Ok(index) => (&self.groups[index].home, &self.groups[index].remote),
            Err(_) => (&[], &[]),
        }
    }

    /// Moves the state of old rows into the new rows of the same upstreams, except
    /// what the new view defines.
    fn carry_over_state(&mut self, old_rows: Vec<Row>) {
        for mut row in old_rows {
            if let Some(new_row) = self.row_mut(&row.id) {
                row.liveness = new_row.liveness;
                row.region = new_row.region.clone();
                row.failure_domain = new_row.failure_domain.clone();
                *new_row = row;
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

fn build_group(
    view: &View,
    key: &GroupKey,
    instance: &InstanceId,
    home: &Region,
    subset_sizes: SubsetSizes,
) -> UpstreamGroup {
    let (rank, entries) = rank_among_entries(view, instance, home);
    let mut regions: Vec<&Region> = view
        .upstreams
        .iter()
        .map(|upstream| &upstream.region)
        .collect();
    regions.sort_unstable();
    regions.dedup();
    let mut group = UpstreamGroup {
        key: key.clone(),
        home: Vec::new(),
        remote: Vec::new(),
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
        let order: Vec<usize> = ring_order(names)
            .into_iter()
            .map(|position| members[position])
            .collect();
        if region == home {
            group.home = subset(&order, rank, entries, subset_sizes.home);
        } else {
            group
                .remote
                .extend(subset(&order, rank, entries, subset_sizes.remote));
        }
    }
    group
}

/// Returns the rank of an entry program among those of its region, and their
/// number (at least 1).
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
