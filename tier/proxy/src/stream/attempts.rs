//! Runs one stream from its admission to its end, over all targets to which it is sent.

use std::rc::Rc;

use hyper::StatusCode;
use plankhill_dispatch::{AttemptOutcome, AttemptResult, Ms};
use tokio::time::Instant;

use super::client_channel::ClientChannel;
use super::event_relay::{is_event_stream, EventRelay, StreamProgress};
use super::turn_completion::TurnCompletion;
use crate::admission::AdmittedRequest;
use crate::buffered_response::BufferedResponse;
use crate::client_request::ClientRequest;
use crate::decision::{Attempt, Decision};
use crate::local_response;
use crate::process::Proxy;
use crate::turn::TurnError;
use crate::upstream_response::UpstreamResponse;

/// A stream is still read for this long after its deadline: the target ends the stream by itself,
/// and its last events may be in transit at the deadline.
const DEADLINE_GRACE: Ms = 50.0;
/// The `Retry-After` while the stores are unavailable.
const RETRY_AFTER_STORES: Ms = 200.0;

/// Serves the stream. The future may be dropped at any time.
pub(super) async fn run(
    proxy: &Rc<Proxy>,
    request: &mut ClientRequest,
    client: &mut ClientChannel,
    completion: &mut TurnCompletion,
) {
    if let Err(error) = completion.begin(proxy, request).await {
        respond_to_turn_error(error, request, client);
        return;
    }
    let key = proxy.admission.next_key();
    let admitted = proxy.admission.admit(request.for_dispatch(key));
    // If the client resumes a stream, no event that it already has may be sent again.
    let progress = StreamProgress {
        last_event_id: request.resumed_after(),
        ..StreamProgress::default()
    };
    let mut stream = StreamAttempts {
        proxy,
        request,
        client,
        completion,
        progress,
        failure: None,
    };
    match stream.run(admitted).await {
        StreamEnd::Complete => stream.finish().await,
        StreamEnd::RespondedOrTruncated => {}
    }
}

fn respond_to_turn_error(error: TurnError, request: &ClientRequest, client: &mut ClientChannel) {
    let request_id = Some(&request.upstream.request_id);
    client.send_response(match error {
        TurnError::BudgetExhausted => {
            local_response::empty(StatusCode::PAYMENT_REQUIRED, request_id)
        }
        TurnError::NoSuchTurn => local_response::empty(StatusCode::NOT_FOUND, request_id),
        TurnError::StoresUnavailable | TurnError::UnknownOutput => {
            local_response::rejected(RETRY_AFTER_STORES, request_id)
        }
    });
}

/// The result of the attempts of a stream.
enum StreamEnd {
    /// A target's stream has arrived completely; its end is still to be forwarded.
    Complete,
    /// The client has a complete response, or its stream is to be truncated.
    RespondedOrTruncated,
}

struct StreamAttempts<'run> {
    proxy: &'run Rc<Proxy>,
    request: &'run mut ClientRequest,
    client: &'run mut ClientChannel,
    completion: &'run mut TurnCompletion,
    progress: StreamProgress,
    /// The last complete error response from a target.
    failure: Option<BufferedResponse>,
}

