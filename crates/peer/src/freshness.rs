//! Tells tasks without access to the view watch whether the view is fresh.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::pause_detector::PauseDetector;

/// Interval at which a waiting task checks whether the view is fresh.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Tells whether new work may be accepted on the basis of the current view.
/// After a pause of the process the view may be stale, so no new work may be
/// accepted until the control program has confirmed or replaced the view.
#[derive(Debug, Clone)]
pub struct Freshness {
    pause_detector: PauseDetector,
}

impl Freshness {
    pub(crate) fn new(pause_detector: PauseDetector) -> Self {
        Self { pause_detector }
    }

    /// Returns whether the view was confirmed after the last pause.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.pause_detector.is_fresh()
    }

    /// Waits until the view is confirmed. Returns `false` if it is not
    /// confirmed by `deadline`.
    pub async fn wait_until_fresh(&self, deadline: Instant) -> bool {
        while !self.is_fresh() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }
}
