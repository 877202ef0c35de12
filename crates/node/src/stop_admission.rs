//! Applies to online requests what is decided about the time that a planned stop leaves.

use gateway::{PlannedStop, RefusalReason};

use crate::{forward::OnlineRequest, no_answer::NoAnswer};

/// Retry-after hint for a request that this instance has no time for before it stops,
/// milliseconds. The hint is short because other instances can serve the request.
const STOPPING_RETRY_AFTER_MS: u64 = 10;

impl OnlineRequest {
    /// Refuses the request if this instance may stop before its answer ends.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub(crate) fn check_time(&self) -> Result<(), NoAnswer> {
        let Some(stop) = self.node.planned_stop() else {
            return Ok(());
        };
        let now_ms = self.node.now_ms();
        let durations = self.node.request_durations.borrow();
        let expected_end =
            stop.find_expected_end(&self.route, self.deadline_ms, &durations, now_ms);
        let Some(end) = expected_end else {
            return Err(self.refuse_stopping(stop));
        };
        log::info!(
            "event=request_taken_while_stopping request={} route={} end={} left_ms={} stop_left_ms={}",
            self.outgoing.request_id,
            self.route.name,
            end.as_str(),
            self.deadline_ms.saturating_sub(now_ms),
            stop.end_ms.saturating_sub(now_ms)
        );
        Ok(())
    }

    /// Checks whether there is time for another attempt before this instance stops.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if there is none.
    pub(crate) fn check_time_to_retry(&self) -> Result<(), NoAnswer> {
        let Some(stop) = self.node.planned_stop() else {
            return Ok(());
        };
        let has_time = stop.has_time_to_retry(
            &self.route,
            self.deadline_ms,
            self.retries.may_have_run(),
            &self.node.request_durations.borrow(),
            self.node.now_ms(),
        );
        if has_time {
            return Ok(());
        }
        Err(self.refuse_stopping(stop))
    }

    fn refuse_stopping(&self, stop: PlannedStop) -> NoAnswer {
        let reason = RefusalReason::Stopping;
        let now_ms = self.node.now_ms();
        log::warn!(
            "event=request_not_placed request={} route={} reason={} left_ms={} stop_left_ms={} retry_after_ms={STOPPING_RETRY_AFTER_MS}",
            self.outgoing.request_id,
            self.route.name,
            reason.as_str(),
            self.deadline_ms.saturating_sub(now_ms),
            stop.end_ms.saturating_sub(now_ms)
        );
        self.refuse(reason, STOPPING_RETRY_AFTER_MS)
    }
}
