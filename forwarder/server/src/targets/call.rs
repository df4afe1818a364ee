//! One call to a target, either an attempt of an event or a health check: takes a permit, connects
//! unless there is an idle connection to reuse, writes the request, reads the response and reports
//! the outcome.
//!
//! Spawned by the target's actor; the report goes to the event loop, a reusable connection back to
//! the actor.

use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, WeakSender};
use futures_lite::future;
use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, TargetId};
use plankhill_http1::{self as http1, ResponseHead};
use slog::debug;

use super::response::{limit_remaining, report};
use super::write::{write_call, WriteOutcome};
use super::TargetContext;
use crate::call_kind::CallKind;
use crate::clock::{to_duration, to_ms};
use crate::connection_quotas::{Acquired, Permit};
use crate::count_guard::CountGuard;
use crate::http_exchange::{
    read_response, ExchangeError, ReadProgress, Response, DELIVERED_RESPONSE_TIMEOUT,
    RESPONSE_TIMEOUT,
};
use crate::messages::{Input, OutgoingCall, ReturnedConnection, TargetCommand};
use crate::stall_guard;
use crate::stream::{connect, until, Stream};

/// An idle connection to reuse and its permit, which is released after the connection is closed.
pub(super) struct ReusedConnection {
    pub(super) stream: Stream,
    pub(super) permit: Permit,
}

pub(super) struct Call {
    pub(super) context: TargetContext,
    pub(super) target: TargetId,
    pub(super) address: SocketAddr,
    pub(super) reused: Option<ReusedConnection>,
    /// Closed once the call is cancelled.
    pub(super) cancelled: Receiver<()>,
    pub(super) actor: WeakSender<TargetCommand>,
    /// Counts the call among those in flight, so that its actor does not stop before the call ends.
    pub(super) _counted: Option<CountGuard>,
}

/// Time limits of a call.
struct Schedule {
    began: Instant,
    /// Latest end of the call.
    ends: Instant,
    /// Latest time at which the call's last byte may be written.
    last_byte_deadline: Instant,
    decided_at: Instant,
    connect_timeout: Duration,
}

impl Call {
    /// Runs the call to its end; without `outgoing` the call is a health check.
    pub(super) async fn run(mut self, outgoing: Option<OutgoingCall>) {
        let began = Instant::now();
        let is_reused = self.reused.is_some();
        let schedule = self.schedule(began, outgoing.as_ref());
        let report = match self.exchange(&schedule, outgoing.as_ref()).await {
            Ok(report) => report,
            Err(outcome) => AttemptReport::from_outcome(outcome),
        };
        let report = AttemptReport {
            elapsed: to_ms(began.elapsed()),
            ..report
        };
        let log = &self.context.server.log;
        let input = match outgoing {
            Some(outgoing) => {
                debug!(log, "attempt ended"; "event" => &*outgoing.event.0,
                    "target" => &*self.target.0, "outcome" => ?report.outcome,
                    "retry_after_ms" => report.retry_after, "elapsed_ms" => report.elapsed,
                    "reused" => is_reused);
                Input::AttemptEnded {
                    event: outgoing.event,
                    report,
                }
            }
            None => {
                debug!(log, "health check ended"; "target" => &*self.target.0,
                    "outcome" => ?report.outcome);
                Input::HealthCheckEnded {
                    target: self.target.clone(),
                    outcome: report.outcome,
                }
            }
        };
        let _ = self.context.to_event_loop.send(input).await;
    }

    fn schedule(&self, began: Instant, outgoing: Option<&OutgoingCall>) -> Schedule {
        let connect_timeout = to_duration(self.context.server.config.connect_timeout);
        let Some(outgoing) = outgoing else {
            let ends = began + connect_timeout;
            return Schedule {
                began,
                ends,
                last_byte_deadline: ends,
                decided_at: began,
                connect_timeout,
            };
        };
        let clock = &self.context.server.clock;
        // The event's deadline applies however late the call begins: nothing is sent after it.
        let ends = (began + to_duration(outgoing.timeout)).min(clock.instant(outgoing.deadline));
        let last_byte_deadline = ends.min(clock.instant(outgoing.last_byte_deadline));
        Schedule {
            began,
            ends,
            last_byte_deadline,
            decided_at: outgoing.decided_at,
            connect_timeout,
        }
    }

