//! Small HTTP/1.1 client and message reader.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self
            .start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok());
        code.unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
    Some(Message {
        start: start.trim_end().to_string(),
        headers,
    })
}

/// Reads a body; calls `on_bytes` as bytes arrive. True if the body arrived completely.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Message,
    mut on_bytes: impl FnMut(&[u8]),
) -> bool {
    let chunked = head
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if !chunked {
        let length: usize = head
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        let read = reader.read_exact(&mut body).is_ok();
        if read {
            on_bytes(&body);
        }
        return read;
    }
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(read) if read > 0) {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
        on_bytes(&chunk[..length]);
    }
}

pub struct Response {
    pub status: u16,
    pub retry_after: Option<f64>,
    pub body: Vec<u8>,
    /// The whole answer arrived.
    pub whole: bool,
}

/// Sends one request on a new connection; `None` if no head came back.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    ));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut received = Vec::new();
    let whole = read_body(&mut reader, &head, |bytes| {
        received.extend_from_slice(bytes)
    });
    Some(Response {
        status: head.status(),
        retry_after: head
            .header("retry-after")
            .and_then(|value| value.parse().ok()),
        body: received,
        whole,
    })
}

/// The number of complete events with data in a body.
pub fn events(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let complete = text.matches("\n\n").count();
    complete as u64
}
