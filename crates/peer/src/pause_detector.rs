//! Detects pauses of the process, such as a suspended virtual machine.

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

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a tick, in milliseconds, that counts as a pause.
const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// Counts the pauses of the process and remembers up to which of them the view
/// has been refreshed. Clones share the counts.
#[derive(Debug, Clone)]
pub(crate) struct PauseDetector {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    last_tick_ms: AtomicU64,
    pause_count: AtomicU64,
    /// Pause count at the start of the latest successful refresh.
    refreshed_pause_count: AtomicU64,
    pause_detected: Notify,
}

impl PauseDetector {
    pub(crate) fn new() -> Self {
        let shared = Shared {
            started: Instant::now(),
            last_tick_ms: AtomicU64::new(0),
            pause_count: AtomicU64::new(0),
            refreshed_pause_count: AtomicU64::new(0),
            pause_detected: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Ticks until the task is aborted.
    pub(crate) async fn run(self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.check_for_pause();
            self.shared
                .last_tick_ms
                .store(self.now_ms(), Ordering::Release);
        }
    }

    /// Checks whether the process was paused since the last tick and returns
    /// the number of pauses so far, including one detected by this call.
    pub(crate) fn check_for_pause(&self) -> u64 {
        let last_tick_ms = self.shared.last_tick_ms.load(Ordering::Acquire);
        let now_ms = self.now_ms();
        if last_tick_ms + PAUSE_THRESHOLD_MS < now_ms {
            // Several tasks may detect the same pause. Only the one whose
            // exchange succeeds counts it.
            let exchanged = self.shared.last_tick_ms.compare_exchange(
                last_tick_ms,
                now_ms,
                Ordering::AcqRel,
                Ordering::Acquire,
            );
            if exchanged.is_ok() {
                self.shared.pause_count.fetch_add(1, Ordering::AcqRel);
                self.shared.pause_detected.notify_one();
                log::warn!("event=paused gap_ms={}", now_ms - last_tick_ms);
            }
        }
        self.shared.pause_count.load(Ordering::Acquire)
    }

    /// Returns whether the view was refreshed after the last pause.
    pub(crate) fn is_fresh(&self) -> bool {
        self.check_for_pause() == self.shared.refreshed_pause_count.load(Ordering::Acquire)
    }

    /// Records a refresh that began when `pause_count` pauses had been counted.
    pub(crate) fn on_refreshed(&self, pause_count: u64) {
        self.shared
            .refreshed_pause_count
            .fetch_max(pause_count, Ordering::AcqRel);
    }

    /// Resolves once a pause is detected.
    pub(crate) async fn wait_for_pause(&self) {
        self.shared.pause_detected.notified().await;
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
