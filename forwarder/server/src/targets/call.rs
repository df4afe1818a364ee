//! One call of a target, or ping: connects where no connection is lent to it, and judges what came of it.

use std::cell::Cell;
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender, WeakSender};
use futures_lite::future;
use plankhill_decisions::interface::*;
use plankhill_http1::{self as http1, ResponseHead};
use slog::debug;

use super::meaning::{judge, left};
use super::writing::{self, Written};
use crate::budgets::Place;
use crate::clock::millis;
use crate::common::Common;
use crate::counted::Counted;
use crate::exchange::{answer, connect, until, Came, Stream, ANSWERING, SETTLING};
use crate::look;
use crate::mail::{CameIn, Returned, Sending, ToTarget};

/// What every target's actor shares with its calls.
#[derive(Clone)]
pub struct Reach {
    pub common: Common,
    pub to_rounds: Sender<CameIn>,
    /// Connections that stand idle at all targets.
    pub idle: Rc<Cell<usize>>,
}

/// A connection that stood idle, and its place, which is given back after it.
pub(super) struct Kept {
    pub(super) stream: Stream,
    pub(super) place: Place,
}

pub(super) struct Call {
    pub(super) reach: Reach,
    pub(super) target: TargetId,
    pub(super) address: SocketAddr,
    pub(super) kept: Option<Kept>,
    pub(super) taken_back: Receiver<()>,
    pub(super) own: WeakSender<ToTarget>,
    /// Among the calls that are out: its actor stays for it.
    pub(super) _counted: Option<Counted>,
}

impl Call {
    pub(super) async fn run(mut self, send: Option<Sending>) {
        let began = Instant::now();
        let time_out = send
            .as_ref()
            .map_or(self.reach.common.told.connect_timeout, |send| send.time_out);
        let reused = self.kept.is_some();
        let ended = self.exchange(began, time_out, send.as_ref()).await;
        let took = began.elapsed().as_secs_f64() * 1000.0;
        let ended = AttemptReport {
            elapsed: took,
            ..ended
        };
        let AttemptReport {
            outcome: fate,
            retry_after: wait,
            ..
        } = ended;
        let word = match send {
            Some(send) => {
                debug!(self.reach.common.log, "send ended"; "event" => &*send.event.0,
                    "target" => &*self.target.0, "fate" => ?fate, "wait" => wait, "took" => took,
                    "reused" => reused);
                CameIn::SendEnded(send.event, ended)
            }
            None => {
                debug!(self.reach.common.log, "ping ended"; "target" => &*self.target.0, "fate" => ?fate);
                CameIn::PingEnded {
                    target: self.target.clone(),
                    fate,
                }
            }
        };
        let _ = self.reach.to_rounds.send(word).await;
    }

    async fn exchange(
        &mut self,
        began: Instant,
        time_out: Ms,
        send: Option<&Sending>,
    ) -> AttemptReport {
        let told = self.reach.common.told.clone();
        let at = |moment: Option<Ms>| moment.map(|moment| self.reach.common.clock.instant(moment));
        // The end of patience stands, however late the call begins: nothing leaves after it.
        let patience_ends = at(send.map(|send| send.patience_ends));
        let ends = began + millis(time_out);
        let ends = patience_ends.map_or(ends, |at| ends.min(at));
        let leaves_by = at(send.map(|send| send.leaves_by)).map_or(ends, |at| ends.min(at));
        let decided = send.map_or(began, |send| send.decided);
        let Some(mut buffer) = self.reach.common.pool.take() else {
            return AttemptReport::from_outcome(AttemptOutcome::NotSent);
        };
        let Some(place) = self.place(began, ends, send.is_none()).await else {
            return AttemptReport::from_outcome(AttemptOutcome::NotSent);
        };
        // Closed before its place is given back: what is declared last is dropped first.
        let mut stream = loop {
            let kept = self.kept.take();
            let reused = kept.is_some();
            let stream = match kept {
                Some(kept) => kept.stream,
                None => match self
                    .dial(began + millis(told.connect_timeout), leaves_by, ends)
                    .await
                {
                    Ok(stream) => stream,
                    Err(fate) => return AttemptReport::from_outcome(fate),
                },
            };
            let Ok(length) = self.write(&mut buffer, ends, send) else {
                return AttemptReport::from_outcome(AttemptOutcome::NotSent);
            };
            let fate = match self
                .leaves(&stream, &buffer[..length], leaves_by, decided, send)
                .await
            {
                Some(Written::Whole) => break stream,
                // Nothing of the call is on it, and something else is, or its end.
                Some(Written::Unfit) if reused => continue,
                Some(Written::Unfit | Written::Broken) => AttemptOutcome::ConnectFailed,
                Some(Written::Stuck) if Instant::now() >= ends => AttemptOutcome::ConnectFailed,
                Some(Written::Stuck | Written::Late) | None => AttemptOutcome::NotSent,
            };
            return AttemptReport::from_outcome(fate);
        };
        let mut came = Came::default();
        let answering = |status| if status == 200 { SETTLING } else { ANSWERING };
        let answered = until(ends, answer(&mut stream, &mut buffer, &mut came, answering)).await;
        let whole = match answered {
            Some(Ok(answer)) => answer,
            cut_short => {
                let spoilt =
                    matches!(&cut_short, Some(Err(e)) if e.kind() == io::ErrorKind::InvalidData);
                let fate = match (
                    ResponseHead::status_in(&buffer[came.start..came.filled]),
                    cut_short,
                ) {
                    // What the first line says of that is true, whatever became of the rest.
                    (Some(200), _) => AttemptOutcome::Delivered,
                    (_, None) => AttemptOutcome::TimedOut,
                    // An answer, if no more: to a ping that is enough. A call has run, or may have, and is cut.
                    (_, Some(_)) if spoilt && send.is_none() => AttemptOutcome::Rejected,
                    (_, Some(_)) if spoilt => AttemptOutcome::Cancelled,
                    _ => AttemptOutcome::Reset,
                };
                return AttemptReport::from_outcome(fate);
            }
        };
        let end = match ResponseHead::read(&buffer[whole.head]) {
            Ok(head) => {
                let left = told.names.left_at.and_then(|_| left(&head));
                AttemptReport {
                    limit_remaining: left,
                    ..judge(&head, send.is_none())
                }
            }
            Err(_) => AttemptReport::from_outcome(AttemptOutcome::Cancelled),
        };
        let stays = whole.reusable && place.rests();
        if let Some(own) = self.own.upgrade().filter(|_| stays) {
            let back = Returned {
                stream,
                to: self.address,
                since: Instant::now(),
                place,
            };
            let _ = own.try_send(ToTarget::Returned(Box::new(back)));
        }
        end
    }

