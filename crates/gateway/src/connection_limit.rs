//! Limits the connections of callers, by their number and by the memory that they take up.
//!
//! Each connection takes a descriptor and buffers, whether or not it sends anything. Before the
//! limit is reached, one is closed for each that opens: first one without a request, then one
//! whose answer has been written and whose body is discarded, then one whose body has stopped
//! coming, the longest unchanged first. A connection whose request may have run is never closed.
//! If all others have just changed, a new one waits. If all are in use, it is refused, so that its
//! caller can go to another instance.

/// Size of the system's receive buffer of a connection, bytes.
pub const RECEIVE_BUFFER_BYTES: u32 = 32 * 1_024;
/// Memory that a connection takes up, for its task and the buffers of the HTTP library, bytes.
const CONNECTION_BYTES: u64 = 16 * 1_024;
/// Memory that a connection takes up besides while a body comes, bytes.
const RECEIVING_BYTES: u64 = RECEIVE_BUFFER_BYTES as u64 + CONNECTION_BYTES;
/// Connections are closed once less than the limit divided by this number is left. New ones use
/// what is left while those are being closed.
const SPARE_DIVISOR: usize = 8;
/// Time without a change after which a connection may be closed, milliseconds.
const UNCHANGED_MIN_MS: u64 = 100;
/// Time that a connection which gives way is expected to take, milliseconds.
const CLOSING_MS: u64 = 10;

/// Identifies a connection of a [`ConnectionLimit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// What a connection is used for, in the order in which connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// No whole head of a request has come since the last answer was written.
    Idle,
    /// The answer has been written, and the rest of the request's body is discarded.
    DiscardingBody,
    /// The body of a request is being read, so the request has certainly not run.
    ReadingBody,
    /// A request may be running, or its answer is being written.
    Serving,
}

/// Whether a connection may open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is open.
    Admitted(ConnectionId),
    /// It may be admitted at this time, when another one may give way.
    Later {
        /// Time of the caller's clock, milliseconds.
        retry_at_ms: u64,
    },
    /// All connections are in use.
    Refused,
}

/// A connection that has to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionEviction {
    /// The connection.
    pub id: ConnectionId,
    /// What it is used for. If a body is being read, its request can still be refused.
    pub activity: Activity,
}

/// The open connections of callers. Sizes are bytes, times milliseconds.
#[derive(Debug)]
pub struct ConnectionLimit {
    max_count: usize,
    max_bytes: u64,
    used_bytes: u64,
    /// Sorted by id.
    connections: Vec<ConnectionRow>,
    next_id: u64,
}

#[derive(Debug)]
struct ConnectionRow {
    id: ConnectionId,
    activity: Activity,
    /// When the activity began, or when the last bytes of a body came.
    changed_ms: u64,
    is_evicted: bool,
}

impl ConnectionLimit {
    /// Creates a limit of `max_count` connections that take up `max_bytes`.
    #[must_use]
    pub fn new(max_count: usize, max_bytes: u64) -> Self {
        Self {
            max_count,
            max_bytes,
            used_bytes: 0,
            connections: Vec::new(),
            next_id: 0,
        }
    }

