//! A client connection that tracks whether a request has begun to arrive on it. Owned by the task
//! that serves the connection (`connection_server`).

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::in_flight::WorkGuard;
use crate::lifecycle::Lifecycle;

/// After the write side is closed, bytes that the client still sends are read for at most this
/// long: unread bytes would make the operating system reset the connection, and the reset could
/// overtake the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Lingering ends once at least this many bytes have been read.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Maximum size of one read while lingering, in bytes.
const LINGER_CHUNK_BYTES: usize = 4 * 1024;

/// The request activity on one connection.
#[derive(Debug)]
pub struct ConnectionActivity {
    lifecycle: Rc<Lifecycle>,
    /// True from the complete head of a request until the head of its response.
    is_serving: Cell<bool>,
    /// Present from the first byte of a request until its head has arrived completely.
    arriving_request: RefCell<Option<WorkGuard>>,
}

impl ConnectionActivity {
    /// The activity of a connection on which nothing has arrived yet.
    pub fn new(lifecycle: Rc<Lifecycle>) -> Rc<Self> {
        Rc::new(ConnectionActivity {
            lifecycle,
            is_serving: Cell::new(false),
            arriving_request: RefCell::default(),
        })
    }

    /// Records that the head of a request has arrived completely.
    pub fn on_request_head(&self) {
        self.is_serving.set(true);
        self.arriving_request.take();
    }

    /// Records that the request has been read and its response begins; bytes that arrive from now
    /// on belong to the next request.
    pub fn on_response_head(&self) {
        self.is_serving.set(false);
    }

    /// Whether the head of a request has arrived in part but not completely.
    pub fn is_request_arriving(&self) -> bool {
        self.arriving_request.borrow().is_some()
    }

    fn on_bytes(&self) {
        if !self.is_serving.get() && !self.is_request_arriving() {
            self.arriving_request
                .replace(Some(self.lifecycle.begin_work()));
        }
    }
}

/// A client connection that reports received bytes to its [`ConnectionActivity`].
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
}

impl ClientConnection {
    /// Bytes that arrive on `stream` are reported to `activity`.
    pub fn new(stream: TcpStream, activity: Rc<ConnectionActivity>) -> Self {
        ClientConnection { stream, activity }
    }

    /// Closes a connection on which nothing more will be sent: shuts down the write side and waits,
    /// within limits, until the client closes its side.
    pub async fn close(mut self) {
        // A request whose head has arrived only in part gets no response.
        self.activity.arriving_request.take();
        // The connection is dropped afterwards, whether or not lingering succeeds.
        let _ = timeout(LINGER_TIMEOUT, self.linger()).await;
    }

    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let mut chunk = [0; LINGER_CHUNK_BYTES];
        let mut total = 0;
        while total < MAX_LINGER_BYTES {
            match self.stream.read(&mut chunk).await? {
                0 => break,
                bytes => total += bytes,
            }
        }
        Ok(())
    }
}

impl AsyncRead for ClientConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.activity.on_bytes();
        }
        polled
    }
}

impl AsyncWrite for ClientConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
