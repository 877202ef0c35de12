//! Applies to online requests what is decided about the time that a planned stop leaves.

use gateway::{EndBound, PlannedStop, RefusalReason, Route};

use crate::{attempt::UpstreamAnswer, forward::OnlineRequest, no_answer::NoAnswer, node::Node};

/// Retry-after hint for a request that this instance has no time for before it stops,
/// milliseconds. The hint is short because other instances can serve the request.
const STOPPING_RETRY_AFTER_MS: u64 = 10;

impl Node {
    /// Returns whether a request of a route with this deadline is expected to end before a
    /// planned stop, if one has begun, cuts its answer.
    pub(crate) fn has_time_for(&self, route: &Route, deadline_ms: u64) -> bool {
        self.planned_stop()
            .is_none_or(|stop| self.find_end_bound(stop, route, deadline_ms).is_some())
    }

    fn find_end_bound(
        &self,
        stop: PlannedStop,
        route: &Route,
        deadline_ms: u64,
    ) -> Option<EndBound> {
        let durations = self.request_durations.borrow();
        stop.find_bound(route, deadline_ms, &durations, self.now_ms())
    }
}

impl OnlineRequest {
    /// Refuses the request if this instance is expected to stop before its answer ends.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub(crate) fn check_time(&self) -> Result<(), NoAnswer> {
        let Some(stop) = self.node.planned_stop() else {
            return Ok(());
        };
        self.check_time_before(stop)
    }

    /// Like [`Self::check_time`], before another attempt for a request that has been taken.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller.
    pub(crate) fn check_time_again(&self) -> Result<(), NoAnswer> {
        let Some(stop) = self.node.planned_stop() else {
            return Ok(());
        };
        self.check_time_before(PlannedStop {
            is_in_rotation: true,
            ..stop
        })
    }

    fn check_time_before(&self, stop: PlannedStop) -> Result<(), NoAnswer> {
        let now_ms = self.node.now_ms();
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let stop_left_ms = stop.end_ms.saturating_sub(now_ms);
        let request = &self.outgoing.request_id;
        let route = &self.route.name;
        if let Some(bound) = self
            .node
            .find_end_bound(stop, &self.route, self.deadline_ms)
        {
            log::info!(
                "event=request_taken_while_stopping request={request} route={route} bound={} left_ms={left_ms} stop_left_ms={stop_left_ms}",
                bound.as_str()
            );
            return Ok(());
        }
        let reason = RefusalReason::Stopping;
        log::warn!(
            "event=request_not_placed request={request} route={route} reason={} left_ms={left_ms} stop_left_ms={stop_left_ms} retry_after_ms={STOPPING_RETRY_AFTER_MS}",
            reason.as_str()
        );
        Err(self.refuse(reason, STOPPING_RETRY_AFTER_MS))
    }

    /// Returns whether an attempt that begins now and is silent until `silent_until_ms` may be
    /// replaced by another one then.
    pub(crate) fn may_replace_silent(&self, silent_until_ms: u64) -> bool {
        self.node.planned_stop().is_none_or(|stop| {
            stop.may_replace_silent(self.node.now_ms(), silent_until_ms, self.deadline_ms)
        })
    }

    /// Returns whether an answer is passed on only once it is complete, so that a planned stop can
    /// still replace it by a failure. The events of a stream are not held up.
    pub(crate) fn must_hold(&self, answer: &UpstreamAnswer) -> bool {
        let is_late = |stop: PlannedStop| !stop.is_in_rotation;
        self.node.planned_stop().is_some_and(is_late)
            && !self.is_event_stream(answer)
            && !answer.body.is_at_known_end()
    }
}
