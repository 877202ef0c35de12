//! A single run of a batch item at an upstream, from the request to the end of
//! its event stream.

use std::{rc::Rc, sync::Arc};

use gateway::{AttemptEnd, EventSplitter, RequestContent, Route, Target, WorkKind};
use http::{Method, StatusCode};
use ledger::{ItemRun, JobItem, PartialOutput, RunOutcome};
use model::{CustomerName, JobId, PromptPart};
use tokio::{sync::Notify, time::timeout_at};

use super::runner;
use crate::{
    attempt::{
        AttemptOptions, InFlightGuard, OutgoingRequest, UpstreamAnswer, send_counted_attempt,
    },
    crash_detection::join_parts,
    node::Node,
};

/// Time-out for the head of the answer, in multiples of the route's latency goal.
const HEAD_TIMEOUT_GOALS: u64 = 6;
/// Time-out between complete events, in multiples of the route's goal for pauses. After a
/// longer pause the upstream is considered failed, even if it goes on sending bytes.
const STALL_TIMEOUT_GOALS: u64 = 4;

/// Maximum size of the output of an item, bytes. A page of results could not hold more.
const OUTPUT_MAX_BYTES: usize = 1_000_000;

/// Everything that a task needs to run one item.
#[derive(Debug)]
pub(super) struct RunContext {
    pub(super) node: Rc<Node>,
    pub(super) job: JobId,
    pub(super) host: Arc<str>,
    pub(super) customer: Option<CustomerName>,
    pub(super) give_up_at_ms: u64,
    pub(super) item_run: ItemRun,
    pub(super) content: Rc<RequestContent>,
    pub(super) target: Target,
    pub(super) route: Arc<Route>,
    /// Signals the run to end so that an online request gets its slot.
    pub(super) preempt_signal: Rc<Notify>,
}

/// A run whose item is already counted as in flight at its upstream.
#[derive(Debug)]
pub(super) struct CountedRun {
    context: RunContext,
    in_flight: InFlightGuard,
    partial: PartialOutput,
}

/// Result of reading one frame of an event stream.
#[derive(Debug)]
enum Progress {
    /// The frame completed no event.
    NoEvent,
    /// The frame completed events, which were added to the partial output.
    Events,
    /// The stream ended. The string is the reason for the log.
    Ended(RunOutcome, String),
}

impl RunContext {
    /// Returns the time until the item is given up, milliseconds.
    fn time_left_ms(&self) -> u64 {
        self.give_up_at_ms.saturating_sub(self.node.store_now_ms())
    }

    /// Counts the item as in flight at its upstream.
    pub(super) fn count_in_flight(self) -> CountedRun {
        let in_flight = InFlightGuard::new(
            &self.node,
            self.target.clone(),
            WorkKind::Batch,
            Rc::clone(&self.content),
        );
        CountedRun {
            partial: self.item_run.partial.for_version(&self.target.version),
            context: self,
            in_flight,
        }
    }
}

impl CountedRun {
    /// Runs the item until its stream ends or the run is preempted, and records the
    /// outcome.
    pub(super) async fn run(self) {
        let Self {
            context,
            in_flight,
            mut partial,
        } = self;
        let preempt_signal = Rc::clone(&context.preempt_signal);
        let started_ms = context.node.now_ms();
        let events_before = partial.last_event.unwrap_or(0);
        let (outcome, reason) = tokio::select! {
            result = run_once(&context, in_flight, &mut partial) => result,
            () = preempt_signal.notified() => (RunOutcome::Preempted, "preempted".to_owned()),
        };
        log::info!(
            "event=item_run_ended job={} item={} upstream={} end={outcome:?} reason={} events={} left_ms={}",
            context.job,
            context.item_run.item.id,
            context.target.upstream,
            process::quote(&reason),
            partial.last_event.unwrap_or(0),
            context.time_left_ms()
        );
        let ended_run = runner::EndedRun {
            upstream: context.target.upstream.clone(),
            outcome,
            max_errors: context.route.attempts_max,
            duration_ms: context.node.now_ms().saturating_sub(started_ms),
            event_count: partial
                .last_event
                .unwrap_or(0)
                .saturating_sub(events_before),
        };
        runner::finish_run(&context.node, &context.job, partial, &ended_run);
    }
}

/// Sends the item to its upstream and reads the event stream into `partial`. Returns the
/// outcome and its reason for the log.
async fn run_once(
    context: &RunContext,
    in_flight: InFlightGuard,
    partial: &mut PartialOutput,
) -> (RunOutcome, String) {
    let Some(outgoing) = outgoing_request(context) else {
        return (
            RunOutcome::Impossible,
            "the item's path is not a valid URI".to_owned(),
        );
    };
    let now_ms = context.node.now_ms();
    let time_left_ms = context.time_left_ms();
    let deadline_ms = now_ms + time_left_ms;
    let unresponsive_at_ms = now_ms + HEAD_TIMEOUT_GOALS * context.route.goal_ms;
    let options = AttemptOptions {
        kind: WorkKind::Batch,
        deadline_ms,
        head_deadline_ms: unresponsive_at_ms.min(deadline_ms),
        unresponsive_at_ms,
        expected_at_ms: now_ms,
        resume_after: partial.last_event,
        is_retryable: true,
    };
    log::info!(
        "event=item_sent job={} item={} upstream={} version={} after_event={} left_ms={time_left_ms} fingerprint={} shared_parts={}",
        context.job,
        context.item_run.item.id,
        context.target.upstream,
        process::quote(&context.target.version),
        partial.last_event.unwrap_or(0),
        context.content.fingerprint,
        join_parts(&context.content.shared_parts)
    );
    let answer = match send_counted_attempt(&context.node, in_flight, &outgoing, options).await {
        Ok(answer) => answer,
        Err(failure) => {
            let reason = format!("{}: {}", failure.end.as_str(), failure.reason);
            return (outcome_without_answer(context), reason);
        }
    };
    match answer.head.status {
        StatusCode::OK => read_stream(context, answer, partial).await,
        StatusCode::UNPROCESSABLE_ENTITY => (RunOutcome::Impossible, "status 422".to_owned()),
        // An upstream may answer with an error because it stops at the deadline.
        status if answer.is_out_of_time() => (RunOutcome::Interrupted, format!("status {status}")),
        status => (RunOutcome::Error, format!("status {status}")),
    }
}

