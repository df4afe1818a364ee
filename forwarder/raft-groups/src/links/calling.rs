//! The link to one instance: called until it answers, then all that is said to it. It answers each beat; one
//! that does not is called anew.

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::called::{read, within};
use super::shared::{FromLinks, Line, Peer, Shared};
use crate::wire::frame::frame;
use crate::wire::said::{Answer, LONGEST_HELLO};
use crate::InstanceName;

/// Bytes written at once, about.
const AT_ONCE: usize = 256 << 10;

pub(super) async fn call(shared: Rc<Shared>, peer: Peer) {
    let Some(line) = &shared.lines[peer] else {
        return;
    };
    let mut pause = shared.heartbeat();
    loop {
        let begun = Instant::now();
        let answered = speak(&shared, peer, line).await;
        // What waited was meant for a link that is no more.
        while let Ok(frame) = line.waiting.try_recv() {
            line.bytes.set(line.bytes.get().saturating_sub(frame.len()));
        }
        line.hang_up.set(false);
        if answered {
            shared.tell(FromLinks::Lost { peer });
        }
        let lasted = begun.elapsed() > shared.election();
        pause = if lasted {
            shared.heartbeat()
        } else {
            (2 * pause).min(shared.election())
        };
        Timer::after(pause).await;
    }
}

/// True if it answered before it ended.
async fn speak(shared: &Shared, peer: Peer, line: &Line) -> bool {
    let instance = &shared.fleet.instances[peer];
    let Some(mut hello) = shared.hello.borrow().clone() else {
        return false;
    };
    hello.to = InstanceName(instance.name.as_str().into());
    let span = shared.election();
    let met = async {
        let mut stream = Async::<TcpStream>::connect(instance.address)
            .await
            .map_err(|_| None)?;
        // Delays only cost time.
        let _ = stream.get_ref().set_nodelay(true);
        stream.write_all(&frame(&hello)).await.map_err(|_| None)?;
        let (answer, _) = read::<Answer>(&mut stream, LONGEST_HELLO).await?;
        Ok((stream, answer))
    };
    let (stream, answer) = match within(span + Duration::from_secs(3), met).await {
        Ok(met) => met,
        Err(why) => {
            if let Some(why) = why.filter(|why| *why != "silence") {
                shared.complain(why, &instance.name);
            }
            return false;
        }
    };
    let welcomed = matches!(answer, Answer::Welcome(_));
    shared.tell(FromLinks::Answered { peer, answer });
    if !welcomed {
        return false;
    }
    future::or(write(line, &stream), listen(shared, line, &stream)).await;
    true
}

async fn write(line: &Line, mut stream: &Async<TcpStream>) {
    while let Ok(mut bytes) = line.waiting.recv().await {
        line.bytes.set(line.bytes.get().saturating_sub(bytes.len()));
        while bytes.len() < AT_ONCE {
            let Ok(more) = line.waiting.try_recv() else {
                break;
            };
            line.bytes.set(line.bytes.get().saturating_sub(more.len()));
            bytes.extend_from_slice(&more);
        }
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Its answers to beats. Ends when they fail to come.
async fn listen(shared: &Shared, line: &Line, mut stream: &Async<TcpStream>) {
    let mut answers = [0; 64];
    let silence = shared.election() + shared.election() / 2;
    while !line.hang_up.get() {
        let heard = within(silence, async {
            stream.read(&mut answers).await.map_err(|_| None)
        })
        .await;
        if !matches!(heard, Ok(1..)) {
            return;
        }
    }
}
