//! The client's side of a stream: the head once, then chunks. One end is the stream's task, the
//! other the body that the HTTP library polls.

use std::future::Future;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::in_flight::WorkGuard;
use crate::local_response;
use crate::response_body::{BodyChunk, ResponseBody};

/// Chunks that wait for a client that reads slowly; beyond it the target's stream is not read
/// either.
const MAX_WAITING_CHUNKS: usize = 16;

/// The first message to the client.
#[derive(Debug)]
enum AnswerStart {
    /// A complete answer.
    Complete(Response<ResponseBody>),
    /// The head of a stream; its chunks follow.
    Stream(Response<()>),
}

/// Where a stream's answer goes.
#[derive(Debug)]
pub(super) struct ClientChannel {
    start: Option<oneshot::Sender<AnswerStart>>,
    chunks: mpsc::Sender<BodyChunk>,
}

/// Where a stream's answer comes from.
#[derive(Debug)]
pub(super) struct ClientResponse {
    work: WorkGuard,
    start: oneshot::Receiver<AnswerStart>,
    chunks: mpsc::Receiver<BodyChunk>,
}

/// Both ends of an answer; the process does not end before the answer was sent.
pub(super) fn channel(work: WorkGuard) -> (ClientChannel, ClientResponse) {
    let (start_sender, start) = oneshot::channel();
    let (chunk_sender, chunks) = mpsc::channel(MAX_WAITING_CHUNKS);
    let client = ClientChannel {
        start: Some(start_sender),
        chunks: chunk_sender,
    };
    (
        client,
        ClientResponse {
            work,
            start,
            chunks,
        },
    )
}

impl ClientChannel {
    /// Whether the head of a stream was sent, so that only its events can follow.
    pub(super) fn has_begun(&self) -> bool {
        self.start.is_none()
    }

    /// Answers with a complete response, unless the answer has begun.
    pub(super) fn answer(&mut self, response: Response<ResponseBody>) {
        self.send_start(AnswerStart::Complete(response));
    }

    /// Begins a stream with this head, unless the answer has begun.
    pub(super) fn begin(&mut self, head: Response<()>) {
        self.send_start(AnswerStart::Stream(head));
    }

    /// Sends events on. Waits for a client that reads slowly.
    pub(super) async fn send(&self, bytes: Bytes) {
        let _ = self.chunks.send(BodyChunk::Data(bytes)).await;
    }

    /// Ends the stream as complete.
    pub(super) async fn end(&self) {
        let _ = self.chunks.send(BodyChunk::End).await;
    }

    /// Returns once the client has gone.
    pub(super) fn gone(&self) -> impl Future<Output = ()> + 'static {
        let chunks = self.chunks.clone();
        async move { chunks.closed().await }
    }

    fn send_start(&mut self, start: AnswerStart) {
        if let Some(sender) = self.start.take() {
            // A client that has gone is noticed by `gone`.
            let _ = sender.send(start);
        }
    }
}

impl ClientResponse {
    /// Waits for the head.
    pub(super) async fn head(self) -> Response<ResponseBody> {
        let ClientResponse {
            work,
            start,
            chunks,
        } = self;
        match start.await {
            Ok(AnswerStart::Complete(response)) => response,
            Ok(AnswerStart::Stream(head)) => head.map(|()| ResponseBody::Streamed { chunks, work }),
            Err(_) => local_response::empty(StatusCode::BAD_GATEWAY, None),
        }
    }
}