/// Returns the outcome of a run without an answer for the item.
fn outcome_without_answer(context: &RunContext) -> RunOutcome {
    let required = platform::item_required_weights(&context.item_run.item);
    let upstreams = context.node.upstreams.borrow();
    let lacks_weights = required.version().is_some_and(|version| {
        upstreams.lacks_weights(&context.target, version, context.node.now_ms())
    });
    if lacks_weights {
        RunOutcome::Misplaced
    } else {
        RunOutcome::Interrupted
    }
}

/// Reads the event stream to its end. The partial output is updated after each frame, so
/// that it is kept if the run is aborted.
async fn read_stream(
    context: &RunContext,
    mut answer: UpstreamAnswer,
    partial: &mut PartialOutput,
) -> (RunOutcome, String) {
    let mut splitter = EventSplitter::new().with_last_id(partial.last_event);
    let resumed_after = partial.last_event;
    let stall_timeout_ms = STALL_TIMEOUT_GOALS * context.route.pause_goal_ms;
    let mut stall_deadline_ms = context.node.now_ms() + stall_timeout_ms;
    loop {
        let progress = read_frame(
            context,
            &mut answer,
            &mut splitter,
            partial,
            stall_deadline_ms,
        );
        match progress.await {
            Progress::NoEvent => {}
            Progress::Events if partial.output.len() > OUTPUT_MAX_BYTES => {
                // What this server sent is not the item's output.
                partial.clone_from(&context.item_run.partial);
                answer.record_failure();
                return (RunOutcome::Interrupted, "the output is too long".to_owned());
            }
            Progress::Events => {
                stall_deadline_ms = context.node.now_ms() + stall_timeout_ms;
                runner::update_partial(&context.node, &context.job, partial);
            }
            Progress::Ended(RunOutcome::Done, _) if partial.last_event == resumed_after => {
                // Another upstream is to confirm the end.
                answer.record_failure();
                return (RunOutcome::Done, "no events".to_owned());
            }
            Progress::Ended(RunOutcome::Done, reason) => {
                answer.finish(&context.node);
                return (RunOutcome::Done, reason);
            }
            Progress::Ended(outcome, reason) => {
                answer.record_lost_answer();
                return (outcome, reason);
            }
        }
    }
}

async fn read_frame(
    context: &RunContext,
    answer: &mut UpstreamAnswer,
    splitter: &mut EventSplitter,
    partial: &mut PartialOutput,
    stall_deadline_ms: u64,
) -> Progress {
    let wait_until_ms = stall_deadline_ms.min(answer.deadline_ms);
    let wait_until = context.node.clock.instant(wait_until_ms);
    let interrupted = |reason: String| Progress::Ended(RunOutcome::Interrupted, reason);
    match timeout_at(wait_until, answer.body.next()).await {
        Ok(Some(Ok(bytes))) => splitter.push(&bytes),
        Ok(Some(Err(error))) => return interrupted(error.to_string()),
        Ok(None) if splitter.has_partial_event() => {
            return interrupted("the stream ended within an event".to_owned());
        }
        Ok(None) => return Progress::Ended(RunOutcome::Done, "complete".to_owned()),
        Err(_) if answer.is_out_of_time() => {
            return interrupted("the time of the item is up".to_owned());
        }
        Err(_) => return interrupted(AttemptEnd::Silent.as_str().to_owned()),
    }
    let mut progress = Progress::NoEvent;
    loop {
        match splitter.next_event() {
            Ok(Some(event)) => {
                partial.push(event.id, &event.data());
                answer.record_event(&context.node);
                progress = Progress::Events;
            }
            Ok(None) => return progress,
            Err(error) => return interrupted(format!("{error:?}")),
        }
    }
}

/// Returns the parts of an item's prompt, or none if upstreams are not chosen by them.
pub(super) fn prompt_parts(route: &Route, item: &JobItem) -> Rc<[PromptPart]> {
    if route.names_prompt_parts {
        Rc::from(platform::item_prompt_parts(item))
    } else {
        Rc::default()
    }
}

fn outgoing_request(context: &RunContext) -> Option<OutgoingRequest> {
    let item = &context.item_run.item;
    let outgoing = OutgoingRequest {
        method: Method::POST,
        uri: item.path.parse().ok()?,
        headers: platform::item_headers(item, &context.host),
        body: platform::encode_item_body(item),
        request_id: Rc::from(&*item.id),
        content: Rc::clone(&context.content),
        required_weights: platform::item_required_weights(item),
        prompt_parts: prompt_parts(&context.route, item),
    };
    let customer = context.customer.as_ref();
    if customer.is_none() && !context.node.has_customers() {
        return Some(outgoing);
    }
    Some(outgoing.with_customer(customer))
}
