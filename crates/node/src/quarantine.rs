//! Carries out the quarantine of prompt parts that crash upstreams: feeds it with what
//! this instance observes, logs what it decides, and checks each request before it is
//! sent. The decisions are in [`gateway::Quarantine`].

use gateway::{LostRequest, PartCheck, QuarantineChange, QuarantineNotice, Target};
use model::PromptPartId;

use crate::node::Node;

/// Checks whether a request whose prompt has these parts may be sent. Every attempt and
/// every run of an item passes this check.
pub(crate) fn check(node: &Node, shared_parts: &[PromptPartId]) -> PartCheck {
    update(node);
    let now_ms = node.store_now_ms();
    let quarantine = node.quarantine.borrow();
    quarantine.check(shared_parts, &node.upstreams.borrow(), now_ms)
}

/// Returns whether any part is in quarantine.
pub(crate) fn is_active(node: &Node) -> bool {
    !node.quarantine.borrow().quarantined().is_empty()
}

/// Records that a request is sent as a trial of a quarantined part.
pub(crate) fn record_trial(node: &Node, request_id: &str, part: PromptPartId) {
    log::warn!("event=prompt_part_tried request={request_id} part={part}");
    let now_ms = node.store_now_ms();
    node.quarantine.borrow_mut().record_trial(part, now_ms);
    node.load_changed.notify_one();
}

/// Records that an upstream crashed while a request was in flight there.
pub(crate) fn record_crash(node: &Node, target: &Target, lost: &LostRequest) {
    let now_ms = node.store_now_ms();
    let mut quarantine = node.quarantine.borrow_mut();
    quarantine.record_crash(target, lost, now_ms);
    drop(quarantine);
    update(node);
    node.load_changed.notify_one();
}

/// Records that a request with these parts was answered without a crash.
pub(crate) fn record_survival(node: &Node, shared_parts: &[PromptPartId]) {
    let now_ms = node.store_now_ms();
    let mut quarantine = node.quarantine.borrow_mut();
    quarantine.record_survival(shared_parts, now_ms);
    let must_update = !quarantine.quarantined().is_empty();
    drop(quarantine);
    if must_update {
        update(node);
    }
}

/// Adds what a peer knows.
pub(crate) fn receive(node: &Node, notice: &QuarantineNotice) {
    let now_ms = node.store_now_ms();
    let mut quarantine = node.quarantine.borrow_mut();
    let has_news = quarantine.has_news(notice);
    let learned = quarantine.receive(notice, now_ms);
    drop(quarantine);
    if has_news {
        node.load_changed.notify_one();
    }
    log_changes(node, &learned);
    update(node);
}

fn update(node: &Node) {
    let now_ms = node.store_now_ms();
    let changes = node.quarantine.borrow_mut().update(now_ms);
    if !changes.is_empty() {
        log_changes(node, &changes);
        node.load_changed.notify_one();
        node.batch_state_changed.notify_one();
    }
}

fn log_changes(node: &Node, changes: &[QuarantineChange]) {
    for change in changes {
        match change {
            QuarantineChange::Quarantined { part, crash_count } => log::error!(
                "event=prompt_part_quarantined part={part} crashes={crash_count} evidence=own"
            ),
            QuarantineChange::Learned(part) => {
                log::warn!("event=prompt_part_quarantined part={part} evidence=peer");
            }
            QuarantineChange::Released(part) => {
                log::warn!("event=prompt_part_released part={part}");
            }
        }
        node.metrics.on_quarantine_change(*change);
    }
}
