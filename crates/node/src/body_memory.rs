//! Reads the bodies of requests into memory that is limited for the whole process.
//!
//! A body is copied out of the buffers of its connection as it arrives: a small piece would
//! keep a whole buffer, and many pieces cost more than their bytes. Its room is returned when the
//! last holder of the body drops it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use gateway::{BodyBudget, BodyId, Room};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use crate::clock::Clock;

/// The memory for bodies is that of the process divided by this number.
const MEMORY_DIVISOR: u64 = 4;
/// Minimum size of the buffer of a body, bytes.
const BUFFER_MIN_BYTES: usize = 4 * 1_024;
/// Number of bytes of an unwanted body after which the next ones are read later.
const DISCARD_STEP_BYTES: usize = 64 * 1_024;
/// Pause between two such steps.
const DISCARD_PAUSE: Duration = Duration::from_millis(10);
/// Time for which an unwanted body is read.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Memory for the bodies of requests. Handles share it.
#[derive(Debug, Clone)]
pub(crate) struct BodyMemory {
    shared: Arc<Shared>,
    clock: Clock,
}

/// What the handles and the bodies share. Bodies must be `Send`, so it has a lock.
#[derive(Debug)]
struct Shared {
    readers: Mutex<Readers>,
    /// Notified when a body has been dropped.
    room_freed: Notify,
}

#[derive(Debug)]
struct Readers {
    budget: BodyBudget,
    /// What is notified when a body is evicted, sorted by id.
    evictions: Vec<(BodyId, Arc<Notify>)>,
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// It exceeds the limit.
    #[error("the body is too long")]
    TooLong,
    /// There is no memory for it.
    #[error("there is no memory for the body")]
    NoRoom,
    /// It had to make room for others.
    #[error("the body was evicted")]
    Evicted,
    /// It did not arrive before its deadline.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// Its connection failed.
    #[error("the body cannot be read")]
    Broken,
}

/// Bytes of one body and its place in the budget, which it leaves when it is dropped.
#[derive(Debug)]
struct BodyBuffer {
    shared: Arc<Shared>,
    id: BodyId,
    /// Notified when the body is evicted.
    eviction: Arc<Notify>,
    bytes: Vec<u8>,
}

impl BodyMemory {
    /// Creates the memory for bodies of a process that may take up `process_max_bytes`.
    pub(crate) fn new(process_max_bytes: u64, clock: Clock) -> Self {
        let readers = Readers {
            budget: BodyBudget::new(process_max_bytes / MEMORY_DIVISOR),
            evictions: Vec::new(),
        };
        Self {
            shared: Arc::new(Shared {
                readers: Mutex::new(readers),
                room_freed: Notify::new(),
            }),
            clock,
        }
    }

    /// Applies a new limit of the memory of the process.
    pub(crate) fn set_process_max_bytes(&self, process_max_bytes: u64) {
        let mut readers = self.shared.readers();
        readers
            .budget
            .set_max_bytes(process_max_bytes / MEMORY_DIVISOR);
    }

    /// Returns how many bytes the bodies take up.
    pub(crate) fn used_bytes(&self) -> u64 {
        self.shared.readers().budget.used_bytes()
    }

    /// Reads a body of at most `max_bytes` to its end, before `deadline_ms` on the node's clock.
    /// Its uses are expected to take `copies` times its size.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, does not arrive, or gets or keeps no room.
    pub(crate) async fn read<B>(
        &self,
        body: &mut B,
        max_bytes: u64,
        copies: usize,
        deadline_ms: u64,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        check_announced(body, max_bytes)?;
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let announced_bytes = body.size_hint().upper().unwrap_or(u64::MAX);
        let max_bytes = announced_bytes.min(max_bytes);
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let buffer = BodyBuffer::new(self);
        let read = buffer.read(body, max_bytes, copies, self.clock);
        timeout_at(self.clock.instant(deadline_ms), read)
            .await
            .unwrap_or(Err(BodyError::TimedOut))
    }
}

/// Checks the announced length of a body, if it has one.
///
/// # Errors
///
/// Returns an error if it exceeds `max_bytes`.
pub(crate) fn check_announced<B: Body>(body: &B, max_bytes: u64) -> Result<(), BodyError> {
    if body.size_hint().lower() > max_bytes {
        return Err(BodyError::TooLong);
    }
    Ok(())
}

