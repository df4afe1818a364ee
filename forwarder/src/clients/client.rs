//! One connection of a client: its actor waits for requests, hands events to the decisions and answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;
use plankhill::interface::Ms;
use plankhill_handover::{Event, Verdict, Word};
use slog::debug;

use super::door::{Door, Left, Waits, IDLE, JUST_CAME};
use super::request::{Asked, Begun, Refusal};
use crate::clock::millis;
use crate::common::Common;
use crate::counted::Counted;
use crate::exchange::{is_gone, is_quiet, until, Body, Stream};
use crate::mail::{CameIn, Handed};
use crate::passes;

/// A request has to be whole so long after its first byte, the first one so long after it could come: a
/// client that sends none hears so within the three seconds that it is owed.
pub(super) const READING: Duration = Duration::from_secs(2);

pub(super) struct Client {
    pub(super) common: Common,
    pub(super) to_rounds: Sender<CameIn>,
    pub(super) stream: Stream,
    /// There are too many connections: this one is told so.
    pub(super) full: bool,
    pub(super) door: Rc<Door>,
    /// When bytes were last read from it.
    pub(super) came: Instant,
    /// Since when bytes lie in it that are not read yet, if they came before the answer that they wait for.
    pub(super) ready: Option<Instant>,
    pub(super) _counted: Counted,
}

impl Client {
    pub(super) async fn run(mut self, mut waits: Waits, mut by: Instant) {
        let mut begun = None;
        let door = self.door.clone();
        loop {
            if begun.is_none() {
                let more = self.has_more(waits, by).await;
                if let Some(to) = self.common.passes.to() {
                    return self.pass(to, waits, by).await;
                }
                if !more {
                    return;
                }
            }
            if waits != Waits::Silent {
                by = Instant::now() + READING;
            }
            let Some(now) = begun.take().or_else(|| self.fresh()) else {
                return self.refuse(Refusal(503, "no memory for more requests")).await;
            };
            let request = match door.waits(Waits::Reads, by, self.read(now)).await {
                Ok(Ok(Some(request))) => request,
                Ok(Ok(None)) => return,
                Ok(Err(refusal)) => return self.refuse(refusal).await,
                Err(Left::TimeIsUp) => return self.refuse(Refusal(408, "the request took too long")).await,
                Err(Left::MadeRoom) => {
                    // It has to go at once, without a look at what it still sends.
                    self.respond(408, &[], "", true).await;
                    return;
                }
            };
            waits = if waits == Waits::Silent { Waits::Once } else { Waits::Idle };
            by = Instant::now() + if waits == Waits::Once { door.once() } else { IDLE };
            let closes = request.closes || self.full || self.common.gate.is_shut();
            begun = request.next;
            let answered = match request.asked {
                Asked::Up if self.common.gate.is_shut() => self.respond(503, &[], "", true).await,
                Asked::Up => self.respond(200, &[], "", closes).await,
                Asked::Event(mut event) => {
                    event.patience = left(event.patience, request.since);
                    // The buffer goes back: an event may be held for long, and most bodies are short.
                    let body = Body::from(&request.buffer[request.body]);
                    drop(request.buffer);
                    self.event(event, body, closes).await
                }
                Asked::Broadcast(list, mut event) => {
                    event.patience = left(event.patience, request.since);
                    let body = Body::from(&request.buffer[request.body]);
                    drop(request.buffer);
                    self.broadcast(list, event, body, closes).await
                }
            };
            if closes || !answered {
                return;
            }
        }
    }

    /// The process that takes over serves it on, with what lies unread in it.
    async fn pass(self, to: Sender<passes::Told>, waits: Waits, by: Instant) {
        let asked = match waits {
            Waits::Silent => 0,
            Waits::Once => 1,
            _ => 2,
        };
        let left = by.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        if let Ok(stream) = self.stream.into_inner() {
            let _ = to.send((Word::Client { asked, left }, Some(stream.into()))).await;
        }
    }

    pub(super) fn fresh(&self) -> Option<Begun> {
        // Calls are not to want for one, nor clients where the memory is small for the slots.
        let pool = &self.common.pool;
        let spare = pool.left() > self.common.told.terms.slots.min(pool.most() / 2);
        spare.then(|| pool.take()).flatten().map(|buffer| Begun { buffer, filled: 0 })
    }

    /// Waits for the next request without a buffer; false if the connection has nothing more to serve.
    async fn has_more(&mut self, waits: Waits, by: Instant) -> bool {
        let closes = async {
            self.common.gate.shuts().await;
            if waits == Waits::Silent {
                // The front sent it here before it knew; its request comes right behind it.
                Timer::after(JUST_CAME).await;
            }
        };
        let readable = async {
            let _ = self.stream.readable().await;
        };
        let over = future::or(closes, self.common.passes.opens());
        let more = self.door.waits(waits, by, future::or(readable, over)).await.is_ok();
        // What has come by then is still answered.
        more && !self.common.gate.is_shut() || !is_quiet(&self.stream)
    }

    /// Hands an event to the decisions and answers the client. A client that goes before it has its answer
    /// takes the event back.
    async fn event(&mut self, event: Event, body: Body, closes: bool) -> bool {
        // After a stall many have gone already.
        if is_gone(&self.stream) {
            return false;
        }
        // Copies are handed in under ids of their own.
        if self.common.fanout.as_ref().is_some_and(|fanout| fanout.bars(&event.id)) {
            return self.tell(Verdict::Refused(None), closes).await;
        }
        if self.full {
            let wait = self.common.told.terms.longest_advice;
            return self.tell(Verdict::Refused(wait), closes).await;
        }
        let (answer, verdict) = async_channel::bounded(1);
        let id = event.id.clone();
        let patience_ends = self.common.clock.now() + event.patience;
        // What is not committed by then is neither taken nor refused: the connection is closed without a word.
        let patience = self.common.copies().map(|_| Instant::now() + millis(event.patience));
        let number = self.common.number();
        let handed = Handed { number, event, patience_ends, body, answer };
        if self.to_rounds.send(CameIn::Event(handed)).await.is_err() {
            return self.tell(Verdict::Refused(None), true).await;
        }
        let mut ready = None;
        let gone = async {
            let _ = self.stream.readable().await;
            if !is_gone(&self.stream) {
                ready = (!is_quiet(&self.stream)).then(Instant::now);
                future::pending::<()>().await;
            }
            None
        };
        let heard = async {
            let verdict = async { verdict.recv().await.ok() };
            match patience {
                Some(ends) => until(ends, verdict).await.flatten(),
                None => verdict.await,
            }
        };
        let verdict = future::or(heard, gone).await;
        self.ready = ready;
        let told = match verdict {
            Some(verdict) => self.tell(verdict, closes).await,
            None => false,
        };
        if !told && matches!(verdict, Some(Verdict::TakenOn) | None) {
            debug!(self.common.log, "a client left before its answer"; "event" => &*id.0);
            let _ = self.to_rounds.send(CameIn::Withdrawn(id, number)).await;
        }
        told
    }
}

/// What is left of a patience that began with the first byte of its request.
fn left(patience: Ms, since: Instant) -> Ms {
    (patience - since.elapsed().as_secs_f64() * 1000.0).max(0.0)
}
