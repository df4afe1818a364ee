//! The channel to the client of a stream, for one head and then chunks. The stream's task sends,
//! and the body that the HTTP library polls receives.

use std::future::Future;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::in_flight::WorkGuard;
use crate::local_response;
use crate::response_body::{BodyChunk, ResponseBody};

/// Maximum number of chunks that wait for a client that reads slowly; at the limit, reading of the
/// target's stream pauses.
const MAX_WAITING_CHUNKS: usize = 16;

/// The start of the response to the client.
#[derive(Debug)]
enum ResponseStart {
    /// A complete response.
    Complete(Response<ResponseBody>),
    /// The head of a stream; its chunks follow.
    Stream(Response<()>),
}

/// The sending end of a stream's response.
#[derive(Debug)]
pub(super) struct ClientChannel {
    start: Option<oneshot::Sender<ResponseStart>>,
    chunks: mpsc::Sender<BodyChunk>,
}

/// The receiving end of a stream's response.
#[derive(Debug)]
pub(super) struct ClientResponse {
    work: WorkGuard,
    start: oneshot::Receiver<ResponseStart>,
    chunks: mpsc::Receiver<BodyChunk>,
}

/// Creates both ends of a response; `work` keeps the process running until the response has been
/// sent.
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
    /// Whether the response has begun, so that only events of the same stream can follow.
    pub(super) fn has_begun(&self) -> bool {
        self.start.is_none()
    }

    /// Sends a complete response, unless the response has begun.
    pub(super) fn send_response(&mut self, response: Response<ResponseBody>) {
        self.send_start(ResponseStart::Complete(response));
    }

    /// Begins a stream with this head, unless the response has begun.
    pub(super) fn send_head(&mut self, head: Response<()>) {
        self.send_start(ResponseStart::Stream(head));
    }

    /// Forwards events. Waits for a client that reads slowly.
    pub(super) async fn send(&self, bytes: Bytes) {
        let _ = self.chunks.send(BodyChunk::Data(bytes)).await;
    }

    /// Ends the stream as complete.
    pub(super) async fn send_end(&self) {
        let _ = self.chunks.send(BodyChunk::End).await;
    }

    /// Completes once the client has disconnected.
    pub(super) fn closed(&self) -> impl Future<Output = ()> + 'static {
        let chunks = self.chunks.clone();
        async move { chunks.closed().await }
    }

    fn send_start(&mut self, start: ResponseStart) {
        if let Some(sender) = self.start.take() {
            // A client that has disconnected is detected by `closed`.
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
            Ok(ResponseStart::Complete(response)) => response,
            Ok(ResponseStart::Stream(head)) => {
                head.map(|()| ResponseBody::Streamed { chunks, work })
            }
            Err(_) => local_response::empty(StatusCode::BAD_GATEWAY, None),
        }
    }
}
