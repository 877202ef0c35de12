//! Whether a view may be acted on after a pause of the process.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::gap::GapDetector;

/// Time between two looks of a waiting task.
const LOOK: Duration = Duration::from_millis(2);

/// Tells whether new work may be taken by the view at hand. After a pause of
/// the process it may not until the control program has confirmed or replaced
/// the view.
#[derive(Debug, Clone)]
pub struct Freshness {
    gaps: GapDetector,
}

impl Freshness {
    pub(crate) fn new(gaps: GapDetector) -> Self {
        Self { gaps }
    }

    /// Whether the view was confirmed since the last pause.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.gaps.is_fresh()
    }

    /// Waits until the view is confirmed; false if that takes until `deadline`.
    pub async fn wait_until_fresh(&self, deadline: Instant) -> bool {
        while !self.is_fresh() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(LOOK).await;
        }
        true
    }
}
