//! Bodies of responses to clients, polled by the HTTP library.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::in_flight::WorkGuard;

/// A stream failed: the connection to the client must be closed without the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream is truncated")]
pub struct StreamTruncated;

/// A chunk of a streamed body.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyChunk {
    /// More bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body; `None` if it is empty or was already returned.
    Complete(Option<Bytes>),
    /// Chunks as they arrive. A sender that is dropped without sending [`BodyChunk::End`] truncates
    /// the body.
    Streamed {
        /// The chunks.
        chunks: mpsc::Receiver<BodyChunk>,
        /// Keeps the process running until the body has been sent.
        work: WorkGuard,
    },
}

impl ResponseBody {
    /// A complete body.
    pub fn complete(bytes: Bytes) -> Self {
        if bytes.is_empty() {
            return ResponseBody::Complete(None);
        }
        ResponseBody::Complete(Some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamTruncated>>> {
        match self.get_mut() {
            ResponseBody::Complete(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streamed { chunks, .. } => match chunks.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyChunk::Data(bytes))) => {
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Poll::Ready(Some(BodyChunk::End)) => Poll::Ready(None),
                Poll::Ready(None) => Poll::Ready(Some(Err(StreamTruncated))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Complete(None) => SizeHint::with_exact(0),
            ResponseBody::Streamed { .. } => SizeHint::default(),
        }
    }
}