    /// None if the call is taken back first. If both are so in one turn, it is taken back: it does not run yet.
    async fn unless_taken_back<T>(&self, what: impl Future<Output = T>) -> Option<T> {
        let taken_back = async {
            let _ = self.taken_back.recv().await;
            None
        };
        future::or(taken_back, async { Some(what.await) }).await
    }

    /// A new connection, or how the call ends without one.
    async fn dial(
        &self,
        up_by: Instant,
        leaves_by: Instant,
        ends: Instant,
    ) -> Result<Stream, AttemptOutcome> {
        let up_by = up_by.min(ends);
        if Instant::now() >= leaves_by {
            return Err(AttemptOutcome::NotSent);
        }
        match self
            .unless_taken_back(until(up_by.min(leaves_by), connect(self.address)))
            .await
        {
            Some(Some(Ok(stream))) => Ok(stream),
            // Its time is up, and its target may be well.
            Some(None) if leaves_by < up_by => Err(AttemptOutcome::NotSent),
            Some(_) => Err(AttemptOutcome::ConnectFailed),
            None => Err(AttemptOutcome::NotSent),
        }
    }

    /// Writes the call, unless it may not leave any more. None if it was taken back before its last byte.
    async fn leaves(
        &self,
        stream: &Stream,
        call: &[u8],
        by: Instant,
        decided: Instant,
        send: Option<&Sending>,
    ) -> Option<Written> {
        let ground = self.reach.common.copies();
        let holds = |group| ground.is_some_and(|ground| ground.holds(group));
        // Another may own the event soon.
        let owned = || send.is_none_or(|send| send.groups.iter().all(|group| holds(*group)));
        let wanted = || !self.taken_back.is_closed() && owned();
        let write = async {
            // The process may have stood still since.
            if decided.elapsed() > look::STILL {
                until(by, self.looks()).await;
            }
            writing::write(stream, call, by, wanted).await
        };
        self.unless_taken_back(write).await
    }

    /// Returns once all that came in has been decided on; what is taken back for it is taken back then.
    async fn looks(&self) {
        let (reply, looked) = async_channel::bounded(1);
        let _ = self.reach.to_rounds.send(CameIn::Look(reply)).await;
        let _ = looked.recv().await;
        // Behind the target's actor, which the same round may have told to take calls back.
        future::yield_now().await;
    }

    /// A place in the target's pool, that of the connection lent to it or one for a new connection. None if
    /// none came free in half of its time, or it was taken back meanwhile.
    async fn place(&mut self, began: Instant, ends: Instant, ping: bool) -> Option<Place> {
        let Some(budgets) = self.reach.common.budgets.clone() else {
            return Some(Place::free(&self.target));
        };
        let patient = began + (ends - began) / 2;
        loop {
            let kept = self.kept.as_ref().map(|kept| &kept.place);
            let pool = match budgets.enter(&self.target, ping, ends, kept) {
                Ok(None) => return self.kept.as_mut().map(|kept| kept.place.take(&self.target)),
                Ok(place) => return place,
                Err(pool) => pool,
            };
            // It may not be used now, and others may want its place.
            self.kept = None;
            self.unless_taken_back(until(patient, budgets.room(&pool)))
                .await??;
        }
    }

    /// Writes the call, or ping, into a buffer; it is an error if it does not fit.
    fn write(&self, buffer: &mut [u8], ends: Instant, send: Option<&Sending>) -> io::Result<usize> {
        let size = buffer.len();
        let mut rest = buffer;
        let Some(send) = send else {
            http1::request(&mut rest, "GET", "/alive", &[("Host", &self.address)], 0)?;
            return Ok(size - rest.len());
        };
        let left = ends.saturating_duration_since(Instant::now()).as_secs_f64();
        let (id, deadline) = (&*send.event.0, format!("{left:.3}"));
        let mut fields: Vec<(&str, &dyn std::fmt::Display)> = vec![
            ("Host", &self.address),
            ("Req-Id", &id),
            ("Req-Deadline", &deadline),
        ];
        if let Some(key) = &send.fingerprint {
            fields.push(("Idempotency-Key", key));
        }
        http1::request(&mut rest, "POST", "/receive", &fields, send.body.len())?;
        rest.write_all(&send.body)?;
        Ok(size - rest.len())
    }
}
