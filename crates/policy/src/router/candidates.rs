//! Upstreams to which a request may be sent, and the choice among them.

use rand::RngExt;

use super::{RouteRequest, Router};
use crate::table::{Row, to_f64};

/// Prompt tokens that need no prefill per cached prefix block.
const BLOCK_TOKENS: u32 = 64;
/// Distance from the best score within which candidates count as tied,
/// microseconds. One of them is chosen at random, because entry programs that
/// decide at the same moment from the same load reports would otherwise all
/// choose the same upstream (a thundering herd).
const SCORE_TOLERANCE_US: f64 = 500.0;

/// Regions in which candidates are searched.
#[derive(Debug, Clone, Copy)]
pub(super) enum Scope {
    Home,
    Remote,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) row_index: usize,
    pub(super) first_token_us: f64,
    /// Predicted time to first token if the upstream held no batch work.
    ///
    /// Candidates are ranked by this time. If batch items counted, an upstream
    /// without online requests could look as busy as one with online requests,
    /// and online requests would share upstreams more often than without batch
    /// work. The owner of the batch window cancels batch items instead.
    score_us: f64,
    pub(super) prompt_tokens: u32,
}

impl Router {
    pub(super) fn candidates(
        &self,
        scope: Scope,
        request: &RouteRequest,
        now_us: u64,
    ) -> Vec<Candidate> {
        let rows = self.table.rows();
        let (home, remote) = self.serving_rows(&request.destination);
        let serving_rows = match scope {
            Scope::Home => home,
            Scope::Remote => remote,
        };
        serving_rows
            .iter()
            .filter(|index| is_eligible(&rows[**index], request, now_us))
            .map(|index| self.candidate(*index, request, now_us))
            .collect()
    }

    fn candidate(&self, index: usize, request: &RouteRequest, now_us: u64) -> Candidate {
        let row = &self.table.rows()[index];
        let cached_blocks = row.prefixes.cached_blocks(&request.prefix_hashes, now_us);
        let cached_tokens = u32::try_from(cached_blocks)
            .unwrap_or(u32::MAX)
            .saturating_mul(BLOCK_TOKENS);
        let prompt_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        let round_trip_us = 2.0 * to_f64(self.link_latency_us(&row.region));
        let first_token_us =
            round_trip_us + row.predicted_first_token_us(&self.cost, prompt_tokens, now_us);
        let without_batch_us =
            row.predicted_first_token_without_batch_us(&self.cost, prompt_tokens, now_us);
        Candidate {
            row_index: index,
            first_token_us,
            score_us: round_trip_us + without_batch_us,
            prompt_tokens,
        }
    }

    /// Returns a random one of the candidates tied with the best score.
    pub(super) fn pick_among_best(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        let best_us = candidates
            .iter()
            .map(|candidate| candidate.score_us)
            .min_by(f64::total_cmp)?;
        let ties: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| candidate.score_us <= best_us + SCORE_TOLERANCE_US)
            .collect();
        let index = self.rng.random_range(0..ties.len());
        Some(*ties[index])
    }
}

fn is_eligible(row: &Row, request: &RouteRequest, now_us: u64) -> bool {
    row.accepts_requests(now_us) && !request.excluded.contains(&row.id)
}
