//! The head of a response.

use crate::fields::{split_head, Version};
use crate::{Body, Fields, Malformed};

/// How every first line of a response begins, up to the version's number.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// The length of a first line up to its status.
const STATUS_END: usize = "HTTP/1.1 200".len();

/// Stands for the value of a field that can't be read. No length, coding or number reads so.
const UNREADABLE: &str = "?";

/// The head of a response.
#[derive(Debug)]
pub struct ResponseHead<'a> {
    /// From 100.
    pub status: u16,
    /// Its fields.
    pub fields: Fields<'a>,
    /// How long the body is.
    pub body: Body,
    /// Whether the other side closes the connection behind the body.
    pub closes: bool,
}

impl<'a> ResponseHead<'a> {
    /// Reads a whole head, its empty line included. A value that can't be read spoils only what needs it.
    ///
    /// # Errors
    /// The head is not HTTP/1.x, or its first line was broken off by another.
    pub fn read(head: &'a [u8]) -> Result<Self, Malformed> {
        let (line, fields) = split_head(head, Some(UNREADABLE))?;
        let status = read_status(line)?;
        check_whole(line.as_bytes())?;
        let version = Version::read(line.split(' ').next().unwrap_or_default())?;
        let body = match status {
            // These have none (RFC 9110, section 6.4.1).
            100..=199 | 204 | 304 => Body::Length(0),
            _ => fields.framing(version)?.unwrap_or(Body::UntilClose),
        };
        let closes = fields.closes(version) || body == Body::UntilClose;
        Ok(ResponseHead {
            status,
            fields,
            body,
            closes,
        })
    }

    /// The status, once the first line is there, whatever is behind the number or follows the line. A line in which
    /// another begins has none: its first half was no answer to this request, and the second can't be told.
    pub fn status_in(bytes: &[u8]) -> Option<u16> {
        let end = bytes.iter().position(|byte| *byte == b'\n')?;
        let line = &bytes[..end];
        check_whole(line).ok()?;
        let (start, rest) = line.split_at_checked(STATUS_END)?;
        if !matches!(rest.first(), None | Some(b' ' | b'\r')) {
            return None;
        }
        read_status(std::str::from_utf8(start).ok()?).ok()
    }
}

/// No first line begins behind the beginning of another, which was broken off.
fn check_whole(line: &[u8]) -> Result<(), Malformed> {
    let mut words = line.windows(VERSION_PREFIX.len()).skip(1);
    if words.any(|word| word == VERSION_PREFIX) {
        return Err(Malformed("a first line within another"));
    }
    Ok(())
}

fn read_status(line: &str) -> Result<u16, Malformed> {
    const NOT_A_NUMBER: Malformed = Malformed("the status is not a number");
    let mut words = line.splitn(3, ' ');
    Version::read(words.next().unwrap_or_default())?;
    let digits = words.next().unwrap_or_default();
    if digits.len() != 3 || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(NOT_A_NUMBER);
    }
    match digits.parse() {
        Ok(status) if status >= 100 => Ok(status),
        _ => Err(NOT_A_NUMBER),
    }
}
