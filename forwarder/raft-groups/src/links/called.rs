//! Those who call: a first frame within a bound of size and time, the groups' verdict, then frames.

use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde::de::DeserializeOwned;

use super::shared::{FromLinks, Peer, Shared, CALLS_BESIDE, CALLS_EACH};
use crate::wire::frame::{body, frame, head, Broken, HEAD, LONGEST};
use crate::wire::said::{Answer, Hello, Said, LONGEST_HELLO, VERSION};

/// How long a caller may take to say who it is, and the groups to answer.
const FIRST: Duration = Duration::from_secs(3);

pub(super) async fn accept(
    shared: Rc<Shared>,
    listener: Async<std::net::TcpListener>,
    // Not to be kept alive by a task of its own.
    tasks: Weak<LocalExecutor<'static>>,
) {
    let most = CALLS_EACH * shared.fleet.instances.len() + CALLS_BESIDE;
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.open_calls.get() < most => {
                let Some(tasks) = tasks.upgrade() else { return };
                shared.open_calls.set(shared.open_calls.get() + 1);
                tasks.spawn(taken(shared.clone(), stream)).detach();
            }
            Ok(_) => shared.complain("too many calls", "unknown"),
            Err(_) => {
                // Out of sockets: later again.
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn taken(shared: Rc<Shared>, stream: Async<TcpStream>) {
    // Delays only cost time.
    let _ = stream.get_ref().set_nodelay(true);
    let call = shared.calls.get() + 1;
    shared.calls.set(call);
    let (why, who) = match heard(&shared, stream, call).await {
        Ok(never) => match never {},
        Err(ended) => ended,
    };
    shared.answers.borrow_mut().remove(&call);
    shared.open_calls.set(shared.open_calls.get() - 1);
    shared.tell(FromLinks::Ended { call });
    if let Some(why) = why {
        shared.complain(why, &who);
    }
}

/// Why it ended, unless it just went, and with whom.
type Ended = (Option<&'static str>, String);

enum Never {}

async fn heard(shared: &Shared, mut stream: Async<TcpStream>, call: u64) -> Result<Never, Ended> {
    let nobody = |why| (Some(why), "unknown".to_owned());
    let hello = within(FIRST, read::<Hello>(&mut stream, LONGEST_HELLO)).await;
    let (hello, _) = hello.map_err(|end| nobody(end.unwrap_or("no hello")))?;
    let peer = known(shared, &hello).map_err(nobody)?;
    let who = hello.name.0.to_string();
    let (verdict, answer) = async_channel::bounded(1);
    shared.answers.borrow_mut().insert(call, verdict);
    shared.tell(FromLinks::Called { call, peer, hello });
    let answer = within(FIRST, async { answer.recv().await.map_err(|_| None) }).await;
    let answer = answer.map_err(|_| (Some("no answer was ready"), who.clone()))?;
    let refused = matches!(answer, Answer::OlderCopy { .. });
    let said = within(FIRST, async {
        stream.write_all(&frame(&answer)).await.map_err(|_| None)
    })
    .await;
    said.map_err(|why| (why, who.clone()))?;
    if refused {
        return Err((Some("its folder is an older copy"), who));
    }
    let silence = 3 * shared.election();
    loop {
        let next = within(silence, read::<Said>(&mut stream, LONGEST)).await;
        let (said, _) = next.map_err(|why| (why, who.clone()))?;
        let beat = matches!(said, Said::Beat { .. });
        pass_on(
            shared,
            FromLinks::Said {
                call,
                said: Box::new(said),
            },
        )
        .await;
        if beat {
            let heard = within(silence, async {
                stream.write_all(&[1]).await.map_err(|_| None)
            })
            .await;
            heard.map_err(|why| (why, who.clone()))?;
        }
    }
}

/// A full ring holds the link back, and with it the sender.
async fn pass_on(shared: &Shared, mut news: FromLinks) {
    loop {
        let sent = shared.outbox.borrow_mut().try_send(news);
        match sent {
            Ok(()) => return,
            Err(back) => news = back,
        }
        shared.outbox.borrow_mut().flush();
        Timer::after(Duration::from_millis(1)).await;
    }
}

fn known(shared: &Shared, hello: &Hello) -> Result<Peer, &'static str> {
    if hello.version != VERSION {
        return Err("another version");
    }
    if hello.fleet != shared.fleet.name {
        return Err("another fleet");
    }
    if *hello.to.0 != *shared.fleet.instances[shared.me].name {
        return Err("it means another instance");
    }
    let place = shared
        .fleet
        .instances
        .iter()
        .position(|i| *i.name == *hello.name.0);
    place
        .filter(|at| *at != shared.me && hello.incarnation.0 != 0)
        .ok_or("an unknown instance")
}

/// Within the span or not at all; the error says why, None where the other side just went.
pub(super) async fn within<T>(
    span: Duration,
    what: impl std::future::Future<Output = Result<T, Option<&'static str>>>,
) -> Result<T, Option<&'static str>> {
    future::or(what, async {
        Timer::after(span).await;
        Err(Some("silence"))
    })
    .await
}

/// One frame, and its length.
pub(super) async fn read<T: DeserializeOwned>(
    stream: &mut Async<TcpStream>,
    longest: usize,
) -> Result<(T, usize), Option<&'static str>> {
    let told = |broken| {
        Some(match broken {
            Broken::Oversized => "an oversized frame",
            Broken::Torn => "a torn frame",
        })
    };
    let mut first = [0; HEAD];
    stream.read_exact(&mut first).await.map_err(|_| None)?;
    let (length, sum) = head(first, longest).map_err(told)?;
    // Grows with what came, not with what was announced.
    let mut bytes = Vec::new();
    let read = (&mut *stream)
        .take(length as u64)
        .read_to_end(&mut bytes)
        .await;
    read.map_err(|_| None)?;
    if bytes.len() < length {
        return Err(Some("a torn frame"));
    }
    Ok((body(&bytes, sum).map_err(told)?, length))
}
