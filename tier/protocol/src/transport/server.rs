//! Answers calls that come over accepted connections.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::caller::Envelope;
use super::{accept, Connection, FrameWriter, Hello, TransportError};

/// Calls under way on one connection; further ones wait unread.
const CALLS_AT_ONCE: usize = 1_024;
/// Connections at once; further ones are closed.
const CONNECTIONS: usize = 2_048;
/// Frames written together at most.
const BATCH: usize = 64;

/// Accepts connections for ever and answers each call by `answer`. Must run inside a `LocalSet`.
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
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            // Out of descriptors: give those that are open the time to end.
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (open, hello, answer) = (open.clone(), hello.clone(), answer.clone());
        tokio::task::spawn_local(async move {
            if let Ok(connection) = accept(stream, address, &hello).await {
                let ended = serve_connection(connection, answer).await;
                tracing::debug!(%address, error = %ended, "connection ended");
            }
            open.set(open.get() - 1);
        });
    }
}

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
    let (replies, queue) = mpsc::channel::<Envelope<Reply>>(CALLS_AT_ONCE);
    let writing = tokio::task::spawn_local(write(queue, writer));
    let ended = loop {
        // A place among the replies is taken first, so that calls under way are bounded.
        let Ok(place) = replies.clone().reserve_owned().await else {
            break std::io::Error::from(std::io::ErrorKind::BrokenPipe).into();
        };
        match reader.next::<Envelope<Request>>().await {
            Ok(Envelope { call, body }) => {
                let answering = answer(peer.clone(), body);
                tokio::task::spawn_local(async move {
                    place.send(Envelope {
                        call,
                        body: answering.await,
                    });
                });
            }
            Err(error) => break error,
        }
    };
    writing.abort();
    ended
}

async fn write<Reply: Serialize>(
    mut queue: mpsc::Receiver<Envelope<Reply>>,
    mut writer: FrameWriter,
) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, BATCH).await > 0 {
        if writer.send_all(&batch).await.is_err() {
            return;
        }
        batch.clear();
    }
}
