//! Server side of request-response calls. Used by the stores.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;

use super::abort_on_drop::AbortOnDrop;
use super::call_reply::CallReply;
use super::envelope::{write_queue, Envelope};
use super::{accept, Connection, Hello, TransportError};

/// Maximum number of calls in flight on one connection; further calls are not read.
const MAX_CALLS_PER_CONNECTION: usize = 1_024;
/// Maximum number of concurrent connections; further connections are closed.
const MAX_CONNECTIONS: usize = 2_048;
/// Backoff after a failed accept. If the process has no free file descriptor, open connections can
/// end during the backoff.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections indefinitely and answers each call with the result of `answer`, whose
/// arguments are the caller's greeting and the request. The reply's guard is held until the reply has been
/// written. Must run inside a `LocalSet`.
pub async fn serve_calls<Request, Reply, Answer, AnswerFuture>(
    listener: TcpListener,
    hello: Hello,
    answer: Answer,
) where
    Request: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
    Answer: Fn(Hello, Request) -> AnswerFuture + Clone + 'static,
    AnswerFuture: Future<Output = CallReply<Reply>> + 'static,
{
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            continue;
        };
        let hello = hello.clone();
        let answer = answer.clone();
        spawn_local(async move {
            // The permit counts this connection until the task ends.
            let _permit = permit;
            if let Ok(connection) = accept(stream, address, &hello).await {
                let error = serve_connection(connection, answer).await;
                tracing::debug!(%address, %error, "connection of a caller closed");
            }
        });
    }
}

/// Serves one connection until it ends, and returns the error that ended it.
async fn serve_connection<Request, Reply, Answer, AnswerFuture>(
    connection: Connection,
    answer: Answer,
) -> TransportError
where
    Request: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
    Answer: Fn(Hello, Request) -> AnswerFuture + Clone + 'static,
    AnswerFuture: Future<Output = CallReply<Reply>> + 'static,
{
    let Connection {
        peer,
        mut reader,
        writer,
        ..
    } = connection;
    let (replies, queue) = mpsc::channel::<Envelope<Reply>>(MAX_CALLS_PER_CONNECTION);
    let _write_task = AbortOnDrop::new(spawn_local(write_queue(queue, writer)));
    loop {
        // Queue capacity for the reply is reserved before the call is read, which bounds the calls
        // in flight.
        let Ok(reply_permit) = replies.clone().reserve_owned().await else {
            return io::Error::from(io::ErrorKind::BrokenPipe).into();
        };
        let Envelope { call, body, .. } = match reader.next::<Envelope<Request>>().await {
            Ok(envelope) => envelope,
            Err(error) => return error,
        };
        let answer_future = answer(peer.clone(), body);
        spawn_local(async move {
            let CallReply { body, guard } = answer_future.await;
            reply_permit.send(Envelope { call, body, guard });
        });
    }
}
