//! Parser of server-sent events, fed with bytes as they arrive.

/// Longest event that is buffered.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Splits a byte stream into the data fields of events.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: Vec<u8>,
    read_bytes: usize,
}

impl EventParser {
    /// Appends bytes. Returns false if an event exceeds the limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.drain(..self.read_bytes);
        self.read_bytes = 0;
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_MAX_BYTES
    }

    /// Takes the data of the next whole line `data: …`. Engines write one
    /// such line per event.
    pub(crate) fn take(&mut self) -> Option<String> {
        loop {
            let rest = &self.buffer[self.read_bytes..];
            let line_bytes = rest.iter().position(|byte| *byte == b'\n')?;
            let line = String::from_utf8_lossy(&rest[..line_bytes]).into_owned();
            self.read_bytes += line_bytes + 1;
            if let Some(data) = line.trim_end_matches('\r').strip_prefix("data:") {
                return Some(data.trim_start().to_owned());
            }
        }
    }
}
