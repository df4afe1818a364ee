//! The connection to one instance: made again and again until it replies, then everything that is sent to it. The
//! instance answers each heartbeat; one that does not is connected to anew.

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::channels::{FromLinks, PeerIndex};
use super::link_io::{read_frame, within, write_all, LinkError};
use super::shared::{Line, Shared};
use crate::wire::frame::encode_frame;
use crate::wire::message::{Hello, HelloReply, MAX_HELLO_LEN};
use crate::InstanceName;

/// Bytes that are written at once, approximately.
const WRITE_BATCH_BYTES: usize = 256 << 10;
/// What the other side may take for its verdict, beside an election timeout.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// How a connection ended.
enum LinkEnd {
    /// Before the other side welcomed this instance.
    NotWelcomed,
    AfterWelcome,
}

/// Connects to `peer` as long as the thread runs.
pub(super) async fn maintain_link(shared: Rc<Shared>, peer: PeerIndex) {
    let Some(line) = &shared.lines[peer] else {
        return;
    };
    let mut backoff = shared.heartbeat_interval();
    loop {
        let connected_at = Instant::now();
        let end = run_link(&shared, peer, line).await;
        // What waits was meant for a link that is no more.
        while line.try_next().is_some() {}
        line.is_hanging_up.set(false);
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

async fn run_link(shared: &Shared, peer: PeerIndex, line: &Line) -> LinkEnd {
    let instance = &shared.fleet.instances[peer];
    let Some(mut hello) = shared.hello.borrow().clone() else {
        return LinkEnd::NotWelcomed;
    };
    hello.to = InstanceName(instance.name.as_str().into());
    let timeout = shared.election_timeout() + REPLY_TIMEOUT;
    let (stream, reply) = match within(timeout, connect(instance.address, &hello)).await {
        Ok(connected) => connected,
        Err(error) => {
            // An instance that is down is no news; one that replies with something else is.
            if let LinkError::Frame(_) = error {
                shared.log_closed(&error, &instance.name);
            }
            return LinkEnd::NotWelcomed;
        }
    };
    let is_welcome = matches!(reply, HelloReply::Welcome(_));
    shared.notify(FromLinks::Replied { peer, reply });
    if !is_welcome {
        return LinkEnd::NotWelcomed;
    }
    future::or(
        write_frames(line, &stream),
        await_answers(shared, line, &stream),
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
    // Without it the link is only slower.
    let _ = stream.get_ref().set_nodelay(true);
    write_all(&mut stream, &encode_frame(hello)).await?;
    let reply = read_frame(&mut stream, MAX_HELLO_LEN).await?;
    Ok((stream, reply))
}

/// Writes what waits for the link. Ends when that fails.
async fn write_frames(line: &Line, mut stream: &Async<TcpStream>) {
    while let Some(mut bytes) = line.next().await {
        while bytes.len() < WRITE_BATCH_BYTES {
            let Some(more) = line.try_next() else {
                break;
            };
            bytes.extend_from_slice(&more);
        }
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Reads the answers to heartbeats. Ends when they fail to come.
async fn await_answers(shared: &Shared, line: &Line, mut stream: &Async<TcpStream>) {
    let mut answers = [0; 64];
    let timeout = shared.election_timeout() + shared.election_timeout() / 2;
    while !line.is_hanging_up.get() {
        let read = async {
            stream
                .read(&mut answers)
                .await
                .map_err(|_| LinkError::Disconnected)
        };
        match within(timeout, read).await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return,
        }
    }
}
