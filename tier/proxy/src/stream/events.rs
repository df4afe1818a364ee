//! Cuts a `text/event-stream` into whole events, however its bytes arrive.

use bytes::{Bytes, BytesMut};

/// The largest event, in bytes; a stream with a larger one is broken off.
pub const MOST_EVENT_BYTES: usize = 64 * 1024;

/// An event of more than [`MOST_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of more than {MOST_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the blank line behind it included.
    pub bytes: Bytes,
    /// Its `id`, if it has one that is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Appends its data with one line feed behind; several `data` lines are joined by line feeds. An event
    /// without data adds nothing.
    pub fn append_data(&self, output: &mut Vec<u8>) {
        for data in lines(&self.bytes).filter_map(|line| field(line, b"data")) {
            output.extend_from_slice(data);
            output.push(b'\n');
        }
    }
}

/// Holds the bytes of the event that is not yet whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// The start of the last line that is not yet whole.
    line_start: usize,
}

impl EventSplitter {
    /// Takes bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole event, if it is there.
    ///
    /// # Errors
    /// If the event has grown too long.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        while let Some(offset) = self.held[self.line_start..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.line_start + offset;
            let line = &self.held[self.line_start..line_end];
            let blank = line.is_empty() || line == b"\r";
            self.line_start = line_end + 1;
            if blank {
                return Ok(Some(self.take_event()));
            }
        }
        if self.held.len() > MOST_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// What is left of an event that is not whole.
    pub fn into_rest(self) -> Bytes {
        self.held.freeze()
    }

    fn take_event(&mut self) -> Event {
        let bytes = self.held.split_to(self.line_start).freeze();
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
