//! Confirms that what is known of a table is up to date: a call to the store that begins after
//! the question returns all changes.
//!
//! Load pattern: when an instance is lost, its callers all come back at once, and each of
//! them needs to know where its stream began; callers send wrong keys as fast as they can, and
//! each of them needs to know whether its key was added meanwhile. Those that ask while a call
//! is in flight share the next one, and calls keep a distance, so the number of calls does not
//! grow with that of the questions.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{
    sync::watch,
    task::spawn_local,
    time::{Instant, sleep_until, timeout},
};

use crate::{config_feed, node::Node, registrations};

/// Time in which the store must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time between the beginnings of two calls about the configuration. Callers choose
/// how many questions lead to them.
const CONFIG_CALL_DISTANCE: Duration = Duration::from_millis(100);

/// What is to be confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Subject {
    /// The registrations of upstreams.
    Registrations,
    /// The configuration.
    Config,
}

/// The calls of one instance about one subject, numbered from 1.
#[derive(Debug, Default)]
pub(crate) struct FreshnessCheck {
    /// Number of the last call that began.
    begun: Cell<u64>,
    /// When the next call may begin; `None` before the first one.
    next_at: Cell<Option<Instant>>,
    /// Whether a call is in flight or about to begin.
    is_calling: Cell<bool>,
    ended: watch::Sender<EndedCall>,
}

/// The last call that ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct EndedCall {
    number: u64,
    is_confirmed: bool,
}

/// Returns whether the store has confirmed what is known in a call that began after this
/// function was called.
pub(crate) async fn confirm(node: &Rc<Node>, subject: Subject) -> bool {
    let check = subject.check(node);
    let needed = check.begun.get() + 1;
    let mut ended = check.ended.subscribe();
    loop {
        let last = *ended.borrow_and_update();
        if last.number >= needed {
            return last.is_confirmed;
        }
        if !check.is_calling.replace(true) {
            spawn_local(subject.call(Rc::clone(node)));
        }
        if ended.changed().await.is_err() {
            return false;
        }
    }
}

impl Subject {
    fn check(self, node: &Node) -> &FreshnessCheck {
        match self {
            Self::Registrations => &node.registration_check,
            Self::Config => &node.config_check,
        }
    }

    async fn call(self, node: Rc<Node>) {
        let check = self.check(&node);
        if let Some(next_at) = check.next_at.get() {
            sleep_until(next_at).await;
        }
        check
            .next_at
            .set(Some(Instant::now() + self.call_distance()));
        let number = check.begun.get() + 1;
        check.begun.set(number);
        let changes = timeout(ANSWER_TIMEOUT, async {
            match self {
                Self::Registrations => registrations::read_changes(&node).await,
                Self::Config => config_feed::read_changes(&node).await,
            }
        });
        let is_confirmed = changes.await.is_ok_and(|result| result.is_ok());
        check.is_calling.set(false);
        check.ended.send_replace(EndedCall {
            number,
            is_confirmed,
        });
    }

    fn call_distance(self) -> Duration {
        match self {
            Self::Registrations => Duration::ZERO,
            Self::Config => CONFIG_CALL_DISTANCE,
        }
    }
}
