//! One call of a target: the request is written, the answer's head is read and checked.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use plankhill_dispatch::{AttemptOutcome, Ms, UpstreamLoad};
use plankhill_protocol::ids::RequestId;
use tokio::time::{timeout_at, Instant};

use crate::clock::Clock;
use crate::connect::connect;
use crate::facts::{number, text};
use crate::headers;
use crate::orders::Call;
use crate::target_pool::{OpenPermit, TargetConnection, TargetPool};

/// A connection that takes longer to come up counts as failed: far more than any way to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A body of this size, in bytes, goes out with its head and is read with it. Of a longer one the target may not have
/// read the rest when it turns the request away.
const SHORT_BODY: usize = 2 * 1024;

/// What is sent to targets, the same for every call of a request but for a few headers.
#[derive(Debug)]
pub struct Outgoing {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The client's headers but for those that concern its connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The client's name for its try.
    pub request_id: RequestId,
    /// From which event on the stream goes on, if not from where the client asked.
    pub last_event_id: Option<u64>,
}

impl Outgoing {
    fn request(&self, call: &Call, now: Ms) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        if let Ok(id) = call.target.as_str().parse() {
            headers.insert(headers::EXPECTED_INSTANCE, id);
        }
        let left = (call.deadline - now).max(1.0) as u64;
        headers.insert(headers::DEADLINE_MS, headers::number_value(left));
        headers.insert(
            headers::PRIORITY,
            headers::number_value(call.priority.into()),
        );
        if let Some(id) = self.last_event_id {
            headers.insert(headers::LAST_EVENT_ID, headers::number_value(id));
        }
        *request.headers_mut() = headers;
        request
    }
}

/// The head of a target's answer; its body is still to come.
#[derive(Debug)]
pub struct TargetHead {
    /// As the target sent it.
    pub status: StatusCode,
    /// As the target sent them.
    pub headers: HeaderMap,
    /// The rest of the answer.
    pub body: Incoming,
    /// To be put back once the body has come whole.
    pub connection: TargetConnection,
    /// The rest of the request may still be unread: a request that follows on this connection would wait behind it,
    /// and nobody could tell what became of it.
    pub is_early: bool,
}

impl TargetHead {
    /// How the call ends if the whole answer comes.
    pub fn outcome(&self) -> AttemptOutcome {
        if self.status == StatusCode::MISDIRECTED_REQUEST {
            // Another target listens there: the one that was meant is gone.
            AttemptOutcome::ConnectFailed
        } else if self.headers.contains_key(headers::NOT_EXECUTED) {
            AttemptOutcome::Rejected
        } else if self.status.is_server_error() {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Delivered
        }
    }

    /// The target's `Upstream-Load`.
    pub fn load(&self) -> Option<UpstreamLoad> {
        let value = text(&self.headers, headers::UPSTREAM_LOAD.as_str())?;
        let mut parts = value.split(',').map(|part| part.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
        Some(UpstreamLoad {
            running,
            waiting,
            slots,
        })
    }

    /// The target's `Retry-After`, in milliseconds.
    pub fn retry_after(&self) -> Option<Ms> {
        number::<f64>(&self.headers, "retry-after")
            .filter(|seconds| seconds.is_finite())
            .map(|s| s * 1e3)
    }
}

/// What an exchange needs of the process.
#[derive(Clone, Debug)]
pub struct Targets {
    /// The clock that deadlines are on.
    pub clock: Clock,
    /// Open connections.
    pub pool: Rc<TargetPool>,
}

impl Targets {
    /// Writes the request and reads the answer's head, with at most `most_connections` to the target.
    ///
    /// # Errors
    /// How the call ended without an answer to this request.
    pub async fn exchange(
        &self,
        call: &Call,
        outgoing: &Outgoing,
        most_connections: usize,
    ) -> Result<TargetHead, AttemptOutcome> {
        let deadline = self.clock.instant(call.deadline);
        loop {
            let mut connection = self.connection(call, deadline, most_connections).await?;
            match self
                .write(&mut connection, call, outgoing, deadline)
                .await?
            {
                Some(response) => return checked(response, connection, outgoing),
                // It was closed while it rested.
                None if connection.reused => {}
                None => return Err(AttemptOutcome::ConnectFailed),
            }
        }
    }

    /// The answer's head, or none if the connection cannot be used and nothing was written.
    async fn write(
        &self,
        connection: &mut TargetConnection,
        call: &Call,
        outgoing: &Outgoing,
        deadline: Instant,
    ) -> Result<Option<Response<Incoming>>, AttemptOutcome> {
        let ready = timeout_at(deadline, connection.sender.ready())
            .await
            .map_err(|_| AttemptOutcome::NotSent)?;
        if call.leave.is_taken_back() {
            return Err(AttemptOutcome::NotSent);
        }
        if ready.is_err() {
            return Ok(None);
        }
        let request = outgoing.request(call, self.clock.now());
        match timeout_at(deadline, connection.sender.try_send_request(request)).await {
            Err(_) => Err(AttemptOutcome::TimedOut),
            Ok(Ok(response)) => Ok(Some(response)),
            // The message comes back where nothing of it was written.
            Ok(Err(mut error)) => error
                .take_message()
                .map(|_| None)
                .ok_or(AttemptOutcome::Reset),
        }
    }

    async fn connection(
        &self,
        call: &Call,
        deadline: Instant,
        most_connections: usize,
    ) -> Result<TargetConnection, AttemptOutcome> {
        if let Some(connection) = self.pool.take_idle(&call.target, Instant::now()) {
            return Ok(connection);
        }
        let permit = self
            .pool
            .permit(&call.target, most_connections)
            .ok_or(AttemptOutcome::NotSent)?;
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        tokio::select! {
            connected = dial(call.address, permit, until) => connected.ok_or(AttemptOutcome::ConnectFailed),
            () = call.leave.taken_back() => Err(AttemptOutcome::NotSent),
        }
    }
}

async fn dial(address: SocketAddr, permit: OpenPermit, until: Instant) -> Option<TargetConnection> {
    timeout_at(until, connect(address, permit)).await.ok()?.ok()
}

/// An answer of another request, or none that could be passed on, says nothing about this one.
fn checked(
    response: Response<Incoming>,
    connection: TargetConnection,
    outgoing: &Outgoing,
) -> Result<TargetHead, AttemptOutcome> {
    let (head, body) = response.into_parts();
    let ours = match text(&head.headers, headers::REQUEST_ID.as_str()) {
        Some(echoed) => echoed == outgoing.request_id.as_str(),
        // Over a new connection no other answer can be on its way.
        None => !connection.reused,
    };
    if !ours || head.status.is_informational() || !is_plausible(head.status, &head.headers) {
        return Err(AttemptOutcome::Reset);
    }
    let is_early = !head.status.is_success() && outgoing.body.len() > SHORT_BODY;
    Ok(TargetHead {
        status: head.status,
        headers: head.headers,
        body,
        connection,
        is_early,
    })
}

/// A success has the target's stamp. A status that promises that the request has not run says so in its
/// headers; without that it can be passed on neither as it is nor with another status.
fn is_plausible(status: StatusCode, headers: &HeaderMap) -> bool {
    let stamped = headers.contains_key(headers::UPSTREAM_SIGNATURE);
    let not_executed = headers.contains_key(headers::NOT_EXECUTED);
    match status {
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::REQUEST_TIMEOUT => not_executed,
        _ => stamped || !status.is_success(),
    }
}
