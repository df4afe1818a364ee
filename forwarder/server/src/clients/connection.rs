//! One connection of a client: waits for a request without holding a buffer, reads the request,
//! submits its event to the event loop and responds.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use plankhill_decisions::interface::{EventId, Ms};
use plankhill_hot_restart::{EventHeader, Message, SubmitResponse};
use slog::debug;

use super::read_request::OUT_OF_BUFFERS;
use super::request::{PartialRequest, Request, RequestError, RequestKind};
use super::respond::Responded;
use super::waiting::{ConnectionTable, WaitEnded, WaitReason, FIRST_REQUEST_GRACE, IDLE_TIMEOUT};
use crate::clock::{to_duration, to_ms};
use crate::context::ServerContext;
use crate::count_guard::CountGuard;
use crate::hot_restart::transfer::Outgoing;
use crate::messages::{Input, Submission};
use crate::stream::{is_closed_by_peer, is_open_without_data, until, Body, Stream};

/// Time limit for receiving a complete request, from its first byte or, for the first request of a
/// connection, from the accept: a client that sends no request receives an error response, or its
/// connection is closed, within the three seconds that it is guaranteed.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) struct ClientConnection {
    pub(super) context: ServerContext,
    to_event_loop: Sender<Input>,
    pub(super) connections: Rc<ConnectionTable>,
    pub(super) stream: Stream,
    /// Too many connections are open: events on this one are rejected.
    pub(super) over_limit: bool,
    /// The beginning of the next request, if it arrived together with the previous one.
    pub(super) next_request: Option<PartialRequest>,
    /// Whether the next response is the last on this connection, or the previous one was.
    pub(super) closing: bool,
    /// When bytes were last read from the connection.
    pub(super) last_read: Instant,
    /// When unread bytes arrived on the connection, if they arrived before the previous response
    /// was sent.
    pub(super) readable_since: Option<Instant>,
    _counted: CountGuard,
}

/// Reason and deadline of the next wait of a connection.
#[derive(Clone, Copy)]
struct NextWait {
    reason: WaitReason,
    deadline: Instant,
}

/// Result of the submission of an event.
enum SubmissionResult {
    /// The event loop's response.
    Response(SubmitResponse),
    /// Not decided by the event's deadline: with replication it is not known whether the event is
    /// accepted.
    Undecided,
    /// The client has closed its side or the connection is broken.
    ClientGone,
}

impl ClientConnection {
    pub(super) fn new(
        context: ServerContext,
        to_event_loop: Sender<Input>,
        connections: Rc<ConnectionTable>,
        stream: Stream,
        over_limit: bool,
        counted: CountGuard,
    ) -> Self {
        ClientConnection {
            context,
            to_event_loop,
            connections,
            stream,
            over_limit,
            next_request: None,
            closing: false,
            last_read: Instant::now(),
            readable_since: None,
            _counted: counted,
        }
    }

    /// Serves requests until the connection ends or is transferred. The first wait is for `reason`,
    /// until `deadline`.
    pub(super) async fn run(mut self, reason: WaitReason, deadline: Instant) {
        let connections = self.connections.clone();
        let mut wait = NextWait { reason, deadline };
        loop {
            if self.next_request.is_none() {
                let has_more = self.wait_for_request(wait).await;
                if let Some(successor) = self.context.transfer.sender() {
                    return self.transfer(successor, wait).await;
                }
                if !has_more {
                    // The connection had no unread bytes when it was checked in this turn of the
                    // executor. A request that arrives while the connection closes is not read, and
                    // its client submits it again.
                    return;
                }
            }
            if wait.reason != WaitReason::FirstRequest {
                wait.deadline = Instant::now() + READ_TIMEOUT;
            }
            let Some(partial) = self.acquire_buffer().await else {
                return self.reject(OUT_OF_BUFFERS).await;
            };
            let reading = self.read_request(partial);
            let read = connections
                .wait(WaitReason::RestOfRequest, wait.deadline, reading)
                .await;
            let request = match read {
                Ok(Ok(Some(request))) => request,
                Ok(Ok(None)) => return,
                Ok(Err(error)) => return self.reject(error).await,
                Err(WaitEnded::TimedOut | WaitEnded::Evicted) => {
                    return self
                        .reject(RequestError::new(408, "the request took too long"))
                        .await;
                }
            };
            wait = self.wait_after_request(wait.reason);
            if request.closes || self.over_limit {
                self.closing = true;
            }
            if self.serve(request).await == Responded::Failed {
                return;
            }
            if self.closing {
                return self.close().await;
            }
            if self.next_request.is_some() {
                // A sequence of pipelined requests may be endless and never wait: other connections
                // get a turn in between.
                let turn = future::yield_now();
                let turn = connections
                    .wait(WaitReason::Pipelined, wait.deadline, turn)
                    .await;
                if matches!(turn, Err(WaitEnded::Evicted)) {
                    return self
                        .reject(RequestError::new(503, "others need the place"))
                        .await;
                }
            }
        }
    }

