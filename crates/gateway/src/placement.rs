//! Which upstream gets an online request, and which requests are refused.
//!
//! Load pattern: bursts fill every upstream. A request goes where its answer is
//! expected to begin first; if that is later than its goal everywhere, it is
//! refused at once and told when a slot is expected, with the returns spread
//! so that those refused together do not come back together.

use std::{net::SocketAddr, ops::Range};

use model::{InstanceId, ServiceName, UpstreamId};
use rand::RngExt;

use crate::{
    upstream::UpstreamEntry,
    upstream_table::{Holds, Row, UpstreamTable, as_f64, round_ms},
};

/// Upstreams with costs this close count as equal, milliseconds.
const TIE_MS: f64 = 3.0;
/// Cost of a full upstream over an empty one, milliseconds. It spreads requests
/// that no peer has told of yet.
const SPREAD_MS: f64 = 10.0;
/// Time in which a peer's batch item is preempted, milliseconds: a notice to its
/// owner and the end of its connection.
const PREEMPTION_MS: f64 = 40.0;
/// The same for an own item, milliseconds: its connection ends while that of the
/// request is set up.
const OWN_PREEMPTION_MS: f64 = 20.0;
/// Cost of an upstream that is still warming up, milliseconds.
const WARM_UP_MS: f64 = 30.0;
/// A refusal is early within one goal divided by this.
const EARLY_GOAL_SHARE: u64 = 4;
/// When to come back if no upstream is known, milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// Share of the goal that the expected wait may take. The rest is for what the
/// estimate does not see: requests that peers are placing at this moment.
const WAIT_GOAL_PERCENT: u64 = 70;
/// Shortest time after which a refused request comes back, milliseconds.
const RETRY_MIN_MS: f64 = 100.0;
/// When refused requests come back, in times that a request holds a slot. A
/// burst outlasts the requests that fill all slots, and a caller may have one
/// more try only.
const RETRY_HOLDS: Range<f64> = 1.0..3.0;

/// A request that needs an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest<'a> {
    /// Service that serves it.
    pub service: &'a ServiceName,
    /// Upstreams that it was sent to before; others go first.
    pub tried: &'a [UpstreamId],
    /// Time from its arrival within which its answer should begin, milliseconds.
    pub goal_ms: u64,
    /// Time since its arrival, milliseconds.
    pub waited_ms: u64,
    /// Whether it may be refused; a request that may have run is not.
    pub may_refuse: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// To this upstream.
    Send {
        /// The upstream.
        target: Target,
        /// When the answer is expected to begin, milliseconds from now.
        expected_ms: u64,
        /// Requests that the upstream has, as far as known.
        load: u32,
        /// Whose batch item gives up its slot for the request.
        preemption: Preemption,
    },
    /// The request is sent to no upstream; none of it ran.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back, milliseconds from now.
        retry_after_ms: u64,
        /// When an answer would have begun at best, milliseconds from now.
        expected_ms: u64,
    },
}

/// Whose batch item gives up its slot for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Preemption {
    /// Nobody's: a slot is free, or none is to be had.
    Nothing,
    /// One of this instance, at once.
    Own,
    /// Of these peers, who should hear of it at once.
    Peers(Vec<InstanceId>),
}

/// Why a request is sent nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No upstream of the service can be used.
    NoUpstream,
    /// The answer would begin after the goal at every upstream.
    Saturated,
}

/// One incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Tells its incarnations apart.
    pub started_unix_ms: u64,
}

impl RefusalReason {
    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Saturated => "saturated",
        }
    }
}

impl Target {
    pub(crate) fn new(entry: &UpstreamEntry) -> Self {
        Self {
            upstream: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            started_unix_ms: entry.started_unix_ms,
        }
    }
}

impl UpstreamTable {
    /// Decides where an online request goes.
    pub fn place(&mut self, request: &PlacementRequest<'_>, now_ms: u64) -> Placement {
        let holds = self.holds(request.service, as_f64(request.goal_ms));
        let candidates = self.candidates(request, holds, now_ms);
        let Some(best) = candidates
            .iter()
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
        else {
            return Placement::Refuse {
                reason: RefusalReason::NoUpstream,
                retry_after_ms: NO_UPSTREAM_RETRY_MS,
                expected_ms: 0,
            };
        };
        if request.may_refuse && best.expected_ms > as_f64(request.patience_ms()) {
            return Placement::Refuse {
                reason: RefusalReason::Saturated,
                retry_after_ms: self.retry_after_ms(holds.online_ms),
                expected_ms: round_ms(best.expected_ms),
            };
        }
        let limit_ms = best.cost_ms + TIE_MS;
        let ties: Vec<_> = candidates
            .iter()
            .filter(|candidate| candidate.cost_ms <= limit_ms)
            .collect();
        let chosen = ties[self.rng.random_range(0..ties.len())];
        let (index, expected_ms) = (chosen.index, round_ms(chosen.expected_ms));
        let preemption = self.preemption(&self.rows[index]);
        let row = &mut self.rows[index];
        if preemption == Preemption::Own {
            row.own.preemptible -= 1;
        }
        Placement::Send {
            target: Target::new(&row.entry),
            expected_ms,
            load: row.load(),
            preemption,
        }
    }

