//! Receives messages over connections that other members opened.

use plankhill_chain::{Identity, Message};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{Connection, TransportError};
use tokio::sync::mpsc;

use super::introduction::Introduction;

/// A received message.
pub(crate) struct Received {
    /// The sender.
    pub(crate) from: Identity,
    /// The message.
    pub(crate) message: Message,
}

/// Receives messages from an accepted connection until it ends. A connection is rejected if the node
/// in its introduction differs from the node in its transport greeting.
pub(crate) async fn receive_from(connection: Connection, inbox: mpsc::Sender<Received>) {
    // Dropping the writer would close the connection.
    let Connection {
        mut reader,
        writer: _writer,
        peer,
        ..
    } = connection;
    let identity = match reader.next().await {
        Ok(Introduction { identity }) => identity,
        Err(error) => return log_end(&peer.node, &error),
    };
    if identity.node != peer.node {
        return;
    }
    loop {
        let message = match reader.next().await {
            Ok(message) => message,
            Err(error) => return log_end(&peer.node, &error),
        };
        let received = Received {
            from: identity.clone(),
            message,
        };
        if inbox.send(received).await.is_err() {
            return;
        }
    }
}

/// Logs an undecodable message as a warning and any other end of a connection, which is routine, at
/// debug level.
fn log_end(node: &NodeId, error: &TransportError) {
    match error {
        TransportError::Message(_) => {
            tracing::warn!(%node, %error, "unreadable message of a peer; connection closed");
        }
        _ => tracing::debug!(%node, %error, "connection of a peer ended"),
    }
}
