//! The connection to one other instance: retried until the instance accepts it, then used for all messages to that
//! instance. The instance acknowledges each heartbeat; the connection is reopened if acknowledgements stop.

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::channels::{FromLinks, PeerIndex};
use super::link_io::{read_frame, with_timeout, write_all, LinkError};
use super::shared::{SendQueue, Shared};
use crate::wire::frame::encode_frame;
use crate::wire::message::{Hello, HelloReply, MAX_HELLO_LEN};
use crate::InstanceName;

/// The approximate number of bytes per write.
const WRITE_BATCH_BYTES: usize = 256 << 10;
/// The time allowed for the hello reply, in addition to an election timeout.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// The phase in which a connection ended.
enum LinkEnd {
    /// The peer had not accepted this instance yet.
    BeforeWelcome,
    AfterWelcome,
}

/// Keeps a link to `peer` open as long as the thread runs.
pub(super) async fn maintain_link(shared: Rc<Shared>, peer: PeerIndex) {
    let Some(queue) = &shared.send_queues[peer] else {
        return;
    };
    let mut backoff = shared.heartbeat_interval();
    loop {
        let connected_at = Instant::now();
        let end = run_link(&shared, peer, queue).await;
        // The remaining frames were queued for the link that has ended.
        while queue.try_next().is_some() {}
        queue.is_close_requested.set(false);
        if let LinkEnd::AfterWelcome = end {
            shared.notify(FromLinks::LinkLost { peer });
        }
        backoff = if connected_at.elapsed() > shared.election_timeout() {
            shared.heartbeat_interval()
        } else {
            (2 * backoff).min(shared.election_timeout())
        };
        Timer::after(backoff).await;
    }
}

async fn run_link(shared: &Shared, peer: PeerIndex, queue: &SendQueue) -> LinkEnd {
    let instance = &shared.fleet.instances[peer];
    let Some(mut hello) = shared.hello.borrow().clone() else {
        return LinkEnd::BeforeWelcome;
    };
    hello.to = InstanceName(instance.name.as_str().into());
    let timeout = shared.election_timeout() + REPLY_TIMEOUT;
    let (stream, reply) = match with_timeout(timeout, connect(instance.address, &hello)).await {
        Ok(connected) => connected,
        Err(error) => {
            // An unreachable instance is expected and not logged; an invalid reply is logged.
            if let LinkError::Frame(_) = error {
                shared.log_closed(&error, &instance.name);
            }
            return LinkEnd::BeforeWelcome;
        }
    };
    let is_welcome = matches!(reply, HelloReply::Welcome(_));
    shared.notify(FromLinks::ReplyReceived { peer, reply });
    if !is_welcome {
        return LinkEnd::BeforeWelcome;
    }
    future::or(
        write_frames(queue, &stream),
        read_heartbeat_acks(shared, queue, &stream),
    )
    .await;
    LinkEnd::AfterWelcome
}

async fn connect(
    address: std::net::SocketAddr,
    hello: &Hello,
) -> Result<(Async<TcpStream>, HelloReply), LinkError> {
    let connected = Async::<TcpStream>::connect(address).await;
    let mut stream = connected.map_err(|_| LinkError::Disconnected)?;
    // Without `TCP_NODELAY` the link is only slower, so a failure is ignored.
    let _ = stream.get_ref().set_nodelay(true);
    write_all(&mut stream, &encode_frame(hello)).await?;
    let reply = read_frame(&mut stream, MAX_HELLO_LEN).await?;
    Ok((stream, reply))
}

/// Writes queued frames to the link. Returns when a write fails.
async fn write_frames(queue: &SendQueue, mut stream: &Async<TcpStream>) {
    while let Some(mut bytes) = queue.next().await {
        while bytes.len() < WRITE_BATCH_BYTES {
            let Some(more) = queue.try_next() else {
                break;
            };
            bytes.extend_from_slice(&more);
        }
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Reads the acknowledgements of heartbeats. Returns when they stop or the link is to be closed.
async fn read_heartbeat_acks(shared: &Shared, queue: &SendQueue, mut stream: &Async<TcpStream>) {
    let mut acks = [0; 64];
    let timeout = shared.election_timeout() + shared.election_timeout() / 2;
    while !queue.is_close_requested.get() {
        let read = async {
            stream
                .read(&mut acks)
                .await
                .map_err(|_| LinkError::Disconnected)
        };
        match with_timeout(timeout, read).await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return,
        }
    }
}