    /// Replaces the limit. Connections beyond it stay open until new ones come.
    pub fn set_max(&mut self, max_count: usize, max_bytes: u64) {
        self.max_count = max_count;
        self.max_bytes = max_bytes;
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the maximum number of connections.
    #[must_use]
    pub fn max_count(&self) -> usize {
        self.max_count
    }

    /// Adds a connection, which is idle. The caller calls [`ConnectionLimit::evict`] before.
    pub fn admit(&mut self, now_ms: u64) -> Admission {
        let has_room = self.used_bytes + CONNECTION_BYTES <= self.max_bytes;
        if self.connections.len() >= self.max_count || !has_room {
            let rows = self.connections.iter();
            let next = rows.filter_map(|row| row.may_be_gone_at_ms(now_ms)).min();
            return next.map_or(Admission::Refused, |retry_at_ms| Admission::Later {
                retry_at_ms,
            });
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.used_bytes += CONNECTION_BYTES;
        self.connections.push(ConnectionRow {
            id,
            activity: Activity::Idle,
            changed_ms: now_ms,
            is_evicted: false,
        });
        Admission::Admitted(id)
    }

    /// Returns whether there is memory for one more body that comes.
    #[must_use]
    pub fn has_room_for_body(&self) -> bool {
        self.used_bytes + RECEIVING_BYTES <= self.max_bytes
    }

    /// Records what a connection is used for from now on. If it was to give way because of its
    /// last activity, it need not any more.
    pub fn set_activity(&mut self, id: ConnectionId, activity: Activity, now_ms: u64) {
        let Some(index) = self.find(id) else { return };
        let row = &mut self.connections[index];
        self.used_bytes -= row.activity.memory_bytes();
        self.used_bytes += activity.memory_bytes();
        row.activity = activity;
        row.changed_ms = now_ms;
        row.is_evicted = false;
    }

    /// Records that bytes of a body have come.
    pub fn record_progress(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some(index) = self.find(id) {
            self.connections[index].changed_ms = now_ms;
        }
    }

    /// Records that a connection was closed.
    pub fn end(&mut self, id: ConnectionId) {
        if let Some(index) = self.find(id) {
            let row = self.connections.remove(index);
            self.used_bytes -= row.activity.memory_bytes();
        }
    }

    /// Returns the connections that have to give way to one that opens or is about to read a
    /// body. Contains none that it has returned before for the same activity.
    pub fn evict(&mut self, now_ms: u64) -> Vec<ConnectionEviction> {
        let mut excess = self.excess();
        let mut evicted = Vec::new();
        if !excess.is_any() {
            return evicted;
        }
        for index in self.candidates(now_ms) {
            if !excess.is_any() {
                break;
            }
            let row = &mut self.connections[index];
            row.is_evicted = true;
            excess.count = excess.count.saturating_sub(1);
            excess.bytes = excess.bytes.saturating_sub(row.activity.memory_bytes());
            evicted.push(ConnectionEviction {
                id: row.id,
                activity: row.activity,
            });
        }
        evicted
    }

    /// Returns how much the connections that stay take up of what new ones are to find free.
    fn excess(&self) -> Excess {
        let spare_count = self.max_count / SPARE_DIVISOR;
        let spare_bytes = self.max_bytes / SPARE_DIVISOR as u64;
        // Room for the new connection or body is part of it.
        let count_goal = (self.max_count - spare_count).saturating_sub(1);
        let bytes_goal = (self.max_bytes - spare_bytes).saturating_sub(RECEIVING_BYTES);
        if self.connections.len() <= count_goal && self.used_bytes <= bytes_goal {
            return Excess::default();
        }
        let staying = || self.connections.iter().filter(|row| !row.is_evicted);
        let staying_bytes: u64 = staying().map(|row| row.activity.memory_bytes()).sum();
        Excess {
            count: staying().count().saturating_sub(count_goal),
            bytes: staying_bytes.saturating_sub(bytes_goal),
        }
    }

    /// Returns the indices of the connections that may be closed, in this order.
    fn candidates(&self, now_ms: u64) -> Vec<usize> {
        let mut candidates: Vec<_> = (0..self.connections.len())
            .filter(|index| self.connections[*index].may_be_closed(now_ms))
            .collect();
        candidates.sort_unstable_by_key(|index| {
            let row = &self.connections[*index];
            (row.activity, row.changed_ms, row.id)
        });
        candidates
    }

    fn find(&self, id: ConnectionId) -> Option<usize> {
        self.connections
            .binary_search_by_key(&id, |row| row.id)
            .ok()
    }
}

/// What has to be freed.
#[derive(Debug, Default)]
struct Excess {
    count: usize,
    bytes: u64,
}

impl Excess {
    fn is_any(&self) -> bool {
        self.count > 0 || self.bytes > 0
    }
}

impl Activity {
    /// Returns the name of the activity in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::DiscardingBody => "discarding_body",
            Self::ReadingBody => "reading_body",
            Self::Serving => "serving",
        }
    }

    fn memory_bytes(self) -> u64 {
        match self {
            Self::Idle | Self::Serving => CONNECTION_BYTES,
            Self::DiscardingBody | Self::ReadingBody => CONNECTION_BYTES + RECEIVING_BYTES,
        }
    }
}

impl ConnectionRow {
    /// Returns when the connection may be closed at the earliest, if nothing changes.
    fn may_be_gone_at_ms(&self, now_ms: u64) -> Option<u64> {
        match self.activity {
            _ if self.is_evicted => Some(now_ms + CLOSING_MS),
            Activity::Serving => None,
            Activity::Idle | Activity::DiscardingBody | Activity::ReadingBody => {
                Some((self.changed_ms + UNCHANGED_MIN_MS).max(now_ms + 1))
            }
        }
    }

    fn may_be_closed(&self, now_ms: u64) -> bool {
        let unchanged_ms = now_ms.saturating_sub(self.changed_ms);
        self.activity != Activity::Serving && !self.is_evicted && unchanged_ms >= UNCHANGED_MIN_MS
    }
}
