//! A minimal HTTP client with a connection per request, without a library: tests need a hook between
//! the request and the answer, and reset the connections.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of an answer: a controller answers within 850 ms, but may take far longer on a busy host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Status and body of an HTTP answer.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// An HTTP request to a controller.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    /// The version on which a configuration builds, sent as `If-Match`.
    pub expected: Option<u64>,
    pub body: &'a str,
}

/// Sends a request, calls `sent` once its last byte is written, and reads the answer.
///
/// # Errors
/// Returns I/O errors, and `InvalidData` for a malformed answer.
pub fn exchange(
    address: SocketAddr,
    request: &Request<'_>,
    sent: impl FnOnce(),
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let expected = match request.expected {
        Some(expected) => format!("If-Match: {expected}\r\n"),
        None => String::new(),
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: controller\r\nConnection: close\r\n{expected}Content-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(request.body.as_bytes())?;
    sent();
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    parse(&answer).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Parses an answer; returns `None` if it is malformed or its body does not have the declared length.
fn parse(answer: &str) -> Option<Answer> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.get(9..12)?.parse().ok()?;
    let mut lines = head.lines();
    let length = lines.find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().ok()).flatten()
    });
    let length: usize = length.unwrap_or(0);
    (body.len() == length).then(|| Answer {
        status,
        body: body.to_owned(),
    })
}
