//! Confirms that the known registrations of upstreams are up to date: a call to the store
//! that begins after the question returns all changes.
//!
//! Load pattern: when an instance is lost, its callers all come back at once, and each of
//! them needs to know. Those that ask while a call is in flight share the next one.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{sync::watch, task::spawn_local, time::timeout};

use crate::{node::Node, registrations};

/// Time in which the store must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The calls of one instance, numbered from 1.
#[derive(Debug, Default)]
pub(crate) struct RegistrationCheck {
    /// Number of the last call that began.
    begun: Cell<u64>,
    ended: watch::Sender<EndedCall>,
}

/// The last call that ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct EndedCall {
    number: u64,
    is_confirmed: bool,
}

/// Returns whether the store has confirmed the registrations in a call that began after this
/// function was called.
pub(crate) async fn confirm(node: &Rc<Node>) -> bool {
    let check = &node.registration_check;
    let needed = check.begun.get() + 1;
    let mut ended = check.ended.subscribe();
    loop {
        let last = *ended.borrow_and_update();
        if last.number >= needed {
            return last.is_confirmed;
        }
        if last.number == check.begun.get() {
            begin_call(node);
        }
        if ended.changed().await.is_err() {
            return false;
        }
    }
}

fn begin_call(node: &Rc<Node>) {
    let number = node.registration_check.begun.get() + 1;
    node.registration_check.begun.set(number);
    let node = Rc::clone(node);
    spawn_local(async move {
        let changes = timeout(ANSWER_TIMEOUT, registrations::read_changes(&node)).await;
        let is_confirmed = changes.is_ok_and(|result| result.is_ok());
        let ended = EndedCall {
            number,
            is_confirmed,
        };
        node.registration_check.ended.send_replace(ended);
    });
}
