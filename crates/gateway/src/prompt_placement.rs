//! Weighs what the kept beginning of a prompt saves against the wait for it.
//!
//! Load pattern: many requests begin with the same parts, from a few tokens to thousands, and
//! an upstream that has read them lately answers the next such request sooner, while it has
//! memory and a free slot. Both sides are times: the tokens that are kept, at the measured
//! rate, against the additional cost of the upstream. So a request goes where its beginning
//! is kept as long as that is worth it, and a part that is asked for more often than one
//! upstream can serve becomes kept at the next one.
//!
//! An instance knows what it sent itself. Where costs are equal, all instances choose the same
//! upstreams for the same parts by rendezvous hashing, and more of them for a part that a
//! larger share of the requests has. So they meet at upstreams that keep the parts without
//! telling each other.

use model::{PromptPart, ServiceName};
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    candidate::Candidate,
    kept_prompts::PromptMemory,
    moving_average::MovingAverage,
    placement::TIE_MS,
    prefill_rate::{FirstEvent, PrefillRate},
    prompt_chain::{ChainHash, PromptChain, token_sum},
    recent_prompts::RecentPrompts,
    target::Target,
    upstream_row::UpstreamRow,
    upstream_table::{UpstreamTable, as_f64},
};

/// Upstreams per fair share at which requests with the same part meet. Above 1, a busy
/// upstream has a stand-in.
const HOMES_PER_FAIR_SHARE: f64 = 2.0;
/// Assumed time that requests hold their slots until the first measurement, milliseconds.
const DEFAULT_HOLD_MS: f64 = 1_000.0;

/// Memory of the upstreams of a service, in which they keep prompts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceMemory {
    /// The service.
    pub service: ServiceName,
    /// Memory of each upstream in tokens, shared by running requests and kept prompts.
    pub capacity_tokens: u64,
}

/// What became of the tokens of a prompt that an upstream has read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptRead {
    /// Tokens that the upstream is expected to have kept.
    pub kept_tokens: u32,
    /// Tokens that it read although an upstream has read them for a recent request of this
    /// instance.
    pub repeated_tokens: u32,
    /// Tokens that were new.
    pub new_tokens: u32,
}

/// What this instance knows of the prompts of a service.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServicePrompts {
    /// Memory of each upstream in tokens, or `None` if upstreams keep no prompts.
    memory_tokens: Option<u64>,
    prefill_rate: PrefillRate,
    recent: RecentPrompts,
    prompt_tokens: MovingAverage,
    /// Tokens of a prompt that an upstream had not kept.
    read_tokens: MovingAverage,
}

impl UpstreamTable {
    /// Sets the memory of the upstreams. Services that are not listed keep no prompts.
    pub fn set_prompt_memory(&mut self, memories: &[ServiceMemory]) {
        for row in &mut self.services {
            row.prompts.memory_tokens = None;
        }
        for memory in memories {
            let row = self.service_row(&memory.service);
            row.prompts.memory_tokens = Some(memory.capacity_tokens);
        }
    }

    /// Records that an upstream has read a prompt: that its answer began `after_ms` after the
    /// request was sent.
    pub fn record_prompt_read(
        &mut self,
        target: &Target,
        prompt: &[PromptPart],
        after_ms: u64,
        now_ms: u64,
    ) -> PromptRead {
        let prompt = PromptChain::new(prompt);
        let Some(index) = self.find_incarnation(target) else {
            return PromptRead::default();
        };
        if prompt.is_empty() || self.memory(&self.rows[index]).is_none() {
            return PromptRead::default();
        }
        self.record_peer_prompts(index, now_ms);
        let kept_parts = self.kept_parts(&self.rows[index], &prompt);
        self.record_first_event(index, &prompt, kept_parts, after_ms);
        let prompts = &mut self.service_row(&target.service).prompts;
        let read = prompts.classify(&prompt, kept_parts);
        let remembered = prompts.parts_to_remember(&prompt);
        prompts.prompt_tokens.add(f64::from(prompt.tokens()));
        let read_tokens = prompt.tokens().saturating_sub(read.kept_tokens);
        prompts.read_tokens.add(f64::from(read_tokens));
        prompts.recent.record(&prompt);
        let remembered = &prompt.parts()[..remembered];
        self.rows[index]
            .kept_prompts
            .record_read(&prompt, remembered);
        read
    }

