//! HTTP/1.1 messages on blocking sockets, as far as clients, targets and the operator need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_string()));
        }
    }
}

/// Reads the body of a message by its length or in chunks; a message with neither has no body.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            read_exactly(reader, length, &mut message.body)?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if length == 0 {
                message.is_whole = true;
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length
        .parse()
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    read_exactly(reader, length, &mut message.body)?;
    message.is_whole = true;
    Ok(())
}

fn read_exactly(
    reader: &mut BufReader<TcpStream>,
    length: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    let before = body.len();
    reader.take(length as u64).read_to_end(body)?;
    if body.len() - before < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

/// Sends one request on a new connection and reads its response; the body is kept as far as it came.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    write_request(&mut stream, method, path, headers, body)?;
    let mut reader = BufReader::new(stream);
    read_response(&mut reader)
}

/// Reads one response.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut response = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    // A body that ends early is recorded in `is_whole`.
    let _ = read_body(reader, &mut response);
    Ok(response)
}

/// Writes a request with its length.
pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
