//! Makes one attempt at a target: takes a connection from the pool or opens one, writes the
//! request, and reads the head of the response. Called by the task of each request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::Response;
use plankhill_dispatch::AttemptOutcome;
use tokio::time::{timeout_at, Instant};

use crate::clock::Clock;
use crate::connect::connect;
use crate::decision::Attempt;
use crate::target_pool::{OpenPermit, TargetConnection, TargetPool};
use crate::upstream_request::UpstreamRequest;
use crate::upstream_response::UpstreamResponse;

/// Timeout for opening a connection, far longer than the latency to any target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests to targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    /// The clock of the attempts' deadlines.
    pub clock: Clock,
    /// The pool of open connections.
    pub pool: Rc<TargetPool>,
}

/// The result of writing a request on a connection.
enum WriteResult {
    /// The head of the response has arrived.
    Responded(Response<Incoming>),
    /// The connection cannot be used, and nothing was written.
    ConnectionUnusable,
}

impl TargetClient {
    /// Writes the request and reads the head of the response, with at most `max_connections` open
    /// to the target.
    ///
    /// # Errors
    /// The outcome of the attempt if there is no valid response to this request.
    pub async fn send(
        &self,
        attempt: &Attempt,
        request: &UpstreamRequest,
        max_connections: usize,
    ) -> Result<UpstreamResponse, AttemptOutcome> {
        let deadline = self.clock.instant(attempt.deadline);
        loop {
            let mut connection = self
                .acquire_connection(attempt, deadline, max_connections)
                .await?;
            match self
                .write(&mut connection, attempt, request, deadline)
                .await?
            {
                WriteResult::Responded(response) => {
                    return UpstreamResponse::check(response, connection, request);
                }
                // The target closed the connection while it was idle.
                WriteResult::ConnectionUnusable if connection.reused => {}
                WriteResult::ConnectionUnusable => return Err(AttemptOutcome::ConnectFailed),
            }
        }
    }

    async fn write(
        &self,
        connection: &mut TargetConnection,
        attempt: &Attempt,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> Result<WriteResult, AttemptOutcome> {
        let Ok(ready) = timeout_at(deadline, connection.sender.ready()).await else {
            return Err(AttemptOutcome::NotSent);
        };
        if attempt.send_permit.is_revoked() {
            return Err(AttemptOutcome::NotSent);
        }
        if ready.is_err() {
            return Ok(WriteResult::ConnectionUnusable);
        }
        let message = request.message(attempt, self.clock.now());
        match timeout_at(deadline, connection.sender.try_send_request(message)).await {
            Err(_) => Err(AttemptOutcome::TimedOut),
            Ok(Ok(response)) => Ok(WriteResult::Responded(response)),
            // The error contains the message if no part of it was written.
            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Ok(WriteResult::ConnectionUnusable),
                None => Err(AttemptOutcome::Reset),
            },
        }
    }

    async fn acquire_connection(
        &self,
        attempt: &Attempt,
        deadline: Instant,
        max_connections: usize,
    ) -> Result<TargetConnection, AttemptOutcome> {
        if let Some(connection) = self.pool.take_idle(&attempt.target, Instant::now()) {
            return Ok(connection);
        }
        let permit = self
            .pool
            .acquire_permit(&attempt.target, max_connections)
            .ok_or(AttemptOutcome::NotSent)?;
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        tokio::select! {
            connected = open_connection(attempt.address, permit, until) => {
                connected.ok_or(AttemptOutcome::ConnectFailed)
            }
            () = attempt.send_permit.revoked() => Err(AttemptOutcome::NotSent),
        }
    }
}

/// Opens a connection; `None` if that fails or is not complete by `until`.
async fn open_connection(
    address: SocketAddr,
    permit: OpenPermit,
    until: Instant,
) -> Option<TargetConnection> {
    timeout_at(until, connect(address, permit)).await.ok()?.ok()
}