    /// Returns the position of the target that is best for a prompt: where most of it is
    /// kept, or else where all instances send prompts with the same beginning.
    #[must_use]
    pub fn best_for_prompt(&self, targets: &[Target], prompt: &[PromptPart]) -> Option<usize> {
        let prompt = PromptChain::new(prompt);
        let shared = prompt.shared().last()?;
        (0..targets.len()).max_by_key(|position| {
            let row = self.find_incarnation(&targets[*position]);
            row.map(|index| {
                let row = &self.rows[index];
                (self.kept_parts(row, &prompt), rank(row, shared.hash))
            })
        })
    }

    /// Returns the parts of a prompt, or none if the upstreams of the service keep no prompts.
    pub(crate) fn prompt_chain(&self, service: &ServiceName, prompt: &[PromptPart]) -> PromptChain {
        let keeps_prompts = self
            .known_service(service)
            .is_some_and(|row| row.prompts.memory_tokens.is_some());
        if keeps_prompts {
            PromptChain::new(prompt)
        } else {
            PromptChain::default()
        }
    }

    /// Sets what each candidate keeps of a prompt, and what that saves.
    ///
    /// The delay of an upstream is known from few answers, or from none lately, which counts as
    /// no delay. Such a lead would outweigh any saving, and instances would not agree on equal
    /// upstreams, so a delay below the usual one counts as the usual one.
    pub(crate) fn weigh_prompt(
        &self,
        candidates: &mut [Candidate],
        prompt: &PromptChain,
        now_ms: u64,
    ) {
        if prompt.is_empty() {
            return;
        }
        let usual_ms = self.usual_delay_ms(candidates, now_ms);
        for candidate in candidates {
            let row = &self.rows[candidate.index];
            candidate.lead_ms = (usual_ms - row.delays.median_ms(now_ms)).max(0.0);
            candidate.kept_parts = self.kept_parts(row, prompt);
            let kept = &prompt.parts()[..candidate.kept_parts];
            candidate.kept_tokens = token_sum(kept);
            candidate.saved_ms =
                f64::from(candidate.kept_tokens) * self.ms_per_token(&row.entry.service);
        }
    }

    /// Returns the position of the candidate for a request with a prompt. What is kept counts
    /// only where the answer is expected to begin within `limit_ms`, and no later than at the
    /// candidate that would be chosen without it.
    pub(crate) fn choose_for_prompt(
        &mut self,
        candidates: &[Candidate],
        prompt: &PromptChain,
        limit_ms: f64,
    ) -> Option<usize> {
        if prompt.is_empty() {
            return self.choose(candidates);
        }
        let cheapest = candidates
            .iter()
            .min_by(|a, b| a.usual_cost_ms().total_cmp(&b.usual_cost_ms()))?;
        let latest_ms = cheapest.first_event_ms();
        let cost_ms = |candidate: &Candidate| {
            let is_in_time = candidate.due_ms() <= limit_ms;
            if is_in_time && candidate.first_event_ms() <= latest_ms {
                candidate.usual_cost_ms() - candidate.saved_ms
            } else {
                candidate.usual_cost_ms()
            }
        };
        let lowest_ms = candidates.iter().map(cost_ms).min_by(f64::total_cmp)?;
        let mut equal: Vec<_> = (0..candidates.len())
            .filter(|position| cost_ms(&candidates[*position]) <= lowest_ms + TIE_MS)
            .collect();
        self.narrow(&mut equal, candidates, prompt);
        Some(equal[self.rng.random_range(0..equal.len())])
    }

