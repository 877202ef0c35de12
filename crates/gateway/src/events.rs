//! Splits the body of a streamed answer into whole events.
//!
//! Only whole events are passed on, so that another upstream can go on after
//! the last one when a stream breaks in the middle of an event.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered, bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id.
    pub id: u64,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Why bytes are not a stream of events that goes on where it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than the buffer.
    TooLong,
    /// An event has no id that is a number.
    NoId,
    /// An event does not follow the one before.
    OutOfOrder {
        /// Id of the event before.
        previous: u64,
        /// Id that came.
        id: u64,
    },
}

/// Buffers bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter of a stream that begins anywhere.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Expects the stream to go on after this event.
    #[must_use]
    pub fn with_last_id(mut self, last_id: Option<u64>) -> Self {
        self.last_id = last_id;
        self
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether bytes of an unfinished event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Appends bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream cannot be trusted any further.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = event_end(&self.buffer) else {
            if self.buffer.len() > EVENT_MAX_BYTES {
                return Err(EventError::TooLong);
            }
            return Ok(None);
        };
        // An event that is wrong stays in the buffer, so the error stays too.
        let id = event_id(&self.buffer[..end]).ok_or(EventError::NoId)?;
        if let Some(previous) = self.last_id
            && previous.checked_add(1) != Some(id)
        {
            return Err(EventError::OutOfOrder { previous, id });
        }
        self.last_id = Some(id);
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id, bytes }))
    }
}

impl Event {
    /// Text of its data lines, joined by line feeds.
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

fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
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
