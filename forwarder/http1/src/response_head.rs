//! The head of a response.

use crate::fields::{split_head, Version};
use crate::{Body, Fields, Malformed};

/// The beginning of every status line, up to the minor version.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// The length of a status line up to the end of its status.
const STATUS_END: usize = "HTTP/1.1 200".len();

/// Replaces a field value that can't be read. It is not a valid length, transfer coding or number.
const UNREADABLE: &str = "?";

/// The head of a response.
#[derive(Debug)]
pub struct ResponseHead<'a> {
    /// The status, at least 100.
    pub status: u16,
    /// The header fields.
    pub fields: Fields<'a>,
    /// The length of the body.
    pub body: Body,
    /// Whether the connection is to be closed after the body.
    pub closes: bool,
}

impl<'a> ResponseHead<'a> {
    /// Parses a complete head, including its empty line. A field value that can't be read affects only what
    /// depends on the value.
    ///
    /// # Errors
    /// The head is not HTTP/1.x, or its status line is interrupted by another one.
    pub fn read(head: &'a [u8]) -> Result<Self, Malformed> {
        let (line, fields) = split_head(head, Some(UNREADABLE))?;
        let status = read_status(line)?;
        check_not_interrupted(line.as_bytes())?;
        let version = Version::read(line.split(' ').next().unwrap_or_default())?;
        let body = match status {
            // Responses with these statuses have no body (RFC 9110, section 6.4.1).
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

    /// The status, once the first line is complete, whatever follows the number or the line. A line in which another
    /// status line begins has no status: its first half is not the response to this request, and the status in its
    /// second half can't be determined.
    pub fn status_in(bytes: &[u8]) -> Option<u16> {
        let end = bytes.iter().position(|byte| *byte == b'\n')?;
        let line = &bytes[..end];
        check_not_interrupted(line).ok()?;
        let (start, rest) = line.split_at_checked(STATUS_END)?;
        if !matches!(rest.first(), None | Some(b' ' | b'\r')) {
            return None;
        }
        read_status(std::str::from_utf8(start).ok()?).ok()
    }
}

/// Checks that no second status line begins within the line, which would mean that the first one is incomplete.
fn check_not_interrupted(line: &[u8]) -> Result<(), Malformed> {
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
