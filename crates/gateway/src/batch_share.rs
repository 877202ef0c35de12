//! How much batch work an upstream holds, and which instance may add to it.
//!
//! Load pattern: idle capacity lasts seconds, and several instances want to
//! fill it at the same moment. Batch items take places that online requests
//! leave over, less a reserve; instances with waiting items share them by a
//! rule that each can work out alone. When online requests have to wait at an
//! upstream, items there make room.

use model::{ServiceName, UpstreamId};

use crate::{
    fleet::{Fleet, Row},
    placement::Target,
};

/// Places that batch items leave free at each upstream while online requests
/// come.
const ONLINE_RESERVE: u32 = 1;
/// Online requests count as coming for this long after the last, milliseconds.
const ONLINE_MEMORY_MS: u64 = 5_000;

/// Batch work of one instance that waits for an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BatchDemand {
    /// Items that wait.
    pub waiting: u32,
    /// When the most urgent of them is due, Unix milliseconds.
    pub due_unix_ms: u64,
}

impl Fleet {
    /// An upstream at which this instance may start one more batch item.
    #[must_use]
    pub fn batch_place(
        &self,
        service: &ServiceName,
        excluded: &[UpstreamId],
        now_ms: u64,
    ) -> Option<Target> {
        let owners = self.waiting_owners();
        let reserve = self.online_reserve(service, now_ms);
        let best = self
            .rows
            .iter()
            .filter(|row| row.entry.service == *service && !excluded.contains(&row.entry.id))
            .filter(|row| row.is_ready() && row.health.is_usable(now_ms))
            .filter(|row| row.load() + reserve < row.entry.slots)
            .filter(|row| u32::from(row.own.batch) < self.fair_share(row, &owners, reserve))
            .min_by(|a, b| self.batch_cost(a).total_cmp(&self.batch_cost(b)))?;
        Some(Target::new(&best.entry))
    }

    /// Upstreams at which items of this instance have to make room, with their
    /// number.
    #[must_use]
    pub fn yields(&self) -> Vec<(UpstreamId, u32)> {
        self.rows
            .iter()
            .filter_map(|row| {
                let count = self.own_yields(row);
                (count > 0).then(|| (row.entry.id.clone(), count))
            })
            .collect()
    }

    /// The owners with the most items at the upstream make room first; all
    /// instances work out the same order.
    fn own_yields(&self, row: &Row) -> u32 {
        let over = row.load().saturating_sub(row.entry.slots);
        if over == 0 || row.own.batch == 0 || row.online() == 0 {
            return 0;
        }
        let home = &self.home.instance;
        let mut owners: Vec<_> = self
            .peers
            .notices()
            .map(|notice| (notice.load(row.hash).batch, &notice.instance))
            .collect();
        owners.push((row.own.batch, home));
        owners.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let mut left = over;
        for (batch, instance) in owners {
            let count = left.min(u32::from(batch));
            if instance == home {
                return count;
            }
            left -= count;
        }
        0
    }

    /// Instances with waiting items, this one included, sorted.
    fn waiting_owners(&self) -> Vec<&model::InstanceId> {
        let mut owners: Vec<_> = self
            .peers
            .notices()
            .filter(|notice| notice.batch_waiting > 0)
            .map(|notice| &notice.instance)
            .collect();
        owners.push(&self.home.instance);
        owners.sort();
        owners
    }

    /// Items that this instance may have at an upstream.
    fn fair_share(&self, row: &Row, owners: &[&model::InstanceId], reserve: u32) -> u32 {
        let of_others: u32 = self
            .peers
            .notices()
            .filter(|notice| notice.batch_waiting == 0)
            .map(|notice| u32::from(notice.load(row.hash).batch))
            .sum();
        let places = row
            .entry
            .slots
            .saturating_sub(reserve + row.online() + of_others);
        let count = u32::try_from(owners.len()).unwrap_or(u32::MAX);
        let index = owners
            .iter()
            .position(|owner| **owner == self.home.instance)
            .unwrap_or(0);
        let turn = (row.hash % u64::from(count) + index as u64) % u64::from(count);
        let extra = u32::from(turn < u64::from(places % count));
        places / count + extra
    }

    fn online_reserve(&self, service: &ServiceName, now_ms: u64) -> u32 {
        let is_recent = self
            .last_online_ms(service)
            .is_some_and(|last_ms| now_ms < last_ms + ONLINE_MEMORY_MS);
        let has_online = || {
            let mut rows = self.rows.iter();
            rows.any(|row| row.entry.service == *service && row.online() > 0)
        };
        if is_recent || has_online() {
            ONLINE_RESERVE
        } else {
            0
        }
    }

    fn batch_cost(&self, row: &Row) -> f64 {
        let load_share = f64::from(row.load()) / f64::from(row.entry.slots);
        load_share + row.health.failure_share() + self.round_trip_ms(row) / 1_000.0
    }
}
