//! Connections opened by other instances: a hello of limited size within a limited time, the reply of the groups
//! thread, then messages.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};

use super::channels::{FromLinks, PeerIndex};
use super::link_io::{read_frame, with_timeout, write_all, LinkError};
use super::shared::Shared;
use crate::wire::frame::{encode_frame, MAX_BODY_LEN};
use crate::wire::message::{Hello, HelloReply, PeerMessage, MAX_HELLO_LEN, PROTOCOL_VERSION};

/// The timeout for a peer to send its hello, and for the groups thread to reply.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// The pause of a connection while the ring to the groups thread is full.
const FULL_RING_BACKOFF: Duration = Duration::from_millis(1);
/// The maximum number of open connections for each instance of the fleet.
const MAX_CONNECTIONS_PER_INSTANCE: usize = 4;
/// The number of open connections allowed in addition.
const MAX_OTHER_CONNECTIONS: usize = 16;
/// The acknowledgement of a heartbeat.
const HEARTBEAT_ACK: [u8; 1] = [1];

/// The reason why an incoming connection was closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error("the peer disconnected before sending a hello")]
    NoHello,
    #[error("the peer uses another version of the protocol")]
    VersionMismatch,
    #[error("the peer belongs to another fleet")]
    FleetMismatch,
    #[error("the peer addressed another instance")]
    RecipientMismatch,
    #[error("the peer is an unknown instance")]
    UnknownInstance,
    #[error("the reply to the hello was not ready in time")]
    NoReply,
    #[error("the folder of the peer is an older copy")]
    StaleFolder,
    #[error("too many open connections")]
    TooManyConnections,
    #[error(transparent)]
    Link(#[from] LinkError),
}

/// Counts the open connections. Each connection holds an [`OpenConnection`], which decrements the count when dropped.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    last_number: Cell<u64>,
}

struct OpenConnection {
    connections: Rc<OpenConnections>,
    number: u64,
}

impl OpenConnections {
    fn open(self: &Rc<Self>, max: usize) -> Option<OpenConnection> {
        if self.count.get() >= max {
            return None;
        }
        self.count.set(self.count.get() + 1);
        self.last_number.set(self.last_number.get() + 1);
        Some(OpenConnection {
            connections: self.clone(),
            number: self.last_number.get(),
        })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.count.set(self.connections.count.get() - 1);
    }
}

/// Accepts connections as long as the thread runs. The reference to the executor is weak, since the executor owns this
/// task.
pub(super) async fn accept_all(
    shared: Rc<Shared>,
    listener: Async<TcpListener>,
    executor: Weak<LocalExecutor<'static>>,
) {
    let max_connections =
        MAX_CONNECTIONS_PER_INSTANCE * shared.fleet.instances.len() + MAX_OTHER_CONNECTIONS;
    let connections = Rc::new(OpenConnections::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(connection) = connections.open(max_connections) else {
            shared.log_closed(&ConnectionError::TooManyConnections, "unknown");
            continue;
        };
        let Some(executor) = executor.upgrade() else {
            return;
        };
        executor
            .spawn(serve_connection(shared.clone(), stream, connection))
            .detach();
    }
}

async fn serve_connection(
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    connection: OpenConnection,
) {
    // Without `TCP_NODELAY` the link is only slower, so a failure is ignored.
    let _ = stream.get_ref().set_nodelay(true);
    let mut peer_name = "unknown".to_owned();
    let Err(error) = receive(&shared, stream, connection.number, &mut peer_name).await;
    shared
        .awaiting_reply
        .borrow_mut()
        .remove(&connection.number);
    shared.notify(FromLinks::ConnectionClosed {
        connection: connection.number,
    });
    if !matches!(error, ConnectionError::Link(LinkError::Disconnected)) {
        shared.log_closed(&error, &peer_name);
    }
}

/// Receives messages on a connection until it closes. Sets `peer_name` once the peer is identified.
async fn receive(
    shared: &Shared,
    mut stream: Async<TcpStream>,
    connection: u64,
    peer_name: &mut String,
) -> Result<Infallible, ConnectionError> {
    let hello = receive_hello(&mut stream).await?;
    let peer = identify_peer(shared, &hello)?;
    *peer_name = hello.name.0.to_string();
    reply_to_hello(shared, &mut stream, connection, peer, hello).await?;
    let timeout = 3 * shared.election_timeout();
    loop {
        let message: PeerMessage =
            with_timeout(timeout, read_frame(&mut stream, MAX_BODY_LEN)).await?;
        let is_heartbeat = matches!(message, PeerMessage::Heartbeat { .. });
        forward_to_groups(
            shared,
            FromLinks::MessageReceived {
                connection,
                message: Box::new(message),
            },
        )
        .await;
        if is_heartbeat {
            with_timeout(timeout, write_all(&mut stream, &HEARTBEAT_ACK)).await?;
        }
    }
}

async fn receive_hello(stream: &mut Async<TcpStream>) -> Result<Hello, ConnectionError> {
    match with_timeout(HELLO_TIMEOUT, read_frame(stream, MAX_HELLO_LEN)).await {
        Ok(hello) => Ok(hello),
        Err(LinkError::Disconnected) => Err(ConnectionError::NoHello),
        Err(error) => Err(error.into()),
    }
}

/// Returns the fleet position of the instance that sent the hello.
fn identify_peer(shared: &Shared, hello: &Hello) -> Result<PeerIndex, ConnectionError> {
    if hello.version != PROTOCOL_VERSION {
        return Err(ConnectionError::VersionMismatch);
    }
    if hello.fleet != shared.fleet.name {
        return Err(ConnectionError::FleetMismatch);
    }
    if *hello.to.0 != *shared.fleet.instances[shared.me].name {
        return Err(ConnectionError::RecipientMismatch);
    }
    let peer = shared
        .fleet
        .instances
        .iter()
        .position(|instance| *instance.name == *hello.name.0);
    match peer {
        Some(peer) if peer != shared.me && hello.incarnation.0 != 0 => Ok(peer),
        _ => Err(ConnectionError::UnknownInstance),
    }
}

/// Requests the reply to the hello from the groups thread, and sends it to the peer.
async fn reply_to_hello(
    shared: &Shared,
    stream: &mut Async<TcpStream>,
    connection: u64,
    peer: PeerIndex,
    hello: Hello,
) -> Result<(), ConnectionError> {
    let (reply_sender, reply) = async_channel::bounded(1);
    shared
        .awaiting_reply
        .borrow_mut()
        .insert(connection, reply_sender);
    shared.notify(FromLinks::HelloReceived {
        connection,
        peer,
        hello,
    });
    let reply = with_timeout(HELLO_TIMEOUT, async {
        reply.recv().await.map_err(|_| LinkError::Disconnected)
    });
    let reply = reply.await.map_err(|_| ConnectionError::NoReply)?;
    with_timeout(HELLO_TIMEOUT, write_all(stream, &encode_frame(&reply))).await?;
    match reply {
        HelloReply::Welcome(_) => Ok(()),
        HelloReply::StaleFolder { .. } => Err(ConnectionError::StaleFolder),
    }
}

/// Forwards an event to the groups thread. A full ring pauses reading from the connection, and thereby its sender.
async fn forward_to_groups(shared: &Shared, mut event: FromLinks) {
    loop {
        let sent = shared.outbox.borrow_mut().try_send(event);
        match sent {
            Ok(()) => return,
            Err(returned) => event = returned,
        }
        shared.outbox.borrow_mut().flush();
        Timer::after(FULL_RING_BACKOFF).await;
    }
}
