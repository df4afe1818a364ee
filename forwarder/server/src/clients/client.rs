//! One connection of a client: its actor waits for requests, hands events to the decisions and answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;
use plankhill_decisions::interface::Ms;
use plankhill_hot_restart::{Event, Verdict, Word};
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
    /// The beginning of the next request, if it came with the one before.
    pub(super) begun: Option<Begun>,
    /// Whether the next answer is the last, or the last one was.
    pub(super) last: bool,
    /// When bytes were last read from it.
    pub(super) came: Instant,
    /// Since when bytes lie in it that are not read yet, if they came before the answer that they wait for.
    pub(super) ready: Option<Instant>,
    pub(super) _counted: Counted,
}

impl Client {
    pub(super) async fn run(mut self, mut waits: Waits, mut by: Instant) {
        let door = self.door.clone();
        loop {
            if self.begun.is_none() {
                let more = self.has_more(waits, by).await;
                if let Some(to) = self.common.passes.to() {
                    return self.pass(to, waits, by).await;
                }
                if !more {
                    // Nothing lay in it in this very turn. A request that crosses the end is not read, and its
                    // client hands it in anew.
                    return;
                }
            }
            if waits != Waits::Silent {
                by = Instant::now() + READING;
            }
            let Some(begun) = self.buffer().await else {
                return self
                    .refuse(Refusal(503, "no memory for more requests"))
                    .await;
            };
            let request = match door.waits(Waits::Reads, by, self.read(begun)).await {
                Ok(Ok(Some(request))) => request,
                Ok(Ok(None)) => return,
                Ok(Err(refusal)) => return self.refuse(refusal).await,
                Err(Left::TimeIsUp | Left::MadeRoom) => {
                    return self.refuse(Refusal(408, "the request took too long")).await;
                }
            };
            waits = if waits == Waits::Silent {
                Waits::Once
            } else {
                Waits::Idle
            };
            by = Instant::now()
                + if waits == Waits::Once {
                    door.once()
                } else {
                    IDLE
                };
            self.last |= request.closes || self.full;
            let answered = match request.asked {
                Asked::Up if self.common.gate.is_shut() => self.respond(503, &[], "").await,
                Asked::Up => self.respond(200, &[], "").await,
                Asked::Event(mut event) => {
                    event.patience = left(event.patience, request.since);
                    // The buffer goes back: an event may be held for long, and most bodies are short.
                    let body = Body::from(&request.buffer[request.body]);
                    drop(request.buffer);
                    self.event(event, body).await
                }
                Asked::Broadcast(list, mut event) => {
                    event.patience = left(event.patience, request.since);
                    let body = Body::from(&request.buffer[request.body]);
                    drop(request.buffer);
                    self.broadcast(list, event, body).await
                }
            };
            if !answered {
                return;
            }
            if self.last {
                return self.close().await;
            }
            if self.begun.is_some() {
                // Such requests may never run out, nor wait for anything: the others have their turn.
                let turn = door.waits(Waits::Pipelines, by, future::yield_now()).await;
                if matches!(turn, Err(Left::MadeRoom)) {
                    return self.refuse(Refusal(503, "others need the place")).await;
                }
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
            let _ = to
                .send((Word::Client { asked, left }, Some(stream.into())))
                .await;
        }
    }

    pub(super) fn fresh(&self) -> Option<Begun> {
        // Calls are not to want for one, nor clients where the memory is small for the slots.
        let pool = &self.common.pool;
        let spare = pool.left()
            > self
                .common
                .told
                .decisions
                .max_calls_in_flight
                .min(pool.most() / 2);
        spare
            .then(|| pool.take())
            .flatten()
            .map(|buffer| Begun { buffer, filled: 0 })
    }

    /// With what came of the next request. Those that are half-way through theirs for long give way.
    async fn buffer(&mut self) -> Option<Begun> {
        loop {
            let begun = self.begun.take().or_else(|| self.fresh());
            if begun.is_some() || !self.door.frees_buffer() {
                return begun;
            }
            future::yield_now().await;
        }
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
        let more = self
            .door
            .waits(waits, by, future::or(readable, over))
            .await
            .is_ok();
        // What has come by then is still answered.
        more && !self.common.gate.is_shut() || !is_quiet(&self.stream)
    }

    /// Hands an event to the decisions and answers the client. A client that goes before it has its answer
    /// takes the event back.
    async fn event(&mut self, event: Event, body: Body) -> bool {
        // After a stall many have gone already.
        if is_gone(&self.stream) {
            return false;
        }
        // The decisions may hear of the end later than the clients.
        if self.common.gate.has_ended() {
            return self.tell(Verdict::Refused(None)).await;
        }
        // Copies are handed in under ids of their own.
        if self
            .common
            .fanout
            .as_ref()
            .is_some_and(|fanout| fanout.bars(&event.id))
        {
            return self.tell(Verdict::Refused(None)).await;
        }
        if self.full {
            let wait = self.common.told.decisions.max_retry_after;
            return self.tell(Verdict::Refused(wait)).await;
        }
        let (answer, verdict) = async_channel::bounded(1);
        let id = event.id.clone();
        let patience_ends = self.common.clock.now() + event.patience;
        // What is not committed by then is neither taken nor refused: the connection is closed without a word.
        let patience = self
            .common
            .copies()
            .map(|_| Instant::now() + millis(event.patience));
        let number = self.common.number();
        let handed = Handed {
            number,
            event,
            patience_ends,
            body,
            answer,
        };
        if self.to_rounds.send(CameIn::Event(handed)).await.is_err() {
            self.last = true;
            return self.tell(Verdict::Refused(None)).await;
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
            // It may have gone in the very turn of the verdict.
            Some(Verdict::TakenOn) if is_gone(&self.stream) => false,
            Some(verdict) => self.tell(verdict).await,
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