    fn preemption(&self, row: &Row) -> Preemption {
        let ahead = row.ahead(0);
        if ahead == 0 || row.preemptible() < ahead {
            Preemption::Nothing
        } else if row.own.preemptible > 0 {
            Preemption::Own
        } else {
            let shares = self.preemption_shares(row, ahead);
            Preemption::Peers(shares.into_iter().map(|(peer, _)| peer.clone()).collect())
        }
    }

    /// Upstreams that were not tried and are well; failing that, any that are
    /// well; failing that, any that may be.
    fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        holds: Holds,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let of_service: Vec<_> = self
            .rows
            .iter()
            .enumerate()
            .filter(|(_, row)| row.entry.service == *request.service && row.is_ready())
            .filter(|(_, row)| row.health.is_last_resort(now_ms))
            .collect();
        let is_usable = |row: &Row| row.health.is_usable(now_ms);
        let is_untried = |row: &Row| !request.tried.contains(&row.entry.id);
        let choices: [&dyn Fn(&Row) -> bool; 4] = [
            &|row| is_usable(row) && is_untried(row),
            &is_usable,
            &is_untried,
            &|_| true,
        ];
        choices
            .iter()
            .map(|is_chosen| {
                let chosen = of_service.iter().filter(|(_, row)| is_chosen(row));
                chosen
                    .map(|(index, row)| self.candidate(*index, row, holds, request, now_ms))
                    .collect::<Vec<_>>()
            })
            .find(|candidates| !candidates.is_empty())
            .unwrap_or_default()
    }

    fn candidate(
        &self,
        index: usize,
        row: &Row,
        holds: Holds,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Candidate {
        let unseen = self.unseen_online(row, holds);
        let wait_ms = row.wait_ms(holds, unseen);
        let expected_ms = self.round_trip_ms(row) + wait_ms + row.delay_ms(now_ms);
        let load_share = f64::from(row.load()) / f64::from(row.entry.slots);
        let failure_ms = row.health.failure_share() * as_f64(request.goal_ms);
        let warm_up_ms = if now_ms < row.warm_at_ms {
            WARM_UP_MS
        } else {
            0.0
        };
        Candidate {
            index,
            expected_ms,
            cost_ms: expected_ms + load_share * SPREAD_MS + failure_ms + warm_up_ms,
        }
    }

    /// Places are freed one by one over the time that a request holds one, so
    /// returns are spread over such times.
    fn retry_after_ms(&mut self, hold_ms: f64) -> u64 {
        let holds = self.rng.random_range(RETRY_HOLDS);
        round_ms((hold_ms * holds).max(RETRY_MIN_MS))
    }
}

#[derive(Debug)]
struct Candidate {
    index: usize,
    expected_ms: f64,
    cost_ms: f64,
}

impl Row {
    /// Expected wait for a slot, milliseconds, if `unseen` requests are there
    /// that no notice has told of.
    fn wait_ms(&self, holds: Holds, unseen: u32) -> f64 {
        let load = self.load() + unseen;
        let ahead = self.ahead(unseen);
        if ahead == 0 {
            return 0.0;
        }
        let freed_per_ms = f64::from(self.online() + unseen) / holds.online_ms
            + f64::from(self.batch()) / holds.batch_ms;
        // Requests that wait free no place, so the rate counts those that run.
        let running_share = f64::from(self.entry.slots) / f64::from(load);
        let wait_ms = f64::from(ahead) / (freed_per_ms * running_share);
        if self.preemptible() < ahead {
            wait_ms
        } else if ahead == 1 && self.own.preemptible > 0 {
            wait_ms.min(OWN_PREEMPTION_MS)
        } else {
            wait_ms.min(PREEMPTION_MS)
        }
    }

    /// Slots that have to become free before one more request runs.
    fn ahead(&self, unseen: u32) -> u32 {
        (self.load() + unseen + 1).saturating_sub(self.entry.slots)
    }
}

impl PlacementRequest<'_> {
    /// Longest wait with which the request is still sent, milliseconds. A
    /// caller that is told soon after its arrival can come back in time; later,
    /// a late answer is better for it than a refusal.
    fn patience_ms(&self) -> u64 {
        if self.waited_ms <= self.goal_ms / EARLY_GOAL_SHARE {
            (self.goal_ms * WAIT_GOAL_PERCENT / 100).saturating_sub(self.waited_ms)
        } else {
            self.goal_ms
        }
    }
}