impl StreamAttempts<'_> {
    /// Sends the request until an attempt is delivered, or until the dispatcher rejects or fails
    /// the request.
    async fn run(&mut self, mut admitted: AdmittedRequest) -> StreamEnd {
        loop {
            let attempt = match admitted.next_decision().await {
                Decision::Attempt(attempt) => attempt,
                Decision::Reject(retry_after) => {
                    let request_id = Some(&self.request.upstream.request_id);
                    self.client
                        .send_response(local_response::rejected(retry_after, request_id));
                    return StreamEnd::RespondedOrTruncated;
                }
                Decision::Fail(last) => {
                    self.fail(last);
                    return StreamEnd::RespondedOrTruncated;
                }
            };
            let result = self.attempt(&attempt).await;
            admitted.on_attempt_ended(result);
            if result.outcome == AttemptOutcome::Delivered {
                if self.completion.delivered.is_complete {
                    return StreamEnd::Complete;
                }
                return StreamEnd::RespondedOrTruncated;
            }
        }
    }

    async fn attempt(&mut self, attempt: &Attempt) -> AttemptResult {
        let sent_at = self.proxy.clock.now();
        self.request.upstream.last_event_id = self.progress.last_event_id;
        let response = self
            .proxy
            .target_client
            .send(
                attempt,
                &self.request.upstream,
                self.request.max_connections,
            )
            .await;
        let elapsed = self.proxy.clock.now() - sent_at;
        let read = match response {
            Ok(response) => self.read_response(attempt, response, elapsed).await,
            Err(outcome) => Err(outcome),
        };
        match read {
            Ok(result) => result,
            Err(outcome) => AttemptResult {
                elapsed,
                ..AttemptResult::from_outcome(outcome)
            },
        }
    }

    /// Reads the response after its head. A delivered response is forwarded; an error response is
    /// kept in `failure`.
    async fn read_response(
        &mut self,
        attempt: &Attempt,
        response: UpstreamResponse,
        elapsed: Ms,
    ) -> Result<AttemptResult, AttemptOutcome> {
        let is_delivered = response.outcome() == AttemptOutcome::Delivered;
        if is_event_stream(response.status, &response.headers) && is_delivered {
            self.relay_events(attempt, response).await?;
            let longest_pause = Some(self.progress.longest_pause);
            let delivered = AttemptResult::from_outcome(AttemptOutcome::Delivered);
            return Ok(AttemptResult {
                elapsed,
                longest_pause,
                ..delivered
            });
        }
        let deadline = self.proxy.clock.instant(attempt.deadline);
        let pool = &self.proxy.target_client.pool;
        let buffered =
            BufferedResponse::read(response, pool, deadline, &mut self.request.memory).await?;
        let mut result = buffered.attempt_result(elapsed);
        match buffered.outcome() {
            // A complete response cannot follow the events that the client already has.
            AttemptOutcome::Delivered if self.client.has_begun() => {
                result.outcome = AttemptOutcome::Error;
            }
            AttemptOutcome::Delivered => {
                self.client
                    .send_response(buffered.into_response(&self.request.upstream.method));
            }
            AttemptOutcome::Error => self.failure = Some(buffered),
            _ => {}
        }
        Ok(result)
    }

    /// Forwards one target's stream, which has arrived completely if there is no error.
    async fn relay_events(
        &mut self,
        attempt: &Attempt,
        response: UpstreamResponse,
    ) -> Result<(), AttemptOutcome> {
        if let Some(load) = response.load() {
            self.proxy.admission.on_load_reported(&attempt.target, load);
        }
        let UpstreamResponse {
            status,
            headers,
            mut body,
            connection,
            ..
        } = response;
        let deadline = self.proxy.clock.instant(attempt.deadline + DEADLINE_GRACE);
        let memory = if self.completion.is_retained() {
            Some(&mut self.request.memory)
        } else {
            None
        };
        let mut relay = EventRelay {
            client: &mut *self.client,
            delivered: &mut self.completion.delivered,
            progress: &mut self.progress,
            memory,
            checkpoints: self.completion.checkpoints.as_mut(),
        };
        relay.forward(status, &headers, &mut body, deadline).await?;
        self.proxy
            .target_client
            .pool
            .put_back(connection, &headers, Instant::now());
        self.completion.delivered.is_complete = true;
        Ok(())
    }

    /// Responds with the last complete error response from a target, or else with a local response.
    /// A response that has begun is truncated.
    fn fail(&mut self, last: AttemptOutcome) {
        let response = match self.failure.take() {
            Some(failure) => failure.into_response(&self.request.upstream.method),
            None => local_response::failed(last, Some(&self.request.upstream.request_id)),
        };
        self.client.send_response(response);
    }

    /// Ends the response as complete; for a retained turn, only once the stores have acknowledged
    /// it.
    async fn finish(&mut self) {
        if self
            .completion
            .store_retained(self.proxy, self.request.deadline)
            .await
        {
            self.client.send_end().await;
        }
    }
}
