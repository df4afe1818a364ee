//! Client connections: each has an actor that reads requests, hands events to the decisions and answers.

mod answering;
mod broadcast;
mod client;
mod door;
mod reading;
mod request;
#[cfg(test)]
mod tests;

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use plankhill_http1 as http1;
use slog::warn;

use self::client::{Client, READING};
use self::door::{Door, Waits};
use crate::closing;
use crate::common::Common;
use crate::counted::Counted;
use crate::exchange::{is_quiet, Stream};
use crate::look;
use crate::mail::CameIn;
use crate::operators;
use crate::targets::most_idle;

/// Descriptors for discovery, the ledger, the log and the reactor.
const FILES: usize = 24;
/// Between looks while no more connections are accepted.
const PAUSE: Duration = Duration::from_millis(20);

/// Between looks whether the last client has its answer.
const LOOK: Duration = Duration::from_millis(10);

/// Whoever is half-way through a request is owed its answer, or is told that it took too long. So is whoever waits in
/// the kernel's queue: the end may be due in the same turn in which one comes.
pub async fn all_served(common: &Common) {
    loop {
        while common.clients.get() > 0 {
            Timer::after(LOOK).await;
        }
        look::all_sockets().await;
        if common.clients.get() == 0 {
            return;
        }
    }
}

/// The clients' connections, those that are accepted and those that another process passes on.
#[derive(Clone)]
pub struct Clients {
    common: Common,
    to_rounds: Sender<CameIn>,
    door: Rc<Door>,
}

impl Clients {
    pub fn new(common: Common, to_rounds: Sender<CameIn>) -> Self {
        let door = Rc::new(Door {
            open: common.clients.clone(),
            ..Door::default()
        });
        Clients {
            common,
            to_rounds,
            door,
        }
    }

    /// As many are served at most: what the targets, discovery, the files and operators do not need, nor the
    /// process that this one took over from.
    fn most(&self) -> usize {
        let told = &self.common.told;
        let callers = told.admin_address.map_or(0, |_| operators::MOST + 1);
        let others = most_idle(told)
            + told.decisions.max_calls_in_flight
            + FILES
            + callers
            + self.common.aside.get();
        told.max_sockets.saturating_sub(others).max(1)
    }

    pub async fn listen(self, listener: Async<TcpListener>) {
        let door = &self.door;
        let mut incoming = Box::pin(listener.incoming());
        while let Some(came) = incoming.next().await {
            let stream = match came {
                Ok(stream) => stream,
                Err(e) => {
                    warn!(self.common.log, "a connection cannot be accepted"; "error" => %e);
                    Timer::after(PAUSE).await;
                    continue;
                }
            };
            let _ = stream.get_ref().set_nodelay(true);
            // The last of them are told that it is full.
            let most = self.most();
            door.most.set(most - most / 8);
            let full = !door.has_room();
            let mut counted = Counted::new(&door.open, most);
            // Some that were to make room go on with what just came, but once only.
            while counted.is_none() && door.has_room() {
                future::yield_now().await;
                counted = Counted::new(&door.open, most);
            }
            let Some(counted) = counted else {
                // All of them are being served.
                self.turn_away(stream);
                continue;
            };
            self.serve(stream, full, counted, Waits::Silent, READING);
            // Those that made room end now, and what was accepted is read before more is.
            future::yield_now().await;
        }
    }

    /// A connection on which another process waited for the next request.
    pub fn take_over(&self, stream: Stream, asked: u64, left: Duration) {
        let waits = [Waits::Silent, Waits::Once, Waits::Idle][asked.min(2) as usize];
        match Counted::new(&self.door.open, self.most()) {
            Some(counted) => self.serve(stream, false, counted, waits, left),
            // One that rests may be closed, but its request may lie in it.
            None if !is_quiet(&stream) => self.turn_away(stream),
            None => (),
        }
    }

    fn turn_away(&self, stream: Stream) {
        let mut message = Vec::with_capacity(128);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("Retry-After", &1), ("Connection", &"close")];
        let _ = http1::response(&mut message, 503, &fields, 0);
        closing::turn_away(&stream, &message);
    }

    fn serve(&self, stream: Stream, full: bool, counted: Counted, waits: Waits, left: Duration) {
        let Clients {
            common,
            to_rounds,
            door,
        } = self.clone();
        let executor = common.executor.clone();
        let came = Instant::now();
        let (begun, last, ready) = (None, false, None);
        let client = Client {
            common,
            to_rounds,
            stream,
            full,
            door,
            begun,
            last,
            came,
            ready,
            _counted: counted,
        };
        executor
            .spawn(client.run(waits, Instant::now() + left))
            .detach();
    }
}
