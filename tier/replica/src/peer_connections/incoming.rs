//! Receiving over a connection that another member has opened.

use plankhill_chain::{Identity, Message};
use plankhill_protocol::transport::Connection;
use tokio::sync::mpsc;

use super::introduction::Introduction;

/// A message that came in.
pub(crate) struct Received {
    /// The sender.
    pub(crate) from: Identity,
    /// The message.
    pub(crate) message: Message,
}

/// Receives from one accepted connection until it ends. A sender that introduces itself as another
/// machine than in its greeting is rejected.
pub(crate) async fn receive_from(connection: Connection, inbox: mpsc::Sender<Received>) {
    // The writer is kept: dropping it would end the connection.
    let Connection {
        mut reader,
        writer: _writer,
        peer,
        ..
    } = connection;
    let Ok(Introduction { identity }) = reader.next().await else {
        return;
    };
    if identity.node != peer.node {
        return;
    }
    while let Ok(message) = reader.next().await {
        let received = Received {
            from: identity.clone(),
            message,
        };
        if inbox.send(received).await.is_err() {
            return;
        }
    }
}
