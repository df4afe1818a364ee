//! Splits a `text/event-stream` into complete events, regardless of how its bytes arrive (WHATWG
//! HTML, section 9.2, "Server-sent events"; lines end with a line feed, with or without a carriage
//! return).

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes; a stream with a larger event is aborted.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An event of more than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// The `id` of the event, if it is present and a number.
    pub id: Option<u64>,
}

impl Event {
    /// Appends the event's data, followed by one line feed; several `data` lines are joined by line
    /// feeds. An event without data adds nothing.
    pub fn append_data(&self, output: &mut Vec<u8>) {
        for data in lines(&self.bytes).filter_map(|line| field(line, b"data")) {
            output.extend_from_slice(data);
            output.push(b'\n');
        }
    }
}

/// Buffers the bytes of the event that is not yet complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Offset of the line that is not yet complete.
    line_start: usize,
}

impl EventSplitter {
    /// Appends bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// [`EventTooLong`] if the event has grown too long.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        while let Some(offset) = self.next_line_feed() {
            let line_end = self.line_start + offset;
            let line = &self.buffer[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            self.line_start = line_end + 1;
            if is_blank {
                return Ok(Some(self.take_event()));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Returns the bytes of the event that is not complete.
    pub fn into_remainder(self) -> Bytes {
        self.buffer.freeze()
    }

    /// The offset of the next line feed, from the start of the line.
    fn next_line_feed(&self) -> Option<usize> {
        self.buffer[self.line_start..]
            .iter()
            .position(|byte| *byte == b'\n')
    }

    fn take_event(&mut self) -> Event {
        let bytes = self.buffer.split_to(self.line_start).freeze();
        self.line_start = 0;
        let id = lines(&bytes)
            .filter_map(|line| field(line, b"id"))
            .last()
            .and_then(number);
        Event { bytes, id }
    }
}

fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// The value of a line `name: value`.
fn field<'line>(line: &'line [u8], name: &[u8]) -> Option<&'line [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
