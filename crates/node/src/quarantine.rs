//! Carries out the quarantine of requests and prompt parts that crash upstreams: feeds it with what
//! this instance observes, logs what it decides, and checks each request before it is
//! sent. The decisions are in [`gateway::Quarantine`].

use gateway::{
    CrashCause, LostRequest, QuarantineChange, QuarantineCheck, QuarantineNotice, RequestContent,
    Target, WorkKind,
};

use crate::node::Node;

/// Checks whether a request with this content may be sent. Every attempt and every run of an
/// item passes this check.
pub(crate) fn check(node: &Node, content: &RequestContent, kind: WorkKind) -> QuarantineCheck {
    update(node);
    let now_ms = node.store_now_ms();
    let quarantine = node.quarantine.borrow();
    quarantine.check(content, kind, &node.upstreams.borrow(), now_ms)
}

/// Returns whether anything is in quarantine.
pub(crate) fn is_active(node: &Node) -> bool {
    !node.quarantine.borrow().quarantined().is_empty()
}

/// Records that a request is sent as a trial of a cause.
pub(crate) fn record_trial(node: &Node, request_id: &str, cause: CrashCause) {
    log::warn!("event=crash_cause_tried request={request_id} {cause}");
    let now_ms = node.store_now_ms();
    node.quarantine.borrow_mut().record_trial(cause, now_ms);
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

/// Records that an attempt of a request ended, whatever its result.
pub(crate) fn record_attempt_end(node: &Node, content: &RequestContent) {
    let now_ms = node.store_now_ms();
    let mut quarantine = node.quarantine.borrow_mut();
    quarantine.record_attempt_end(content.fingerprint, now_ms);
}

/// Records that a request with this content was answered without a crash.
pub(crate) fn record_survival(node: &Node, content: &RequestContent, kind: WorkKind) {
    let now_ms = node.store_now_ms();
    let mut quarantine = node.quarantine.borrow_mut();
    quarantine.record_survival(content, kind, now_ms);
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
            QuarantineChange::Quarantined { cause, crash_count } => {
                log::error!(
                    "event=crash_cause_quarantined {cause} crashes={crash_count} evidence=own"
                );
            }
            QuarantineChange::Learned(cause) => {
                log::warn!("event=crash_cause_quarantined {cause} evidence=peer");
            }
            QuarantineChange::Released(cause) => {
                log::warn!("event=crash_cause_released {cause}");
            }
        }
        node.metrics.on_quarantine_change(*change);
    }
}
