//! Splits the body of a streamed answer into complete server-sent events.
//!
//! Only complete events are passed on, so that another upstream can resume the
//! stream after the last one if the stream breaks off in the middle of an
//! event.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes that are buffered without a complete event.
const EVENT_MAX_BYTES: usize = 256 * 1_024;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field.
    pub id: u64,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Why the bytes are not a valid continuation of the stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// The buffer exceeds the maximum length of an event and holds no complete
    /// event.
    TooLong,
    /// An event has no numeric id.
    NoId,
    /// The id of an event is not the successor of the previous id.
    OutOfOrder {
        /// Id of the previous event.
        previous: u64,
        /// Id of the received event.
        id: u64,
    },
}

/// Buffers the bytes of a stream and splits them into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes of the buffer that were searched for the end of an event.
    searched_bytes: usize,
    /// Where the first line begins that does not end within those bytes.
    line_start: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that accepts any id for the first event.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires the first event to follow the event `last_id`. `None` accepts
    /// any id.
    #[must_use]
    pub fn with_last_id(mut self, last_id: Option<u64>) -> Self {
        self.last_id = last_id;
        self
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Appends received bytes. They may end anywhere in an event.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it, or
    /// `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too long, has no numeric id or is out of
    /// order. The rest of the stream cannot be used then.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.find_event_end() else {
            if self.buffer.len() > EVENT_MAX_BYTES {
                return Err(EventError::TooLong);
            }
            return Ok(None);
        };
        // An invalid event stays in the buffer, so that later calls return the
        // same error.
        let id = event_id(&self.buffer[..end]).ok_or(EventError::NoId)?;
        if let Some(previous) = self.last_id
            && previous.checked_add(1) != Some(id)
        {
            return Err(EventError::OutOfOrder { previous, id });
        }
        self.last_id = Some(id);
        self.searched_bytes = 0;
        self.line_start = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id, bytes }))
    }

    /// Returns where the first event of the buffer ends, after its blank line. Bytes that
    /// were searched before are not searched again.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.searched_bytes) {
            if *byte == b'\n' {
                let line = &self.buffer[self.line_start..self.searched_bytes];
                if line.is_empty() || line == b"\r" {
                    return Some(self.searched_bytes + 1);
                }
                self.line_start = self.searched_bytes + 1;
            }
            self.searched_bytes += 1;
        }
        None
    }
}

impl Event {
    /// Returns the values of the `data` lines, joined by line feeds.
    #[must_use]
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines: Vec<_> = text
            .lines()
            .filter_map(|line| field(line, "data"))
            .collect();
        lines.join("\n")
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let id = text.lines().find_map(|line| field(line, "id"))?;
    id.trim().parse().ok()
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
