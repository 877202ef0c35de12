//! Anti-entropy: peers compare digests of buckets of rows and send the rows that differ.

use model::Liveness;

use crate::{
    GossipFrame,
    digest::{BUCKET_COUNT, bucket_of},
    exchange::{QUIET_PERIOD_MS, RequestKind, Target},
    fleet::Fleet,
};

/// Minimum interval between bucket comparisons.
const ANTI_ENTROPY_INTERVAL_MS: u64 = 2_000;
/// Maximum number of rows in an anti-entropy frame with buckets of average size.
const ANTI_ENTROPY_ROWS_MAX: usize = 2_048;

impl Fleet {
    /// Marks the region as known if the sync is complete, and otherwise compares
    /// buckets with `target` again.
    pub(crate) fn continue_region_sync(&mut self, is_complete: bool, target: Target, now_ms: u64) {
        if is_complete {
            self.mark_region_known();
        } else {
            self.send_request(target, RequestKind::CompareBuckets, now_ms);
        }
    }

    pub(crate) fn start_anti_entropy(&mut self, target: Target, now_ms: u64) {
        let is_quiet = self.timers.changed_at_ms + QUIET_PERIOD_MS <= now_ms;
        if self.confirmed.region && is_quiet && self.timers.anti_entropy_at_ms <= now_ms {
            self.timers.anti_entropy_at_ms = now_ms + ANTI_ENTROPY_INTERVAL_MS;
            self.send_request(target, RequestKind::CompareBuckets, now_ms);
        }
    }

    pub(crate) fn send_differing_rows(
        &mut self,
        peer_bucket_digests: &[u32],
        target: Target,
        now_ms: u64,
    ) {
        let mut frame = self.request_frame(&target);
        self.add_differing_rows(peer_bucket_digests, &mut frame);
        if !frame.nodes.is_empty() || !frame.upstreams.is_empty() {
            self.send_frame(target, RequestKind::Gossip, frame, now_ms);
        }
    }

    pub(crate) fn add_differing_rows(&self, peer_bucket_digests: &[u32], frame: &mut GossipFrame) {
        let rows = self.nodes.rows().len() + self.upstreams.len();
        // Only whole buckets are sent: a partly sent bucket would still differ.
        let buckets_max = (ANTI_ENTROPY_ROWS_MAX / (rows / BUCKET_COUNT + 1)).max(1);
        let differing = self.digest.differing(peer_bucket_digests, buckets_max);
        let nodes = self
            .nodes
            .rows()
            .iter()
            .map(|row| &row.record)
            .filter(|record| record.liveness != Liveness::Dead)
            .filter(|record| differing[bucket_of(record.id.as_str())]);
        frame.nodes.extend(nodes.cloned());
        let upstreams = self
            .upstreams
            .records()
            .filter(|record| record.entry.liveness != Liveness::Dead)
            .filter(|record| differing[bucket_of(record.entry.id.as_str())]);
        frame.upstreams.extend(upstreams.cloned());
    }
}
