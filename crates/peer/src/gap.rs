//! Notices that the process was paused.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, MissedTickBehavior, interval},
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Gap between ticks that counts as a pause.
const GAP_MS: u64 = 1_000;

/// Counts pauses of the process and which of them a refresh has followed.
#[derive(Debug, Clone)]
pub(crate) struct GapDetector {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    ticked_at_ms: AtomicU64,
    gaps: AtomicU64,
    refreshed: AtomicU64,
    noticed: Notify,
}

impl GapDetector {
    pub(crate) fn new() -> Self {
        let shared = Shared {
            started: Instant::now(),
            ticked_at_ms: AtomicU64::new(0),
            gaps: AtomicU64::new(0),
            refreshed: AtomicU64::new(0),
            noticed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Ticks for ever.
    pub(crate) async fn run(self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.look();
            self.shared
                .ticked_at_ms
                .store(self.now_ms(), Ordering::Release);
        }
    }

    /// Pauses so far, this moment included.
    pub(crate) fn look(&self) -> u64 {
        let ticked_at_ms = self.shared.ticked_at_ms.load(Ordering::Acquire);
        let now_ms = self.now_ms();
        if ticked_at_ms + GAP_MS < now_ms {
            // Whoever exchanges the time counts the pause.
            let exchanged = self.shared.ticked_at_ms.compare_exchange(
                ticked_at_ms,
                now_ms,
                Ordering::AcqRel,
                Ordering::Acquire,
            );
            if exchanged.is_ok() {
                self.shared.gaps.fetch_add(1, Ordering::AcqRel);
                self.shared.noticed.notify_one();
                log::warn!("event=paused gap_ms={}", now_ms - ticked_at_ms);
            }
        }
        self.shared.gaps.load(Ordering::Acquire)
    }

    /// Whether a refresh has followed the last pause.
    pub(crate) fn is_fresh(&self) -> bool {
        self.look() == self.shared.refreshed.load(Ordering::Acquire)
    }

    /// Notes a refresh that began when `gaps` pauses had been counted.
    pub(crate) fn refreshed(&self, gaps: u64) {
        self.shared.refreshed.fetch_max(gaps, Ordering::AcqRel);
    }

    /// Resolves once a pause is noticed.
    pub(crate) async fn noticed(&self) {
        self.shared.noticed.notified().await;
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
