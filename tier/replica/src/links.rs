//! Connections to other members. Each member sends over connections that it opened itself and receives over
//! those that it accepted, so that a cut in one direction stops one direction only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plankhill_chain::{Identity, Message};
use plankhill_protocol::transport::{dial, Channel, Connection, Hello};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;

#[cfg(test)]
mod wire_format_tests;

/// Messages that wait for a connection; more are dropped, as every message may be.
const QUEUE: usize = 1_024;
/// Messages written together.
const BATCH: usize = 64;
/// Before the first attempt to connect again; doubled after each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between attempts: members that are all back at once have to hear each other before one counts
/// as silent (0.6 s).
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// The first message on a connection: which disk speaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Introduction {
    identity: Identity,
}

/// A message that came in.
pub(crate) struct Received {
    /// From whom.
    pub(crate) from: Identity,
    /// The message.
    pub(crate) message: Message,
}

/// The connections that this member opened.
pub(crate) struct Links {
    me: Identity,
    open: BTreeMap<SocketAddr, Link>,
}

struct Link {
    queue: mpsc::Sender<Message>,
    /// The other member was heard: it can be reached now.
    heard: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Links {
    pub(crate) fn new(me: Identity) -> Self {
        Self {
            me,
            open: BTreeMap::new(),
        }
    }

    /// Queues a message; the connection comes up when it is needed.
    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        let me = &self.me;
        let link = self
            .open
            .entry(to)
            .or_insert_with(|| Link::start(to, me.clone()));
        // A full queue loses the message.
        let _ = link.queue.try_send(message);
    }

    /// Somebody who listens there was heard. A connection that waits to be tried again is tried at once.
    pub(crate) fn heard(&self, from: SocketAddr) {
        if let Some(link) = self.open.get(&from) {
            link.heard.notify_one();
        }
    }

    /// Closes the connections to everyone else.
    pub(crate) fn keep_only(&mut self, contacts: &std::collections::BTreeSet<SocketAddr>) {
        self.open.retain(|address, _| contacts.contains(address));
    }
}

impl Link {
    fn start(to: SocketAddr, me: Identity) -> Self {
        let (queue, messages) = mpsc::channel(QUEUE);
        let heard = Arc::new(Notify::new());
        let task = tokio::spawn(keep_sending(to, me, messages, heard.clone()));
        Self { queue, heard, task }
    }
}

async fn keep_sending(
    to: SocketAddr,
    me: Identity,
    mut messages: mpsc::Receiver<Message>,
    heard: Arc<Notify>,
) {
    let hello = Hello::new(Channel::Chain, me.node.clone());
    let mut pause = FIRST_PAUSE;
    loop {
        match dial(to, &hello).await {
            Ok(connection) => {
                pause = FIRST_PAUSE;
                let newest = newest_heartbeat(&mut messages);
                send_over(connection, &me, newest, &mut messages).await;
                tracing::debug!(%to, "connection to another member ended");
            }
            Err(error) => tracing::debug!(%to, %error, "another member cannot be reached"),
        }
        let _ = tokio::time::timeout(pause, heard.notified()).await;
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

/// What waited for the connection is too old to be of use, but for the last heartbeat: the other member may wait for
/// this one to be heard, and a late heartbeat claims nothing that was not so.
fn newest_heartbeat(messages: &mut mpsc::Receiver<Message>) -> Option<Message> {
    let waiting = std::iter::from_fn(|| messages.try_recv().ok());
    waiting
        .filter(|message| matches!(message, Message::Heartbeat(_)))
        .last()
}

async fn send_over(
    connection: Connection,
    me: &Identity,
    first: Option<Message>,
    messages: &mut mpsc::Receiver<Message>,
) {
    let Connection {
        mut reader,
        mut writer,
        ..
    } = connection;
    if writer
        .send(&Introduction {
            identity: me.clone(),
        })
        .await
        .is_err()
    {
        return;
    }
    if let Some(first) = first {
        if writer.send(&first).await.is_err() {
            return;
        }
    }
    // Nothing comes back on this connection but its end.
    let ended = reader.next::<Introduction>();
    tokio::pin!(ended);
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            _ = &mut ended => return,
            taken = messages.recv_many(&mut batch, BATCH) => {
                if taken == 0 || writer.send_all(&batch).await.is_err() {
                    return;
                }
                batch.clear();
            }
        }
    }
}

/// Receives from one accepted connection until it ends.
pub(crate) async fn receive_from(connection: Connection, inbox: mpsc::Sender<Received>) {
    let Connection {
        mut reader,
        writer,
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
            break;
        }
    }
    drop(writer);
}
