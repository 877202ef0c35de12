//! What was done to the parts of a soak, and which of it excuses an instance.
//!
//! Times are milliseconds since the soak began.

use std::time::Duration;

use tokio::time::Instant;

/// Time without disruption after which an instance and the store are in touch, milliseconds.
pub const STABLE_MS: u64 = 4_000;
/// Grace period of a planned stop, seconds.
pub const GRACE_S: u64 = 8;
/// Time in which a configuration is applied, milliseconds.
pub const CONFIG_APPLY_MS: u64 = 3_000;
/// Shortest stall that is recorded, milliseconds.
pub const STALL_MIN_MS: u64 = 100;
/// A stall of this length shows that the instances may have had no processor either,
/// milliseconds.
const LONG_STALL_MS: u64 = 1_000;
/// Time after a planned stop or a configuration in which it still accounts for a cut,
/// milliseconds.
const PLANNED_MARGIN_MS: u64 = 1_000;

/// Clock of a soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakClock(Instant);

impl SoakClock {
    pub fn start() -> Self {
        Self(Instant::now())
    }

    pub fn now_ms(self) -> u64 {
        u64::try_from(self.0.elapsed().as_millis()).unwrap()
    }

    pub fn instant(self, at_ms: u64) -> Instant {
        self.0 + Duration::from_millis(at_ms)
    }
}

/// A span of time, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    pub from_ms: u64,
    pub to_ms: u64,
}

impl Span {
    pub fn new(from_ms: u64, to_ms: u64) -> Self {
        Self { from_ms, to_ms }
    }

    pub fn overlaps(self, other: Self) -> bool {
        self.from_ms <= other.to_ms && other.from_ms <= self.to_ms
    }

    /// Returns this span and the time before it in which nothing may have been disrupted.
    fn with_stable_time(self) -> Self {
        Self::new(self.from_ms.saturating_sub(STABLE_MS), self.to_ms)
    }
}

/// A part of the soak that something was done to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    Instance(usize),
    Server(usize),
    Store,
    /// The machine that the soak runs on.
    Machine,
}

/// What was done to a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deed {
    /// An instance was sent SIGTERM; lasts until it is started again.
    Stop,
    /// An instance was sent SIGHUP.
    Hangup,
    /// A process was started.
    Start,
    /// A configuration was written; lasts until it was acknowledged.
    Configure,
    /// An instance, or the soak's own process, waited for a processor. While the soak does,
    /// nobody knows when an answer came.
    Stall,
    /// Anything that was not planned.
    Disrupt(&'static str),
}

/// An entry of the history.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    pub part: Part,
    pub deed: Deed,
    pub span: Span,
}

/// All that was done in a soak.
#[derive(Debug, Default)]
pub struct History {
    entries: Vec<Entry>,
}

impl History {
    /// Records a deed with a known end.
    pub fn record(&mut self, part: Part, deed: Deed, span: Span) {
        self.entries.push(Entry { part, deed, span });
    }

    /// Records a deed whose end is not known yet.
    pub fn begin(&mut self, part: Part, deed: Deed, now_ms: u64) {
        self.record(part, deed, Span::new(now_ms, u64::MAX));
    }

    /// Ends everything that lasts at a part.
    pub fn end(&mut self, part: Part, now_ms: u64) {
        let lasting = |entry: &&mut Entry| entry.part == part && entry.span.to_ms == u64::MAX;
        for entry in self.entries.iter_mut().filter(lasting) {
            entry.span.to_ms = now_ms;
        }
    }

    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns whether an instance was in touch all the while: no start, signal to stop or
    /// disruption of it or of the store, also in the stable time before.
    pub fn is_in_touch(&self, instance: usize, span: Span) -> bool {
        let span = span.with_stable_time();
        let disturbs = |entry: &Entry| {
            entry.concerns(instance)
                && (matches!(entry.deed, Deed::Stop | Deed::Start) || entry.is_disruption())
        };
        !self.any(span, disturbs)
    }

    /// Returns whether the instance or the store was disrupted otherwise than by planned work.
    pub fn is_unplanned(&self, instance: usize, span: Span) -> bool {
        let span = span.with_stable_time();
        self.any(span, |entry| {
            entry.concerns(instance) && entry.is_disruption()
        })
    }

    /// Returns whether the instance itself was disrupted otherwise than by planned work, or
    /// started.
    pub fn is_instance_disrupted(&self, instance: usize, span: Span) -> bool {
        self.any(span.with_stable_time(), |entry| {
            entry.part != Part::Store
                && entry.concerns(instance)
                && (entry.deed == Deed::Start || entry.is_disruption())
        })
    }

    /// Returns whether the instance or the soak's own process stalled.
    pub fn is_stalled(&self, instance: usize, span: Span) -> bool {
        self.any(span, |entry| {
            entry.deed == Deed::Stall && entry.concerns(instance)
        })
    }

    /// Returns whether a server was disrupted.
    pub fn is_server_disrupted(&self, server: usize, span: Span) -> bool {
        self.any(span, |entry| entry.part == Part::Server(server))
    }

    /// Returns whether a request of this span at an instance counts as one around planned work.
    pub fn is_around_planned_work(&self, instance: usize, request: Span) -> bool {
        let covers = |entry: &Entry| {
            let from_ms = entry.span.from_ms;
            let is_own = entry.part == Part::Instance(instance);
            match entry.deed {
                Deed::Stop if is_own => {
                    let to_ms = from_ms + GRACE_S * 1_000 + PLANNED_MARGIN_MS;
                    request.overlaps(Span::new(from_ms, to_ms))
                }
                Deed::Hangup if is_own => {
                    request.from_ms <= from_ms + CONFIG_APPLY_MS && request.to_ms >= from_ms
                }
                Deed::Configure => {
                    let margin_ms = CONFIG_APPLY_MS + PLANNED_MARGIN_MS;
                    let to_ms = entry.span.to_ms.saturating_add(margin_ms);
                    request.overlaps(Span::new(from_ms, to_ms))
                }
                _ => false,
            }
        };
        self.entries.iter().any(covers)
    }

    /// Returns the times of the signals to stop that an instance was sent.
    pub fn stops(&self, instance: usize) -> impl Iterator<Item = u64> {
        let stops = move |entry: &&Entry| {
            entry.part == Part::Instance(instance) && entry.deed == Deed::Stop
        };
        self.entries
            .iter()
            .filter(stops)
            .map(|entry| entry.span.from_ms)
    }

    fn any(&self, span: Span, is_meant: impl Fn(&Entry) -> bool) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.span.overlaps(span) && is_meant(entry))
    }
}

impl Entry {
    /// Returns whether the entry is about an instance, the store or all of the machine.
    fn concerns(&self, instance: usize) -> bool {
        match self.part {
            Part::Instance(other) => other == instance,
            Part::Store | Part::Machine => true,
            Part::Server(_) => false,
        }
    }

    fn is_disruption(&self) -> bool {
        match self.deed {
            Deed::Disrupt(_) => true,
            Deed::Stall => self.span.to_ms - self.span.from_ms >= LONG_STALL_MS,
            _ => false,
        }
    }
}
