//! Scripted ends of connections: clients and targets that send exactly the bytes given by a test.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A received message: its head as text, its body as bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a status")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        lines
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// One end of a connection.
pub struct Peer {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Peer {
    pub async fn connect(address: SocketAddr) -> Peer {
        Peer {
            stream: TcpStream::connect(address).await.expect("a connection"),
            unread: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("written");
    }

    /// Reads one message; `None` if the connection ends before the message.
    pub async fn receive(&mut self) -> Option<Message> {
        let head = self.read_head().await?;
        let mut message = Message {
            head,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk().await? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().expect("a length");
            message.body = self.read_exactly(length).await?;
        }
        Some(message)
    }

    /// Reads a head; `None` if the connection ends before its end.
    pub async fn read_head(&mut self) -> Option<String> {
        let end = self.read_until(b"\r\n\r\n").await?;
        Some(String::from_utf8(end).expect("text"))
    }

    /// Reads the next chunk of a body; `Some(None)` at the proper end of the body, `None` if the
    /// connection ends earlier.
    pub async fn read_chunk(&mut self) -> Option<Option<Vec<u8>>> {
        let line = self.read_until(b"\r\n").await?;
        let line = String::from_utf8(line).expect("text");
        let length = usize::from_str_radix(line.trim(), 16).expect("a length");
        let chunk = self.read_exactly(length).await?;
        self.read_exactly(2).await?;
        Some((length > 0).then_some(chunk))
    }

    /// Reads until the other side closes the connection; returns the bytes received until then.
    pub async fn read_until_closed(&mut self) -> Vec<u8> {
        while self.read_more().await {}
        std::mem::take(&mut self.unread)
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("an option");
    }

    async fn read_until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            let found = self
                .unread
                .windows(end.len())
                .position(|window| window == end);
            if let Some(at) = found {
                return Some(self.unread.drain(..at + end.len()).collect());
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.unread.len() < length {
            if !self.read_more().await {
                return None;
            }
        }
        Some(self.unread.drain(..length).collect())
    }

    async fn read_more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.unread).await, Ok(read) if read > 0)
    }
}

/// A target that accepts connections when the test requests it.
pub struct ScriptedTarget {
    listener: TcpListener,
}

impl ScriptedTarget {
    pub async fn start() -> ScriptedTarget {
        ScriptedTarget {
            listener: TcpListener::bind("127.0.0.1:0").await.expect("a port"),
        }
    }

    /// Creates a target whose connections buffer few bytes before they are read.
    pub async fn with_small_buffers() -> ScriptedTarget {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4 * 1024).expect("an option");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        ScriptedTarget {
            listener: socket.listen(16).expect("a listener"),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    pub async fn accept(&self) -> Peer {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        Peer {
            stream,
            unread: Vec::new(),
        }
    }

    /// Accepts a connection and reads its first request.
    pub async fn accept_request(&self) -> (Peer, Message) {
        let mut peer = self.accept().await;
        let request = peer.receive().await.expect("a request");
        (peer, request)
    }
}
