//! Faults that a test scripts at a stand-in, and which requests they apply to.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

/// Delay before a [`FaultKind::Down`] fault closes the port, so that the response
/// to the request that scripted the fault is still sent.
const DOWN_DELAY_MS: u64 = 20;
/// How long the port stays closed if the fault has no `for_ms`.
const DEFAULT_DOWN_MS: u64 = 60_000;

/// A fault as posted to `/standin/faults`: what happens, to which requests and
/// for how long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What happens to a request that the fault applies to.
    pub kind: FaultKind,
    /// Path prefix of the requests that the fault applies to; empty for all.
    #[serde(default)]
    pub path: String,
    /// Text that the body of a request must contain for the fault to apply;
    /// empty for all requests. The stand-in of the store searches the query of a read
    /// instead, which has no body.
    #[serde(default)]
    pub contains: String,
    /// Number of requests after which the fault ends; no limit if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<u32>,
    /// Time after posting at which the fault ends, in milliseconds; no limit if
    /// `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
}

/// What happens to a request that a fault applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Closes the port and every connection. Set `for_ms`: the fault cannot be
    /// cleared while the port is closed.
    Down,
    /// Closes every connection once. The port stays open.
    Disconnect,
    /// Answers 503 with `x-ran: no`; the request has no effect.
    Refuse,
    /// Like [`FaultKind::Refuse`], but the answer comes after a delay.
    RefuseLate {
        /// Delay before the answer, in milliseconds.
        delay_ms: u64,
    },
    /// Answers 500 after the request has taken effect.
    Fail,
    /// Closes the connection once the headers have been read; the request has
    /// no effect.
    ResetAfterHeaders,
    /// Closes the connection once the body has been read and the request has
    /// taken effect.
    ResetAfterBody,
    /// Reads the request and never answers; the request has no effect.
    Hang,
    /// Never answers, after the request has taken effect.
    HangAfterBody,
    /// Handles the request normally after a delay.
    Slow {
        /// Delay before the request takes effect, in milliseconds.
        delay_ms: u64,
    },
    /// Handles the request normally, and answers after a delay.
    SlowAnswer {
        /// Delay after the request has taken effect, in milliseconds.
        delay_ms: u64,
    },
    /// Answers 429 with `x-ran: no` to requests beyond a rate limit. Requests are
    /// counted in windows of at least 1 s.
    Limit {
        /// Maximum number of writes, which are all requests but `GET`, per window.
        writes_per_s: u32,
        /// Maximum number of reads, which are `GET` requests, per window.
        reads_per_s: u32,
    },
}

/// The active faults of one stand-in, in the order in which they were posted.
/// The first fault that applies to a request wins.
#[derive(Debug, Default)]
pub struct FaultScript {
    active: Mutex<Vec<ActiveFault>>,
    fault_added: Notify,
    faulted_requests: AtomicU32,
}

#[derive(Debug)]
struct ActiveFault {
    fault: Fault,
    ends_at: Option<Instant>,
    /// Start of the window in which a [`FaultKind::Limit`] counts requests.
    window_started_at: Instant,
    writes: u32,
    reads: u32,
}

/// How a fault closes every connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disconnection {
    /// The port is closed as well.
    Down {
        /// When the port is to be opened again.
        reopens_at: Instant,
    },
    /// The port stays open.
    ListenerOpen,
}

/// Whether a request counts as a read or as a write for [`FaultKind::Limit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    Write,
}

impl Fault {
    /// Creates a fault that applies to every request until it is cleared.
    #[must_use]
    pub fn new(kind: FaultKind) -> Self {
        Self {
            kind,
            path: String::new(),
            contains: String::new(),
            times: None,
            for_ms: None,
        }
    }