    /// Returns the median delay of the candidates that have answered lately, or 0 without one.
    fn usual_delay_ms(&self, candidates: &[Candidate], now_ms: u64) -> f64 {
        let delays = candidates
            .iter()
            .map(|candidate| self.rows[candidate.index].delays.median_ms(now_ms));
        let mut measured: Vec<_> = delays.filter(|delay_ms| *delay_ms > 0.0).collect();
        if measured.is_empty() {
            return 0.0;
        }
        let middle = measured.len() / 2;
        let (_, median, _) = measured.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Narrows equal candidates to those where requests with the parts of a prompt meet.
    fn narrow(&self, equal: &mut Vec<usize>, candidates: &[Candidate], prompt: &PromptChain) {
        for (depth, part) in prompt.shared().iter().enumerate() {
            let service = &self.rows[candidates[equal[0]].index].entry.service;
            let share = self
                .known_service(service)
                .map_or(0.0, |row| row.prompts.recent.share(part.hash));
            let homes = home_count(share, equal.len());
            equal.sort_by_cached_key(|position| {
                let candidate = &candidates[*position];
                let is_kept = candidate.kept_parts > depth;
                (!is_kept, !rank(&self.rows[candidate.index], part.hash))
            });
            equal.truncate(homes);
        }
    }

    /// Records the tokens that peers are expected to have sent to an upstream since the last
    /// update, by Little's law.
    fn record_peer_prompts(&mut self, index: usize, now_ms: u64) {
        let row = &self.rows[index];
        let Some(service) = self.known_service(&row.entry.service) else {
            return;
        };
        let timings = self.timing_estimates(&row.entry.service, DEFAULT_HOLD_MS);
        let peer_load = &row.peer_load;
        let requests_per_ms = f64::from(peer_load.online) / timings.online_hold_ms
            + f64::from(peer_load.batch) / timings.batch_hold_ms;
        let elapsed_ms = as_f64(row.kept_prompts.since_update_ms(now_ms));
        let tokens = requests_per_ms * elapsed_ms * service.prompts.read_tokens.value_or(0.0);
        let row = &mut self.rows[index];
        row.kept_prompts.record_peer_tokens(tokens, now_ms);
    }

    /// Records when the answer of an upstream with free slots began. At a full one, it would
    /// tell the wait for a slot.
    fn record_first_event(
        &mut self,
        index: usize,
        prompt: &PromptChain,
        kept_parts: usize,
        after_ms: u64,
    ) {
        let row = &self.rows[index];
        if row.load() > row.entry.slots || self.is_path_lost(row) {
            return;
        }
        let read_parts = &prompt.parts()[kept_parts..];
        let answer = FirstEvent {
            read_tokens: token_sum(read_parts),
            after_ms: as_f64(after_ms) - self.round_trip_ms(row),
        };
        let service = row.entry.service.clone();
        self.service_row(&service).prompts.prefill_rate.add(answer);
    }

    /// Returns the number of leading parts of a prompt that an upstream keeps.
    fn kept_parts(&self, row: &UpstreamRow, prompt: &PromptChain) -> usize {
        self.memory(row)
            .map_or(0, |memory| row.kept_prompts.kept_parts(prompt, memory))
    }

    /// Returns the memory of an upstream, or `None` if it keeps no prompts.
    fn memory(&self, row: &UpstreamRow) -> Option<PromptMemory> {
        let prompts = &self.known_service(&row.entry.service)?.prompts;
        Some(PromptMemory {
            capacity_tokens: prompts.memory_tokens?,
            running_tokens: f64::from(row.load()) * prompts.prompt_tokens.value_or(0.0),
        })
    }

    /// Returns the time in which the upstreams of a service read one token, milliseconds, or 0
    /// before it is measured.
    fn ms_per_token(&self, service: &ServiceName) -> f64 {
        self.known_service(service)
            .map_or(0.0, |row| row.prompts.prefill_rate.ms_per_token())
    }
}

impl ServicePrompts {
    /// Returns how many leading parts of a prompt may be needed again: the shared ones, and
    /// also the last one if a request had it before.
    fn parts_to_remember(&self, prompt: &PromptChain) -> usize {
        let is_session = prompt
            .own()
            .is_some_and(|part| self.recent.contains(part.hash));
        prompt.shared().len() + usize::from(is_session)
    }

    fn classify(&self, prompt: &PromptChain, kept_parts: usize) -> PromptRead {
        let mut read = PromptRead::default();
        for (index, part) in prompt.parts().iter().enumerate() {
            let tokens = if index < kept_parts {
                &mut read.kept_tokens
            } else if self.recent.contains(part.hash) {
                &mut read.repeated_tokens
            } else {
                &mut read.new_tokens
            };
            *tokens = tokens.saturating_add(part.tokens);
        }
        read
    }
}

/// Returns at how many of `equal` upstreams the requests with a part meet, if a share of all
/// requests has it.
fn home_count(share: f64, equal: usize) -> usize {
    let all = u32::try_from(equal).unwrap_or(u32::MAX);
    let homes = (share * f64::from(all) * HOMES_PER_FAIR_SHARE).ceil();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates"
    )]
    let homes = homes as usize;
    homes.clamp(1, equal)
}

/// Returns the rank of an upstream for a part by rendezvous hashing.
fn rank(row: &UpstreamRow, part: ChainHash) -> u64 {
    xxh3_64_with_seed(&row.hash.to_le_bytes(), part)
}
