//! Sends messages over a connection that this member opens, and reopens whenever it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plankhill_chain::{Identity, Message};
use plankhill_protocol::transport::{dial, Channel, Connection, Hello, TransportError};
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;

use super::introduction::Introduction;

/// Maximum number of messages queued for a connection. Further messages are dropped; the protocol
/// tolerates the loss of any message.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Maximum number of messages written in one batch.
const MAX_BATCH: usize = 64;
/// Backoff before the first attempt to reconnect; doubled after each failure.
const INITIAL_RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff: if all members restart at once, they have to exchange heartbeats before a member
/// counts as failed (0.6 s).
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// A queue of messages to one member and the task that sends them. Dropping this value aborts the
/// task.
pub(super) struct OutgoingConnection {
    queue: mpsc::Sender<Message>,
    /// Notified when a heartbeat of the peer was received, which suggests that the peer is reachable.
    peer_alive: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for OutgoingConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OutgoingConnection {
    pub(super) fn open(to: SocketAddr, local_identity: Identity) -> Self {
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let peer_alive = Arc::new(Notify::new());
        let sender = Sender {
            to,
            local_identity,
            messages,
            peer_alive: Arc::clone(&peer_alive),
            reported_version: None,
        };
        Self {
            queue,
            peer_alive,
            task: tokio::spawn(sender.run()),
        }
    }

    /// Queues a message. The message is dropped if the queue is full.
    pub(super) fn send(&self, message: Message) {
        let _ = self.queue.try_send(message);
    }

    /// Ends the reconnect backoff.
    pub(super) fn retry_now(&self) {
        self.peer_alive.notify_one();
    }
}

/// The state of the sending task.
struct Sender {
    to: SocketAddr,
    local_identity: Identity,
    messages: mpsc::Receiver<Message>,
    peer_alive: Arc<Notify>,
    /// The peer's protocol version in the last version-mismatch warning. The warning is repeated
    /// only if the version changes, because reconnect attempts are frequent.
    reported_version: Option<u32>,
}

impl Sender {
    async fn run(mut self) {
        let hello = Hello::new(Channel::Chain, self.local_identity.node.clone());
        let to = self.to;
        let mut backoff = INITIAL_RECONNECT_BACKOFF;
        loop {
            match dial(to, &hello).await {
                Ok(connection) => {
                    backoff = INITIAL_RECONNECT_BACKOFF;
                    match self.send_over(connection).await {
                        Ok(()) => tracing::debug!(%to, "connection to a peer was closed"),
                        Err(error) => tracing::debug!(%to, %error, "connection to a peer failed"),
                    }
                }
                Err(error) => self.report_dial_error(&error),
            }
            // The backoff ends early when a heartbeat of the peer is received.
            let _ = tokio::time::timeout(backoff, self.peer_alive.notified()).await;
            backoff = MAX_RECONNECT_BACKOFF.min(backoff * 2);
        }
    }

    fn report_dial_error(&mut self, error: &TransportError) {
        let to = self.to;
        match error {
            TransportError::Version(version) if self.reported_version != Some(*version) => {
                tracing::warn!(%to, %error, "peer of another version; no connection");
                self.reported_version = Some(*version);
            }
            _ => tracing::debug!(%to, %error, "connection to a peer cannot be opened"),
        }
    }

    /// Sends until the connection ends.
    async fn send_over(&mut self, connection: Connection) -> Result<(), TransportError> {
        let Connection {
            mut reader,
            mut writer,
            ..
        } = connection;
        let newest_heartbeat = self.drain_to_newest_heartbeat();
        let introduction = Introduction {
            identity: self.local_identity.clone(),
        };
        writer.send(&introduction).await?;
        if let Some(heartbeat) = newest_heartbeat {
            writer.send(&heartbeat).await?;
        }
        // The peer sends nothing on this connection; the read completes when the connection ends.
        let ended = reader.next::<Introduction>();
        tokio::pin!(ended);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                _ = &mut ended => return Ok(()),
                taken = self.messages.recv_many(&mut batch, MAX_BATCH) => {
                    if taken == 0 {
                        return Ok(());
                    }
                    writer.send_all(&batch).await?;
                    batch.clear();
                }
            }
        }
    }

    /// Discards all queued messages and returns the newest heartbeat among them.
    ///
    /// Messages queued before the connection was open are stale. The newest heartbeat is still sent
    /// because the peer may be waiting for one and because its content remains true when it is late.
    fn drain_to_newest_heartbeat(&mut self) -> Option<Message> {
        let mut newest = None;
        while let Ok(message) = self.messages.try_recv() {
            if matches!(message, Message::Heartbeat(_)) {
                newest = Some(message);
            }
        }
        newest
    }
}
