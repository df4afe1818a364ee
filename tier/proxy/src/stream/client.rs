//! The client's side of a stream: the head once, then pieces.

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::answer;
use crate::body::{AnswerBody, Piece};
use crate::life::Work;

/// Pieces that wait for a client that reads slowly; then the target's stream is not read either.
const WAITING_PIECES: usize = 16;

/// Where a stream's answer goes.
#[derive(Debug)]
pub struct Client {
    head: Option<oneshot::Sender<Response<Option<AnswerBody>>>>,
    pieces: mpsc::Sender<Piece>,
}

/// Where a stream's answer comes from.
#[derive(Debug)]
pub struct Answer {
    work: Work,
    head: oneshot::Receiver<Response<Option<AnswerBody>>>,
    pieces: mpsc::Receiver<Piece>,
}

/// Both ends of an answer; the process does not end before it was sent.
pub fn channel(work: Work) -> (Client, Answer) {
    let (head_sender, head) = oneshot::channel();
    let (pieces_sender, pieces) = mpsc::channel(WAITING_PIECES);
    (
        Client {
            head: Some(head_sender),
            pieces: pieces_sender,
        },
        Answer { work, head, pieces },
    )
}

impl Client {
    /// Whether the head of a stream is out, so that only its events can follow.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Answers with a whole response; true if the answer had not begun.
    pub fn answer(&mut self, response: Response<AnswerBody>) -> bool {
        let Some(head) = self.head.take() else {
            return false;
        };
        head.send(response.map(Some)).is_ok()
    }

    /// Begins a stream with this head, unless it has begun.
    pub fn begin(&mut self, head: Response<()>) {
        if let Some(sender) = self.head.take() {
            // A client that has gone is noticed by `gone`.
            let _ = sender.send(head.map(|()| None));
        }
    }

    /// Sends events on. Waits for a client that reads slowly.
    pub async fn send(&self, bytes: Bytes) {
        let _ = self.pieces.send(Piece::Data(bytes)).await;
    }

    /// Ends the stream as complete.
    pub async fn end(&self) {
        let _ = self.pieces.send(Piece::End).await;
    }

    /// Returns once the client has gone.
    pub fn gone(&self) -> impl std::future::Future<Output = ()> + 'static {
        let pieces = self.pieces.clone();
        async move { pieces.closed().await }
    }
}

impl Answer {
    /// Waits for the head.
    pub async fn head(self) -> Response<AnswerBody> {
        let Answer { work, head, pieces } = self;
        match head.await {
            Ok(response) => {
                response.map(|whole| whole.unwrap_or(AnswerBody::Pieces { pieces, work }))
            }
            Err(_) => answer::empty(StatusCode::BAD_GATEWAY, None),
        }
    }
}
