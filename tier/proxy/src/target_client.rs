//! One attempt at a target: takes or opens a connection, writes the request, reads the answer's
//! head. Called by the task of each request; the connections are the pool's.

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

/// A connection that takes longer to come up counts as failed: far more than any way to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests to targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    /// The clock of the attempts' deadlines.
    pub clock: Clock,
    /// Open connections.
    pub pool: Rc<TargetPool>,
}

/// What became of a request that was to be written on a connection.
enum Written {
    /// The head of the answer has come.
    Answered(Response<Incoming>),
    /// The connection cannot be used, and nothing was written.
    ConnectionUnusable,
}

impl TargetClient {
    /// Writes the request and reads the answer's head, with at most `max_connections` to the
    /// target.
    ///
    /// # Errors
    /// How the attempt ended without an answer to this request.
    pub async fn send(
        &self,
        attempt: &Attempt,
        request: &UpstreamRequest,
        max_connections: usize,
    ) -> Result<UpstreamResponse, AttemptOutcome> {
        let deadline = self.clock.instant(attempt.deadline);
        loop {
            let mut connection = self.connection(attempt, deadline, max_connections).await?;
            match self
                .write(&mut connection, attempt, request, deadline)
                .await?
            {
                Written::Answered(response) => {
                    return UpstreamResponse::check(response, connection, request);
                }
                // The target closed the connection while it was idle.
                Written::ConnectionUnusable if connection.reused => {}
                Written::ConnectionUnusable => return Err(AttemptOutcome::ConnectFailed),
            }
        }
    }

    async fn write(
        &self,
        connection: &mut TargetConnection,
        attempt: &Attempt,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> Result<Written, AttemptOutcome> {
        let Ok(ready) = timeout_at(deadline, connection.sender.ready()).await else {
            return Err(AttemptOutcome::NotSent);
        };
        if attempt.send_permit.is_revoked() {
            return Err(AttemptOutcome::NotSent);
        }
        if ready.is_err() {
            return Ok(Written::ConnectionUnusable);
        }
        let message = request.message(attempt, self.clock.now());
        match timeout_at(deadline, connection.sender.try_send_request(message)).await {
            Err(_) => Err(AttemptOutcome::TimedOut),
            Ok(Ok(response)) => Ok(Written::Answered(response)),
            // The message comes back where nothing of it was written.
            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Ok(Written::ConnectionUnusable),
                None => Err(AttemptOutcome::Reset),
            },
        }
    }

    async fn connection(
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
            .permit(&attempt.target, max_connections)
            .ok_or(AttemptOutcome::NotSent)?;
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        tokio::select! {
            connected = open(attempt.address, permit, until) => {
                connected.ok_or(AttemptOutcome::ConnectFailed)
            }
            () = attempt.send_permit.revoked() => Err(AttemptOutcome::NotSent),
        }
    }
}

/// None if the connection does not come up in time, or at all.
async fn open(address: SocketAddr, permit: OpenPermit, until: Instant) -> Option<TargetConnection> {
    timeout_at(until, connect(address, permit)).await.ok()?.ok()
}