    fn wait_after_request(&self, before: WaitReason) -> NextWait {
        let now = Instant::now();
        match before {
            WaitReason::FirstRequest => NextWait {
                reason: WaitReason::SecondRequest,
                deadline: now + self.connections.second_request_timeout(),
            },
            _ => NextWait {
                reason: WaitReason::NextRequest,
                deadline: now + IDLE_TIMEOUT,
            },
        }
    }

    async fn serve(&mut self, request: Request) -> Responded {
        let Request {
            kind,
            buffer,
            body,
            began,
            ..
        } = request;
        // The buffer is released before the event is submitted: an event may be pending for long,
        // and most bodies are short.
        match kind {
            RequestKind::Up if self.context.client_gate.is_shut() => {
                self.respond(503, &[], "").await
            }
            RequestKind::Up => self.respond(200, &[], "").await,
            RequestKind::Event(mut event) => {
                event.timeout = time_left(event.timeout, began);
                let body = Body::from(&buffer[body]);
                drop(buffer);
                self.submit_event(event, body).await
            }
            RequestKind::Broadcast(list, mut event) => {
                event.timeout = time_left(event.timeout, began);
                let body = Body::from(&buffer[body]);
                drop(buffer);
                self.submit_broadcast(list, event, body).await
            }
        }
    }

    /// Transfers the connection, with the unread bytes in it, to the successor process.
    async fn transfer(self, successor: Sender<Outgoing>, wait: NextWait) {
        let requests_served = match wait.reason {
            WaitReason::FirstRequest => 0,
            WaitReason::SecondRequest => 1,
            _ => 2,
        };
        let time_left = to_ms(wait.deadline.saturating_duration_since(Instant::now()));
        if let Ok(stream) = self.stream.into_inner() {
            let message = Message::ClientConnection {
                requests_served,
                time_left,
            };
            let _ = successor.send((message, Some(stream.into()))).await;
        }
    }

    /// An empty buffer for a request; none if only the buffers reserved for calls are left. At most
    /// half of all buffers are reserved, so that clients get buffers even if the memory is small
    /// for the calls.
    pub(super) fn new_partial_request(&self) -> Option<PartialRequest> {
        let buffers = &self.context.buffers;
        let reserved_for_calls = self
            .context
            .config
            .decisions
            .max_calls_in_flight
            .min(buffers.max_buffers() / 2);
        if buffers.available() <= reserved_for_calls {
            return None;
        }
        let buffer = buffers.try_acquire()?;
        Some(PartialRequest { buffer, filled: 0 })
    }

    /// A buffer, with the part of the next request that has already arrived. Connections that have
    /// been reading a request for long are evicted if there is no buffer.
    async fn acquire_buffer(&mut self) -> Option<PartialRequest> {
        loop {
            if let Some(begun) = self.next_request.take() {
                return Some(begun);
            }
            if let Some(new) = self.new_partial_request() {
                return Some(new);
            }
            if !self.connections.free_buffer() {
                return None;
            }
            future::yield_now().await;
        }
    }

    /// Waits for the next request without a buffer; false if the connection has nothing more to
    /// serve.
    async fn wait_for_request(&mut self, wait: NextWait) -> bool {
        let gate_shut = async {
            self.context.client_gate.wait_until_shut().await;
            if wait.reason == WaitReason::FirstRequest {
                // The load balancer assigned the connection to this process before it observed the
                // shut gate; the request follows directly.
                Timer::after(FIRST_REQUEST_GRACE).await;
            }
        };
        let readable = async {
            let _ = self.stream.readable().await;
        };
        let ended = future::or(gate_shut, self.context.transfer.wait_until_open());
        let first = future::or(readable, ended);
        let in_time = self
            .connections
            .wait(wait.reason, wait.deadline, first)
            .await
            .is_ok();
        // A request that has arrived by then still receives a response.
        (in_time && !self.context.client_gate.is_shut()) || !is_open_without_data(&self.stream)
    }

