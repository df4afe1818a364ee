//! A client's connection that knows whether a request has begun to arrive on it.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::life::{Life, Work};

/// What a client still sends on a connection that was closed here is read for so long: unread bytes would have the
/// system reset the connection, and the reset could overtake the last answer.
const LINGER: Duration = Duration::from_millis(500);
/// No more is read then, in bytes.
const MOST_LINGERING_BYTES: usize = 256 * 1024;
/// Read at once then, in bytes.
const LINGERING_PART: usize = 4 * 1024;

/// What is under way on one connection.
#[derive(Debug)]
pub struct Exchange {
    life: Rc<Life>,
    is_served: Cell<bool>,
    /// Held from the first byte of a request until it is served.
    arriving: RefCell<Option<Work>>,
}

impl Exchange {
    /// Of a connection on which nothing was heard yet.
    pub fn new(life: Rc<Life>) -> Rc<Self> {
        Rc::new(Exchange {
            life,
            is_served: Cell::new(false),
            arriving: RefCell::default(),
        })
    }

    /// The head of a request has come whole.
    pub fn begin(&self) {
        self.is_served.set(true);
        self.arriving.take();
    }

    /// The request has been read and its answer begins; what comes now belongs to the next one.
    pub fn answered(&self) {
        self.is_served.set(false);
    }

    /// Whether a part of a request's head has come, and not yet the whole.
    pub fn is_arriving(&self) -> bool {
        self.arriving.borrow().is_some()
    }

    fn bytes_came(&self) {
        if !self.is_served.get() && !self.is_arriving() {
            self.arriving.replace(Some(self.life.begin_work()));
        }
    }
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    exchange: Rc<Exchange>,
}

impl ClientStream {
    /// Tells `exchange` what comes.
    pub fn new(stream: TcpStream, exchange: Rc<Exchange>) -> Self {
        ClientStream { stream, exchange }
    }

    /// Ends a connection on which nothing more is to be said: closes the writing side and waits for the client's
    /// end, within bounds.
    pub async fn close(mut self) {
        // A request that has begun to arrive is not going to be answered.
        self.exchange.arriving.take();
        let closing = async {
            self.stream.shutdown().await?;
            let mut part = [0; LINGERING_PART];
            let mut read = 0;
            while read < MOST_LINGERING_BYTES {
                match self.stream.read(&mut part).await? {
                    0 => break,
                    more => read += more,
                }
            }
            io::Result::Ok(())
        };
        // However it ends, the connection is gone.
        let _ = timeout(LINGER, closing).await;
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let held = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > held {
            self.exchange.bytes_came();
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
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
