//! Connections that other instances made: a first frame within a bound of size and time, the groups' verdict on its
//! sender, then messages.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};

use super::channels::{FromLinks, PeerIndex};
use super::link_io::{read_frame, within, write_all, LinkError};
use super::shared::Shared;
use crate::wire::frame::{encode_frame, MAX_BODY_LEN};
use crate::wire::message::{Hello, HelloReply, PeerMessage, MAX_HELLO_LEN, PROTOCOL_VERSION};

/// How long a caller may take to send its hello, and the groups to reply.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);
/// How long accepting pauses when sockets have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// How long a link pauses when the ring to the groups' thread is full.
const FULL_RING_BACKOFF: Duration = Duration::from_millis(1);
/// Connections taken at once for each instance of the fleet.
const MAX_CALLS_PER_INSTANCE: usize = 4;
/// Connections taken at once beside those.
const MAX_OTHER_CALLS: usize = 16;
/// The answer to each heartbeat.
const HEARTBEAT_ANSWER: [u8; 1] = [1];

/// Why a caller's connection ended.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("no hello")]
    NoHello,
    #[error("another version")]
    OtherVersion,
    #[error("another fleet")]
    OtherFleet,
    #[error("it means another instance")]
    OtherInstance,
    #[error("an unknown instance")]
    UnknownInstance,
    #[error("no answer was ready")]
    NoReply,
    #[error("its folder is an older copy")]
    StaleFolder,
    #[error("too many calls")]
    TooManyCalls,
    #[error(transparent)]
    Link(#[from] LinkError),
}

/// The connections that are open. Each holds an [`OpenCall`], which counts it out when it is dropped.
#[derive(Default)]
struct OpenCalls {
    count: Cell<usize>,
    last_call: Cell<u64>,
}

struct OpenCall {
    calls: Rc<OpenCalls>,
    number: u64,
}

impl OpenCalls {
    fn open(self: &Rc<Self>, max: usize) -> Option<OpenCall> {
        if self.count.get() >= max {
            return None;
        }
        self.count.set(self.count.get() + 1);
        self.last_call.set(self.last_call.get() + 1);
        Some(OpenCall {
            calls: self.clone(),
            number: self.last_call.get(),
        })
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.calls.count.set(self.calls.count.get() - 1);
    }
}

/// Accepts connections as long as the thread runs. The executor is not kept alive by a task of its own.
pub(super) async fn accept_all(
    shared: Rc<Shared>,
    listener: Async<TcpListener>,
    executor: Weak<LocalExecutor<'static>>,
) {
    let max_calls = MAX_CALLS_PER_INSTANCE * shared.fleet.instances.len() + MAX_OTHER_CALLS;
    let calls = Rc::new(OpenCalls::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(call) = calls.open(max_calls) else {
            shared.log_closed(&CallError::TooManyCalls, "unknown");
            continue;
        };
        let Some(executor) = executor.upgrade() else {
            return;
        };
        executor
            .spawn(serve_call(shared.clone(), stream, call))
            .detach();
    }
}

async fn serve_call(shared: Rc<Shared>, stream: Async<TcpStream>, call: OpenCall) {
    // Without it the link is only slower.
    let _ = stream.get_ref().set_nodelay(true);
    let mut caller = "unknown".to_owned();
    let Err(error) = receive(&shared, stream, call.number, &mut caller).await;
    shared.awaiting_reply.borrow_mut().remove(&call.number);
    shared.notify(FromLinks::CallEnded { call: call.number });
    if !matches!(error, CallError::Link(LinkError::Disconnected)) {
        shared.log_closed(&error, &caller);
    }
}

/// Receives from a link until it ends. `caller` is its name, once that is known.
async fn receive(
    shared: &Shared,
    mut stream: Async<TcpStream>,
    call: u64,
    caller: &mut String,
) -> Result<Infallible, CallError> {
    let hello = receive_hello(&mut stream).await?;
    let peer = identify(shared, &hello)?;
    *caller = hello.name.0.to_string();
    reply_to_hello(shared, &mut stream, call, peer, hello).await?;
    let timeout = 3 * shared.election_timeout();
    loop {
        let message: PeerMessage = within(timeout, read_frame(&mut stream, MAX_BODY_LEN)).await?;
        let is_heartbeat = matches!(message, PeerMessage::Heartbeat { .. });
        hand_on(
            shared,
            FromLinks::Received {
                call,
                message: Box::new(message),
            },
        )
        .await;
        if is_heartbeat {
            within(timeout, write_all(&mut stream, &HEARTBEAT_ANSWER)).await?;
        }
    }
}

async fn receive_hello(stream: &mut Async<TcpStream>) -> Result<Hello, CallError> {
    match within(HELLO_TIMEOUT, read_frame(stream, MAX_HELLO_LEN)).await {
        Ok(hello) => Ok(hello),
        Err(LinkError::Disconnected) => Err(CallError::NoHello),
        Err(error) => Err(error.into()),
    }
}

/// Which instance of the fleet has called.
fn identify(shared: &Shared, hello: &Hello) -> Result<PeerIndex, CallError> {
    if hello.version != PROTOCOL_VERSION {
        return Err(CallError::OtherVersion);
    }
    if hello.fleet != shared.fleet.name {
        return Err(CallError::OtherFleet);
    }
    if *hello.to.0 != *shared.fleet.instances[shared.me].name {
        return Err(CallError::OtherInstance);
    }
    let peer = shared
        .fleet
        .instances
        .iter()
        .position(|instance| *instance.name == *hello.name.0);
    match peer {
        Some(peer) if peer != shared.me && hello.incarnation.0 != 0 => Ok(peer),
        _ => Err(CallError::UnknownInstance),
    }
}

/// Asks the groups' thread for its verdict on the caller, and sends it.
async fn reply_to_hello(
    shared: &Shared,
    stream: &mut Async<TcpStream>,
    call: u64,
    peer: PeerIndex,
    hello: Hello,
) -> Result<(), CallError> {
    let (verdict, reply) = async_channel::bounded(1);
    shared.awaiting_reply.borrow_mut().insert(call, verdict);
    shared.notify(FromLinks::Called { call, peer, hello });
    let reply = within(HELLO_TIMEOUT, async {
        reply.recv().await.map_err(|_| LinkError::Disconnected)
    });
    let reply = reply.await.map_err(|_| CallError::NoReply)?;
    within(HELLO_TIMEOUT, write_all(stream, &encode_frame(&reply))).await?;
    match reply {
        HelloReply::Welcome(_) => Ok(()),
        HelloReply::StaleFolder { .. } => Err(CallError::StaleFolder),
    }
}

/// Hands on to the groups' thread. A full ring holds the link back, and with it the sender.
async fn hand_on(shared: &Shared, mut event: FromLinks) {
    loop {
        let sent = shared.outbox.borrow_mut().try_send(event);
        match sent {
            Ok(()) => return,
            Err(back) => event = back,
        }
        shared.outbox.borrow_mut().flush();
        Timer::after(FULL_RING_BACKOFF).await;
    }
}
