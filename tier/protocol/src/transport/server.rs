//! Answers calls that come over accepted connections. The stores run it.

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
use super::envelope::{write_queue, Envelope};
use super::{accept, Connection, Hello, TransportError};

/// Most calls in flight on one connection; further ones stay unread.
const MAX_CALLS_PER_CONNECTION: usize = 1_024;
/// Most connections at once; further ones are closed.
const MAX_CONNECTIONS: usize = 2_048;
/// Backoff after a failed accept, when the process has no file descriptor left: open connections
/// can end meanwhile.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections for ever and answers each call by `answer`, which gets the caller's greeting
/// and the request. Must run inside a `LocalSet`.
pub async fn serve_calls<Request, Reply, Answer, Answering>(
    listener: TcpListener,
    hello: Hello,
    answer: Answer,
) where
    Request: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
    Answer: Fn(Hello, Request) -> Answering + Clone + 'static,
    Answering: Future<Output = Reply> + 'static,
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
            // Counts this connection until the task ends.
            let _permit = permit;
            if let Ok(connection) = accept(stream, address, &hello).await {
                let error = serve_connection(connection, answer).await;
                tracing::debug!(%address, %error, "connection of a caller closed");
            }
        });
    }
}

/// Serves one connection; returns why it ended.
async fn serve_connection<Request, Reply, Answer, Answering>(
    connection: Connection,
    answer: Answer,
) -> TransportError
where
    Request: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
    Answer: Fn(Hello, Request) -> Answering + Clone + 'static,
    Answering: Future<Output = Reply> + 'static,
{
    let Connection {
        peer,
        mut reader,
        writer,
        ..
    } = connection;
    let (replies, queue) = mpsc::channel::<Envelope<Reply>>(MAX_CALLS_PER_CONNECTION);
    let _writing = AbortOnDrop::new(spawn_local(write_queue(queue, writer)));
    loop {
        // Room for the reply is reserved before the call is read, which bounds the calls in flight.
        let Ok(reply_permit) = replies.clone().reserve_owned().await else {
            return io::Error::from(io::ErrorKind::BrokenPipe).into();
        };
        let Envelope { call, body } = match reader.next::<Envelope<Request>>().await {
            Ok(envelope) => envelope,
            Err(error) => return error,
        };
        let answering = answer(peer.clone(), body);
        spawn_local(async move {
            let body = answering.await;
            reply_permit.send(Envelope { call, body });
        });
    }
}
