//! Incremental parser of server-sent events.

/// Maximum size of the buffered bytes, and thereby of one event.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Extracts the data fields of events from a byte stream.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: Vec<u8>,
    /// Length of the prefix of `buffer` that is already parsed.
    parsed_bytes: usize,
}

impl EventParser {
    /// Appends received bytes. Returns false if the buffer, and thereby an event,
    /// exceeds [`EVENT_MAX_BYTES`].
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.drain(..self.parsed_bytes);
        self.parsed_bytes = 0;
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_MAX_BYTES
    }

    /// Returns the value of the next complete `data: …` line, or `None` if more
    /// bytes are needed. Engines write one such line per event.
    pub(crate) fn next_data(&mut self) -> Option<String> {
        loop {
            let unparsed = &self.buffer[self.parsed_bytes..];
            let line_bytes = unparsed.iter().position(|byte| *byte == b'\n')?;
            let line = String::from_utf8_lossy(&unparsed[..line_bytes]).into_owned();
            self.parsed_bytes += line_bytes + 1;
            if let Some(data) = line.trim_end_matches('\r').strip_prefix("data:") {
                return Some(data.trim_start().to_owned());
            }
        }
    }
}
