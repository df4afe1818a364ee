//! The operators' address: one call to a connection, answered within a second whatever clients do. It has
//! an actor, a few connections and their descriptors of its own. Who holds a connection with no whole call
//! is closed in bounded time, and sooner, the longest wait first, if others come.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, StreamExt};
use plankhill_admin::{asked, Asked, Order, Refused, Reply};
use plankhill_http1::{self as http1, HeadSearch, RequestHead};
use slog::warn;

use crate::closing;
use crate::common::Common;
use crate::counted::Counted;
use crate::exchange::{until, Stream};
use crate::mail::CameIn;

/// Callers at once; their descriptors are set aside.
pub const MOST: usize = 16;
/// A call is whole after so long, or its caller is closed.
const READING: Duration = Duration::from_secs(2);
/// Answers are owed within a second.
const DECIDING: Duration = Duration::from_millis(800);
const WRITING: Duration = Duration::from_millis(500);
/// What a caller still sends behind its answer is read for so long, so that the answer is not broken off.
const LINGERING: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_millis(20);
/// A head and a body that means nothing.
const LONGEST: usize = 8 * 1024;

#[derive(Clone)]
struct Desk {
    common: Common,
    to_rounds: Sender<CameIn>,
    open: Rc<Cell<usize>>,
    /// Callers that are waited for, in the order in which they make room; one that is dropped here goes.
    waiting: Rc<RefCell<Waiting>>,
}

type Waiting = BTreeMap<(Waits, u64), Sender<()>>;

/// What a caller is waited for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Waits {
    /// It has its answer, and has not closed yet.
    Lingers,
    /// Its call is not whole yet.
    Calls,
}

/// Why nothing came.
enum Left {
    TimeIsUp,
    MadeRoom,
}

pub async fn listen(common: Common, listener: Async<TcpListener>, to_rounds: Sender<CameIn>) {
    let desk = Desk {
        common,
        to_rounds,
        open: Rc::default(),
        waiting: Rc::default(),
    };
    let mut incoming = Box::pin(listener.incoming());
    let mut number = 0;
    while let Some(came) = incoming.next().await {
        let stream = match came {
            Ok(stream) => stream,
            Err(e) => {
                warn!(desk.common.log, "a caller cannot be accepted"; "error" => %e);
                Timer::after(PAUSE).await;
                continue;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        while desk.open.get() >= MOST && desk.waiting.borrow_mut().pop_first().is_some() {
            // The one that made room ends now.
            future::yield_now().await;
        }
        let Some(counted) = Counted::new(&desk.open, MOST) else {
            // None waits: all are being answered.
            message(503, None)
                .iter()
                .for_each(|no| closing::turn_away(&stream, no));
            continue;
        };
        number += 1;
        desk.common
            .executor
            .spawn(desk.clone().call(stream, number, counted))
            .detach();
        // Of many that come at once each is read before another needs its place.
        future::yield_now().await;
    }
}

impl Desk {
    async fn call(self, mut stream: Stream, number: u64, _counted: Counted) {
        let mut bytes = vec![0; LONGEST];
        let by = Instant::now() + READING;
        let asked = self
            .waits(Waits::Calls, number, by, read(&mut stream, &mut bytes))
            .await;
        let (status, allow) = match asked {
            Err(Left::TimeIsUp) => (408, None),
            // None that called: it has read all that lay there.
            Err(Left::MadeRoom) | Ok(Err(Broken::Left)) => return,
            Ok(Err(Broken::Malformed)) => (400, None),
            Ok(Ok(Err(refused))) => match refused {
                Refused::NoSuchPath => (404, None),
                Refused::OnlyMethod(method) => (405, Some(method)),
                Refused::Id => (400, None),
            },
            Ok(Ok(Ok(Asked::Ready))) => (if self.common.is_ready() { 200 } else { 503 }, None),
            Ok(Ok(Ok(Asked::Order(order)))) => (self.carry_out(order).await, None),
        };
        let Some(message) = message(status, allow) else {
            return;
        };
        if matches!(
            until(Instant::now() + WRITING, stream.write_all(&message)).await,
            Some(Ok(()))
        ) {
            let by = Instant::now() + LINGERING;
            let _ = self
                .waits(Waits::Lingers, number, by, closing::ends(&stream))
                .await;
        }
    }

    async fn waits<T>(
        &self,
        what: Waits,
        number: u64,
        by: Instant,
        for_it: impl Future<Output = T>,
    ) -> Result<T, Left> {
        let (stays, leaves) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert((what, number), stays);
        let makes_room = async {
            let _ = leaves.recv().await;
            Err(Left::MadeRoom)
        };
        let came = until(by, future::or(async { Ok(for_it.await) }, makes_room)).await;
        self.waiting.borrow_mut().remove(&(what, number));
        came.unwrap_or(Err(Left::TimeIsUp))
    }

    async fn carry_out(&self, order: Order) -> u16 {
        let (reply, replies) = async_channel::bounded(1);
        let decided = async {
            self.to_rounds
                .send(CameIn::Operator(order, reply))
                .await
                .ok()?;
            replies.recv().await.ok()
        };
        // What is answered with a no is not done later: the decisions see that nobody waits any more.
        match until(Instant::now() + DECIDING, decided).await.flatten() {
            Some(Reply::Done) => 200,
            Some(Reply::NeverListed) => 404,
            Some(Reply::NotRecorded) | None => 503,
        }
    }
}

enum Broken {
    /// The caller ended the connection before its call was whole.
    Left,
    Malformed,
}

/// Reads one call with the body that it may have.
async fn read(stream: &mut Stream, bytes: &mut [u8]) -> Result<Result<Asked, Refused>, Broken> {
    let (mut search, mut filled) = (HeadSearch::default(), 0);
    loop {
        let end = search.end(&bytes[..filled]);
        if let Some(end) = end {
            let head = RequestHead::read(&bytes[..end]).map_err(|_| Broken::Malformed)?;
            let http1::Body::Length(length) = head.body else {
                return Err(Broken::Malformed);
            };
            if length > (bytes.len() - end) as u64 {
                return Err(Broken::Malformed);
            }
            if filled >= end + length as usize {
                return Ok(asked(head.method, head.path()));
            }
        }
        if filled == bytes.len() {
            return Err(Broken::Malformed);
        }
        match stream.read(&mut bytes[filled..]).await {
            Ok(0) | Err(_) => return Err(Broken::Left),
            Ok(read) => filled += read,
        }
    }
}

fn message(status: u16, allow: Option<&'static str>) -> Option<Vec<u8>> {
    let mut fields: Vec<(&str, &dyn std::fmt::Display)> = vec![("Connection", &"close")];
    if let Some(method) = &allow {
        fields.push(("Allow", method));
    }
    let mut message = Vec::with_capacity(128);
    http1::response(&mut message, status, &fields, 0).ok()?;
    Some(message)
}
