//! Responses to a client, and the end of its connection.

use std::fmt::Display;
use std::time::{Duration, Instant};

use futures_lite::{future, AsyncWriteExt};
use plankhill_hot_restart::SubmitResponse;
use plankhill_http1 as http1;

use super::connection::ClientConnection;
use super::request::RequestError;
use super::waiting::WaitReason;
use crate::lingering_close;
use crate::stream::is_open_without_data;

/// Time limit for writing a response that its client does not read: the client waits for 400 ms,
/// the response's first byte included.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long bytes that arrive after the last response are still read: a client that follows the
/// response closes the connection at once.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a response was written, so that the connection can continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Responded {
    Written,
    Failed,
}

impl ClientConnection {
    /// Responds to a submitted event.
    pub(super) async fn respond_submitted(&mut self, response: SubmitResponse) -> Responded {
        match response {
            SubmitResponse::Accepted => self.respond(202, &[], "").await,
            SubmitResponse::Failed => self.respond(500, &[], "").await,
            SubmitResponse::Rejected(None) => self.respond(503, &[], "").await,
            SubmitResponse::Rejected(Some(retry_after)) => {
                let seconds = format!("{:.3}", retry_after / 1000.0);
                self.respond(503, &[("Retry-After", &seconds)], "").await
            }
        }
    }

    /// Rejects a request that is not submitted as an event, and ends the connection.
    pub(super) async fn reject(mut self, error: RequestError) {
        self.connections
            .rejection_log()
            .record(&self.context.log, error);
        let fields: &[(&str, &dyn Display)] = match error.status {
            405 => &[("Allow", &"GET, POST")],
            503 => &[("Retry-After", &1)],
            _ => &[],
        };
        self.closing = true;
        if self.respond(error.status, fields, error.reason).await == Responded::Written {
            self.close().await;
        }
    }

    /// Closes the connection after its last response; during the lingering close the connection is
    /// the first to be evicted.
    pub(super) async fn close(self) {
        let lingering = lingering_close::linger(&self.stream);
        let deadline = Instant::now() + LINGER_TIMEOUT;
        let _ = self
            .connections
            .wait(WaitReason::Close, deadline, lingering)
            .await;
    }

    /// Writes a response. The response is also the last one if the client gate is shut and nothing
    /// has arrived after the request; a request that has already arrived still receives a response.
    pub(super) async fn respond(
        &mut self,
        status: u16,
        fields: &[(&str, &dyn Display)],
        text: &str,
    ) -> Responded {
        let gate_shut = self.context.client_gate.is_shut();
        if gate_shut && self.next_request.is_none() && is_open_without_data(&self.stream) {
            self.closing = true;
        }
        let mut fields = fields.to_vec();
        if self.closing {
            fields.push(("Connection", &"close"));
        }
        let mut response = Vec::with_capacity(128);
        if http1::write_response(&mut response, status, &fields, text.len()).is_err() {
            return Responded::Failed;
        }
        response.extend_from_slice(text.as_bytes());
        let mut writing = Box::pin(self.stream.write_all(&response));
        let written = match future::poll_once(&mut writing).await {
            Some(written) => written.is_ok(),
            None => {
                // The send buffer is full: the client has not read its responses for long.
                let deadline = Instant::now() + WRITE_TIMEOUT;
                let waited = self
                    .connections
                    .wait(WaitReason::Write, deadline, writing)
                    .await;
                matches!(waited, Ok(Ok(())))
            }
        };
        if written {
            Responded::Written
        } else {
            Responded::Failed
        }
    }
}