    /// Restricts the fault to requests whose path begins with `path`.
    #[must_use]
    pub fn with_path(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    /// Restricts the fault to requests whose body contains `text`.
    #[must_use]
    pub fn with_contains(mut self, text: &str) -> Self {
        text.clone_into(&mut self.contains);
        self
    }

    /// Ends the fault once it has applied to `times` requests.
    #[must_use]
    pub fn with_times(mut self, times: u32) -> Self {
        self.times = Some(times);
        self
    }

    /// Ends the fault `for_ms` milliseconds after it is added.
    #[must_use]
    pub fn with_for_ms(mut self, for_ms: u64) -> Self {
        self.for_ms = Some(for_ms);
        self
    }
}

impl Fault {
    fn matches_body(&self, body: &[u8]) -> bool {
        let text = self.contains.as_bytes();
        text.is_empty() || body.windows(text.len()).any(|window| window == text)
    }
}

impl FaultScript {
    /// Activates a fault.
    pub fn add(&self, fault: Fault) {
        let now = Instant::now();
        let ends_at = fault.for_ms.map(|ms| now + Duration::from_millis(ms));
        self.lock().push(ActiveFault {
            fault,
            ends_at,
            window_started_at: now,
            writes: 0,
            reads: 0,
        });
        self.fault_added.notify_one();
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Returns the number of requests that a fault applied to.
    #[must_use]
    pub fn faulted_requests(&self) -> u32 {
        self.faulted_requests.load(Ordering::Relaxed)
    }

    /// Returns whether a [`FaultKind::ResetAfterHeaders`] fault applies to a request,
    /// and counts the request if so. [`Fault::contains`] is ignored, because the body
    /// has not been read yet.
    pub(crate) fn take_reset_after_headers(&self, path: &str) -> bool {
        let is_reset = |kind| kind == FaultKind::ResetAfterHeaders;
        self.take_where(path, Access::Read, |fault| is_reset(fault.kind))
            .is_some()
    }

    /// Returns the kind of the first fault that applies to a request and counts
    /// the request. A [`FaultKind::Limit`] that is not exceeded does not apply.
    pub(crate) fn take_matching(
        &self,
        path: &str,
        body: &[u8],
        access: Access,
    ) -> Option<FaultKind> {
        self.take_where(path, access, |fault| fault.matches_body(body))
    }

    fn take_where(
        &self,
        path: &str,
        access: Access,
        matches: impl Fn(&Fault) -> bool,
    ) -> Option<FaultKind> {
        let now = Instant::now();
        let mut active = self.lock();
        active.retain(|fault| fault.is_active(now));
        let mut matching = active
            .iter_mut()
            .filter(|fault| path.starts_with(&fault.fault.path) && matches(&fault.fault))
            .filter_map(|fault| fault.applies_to(access, now).then_some(fault));
        let fault = matching.next()?;
        if let Some(times) = &mut fault.fault.times {
            *times -= 1;
        }
        self.faulted_requests.fetch_add(1, Ordering::Relaxed);
        Some(fault.fault.kind)
    }

    /// Waits for a fault that closes every connection.
    pub(crate) async fn wait_until_disconnected(&self) -> Disconnection {
        loop {
            if let Some(reopens_at) = self.latest_down_end() {
                tokio::time::sleep(Duration::from_millis(DOWN_DELAY_MS)).await;
                return Disconnection::Down { reopens_at };
            }
            if self.take_disconnect() {
                return Disconnection::ListenerOpen;
            }
            self.fault_added.notified().await;
        }
    }

    fn take_disconnect(&self) -> bool {
        let mut active = self.lock();
        let count_before = active.len();
        active.retain(|fault| fault.fault.kind != FaultKind::Disconnect);
        active.len() < count_before
    }

    /// Returns the latest end of the active [`FaultKind::Down`] faults.
    fn latest_down_end(&self) -> Option<Instant> {
        let now = Instant::now();
        let active = self.lock();
        let down_faults = active
            .iter()
            .filter(|fault| fault.fault.kind == FaultKind::Down && fault.is_active(now));
        let default_end = now + Duration::from_millis(DEFAULT_DOWN_MS);
        down_faults
            .map(|fault| fault.ends_at.unwrap_or(default_end))
            .max()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActiveFault {
    fn is_active(&self, now: Instant) -> bool {
        self.fault.times != Some(0) && self.ends_at.is_none_or(|ends_at| now < ends_at)
    }

    /// Returns whether the fault applies to a request. A [`FaultKind::Limit`]
    /// counts the request if it stays within the limit.
    fn applies_to(&mut self, access: Access, now: Instant) -> bool {
        let FaultKind::Limit {
            writes_per_s,
            reads_per_s,
        } = self.fault.kind
        else {
            return true;
        };
        if now >= self.window_started_at + Duration::from_secs(1) {
            self.window_started_at = now;
            self.writes = 0;
            self.reads = 0;
        }
        let (count, limit) = match access {
            Access::Write => (&mut self.writes, writes_per_s),
            Access::Read => (&mut self.reads, reads_per_s),
        };
        if *count >= limit {
            return true;
        }
        *count += 1;
        false
    }
}
