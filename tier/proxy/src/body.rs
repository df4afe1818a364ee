//! Bodies of answers to clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::life::Work;

/// A stream broke: the connection to the client is to end without the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub struct Cut;

/// One part of a body that is made while it is sent.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// More bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Known whole; taken once.
    Whole(Option<Bytes>),
    /// Pieces as they come. A sender that goes away without [`Piece::End`] cuts the body off.
    Pieces {
        /// What comes.
        pieces: mpsc::Receiver<Piece>,
        /// The process does not end before the body has been sent.
        work: Work,
    },
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(bytes: Bytes) -> Self {
        AnswerBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Pieces { pieces, .. } => {
                pieces.poll_recv(context).map(|piece| match piece {
                    Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(Piece::End) => None,
                    None => Some(Err(Cut)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Pieces { .. } => SizeHint::default(),
        }
    }
}
