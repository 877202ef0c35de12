//! Scripted faults of the stand-ins.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

/// A fault that closes the port begins this late, so that the answer to the
/// request that scripted it gets through.
const DOWN_LEAD_MS: u64 = 20;
/// How long the port stays closed if the fault does not say.
const DOWN_DEFAULT_MS: u64 = 60_000;

/// A fault, as posted to `/standin/faults`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What happens to a request.
    pub kind: FaultKind,
    /// Only requests whose path begins with this.
    #[serde(default)]
    pub path: String,
    /// Only requests whose body contains this text.
    #[serde(default)]
    pub contains: String,
    /// Ends after this many requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<u32>,
    /// Ends this long after it was posted, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
}

/// What happens to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Closes the port and every connection; needs `for_ms`.
    Down,
    /// Answers 503 with `x-ran: no` and does nothing.
    Refuse,
    /// Answers 500 after the request took effect.
    Fail,
    /// Closes the connection once the headers have come; nothing runs.
    ResetAfterHeaders,
    /// Closes the connection once the body has come; the request takes effect.
    ResetAfterBody,
    /// Reads the request, does nothing and never answers.
    Hang,
    /// The request takes effect and is never answered.
    HangAfterBody,
    /// Answers as usual, this much later.
    Slow {
        /// Delay before the request takes effect, milliseconds.
        delay_ms: u64,
    },
    /// Refuses with 429 what exceeds these rates.
    Limit {
        /// Writes per second.
        writes_per_s: u32,
        /// Reads per second.
        reads_per_s: u32,
    },
}

/// The faults in force, in the order in which they were posted.
#[derive(Debug, Default)]
pub struct FaultScript {
    active: Mutex<Vec<ActiveFault>>,
    changed: Notify,
    met: AtomicU32,
}

#[derive(Debug)]
struct ActiveFault {
    fault: Fault,
    ends_at: Option<Instant>,
    second_began_at: Instant,
    writes: u32,
    reads: u32,
}

/// What a limit says of one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    Write,
}

impl Fault {
    /// A fault that lasts until cleared and meets every path.
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

    /// Limits the fault to paths that begin with `path`.
    #[must_use]
    pub fn with_path(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    /// Limits the fault to requests whose body contains `text`.
    #[must_use]
    pub fn with_contains(mut self, text: &str) -> Self {
        text.clone_into(&mut self.contains);
        self
    }

    /// Ends the fault after `times` requests.
    #[must_use]
    pub fn with_times(mut self, times: u32) -> Self {
        self.times = Some(times);
        self
    }

    /// Ends the fault after `for_ms` milliseconds.
    #[must_use]
    pub fn with_for_ms(mut self, for_ms: u64) -> Self {
        self.for_ms = Some(for_ms);
        self
    }
}

impl Fault {
    fn is_met_by(&self, body: &[u8]) -> bool {
        let text = self.contains.as_bytes();
        text.is_empty() || body.windows(text.len()).any(|part| part == text)
    }
}

impl FaultScript {
    /// Puts a fault into force.
    pub fn add(&self, fault: Fault) {
        let now = Instant::now();
        let ends_at = fault.for_ms.map(|ms| now + Duration::from_millis(ms));
        self.lock().push(ActiveFault {
            fault,
            ends_at,
            second_began_at: now,
            writes: 0,
            reads: 0,
        });
        self.changed.notify_one();
    }

    /// Ends every fault.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Number of requests that met a fault.
    #[must_use]
    pub fn met(&self) -> u32 {
        self.met.load(Ordering::Relaxed)
    }

    /// Whether a request is to be cut before its body is read.
    pub(crate) fn take_reset(&self, path: &str) -> bool {
        let is_reset = |kind| kind == FaultKind::ResetAfterHeaders;
        self.take_where(path, Access::Read, |fault| is_reset(fault.kind))
            .is_some()
    }

    /// The fault that meets a request, if any. A limit that is not exceeded
    /// meets none.
    pub(crate) fn take(&self, path: &str, body: &[u8], access: Access) -> Option<FaultKind> {
        self.take_where(path, access, |fault| fault.is_met_by(body))
    }

    fn take_where(
        &self,
        path: &str,
        access: Access,
        matches: impl Fn(&Fault) -> bool,
    ) -> Option<FaultKind> {
        let now = Instant::now();
        let mut active = self.lock();
        active.retain(|fault| fault.is_in_force(now));
        let mut met = active
            .iter_mut()
            .filter(|fault| path.starts_with(&fault.fault.path) && matches(&fault.fault))
            .filter_map(|fault| fault.meets(access, now).then_some(fault));
        let fault = met.next()?;
        if let Some(times) = &mut fault.fault.times {
            *times -= 1;
        }
        self.met.fetch_add(1, Ordering::Relaxed);
        Some(fault.fault.kind)
    }

    /// Waits for a fault that closes the port; returns when it is over.
    pub(crate) async fn down(&self) -> Instant {
        loop {
            if let Some(up_at) = self.down_until() {
                tokio::time::sleep(Duration::from_millis(DOWN_LEAD_MS)).await;
                return up_at;
            }
            self.changed.notified().await;
        }
    }

    fn down_until(&self) -> Option<Instant> {
        let now = Instant::now();
        let active = self.lock();
        let down = active
            .iter()
            .filter(|fault| fault.fault.kind == FaultKind::Down && fault.is_in_force(now));
        let default = now + Duration::from_millis(DOWN_DEFAULT_MS);
        down.map(|fault| fault.ends_at.unwrap_or(default)).max()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActiveFault {
    fn is_in_force(&self, now: Instant) -> bool {
        self.fault.times != Some(0) && self.ends_at.is_none_or(|ends_at| now < ends_at)
    }

    /// Counts the request and tells whether the fault meets it.
    fn meets(&mut self, access: Access, now: Instant) -> bool {
        let FaultKind::Limit {
            writes_per_s,
            reads_per_s,
        } = self.fault.kind
        else {
            return true;
        };
        if now >= self.second_began_at + Duration::from_secs(1) {
            self.second_began_at = now;
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
