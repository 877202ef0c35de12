//! How long requests have lasted lately, by route, and whether a further one can end in time.

use std::sync::Arc;

use crate::route::Route;

/// Time for which a duration counts, milliseconds: between one and two of these windows.
const WINDOW_MS: u64 = 30_000;
/// How long a request is expected to last at most, in percent of the longest recent one. Another
/// instance may go on with a request that may run again; if any other is cut short, nobody knows
/// whether it ran.
const RETRYABLE_MARGIN_PERCENT: u64 = 125;
const NON_RETRYABLE_MARGIN_PERCENT: u64 = 150;

/// Longest recent duration of the requests of each route.
#[derive(Debug, Default)]
pub struct RequestDurations {
    /// Sorted by name of the route.
    routes: Vec<RouteDurations>,
}

#[derive(Debug)]
struct RouteDurations {
    route: Arc<str>,
    window_started_ms: u64,
    /// Longest duration of the window, and of the one before.
    longest_ms: u64,
    longest_before_ms: u64,
}

impl RequestDurations {
    /// Records that a request has lasted for `duration_ms`, and perhaps would have lasted
    /// longer.
    pub fn record(&mut self, route: &Arc<str>, duration_ms: u64, now_ms: u64) {
        let index = match self.find(route) {
            Ok(index) => index,
            Err(_) => self.insert(route, now_ms),
        };
        let durations = &mut self.routes[index];
        durations.advance(now_ms);
        durations.longest_ms = durations.longest_ms.max(duration_ms);
    }

    /// Returns whether a request of a route that begins now and has until `deadline_ms` is
    /// expected to end by `end_ms`. If no request of the route has ended lately, it may take
    /// all of its time.
    #[must_use]
    pub fn is_expected_to_end_by(
        &self,
        end_ms: u64,
        route: &Route,
        deadline_ms: u64,
        now_ms: u64,
    ) -> bool {
        let margin_percent = if route.is_retryable() {
            RETRYABLE_MARGIN_PERCENT
        } else {
            NON_RETRYABLE_MARGIN_PERCENT
        };
        let expected_end_ms = self.longest_ms(&route.name, now_ms).map(|longest_ms| {
            let expected_ms = longest_ms.saturating_mul(margin_percent) / 100;
            now_ms.saturating_add(expected_ms)
        });
        expected_end_ms.unwrap_or(u64::MAX).min(deadline_ms) <= end_ms
    }

    /// Returns whether a request of a route has ended lately.
    #[must_use]
    pub fn is_known(&self, route: &Route, now_ms: u64) -> bool {
        self.longest_ms(&route.name, now_ms).is_some()
    }

    fn longest_ms(&self, route: &str, now_ms: u64) -> Option<u64> {
        let durations = &self.routes[self.find(route).ok()?];
        durations.longest_ms(now_ms)
    }

    /// Inserts a route, and removes those that have had no request lately.
    fn insert(&mut self, route: &Arc<str>, now_ms: u64) -> usize {
        self.routes
            .retain(|durations| durations.longest_ms(now_ms).is_some());
        let index = self.find(route).unwrap_or_else(|index| index);
        let durations = RouteDurations {
            route: Arc::clone(route),
            window_started_ms: now_ms,
            longest_ms: 0,
            longest_before_ms: 0,
        };
        self.routes.insert(index, durations);
        index
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|durations| (*durations.route).cmp(route))
    }
}

impl RouteDurations {
    /// Begins a new window if the current one is over.
    fn advance(&mut self, now_ms: u64) {
        match now_ms.saturating_sub(self.window_started_ms) / WINDOW_MS {
            0 => return,
            1 => {
                self.longest_before_ms = self.longest_ms;
                self.window_started_ms += WINDOW_MS;
            }
            _ => {
                self.longest_before_ms = 0;
                self.window_started_ms = now_ms;
            }
        }
        self.longest_ms = 0;
    }

    /// Returns the longest duration, or `None` if none counts any more.
    fn longest_ms(&self, now_ms: u64) -> Option<u64> {
        match now_ms.saturating_sub(self.window_started_ms) / WINDOW_MS {
            0 => Some(self.longest_ms.max(self.longest_before_ms)),
            1 => Some(self.longest_ms),
            _ => None,
        }
    }
}