    /// Submits an event to the event loop and responds to the client. If the client disconnects
    /// before it has received its response, the event is withdrawn.
    async fn submit_event(&mut self, event: EventHeader, body: Body) -> Responded {
        // After a stall many clients have already disconnected.
        if is_closed_by_peer(&self.stream) {
            return Responded::Failed;
        }
        if let Some(rejected) = self.early_rejection(&event) {
            return self.respond_submitted(rejected).await;
        }
        let (response, received) = async_channel::bounded(1);
        let id = event.id.clone();
        let deadline = self.context.clock.now() + event.timeout;
        let commit_timeout = to_duration(event.timeout);
        // With replication an event that is not committed by this time is neither accepted nor
        // rejected: the connection is closed without a response.
        let commit_by = self
            .context
            .replication()
            .map(|_| Instant::now() + commit_timeout);
        let request_number = self.context.next_request_number();
        let submission = Submission {
            request_number,
            event,
            deadline,
            body,
            response,
        };
        if self
            .to_event_loop
            .send(Input::Submitted(submission))
            .await
            .is_err()
        {
            self.closing = true;
            return self.respond_submitted(SubmitResponse::Rejected(None)).await;
        }
        let submitted = self.wait_for_response(received, commit_by).await;
        self.respond_or_withdraw(id, request_number, submitted)
            .await
    }

    /// The rejection of an event that is not submitted to the event loop at all; none for other
    /// events.
    fn early_rejection(&self, event: &EventHeader) -> Option<SubmitResponse> {
        // The event loop may process the shutdown later than the client connections do.
        if self.context.client_gate.is_shutting_down() {
            return Some(SubmitResponse::Rejected(None));
        }
        // The copies of broadcasts are submitted under ids that are reserved for them.
        let fanout = self.context.fanout.as_ref();
        if fanout.is_some_and(|fanout| fanout.reserves_id(&event.id)) {
            return Some(SubmitResponse::Rejected(None));
        }
        if self.over_limit {
            let retry_after = self.context.config.decisions.max_retry_after;
            return Some(SubmitResponse::Rejected(retry_after));
        }
        None
    }

    async fn wait_for_response(
        &mut self,
        received: Receiver<SubmitResponse>,
        commit_by: Option<Instant>,
    ) -> SubmissionResult {
        let mut readable_since = None;
        let client_gone = async {
            let _ = self.stream.readable().await;
            if !is_closed_by_peer(&self.stream) {
                readable_since = (!is_open_without_data(&self.stream)).then(Instant::now);
                future::pending::<()>().await;
            }
            SubmissionResult::ClientGone
        };
        let response = async {
            let received = async {
                match received.recv().await {
                    Ok(response) => SubmissionResult::Response(response),
                    Err(_) => SubmissionResult::Undecided,
                }
            };
            match commit_by {
                Some(deadline) => until(deadline, received)
                    .await
                    .unwrap_or(SubmissionResult::Undecided),
                None => received.await,
            }
        };
        let submitted = future::or(response, client_gone).await;
        self.readable_since = readable_since;
        submitted
    }

    async fn respond_or_withdraw(
        &mut self,
        id: EventId,
        request_number: u64,
        submitted: SubmissionResult,
    ) -> Responded {
        let responded = match submitted {
            // The client may have disconnected in the same turn of the executor in which the
            // response arrived.
            SubmissionResult::Response(SubmitResponse::Accepted)
                if is_closed_by_peer(&self.stream) =>
            {
                Responded::Failed
            }
            SubmissionResult::Response(response) => self.respond_submitted(response).await,
            SubmissionResult::Undecided | SubmissionResult::ClientGone => Responded::Failed,
        };
        let may_be_pending = match submitted {
            SubmissionResult::Response(response) => response == SubmitResponse::Accepted,
            SubmissionResult::Undecided | SubmissionResult::ClientGone => true,
        };
        if responded == Responded::Failed && may_be_pending {
            debug!(self.context.log, "client left before its response"; "event" => &*id.0);
            let withdrawn = Input::Withdrawn {
                event: id,
                request_number,
            };
            let _ = self.to_event_loop.send(withdrawn).await;
        }
        responded
    }
}

/// The rest of a timeout that started with the first byte of its request.
fn time_left(timeout: Ms, began: Instant) -> Ms {
    (timeout - to_ms(began.elapsed())).max(0.0)
}