    /// Sends the request and reads the response.
    ///
    /// # Errors
    /// Outcome of a call without a complete response.
    async fn exchange(
        &mut self,
        schedule: &Schedule,
        outgoing: Option<&OutgoingCall>,
    ) -> Result<AttemptReport, AttemptOutcome> {
        let server = self.context.server.clone();
        let mut buffer = server
            .buffers
            .try_acquire()
            .ok_or(AttemptOutcome::NotSent)?;
        // Declared before the connection, and so dropped after it: the permit is released once the
        // connection is closed.
        let permit = self
            .acquire_permit(schedule, outgoing)
            .await
            .ok_or(AttemptOutcome::NotSent)?;
        let mut stream = self.send_request(schedule, &mut buffer, outgoing).await?;
        let mut progress = ReadProgress::default();
        let reading = read_response(&mut stream, &mut buffer, &mut progress, response_timeout);
        let response = match until(schedule.ends, reading).await {
            Some(Ok(response)) => response,
            incomplete => {
                let status = ResponseHead::status_in(&buffer[progress.start..progress.filled]);
                let failure = incomplete.and_then(Result::err);
                return Err(incomplete_outcome(
                    status,
                    failure.as_ref(),
                    kind_of(outgoing),
                ));
            }
        };
        let Response { head, reusable, .. } = response;
        let report = match ResponseHead::read(&buffer[head]) {
            Ok(head) => AttemptReport {
                limit_remaining: match server.config.names.limit_remaining_column {
                    Some(_) => limit_remaining(&head),
                    None => None,
                },
                ..report(&head, kind_of(outgoing))
            },
            Err(_) => AttemptReport::from_outcome(AttemptOutcome::Cancelled),
        };
        if reusable && permit.release_idle() {
            self.return_connection(permit, stream);
        }
        Ok(report)
    }

    /// The connection is the last parameter, so that it is closed before its permit is released if
    /// the actor has stopped.
    fn return_connection(&self, permit: Permit, stream: Stream) {
        if let Some(actor) = self.actor.upgrade() {
            let returned = ReturnedConnection {
                stream,
                address: self.address,
                idle_since: Instant::now(),
                permit,
            };
            let _ = actor.try_send(TargetCommand::ConnectionReturned(Box::new(returned)));
        }
    }

    /// Writes the request to the reused connection, or to a new one if there is none or it is
    /// unusable.
    ///
    /// # Errors
    /// Outcome of a call whose request was not written.
    async fn send_request(
        &mut self,
        schedule: &Schedule,
        buffer: &mut [u8],
        outgoing: Option<&OutgoingCall>,
    ) -> Result<Stream, AttemptOutcome> {
        loop {
            let reused = self.reused.take();
            let is_reused = reused.is_some();
            let stream = match reused {
                Some(reused) => reused.stream,
                None => self.connect(schedule).await?,
            };
            let length = self
                .encode_request(buffer, schedule.ends, outgoing)
                .map_err(|_| AttemptOutcome::NotSent)?;
            let written = self
                .write_request(&stream, &buffer[..length], schedule, outgoing)
                .await;
            match written {
                Some(WriteOutcome::Complete) => return Ok(stream),
                // Nothing of the call was written, and the connection has unread bytes or was
                // closed by the peer.
                Some(WriteOutcome::Unusable) if is_reused => (),
                Some(WriteOutcome::Unusable | WriteOutcome::Broken) => {
                    return Err(AttemptOutcome::ConnectFailed);
                }
                Some(WriteOutcome::TimedOut) if Instant::now() >= schedule.ends => {
                    return Err(AttemptOutcome::ConnectFailed);
                }
                Some(WriteOutcome::TimedOut | WriteOutcome::Cancelled) | None => {
                    return Err(AttemptOutcome::NotSent);
                }
            }
        }
    }