impl Shared {
    fn readers(&self) -> MutexGuard<'_, Readers> {
        // The table is consistent after each of its methods.
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Readers {
    fn reserve(&mut self, id: BodyId, size_bytes: usize, now_ms: u64) -> Room {
        let room = self.budget.reserve(id, size_bytes as u64, now_ms);
        if let Room::AfterEviction(evicted) = &room {
            for id in evicted {
                self.notify_evicted(*id);
            }
        }
        room
    }

    fn notify_evicted(&self, id: BodyId) {
        if let Ok(index) = self.find(id) {
            self.evictions[index].1.notify_one();
        }
    }

    fn find(&self, id: BodyId) -> Result<usize, usize> {
        self.evictions.binary_search_by_key(&id, |(id, _)| *id)
    }
}

impl BodyBuffer {
    fn new(memory: &BodyMemory) -> Self {
        let eviction = Arc::new(Notify::new());
        let mut readers = memory.shared.readers();
        let id = readers.budget.begin(memory.clock.now_ms());
        // Ids only grow, so the list stays sorted.
        readers.evictions.push((id, Arc::clone(&eviction)));
        drop(readers);
        Self {
            shared: Arc::clone(&memory.shared),
            id,
            eviction,
            bytes: Vec::new(),
        }
    }

    async fn read<B>(
        mut self,
        body: &mut B,
        max_bytes: usize,
        copies: usize,
        clock: Clock,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let eviction = Arc::clone(&self.eviction);
        loop {
            let frame = tokio::select! {
                biased;
                () = eviction.notified() => return Err(BodyError::Evicted),
                frame = body.frame() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.append(&data, max_bytes, clock).await?;
                }
                Some(Err(_)) => return Err(BodyError::Broken),
                None => break,
            }
        }
        if copies > 1 {
            let size_bytes = self.bytes.len().saturating_mul(copies);
            self.reserve(size_bytes, clock).await?;
        }
        let is_kept = self.shared.readers().budget.complete(self.id);
        if is_kept {
            Ok(Bytes::from_owner(self))
        } else {
            Err(BodyError::Evicted)
        }
    }

    async fn append(
        &mut self,
        data: &[u8],
        max_bytes: usize,
        clock: Clock,
    ) -> Result<(), BodyError> {
        let size_bytes = self.bytes.len() + data.len();
        if size_bytes > max_bytes {
            return Err(BodyError::TooLong);
        }
        self.shared
            .readers()
            .budget
            .record_progress(self.id, clock.now_ms());
        if size_bytes > self.bytes.capacity() {
            let doubled_bytes = size_bytes.next_power_of_two().max(BUFFER_MIN_BYTES);
            let capacity_bytes = doubled_bytes.min(max_bytes);
            self.reserve(capacity_bytes, clock).await?;
            self.bytes.reserve_exact(capacity_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Waits for room for `size_bytes`.
    async fn reserve(&self, size_bytes: usize, clock: Clock) -> Result<(), BodyError> {
        loop {
            let room_freed = self.shared.room_freed.notified();
            let room = self
                .shared
                .readers()
                .reserve(self.id, size_bytes, clock.now_ms());
            match room {
                Room::Granted => return Ok(()),
                Room::Refused => return Err(BodyError::NoRoom),
                Room::AfterEviction(_) => {}
            }
            tokio::select! {
                biased;
                () = self.eviction.notified() => return Err(BodyError::Evicted),
                () = room_freed => {}
            }
        }
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        let mut readers = self.shared.readers();
        readers.budget.end(self.id);
        if let Ok(index) = readers.find(self.id) {
            readers.evictions.remove(index);
        }
        drop(readers);
        self.shared.room_freed.notify_waiters();
    }
}

/// Reads the rest of a body that nobody needs, for a while and slowly. If the connection were
/// closed while its caller still sends, the answer might not reach the caller.
pub(crate) async fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let deadline = Instant::now() + DISCARD_TIME;
    let mut step_bytes = 0;
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        step_bytes += frame.data_ref().map_or(0, Bytes::len);
        if step_bytes >= DISCARD_STEP_BYTES {
            step_bytes = 0;
            sleep(DISCARD_PAUSE).await;
        }
    }
}
