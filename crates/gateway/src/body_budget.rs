//! Divides the memory for the bodies of callers' requests among these bodies.
//!
//! A body takes room as its bytes arrive, not when its length is announced: idle connections
//! would hold all room otherwise. If no room is left, a body that is still being read is evicted:
//! the one that has occupied the most for the longest since its last bytes came. That is a body
//! whose caller stopped just short of its end, not one that goes on or is small, and never one
//! whose request may have run.

/// Room that a body takes up besides its bytes, for its connection and its request, bytes.
const OVERHEAD_BYTES: u64 = 8 * 1_024;
/// Maximum size of a body that may use the reserve, bytes.
const SMALL_BODY_MAX_BYTES: u64 = 64 * 1_024;
/// The reserve for small bodies is the budget divided by this number.
const RESERVE_DIVISOR: u64 = 4;

/// Identifies a body of a [`BodyBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

/// Whether a body gets the room that it needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Room {
    /// The body has the room.
    Granted,
    /// It can have it as soon as all evicted bodies have been dropped. Contains those that are
    /// evicted now.
    AfterEviction(Vec<BodyId>),
    /// There is no room: the request must be refused.
    Refused,
}

/// The memory for bodies and who occupies it. Sizes are bytes, times milliseconds.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: u64,
    used_bytes: u64,
    /// Part of `used_bytes` that evicted bodies still occupy.
    evicted_bytes: u64,
    /// Sorted by id.
    bodies: Vec<BodyRow>,
    next_id: u64,
}

#[derive(Debug)]
struct BodyRow {
    id: BodyId,
    room_bytes: u64,
    began_ms: u64,
    /// When the last bytes came.
    progressed_ms: u64,
    state: BodyState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// Being read, so its request has certainly not run.
    Reading,
    /// Has to be dropped to make room.
    Evicted,
    /// Read to its end and in use.
    Complete,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            evicted_bytes: 0,
            bodies: Vec::new(),
            next_id: 0,
        }
    }

    /// Replaces the size of the budget. Bodies that occupy more than that keep their room.
    pub fn set_max_bytes(&mut self, max_bytes: u64) {
        self.max_bytes = max_bytes;
    }

    /// Returns how much the bodies occupy.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Adds a body that is about to be read. It has no room yet.
    pub fn begin(&mut self, now_ms: u64) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        self.bodies.push(BodyRow {
            id,
            room_bytes: 0,
            began_ms: now_ms,
            progressed_ms: now_ms,
            state: BodyState::Reading,
        });
        id
    }

    /// Records that bytes of a body have come.
    pub fn record_progress(&mut self, id: BodyId, now_ms: u64) {
        if let Some(index) = self.find(id) {
            self.bodies[index].progressed_ms = now_ms;
        }
    }

    /// Asks for room for `size_bytes` of a body, all of its bytes. While the answer is
    /// [`Room::AfterEviction`], the caller asks again after each [`BodyBudget::end`].
    pub fn reserve(&mut self, id: BodyId, size_bytes: u64, now_ms: u64) -> Room {
        let Some(index) = self.find(id) else {
            return Room::Refused;
        };
        let room_bytes = size_bytes + OVERHEAD_BYTES;
        let held_bytes = self.bodies[index].room_bytes;
        let added_bytes = room_bytes.saturating_sub(held_bytes);
        if self.bodies[index].state == BodyState::Evicted {
            return Room::Refused;
        }
        let max_bytes = self.max_bytes_for(size_bytes);
        if self.used_bytes + added_bytes <= max_bytes {
            self.used_bytes += added_bytes;
            self.bodies[index].room_bytes = held_bytes.max(room_bytes);
            return Room::Granted;
        }
        let staying_bytes = self.used_bytes - self.evicted_bytes;
        let excess_bytes = (staying_bytes + added_bytes).saturating_sub(max_bytes);
        match self.evict(index, excess_bytes, now_ms) {
            Some(evicted) => Room::AfterEviction(evicted),
            None => Room::Refused,
        }
    }

    /// Records that a body has been read to its end. It keeps its room then until it is dropped.
    /// Returns false if it was evicted before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let Some(index) = self.find(id) else {
            return false;
        };
        let row = &mut self.bodies[index];
        if row.state == BodyState::Reading {
            row.state = BodyState::Complete;
        }
        row.state == BodyState::Complete
    }

    /// Records that a body was dropped, so that its room is free.
    pub fn end(&mut self, id: BodyId) {
        let Some(index) = self.find(id) else { return };
        let row = self.bodies.remove(index);
        self.used_bytes -= row.room_bytes;
        if row.state == BodyState::Evicted {
            self.evicted_bytes -= row.room_bytes;
        }
    }

    /// Returns how much all bodies together may occupy for a body of this size to get room. One
    /// that needs nearly the whole budget may have it beside small ones, and a larger one alone.
    fn max_bytes_for(&self, size_bytes: u64) -> u64 {
        if size_bytes <= SMALL_BODY_MAX_BYTES {
            return self.max_bytes;
        }
        let reserve_bytes = self.max_bytes / RESERVE_DIVISOR;
        let shared_bytes = self.max_bytes - reserve_bytes;
        let room_bytes = size_bytes + OVERHEAD_BYTES;
        let beside_small_bytes = (room_bytes + reserve_bytes).min(self.max_bytes);
        shared_bytes.max(beside_small_bytes).max(room_bytes)
    }

    /// Evicts bodies until `excess_bytes` are to be freed, and returns them. Returns `None` if
    /// there are too few that occupy more than the one that asks does.
    fn evict(&mut self, asking: usize, excess_bytes: u64, now_ms: u64) -> Option<Vec<BodyId>> {
        let asking_occupancy = self.bodies[asking].occupancy(now_ms);
        let mut candidates: Vec<_> = (0..self.bodies.len())
            .filter(|index| *index != asking)
            .filter(|index| self.bodies[*index].state == BodyState::Reading)
            .map(|index| (self.bodies[index].occupancy(now_ms), index))
            .filter(|(occupancy, _)| *occupancy > asking_occupancy)
            .collect();
        candidates.sort_unstable();
        let mut freed_bytes = 0;
        let mut evicted = Vec::new();
        while freed_bytes < excess_bytes {
            let (_, index) = candidates.pop()?;
            freed_bytes += self.bodies[index].room_bytes;
            evicted.push(index);
        }
        self.evicted_bytes += freed_bytes;
        let ids = evicted.into_iter().map(|index| {
            self.bodies[index].state = BodyState::Evicted;
            self.bodies[index].id
        });
        Some(ids.collect())
    }

    fn find(&self, id: BodyId) -> Option<usize> {
        self.bodies.binary_search_by_key(&id, |row| row.id).ok()
    }
}

impl BodyRow {
    /// Returns how much memory the body has occupied for how long since its last bytes came, in
    /// byte-milliseconds, and how old it is, which decides between equals.
    fn occupancy(&self, now_ms: u64) -> (u64, u64) {
        let idle_ms = now_ms.saturating_sub(self.progressed_ms) + 1;
        let age_ms = now_ms.saturating_sub(self.began_ms);
        (self.room_bytes.saturating_mul(idle_ms), age_ms)
    }
}
