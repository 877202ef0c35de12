//! One run of an item at an upstream.

use std::{rc::Rc, sync::Arc};

use gateway::{AttemptEnd, EventSplitter, Route, Target, WorkKind};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use ledger::{ItemRun, PartialOutput, RunOutcome};
use model::JobId;
use tokio::{sync::Notify, time::timeout_at};

use super::runner;
use crate::{
    attempt::{
        AttemptOptions, InFlightGuard, OutgoingRequest, UpstreamAnswer, send_counted_attempt,
    },
    clock::unix_ms,
    node::Node,
};

/// An answer that has not begun after this many goals is given up.
const HEAD_GOALS: u64 = 6;
/// A pause of this many goals is a sign that the upstream is lost.
const STALL_PAUSE_GOALS: u64 = 4;

/// An item that is about to run.
#[derive(Debug)]
pub(super) struct Start {
    pub(super) node: Rc<Node>,
    pub(super) job: JobId,
    pub(super) host: Arc<str>,
    pub(super) give_up_unix_ms: u64,
    pub(super) run: ItemRun,
    pub(super) target: Target,
    pub(super) route: Arc<Route>,
    /// Asks the run to end so that an online request gets its slot.
    pub(super) preempt: Rc<Notify>,
}

/// An item that is counted at its upstream.
#[derive(Debug)]
pub(super) struct Started {
    start: Start,
    in_flight: InFlightGuard,
    partial: PartialOutput,
}

/// How the stream of a run goes on.
#[derive(Debug)]
enum Progress {
    Event,
    Ended(RunOutcome, String),
}

impl Start {
    /// Counts the item at its upstream.
    pub(super) fn begin(self) -> Started {
        let in_flight = InFlightGuard::new(&self.node, self.target.clone(), WorkKind::Batch);
        Started {
            partial: self.run.partial.clone(),
            start: self,
            in_flight,
        }
    }
}

impl Started {
    /// Runs the item and records how it ended.
    pub(super) async fn run(self) {
        let Self {
            start,
            in_flight,
            mut partial,
        } = self;
        let preempt = Rc::clone(&start.preempt);
        let started_ms = start.node.now_ms();
        let first_event = partial.last_event.unwrap_or(0);
        let (end, reason) = tokio::select! {
            ended = run_once(&start, in_flight, &mut partial) => ended,
            () = preempt.notified() => (RunOutcome::Preempted, "preempted".to_owned()),
        };
        log::info!(
            "event=item_run_ended job={} item={} upstream={} end={end:?} reason={} events={}",
            start.job,
            start.run.item.id,
            start.target.upstream,
            process::quote(&reason),
            partial.last_event.unwrap_or(0)
        );
        let run = runner::EndedRun {
            end,
            errors_max: start.route.attempts_max,
            run_ms: start.node.now_ms().saturating_sub(started_ms),
            events: partial.last_event.unwrap_or(0).saturating_sub(first_event),
        };
        runner::run_ended(&start.node, &start.job, partial, run);
    }
}

async fn run_once(
    start: &Start,
    in_flight: InFlightGuard,
    partial: &mut PartialOutput,
) -> (RunOutcome, String) {
    let Some(outgoing) = outgoing(start) else {
        return (RunOutcome::Impossible, "path is not valid".to_owned());
    };
    let now_ms = start.node.now_ms();
    let time_left_ms = start.give_up_unix_ms.saturating_sub(unix_ms());
    let terms = AttemptOptions {
        kind: WorkKind::Batch,
        deadline_ms: now_ms + time_left_ms,
        head_deadline_ms: now_ms + HEAD_GOALS * start.route.goal_ms,
        expected_at_ms: now_ms,
        resume_after: partial.last_event,
        is_repeatable: true,
    };
    log::info!(
        "event=item_sent job={} item={} upstream={} after_event={} left_ms={time_left_ms}",
        start.job,
        start.run.item.id,
        start.target.upstream,
        partial.last_event.unwrap_or(0)
    );
    let answer = match send_counted_attempt(&start.node, in_flight, &outgoing, terms).await {
        Ok(answer) => answer,
        Err(failure) => {
            let reason = format!("{}: {}", failure.end.as_str(), failure.reason);
            return (RunOutcome::Interrupted, reason);
        }
    };
    match answer.head.status {
        StatusCode::OK => stream(start, answer, partial).await,
        StatusCode::UNPROCESSABLE_ENTITY => (RunOutcome::Impossible, "status 422".to_owned()),
        status => (RunOutcome::Error, format!("status {status}")),
    }
}

async fn stream(
    start: &Start,
    mut answer: UpstreamAnswer,
    partial: &mut PartialOutput,
) -> (RunOutcome, String) {
    let mut splitter = EventSplitter::new().with_last_id(partial.last_event);
    loop {
        match next(start, &mut answer, &mut splitter, partial).await {
            Progress::Event => runner::progress(&start.node, &start.job, partial),
            Progress::Ended(RunOutcome::Done, reason) => {
                answer.finish(&start.node);
                return (RunOutcome::Done, reason);
            }
            Progress::Ended(end, reason) => {
                answer.in_flight.record_failure();
                return (end, reason);
            }
        }
    }
}

async fn next(
    start: &Start,
    answer: &mut UpstreamAnswer,
    splitter: &mut EventSplitter,
    partial: &mut PartialOutput,
) -> Progress {
    let stall_ms = STALL_PAUSE_GOALS * start.route.pause_goal_ms;
    let wait_until = start.node.clock.instant(start.node.now_ms() + stall_ms);
    let broken = |reason: String| Progress::Ended(RunOutcome::Interrupted, reason);
    match timeout_at(wait_until, answer.body.frame()).await {
        Ok(Some(Ok(frame))) => splitter.push(&frame.into_data().unwrap_or_default()),
        Ok(Some(Err(error))) => return broken(error.to_string()),
        Ok(None) if splitter.has_partial_event() => {
            return broken("ends within an event".to_owned());
        }
        Ok(None) => return Progress::Ended(RunOutcome::Done, "complete".to_owned()),
        Err(_) => return broken(AttemptEnd::Silent.as_str().to_owned()),
    }
    loop {
        match splitter.next_event() {
            Ok(Some(event)) => partial.push(event.id, &event.data()),
            Ok(None) => return Progress::Event,
            Err(error) => return broken(format!("{error:?}")),
        }
    }
}

fn outgoing(start: &Start) -> Option<OutgoingRequest> {
    let item = &start.run.item;
    Some(OutgoingRequest {
        method: Method::POST,
        uri: item.path.parse().ok()?,
        headers: platform::item_headers(item, &start.host),
        body: platform::encode_item_body(item),
        request_id: Rc::from(&*item.id),
    })
}
