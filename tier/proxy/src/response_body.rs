//! Bodies of answers to clients, as the HTTP library polls them.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::in_flight::WorkGuard;

/// A stream broke: the connection to the client has to end without the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream is truncated")]
pub struct StreamTruncated;

/// One chunk of a body that is sent while it is made.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyChunk {
    /// More bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is known completely; taken out once.
    Complete(Option<Bytes>),
    /// Chunks as they come. A sender that goes away without [`BodyChunk::End`] truncates the body.
    Streamed {
        /// The chunks.
        chunks: mpsc::Receiver<BodyChunk>,
        /// The process does not end before the body has been sent.
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