    /// Awaits the future; none if the call is cancelled first. If both happen in one turn of the
    /// executor, the call is cancelled: the target has not run it yet.
    async fn unless_cancelled<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let cancelled = async {
            let _ = self.cancelled.recv().await;
            None
        };
        future::or(cancelled, async { Some(future.await) }).await
    }

    /// Opens a connection to the target.
    ///
    /// # Errors
    /// Outcome of a call without a connection.
    async fn connect(&self, schedule: &Schedule) -> Result<Stream, AttemptOutcome> {
        let connected_by = (schedule.began + schedule.connect_timeout).min(schedule.ends);
        if Instant::now() >= schedule.last_byte_deadline {
            return Err(AttemptOutcome::NotSent);
        }
        let connecting = until(
            connected_by.min(schedule.last_byte_deadline),
            connect(self.address),
        );
        match self.unless_cancelled(connecting).await {
            Some(Some(Ok(stream))) => Ok(stream),
            // The time limit for sending the call was reached; the target may be healthy.
            Some(None) if schedule.last_byte_deadline < connected_by => {
                Err(AttemptOutcome::NotSent)
            }
            Some(_) => Err(AttemptOutcome::ConnectFailed),
            None => Err(AttemptOutcome::NotSent),
        }
    }

    /// Writes the request, unless the call may no longer be sent. None if the call was cancelled
    /// before its last byte was written.
    async fn write_request(
        &self,
        stream: &Stream,
        request: &[u8],
        schedule: &Schedule,
        outgoing: Option<&OutgoingCall>,
    ) -> Option<WriteOutcome> {
        let may_leave = || !self.cancelled.is_closed() && self.owns_event(outgoing);
        let writing = async {
            // The process may have stalled since the decision.
            if schedule.decided_at.elapsed() > stall_guard::MAX_GAP {
                until(schedule.last_byte_deadline, self.pass_barrier()).await;
            }
            write_call(stream, request, schedule.last_byte_deadline, may_leave).await
        };
        self.unless_cancelled(writing).await
    }

    /// Whether no other process can own the event yet; true for a health check.
    fn owns_event(&self, outgoing: Option<&OutgoingCall>) -> bool {
        let Some(outgoing) = outgoing else {
            return true;
        };
        let raft = self.context.server.replication();
        outgoing
            .groups
            .iter()
            .all(|group| raft.is_some_and(|raft| raft.holds_lease(*group)))
    }

    /// Returns once the event loop has decided on all inputs that had arrived; the calls that these
    /// decisions cancel are cancelled by then.
    async fn pass_barrier(&self) {
        let (reply, reached) = async_channel::bounded(1);
        let _ = self.context.to_event_loop.send(Input::Barrier(reply)).await;
        let _ = reached.recv().await;
        // The target's actor runs first: the same iteration may have sent it a command to cancel
        // calls.
        future::yield_now().await;
    }

    /// Acquires a permit in the target's quota: that of the reused connection, or one for a new
    /// connection. None if no permit became free within half of the call's time, or the call was
    /// cancelled meanwhile.
    async fn acquire_permit(
        &mut self,
        schedule: &Schedule,
        outgoing: Option<&OutgoingCall>,
    ) -> Option<Permit> {
        let Some(quotas) = self.context.server.quotas.clone() else {
            return Some(Permit::unlimited(&self.target));
        };
        let wait_until = schedule.began + (schedule.ends - schedule.began) / 2;
        loop {
            let reused = self.reused.as_ref().map(|reused| &reused.permit);
            match quotas.acquire(&self.target, kind_of(outgoing), schedule.ends, reused) {
                Acquired::New(permit) => return Some(permit),
                Acquired::Reused => {
                    return self
                        .reused
                        .as_mut()
                        .map(|reused| reused.permit.take(&self.target));
                }
                Acquired::Exhausted(pool) => {
                    // The connection may not be used now, and closing it frees its part of the
                    // quota for others.
                    self.reused = None;
                    self.unless_cancelled(until(wait_until, quotas.capacity_freed(&pool)))
                        .await??;
                }
            }
        }
    }

    /// Encodes the request into a buffer; returns its length.
    ///
    /// # Errors
    /// The request does not fit.
    fn encode_request(
        &self,
        buffer: &mut [u8],
        ends: Instant,
        outgoing: Option<&OutgoingCall>,
    ) -> io::Result<usize> {
        let size = buffer.len();
        let mut rest = buffer;
        let Some(outgoing) = outgoing else {
            http1::write_request(&mut rest, "GET", "/alive", &[("Host", &self.address)], 0)?;
            return Ok(size - rest.len());
        };
        let time_left = ends.saturating_duration_since(Instant::now()).as_secs_f64();
        let deadline = format!("{time_left:.3}");
        let id = &*outgoing.event.0;
        let mut fields: Vec<(&str, &dyn std::fmt::Display)> = vec![
            ("Host", &self.address),
            ("Req-Id", &id),
            ("Req-Deadline", &deadline),
        ];
        if let Some(fingerprint) = &outgoing.fingerprint {
            fields.push(("Idempotency-Key", fingerprint));
        }
        http1::write_request(&mut rest, "POST", "/receive", &fields, outgoing.body.len())?;
        rest.write_all(&outgoing.body)?;
        Ok(size - rest.len())
    }
}

fn kind_of(outgoing: Option<&OutgoingCall>) -> CallKind {
    match outgoing {
        Some(_) => CallKind::Attempt,
        None => CallKind::HealthCheck,
    }
}

fn response_timeout(status: u16) -> Duration {
    match status {
        200 => DELIVERED_RESPONSE_TIMEOUT,
        _ => RESPONSE_TIMEOUT,
    }
}

/// Outcome of a call without a complete response. `failure` is none if the call timed out.
fn incomplete_outcome(
    status: Option<u16>,
    failure: Option<&ExchangeError>,
    kind: CallKind,
) -> AttemptOutcome {
    match (status, failure) {
        // The status line reports that the event was delivered, whether the rest arrived or not.
        (Some(200), _) => AttemptOutcome::Delivered,
        (_, None) => AttemptOutcome::TimedOut,
        (_, Some(ExchangeError::Malformed(_))) => match kind {
            // Any response is enough for a health check.
            CallKind::HealthCheck => AttemptOutcome::Rejected,
            // The call has run, or may have.
            CallKind::Attempt => AttemptOutcome::Cancelled,
        },
        (_, Some(ExchangeError::Io(_) | ExchangeError::TimedOut)) => AttemptOutcome::Reset,
    }
}
