//! Starts waiting items at the upstreams that the batch plan assigns to this instance.

use std::{rc::Rc, sync::Arc};

use gateway::{QuarantineCheck, RequestContent, RequestFingerprint, Target, Urgency, WorkKind};
use ledger::OwnedJob;
use model::{PromptPartId, shared_parts};
use tokio::{sync::Notify, task::spawn_local};

use super::{
    item_contents, item_run,
    runner::{ActiveRun, Runner, WaitingItem},
};
use crate::{node::Node, quarantine};

/// Starts waiting items in the slots that the batch plan assigns to this instance,
/// and removes them from `waiting`. Returns whether any item was removed.
pub(super) fn start_items(node: &Rc<Node>, waiting: &mut Vec<WaitingItem>) -> bool {
    let now_ms = node.now_ms();
    let mut services: Vec<_> = waiting.iter().map(|item| item.service.clone()).collect();
    services.sort();
    services.dedup();
    let waiting_before = waiting.len();
    // The most urgent item that has a slot, but whose contents are not in memory.
    let mut without_contents: Option<(Urgency, usize)> = None;
    for service in services {
        let mut plan = node.upstreams.borrow().batch_plan(&service, now_ms);
        waiting.retain(|item| {
            if item.service != service || plan.is_empty() {
                return true;
            }
            if !node.runner.borrow().jobs[item.job_index].has_contents() {
                let candidate = (item.urgency, item.job_index);
                without_contents =
                    Some(without_contents.map_or(candidate, |first| first.min(candidate)));
                return true;
            }
            let Some(target) = take_target(node, item, &mut plan) else {
                return true;
            };
            start_item(node, item, target);
            false
        });
    }
    if let Some((_, job_index)) = without_contents {
        item_contents::begin_read(node, waiting, job_index);
    }
    waiting.len() < waiting_before
}

/// Takes the place of an item from the plan, and returns the target at which it runs. An item
/// that requires weights may need another target than the plan has for it.
fn take_target(node: &Node, item: &WaitingItem, plan: &mut Vec<Target>) -> Option<Target> {
    let Some(version) = item.required_weights.version() else {
        return Some(plan.remove(preferred_target(node, item, plan)));
    };
    let now_ms = node.now_ms();
    let mut upstreams = node.upstreams.borrow_mut();
    let target = upstreams.batch_target_with_weights(&item.service, version, now_ms)?;
    upstreams.record_item_with_weights(&target, now_ms);
    let planned = plan.iter().position(|planned| *planned == target);
    plan.remove(planned.unwrap_or(0));
    Some(target)
}

/// Returns the position of the target at which an item goes on with its output. If it has none
/// or if no target runs its version, its output begins anew, at the target that is best for
/// its prompt.
fn preferred_target(node: &Node, item: &WaitingItem, targets: &[Target]) -> usize {
    let runner = node.runner.borrow();
    let version = runner.jobs[item.job_index].output_version(item.item_index);
    let is_same = |target: &Target| Some(&target.version) == version;
    if let Some(position) = targets.iter().position(is_same) {
        return position;
    }
    let item_at = runner.jobs[item.job_index].item_at(item.item_index);
    let prompt = item_at.map(|job_item| item_run::prompt_parts(&item.route, job_item));
    let upstreams = node.upstreams.borrow();
    let best = prompt.and_then(|prompt| upstreams.best_for_prompt(targets, &prompt));
    best.unwrap_or(0)
}

fn start_item(node: &Rc<Node>, item: &WaitingItem, target: Target) {
    let mut runner = node.runner.borrow_mut();
    let content = Rc::new(item_content(&runner.jobs[item.job_index], item.item_index));
    let suspected = node.quarantine.borrow().suspected_parts(&content);
    if !suspected.is_empty() && runs_any_part(&runner, &suspected) {
        return;
    }
    let job = &mut runner.jobs[item.job_index];
    let check = quarantine::check(node, &content, WorkKind::Batch);
    if !check.permits(node.upstreams.borrow().load_at(&target)) {
        return;
    }
    if let QuarantineCheck::Trial { cause, .. } = check {
        quarantine::record_trial(node, job.id().as_str(), cause);
    }
    let Some(item_run) = job.start_item(item.item_index) else {
        return;
    };
    let id = job.id().clone();
    let preempt_signal = Rc::new(Notify::new());
    let upstream = target.upstream.clone();
    let run = item_run::RunContext {
        node: Rc::clone(node),
        job: id.clone(),
        host: Arc::clone(&job.record().host),
        customer: job.record().customer.clone(),
        give_up_at_ms: job.record().give_up_at_ms,
        content: Rc::clone(&content),
        item_run,
        target,
        route: Arc::clone(&item.route),
        preempt_signal: Rc::clone(&preempt_signal),
    };
    // The item is counted as in flight before the task runs, so that the next batch
    // plan takes it into account.
    let counted_run = run.count_in_flight();
    let task = spawn_local(counted_run.run()).abort_handle();
    runner.runs.push(ActiveRun {
        job: id,
        item_index: item.item_index,
        content,
        upstream,
        preempt_signal,
        task,
    });
}

/// Returns whether an item with one of these parts is running.
fn runs_any_part(runner: &Runner, parts: &[PromptPartId]) -> bool {
    runner.runs.iter().any(|run| {
        let mut running = run.content.shared_parts.iter();
        running.any(|part| parts.contains(part))
    })
}

/// Returns the content of an item's request. Its id stands for all but the parts of the
/// prompt, since items are never compared as a whole.
pub(super) fn item_content(job: &OwnedJob, item_index: u32) -> RequestContent {
    let item = job.item_at(item_index);
    let id = item.map_or("", |item| &*item.id);
    let prompt = item.map(platform::item_prompt_parts);
    RequestContent {
        fingerprint: RequestFingerprint::new("", &job.record().host, id, &[]),
        shared_parts: shared_parts(&prompt.unwrap_or_default()),
    }
}
