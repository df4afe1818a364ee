//! Minimal HTTP/1.1 messages for the test doubles, at a level low enough to inject faults.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A complete request or response.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let named = |line: &&str| {
            line.split_once(": ")
                .is_some_and(|(field, _)| field.eq_ignore_ascii_case(name))
        };
        self.head
            .lines()
            .find(named)
            .map(|line| &line[name.len() + 2..])
    }

    /// Whether the message starts with `start`.
    pub fn starts_with(&self, start: &str) -> bool {
        self.head.starts_with(start)
    }

    /// The status of a response; 0 if it is malformed.
    pub fn status(&self) -> u16 {
        self.head
            .get(9..12)
            .and_then(|digits| digits.parse().ok())
            .unwrap_or(0)
    }
}

/// Waits for the first byte of a message; returns `false` at the end of the stream.
pub fn has_next_message(from: &mut BufReader<TcpStream>) -> bool {
    from.fill_buf().is_ok_and(|bytes| !bytes.is_empty())
}

/// Reads a complete message.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let mut message = Message {
        head,
        body: Vec::new(),
    };
    let length = message.field("Content-Length").map_or(Ok(0), str::parse);
    message
        .body
        .resize(length.map_err(|_| io::ErrorKind::InvalidData)?, 0);
    from.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes a response with the additional header lines `more`.
pub fn write_response(to: &mut impl Write, status: u16, more: &str, body: &str) -> io::Result<()> {
    let length = if status == 204 {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    to.write_all(format!("HTTP/1.1 {status} So\r\n{more}{length}\r\n{body}").as_bytes())
}

/// Whether the peer has closed its sending direction, or the connection has failed.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(read) => read == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}
