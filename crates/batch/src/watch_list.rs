//! Polls whether the jobs of held chunks are still open.
//!
//! Lease holders are notified of a cancellation at once, but the notice may be
//! lost. While the platform is available, an item therefore starts only if its job
//! was found open less than a second ago. While the platform is unavailable or
//! slow, claimed chunks continue to run.

use job_store::StoreError;
use model::JobId;

/// Interval between two checks of a job, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 400;
/// Maximum age of a successful check for items to start, in milliseconds.
const CONFIRMATION_MAX_AGE_MS: u64 = 900;

/// Jobs of held chunks, sorted by identifier.
#[derive(Debug, Default)]
pub(crate) struct WatchList {
    jobs: Vec<WatchedJob>,
}

#[derive(Debug)]
struct WatchedJob {
    job: JobId,
    /// Start of the last check that found the job open, in Unix milliseconds.
    seen_open_ms: u64,
    next_check_at_ms: u64,
    is_check_running: bool,
    is_platform_unreachable: bool,
}

impl WatchList {
    /// Adds a job that was found open at `now_ms`, or records this for a job that is
    /// already watched.
    pub(crate) fn watch(&mut self, job: &JobId, now_ms: u64) {
        match self.find(job) {
            Ok(index) => self.jobs[index].seen_open_ms = now_ms.max(self.jobs[index].seen_open_ms),
            Err(index) => self.jobs.insert(
                index,
                WatchedJob {
                    job: job.clone(),
                    seen_open_ms: now_ms,
                    next_check_at_ms: now_ms + CHECK_INTERVAL_MS,
                    is_check_running: false,
                    is_platform_unreachable: false,
                },
            ),
        }
    }

    /// Removes jobs of which no chunk is held.
    pub(crate) fn retain(&mut self, is_held: impl Fn(&JobId) -> bool) {
        self.jobs.retain(|watched| is_held(&watched.job));
    }

    /// Returns whether items of a job may start.
    pub(crate) fn may_start(&self, job: &JobId, now_ms: u64) -> bool {
        let Ok(index) = self.find(job) else {
            return false;
        };
        let watched = &self.jobs[index];
        let is_check_slow = watched.is_check_running
            && now_ms >= watched.next_check_at_ms + CONFIRMATION_MAX_AGE_MS;
        watched.is_platform_unreachable
            || is_check_slow
            || now_ms < watched.seen_open_ms + CONFIRMATION_MAX_AGE_MS
    }

    /// Returns the jobs whose check is due and marks their checks as running.
    pub(crate) fn take_due(&mut self, now_ms: u64) -> Vec<JobId> {
        let due_jobs = self
            .jobs
            .iter_mut()
            .filter(|watched| !watched.is_check_running && watched.next_check_at_ms <= now_ms);
        due_jobs
            .map(|watched| {
                watched.is_check_running = true;
                watched.job.clone()
            })
            .collect()
    }

    /// Records the result of a check that started at `started_at_ms`.
    pub(crate) fn on_checked(
        &mut self,
        job: &JobId,
        started_at_ms: u64,
        result: &Result<bool, StoreError>,
        now_ms: u64,
    ) {
        let Ok(index) = self.find(job) else { return };
        let watched = &mut self.jobs[index];
        watched.is_check_running = false;
        watched.next_check_at_ms = (started_at_ms + CHECK_INTERVAL_MS).max(now_ms);
        watched.is_platform_unreachable = matches!(result, Err(StoreError::Unavailable));
        if matches!(result, Ok(true)) {
            watched.seen_open_ms = watched.seen_open_ms.max(started_at_ms);
        }
        if result.is_err() {
            watched.next_check_at_ms = now_ms + CHECK_INTERVAL_MS;
        }
    }

    fn find(&self, job: &JobId) -> Result<usize, usize> {
        self.jobs.binary_search_by(|watched| watched.job.cmp(job))
    }
}
