//! One stream from its admission to its end, over all targets that it is sent to.

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

/// A stream may run on this long after its deadline: the target ends the stream by itself, and its
/// last events are on their way then.
const DEADLINE_GRACE: Ms = 50.0;
/// The `Retry-After` while the stores are unavailable.
const RETRY_AFTER_STORES: Ms = 200.0;

/// Has the stream answered. May be dropped at any time.
pub(super) async fn run(
    proxy: &Rc<Proxy>,
    request: &mut ClientRequest,
    client: &mut ClientChannel,
    completion: &mut TurnCompletion,
) {
    if let Err(error) = completion.begin(proxy, request).await {
        answer_turn_error(error, request, client);
        return;
    }
    let key = proxy.admission.next_key();
    let admitted = proxy.admission.admit(request.for_dispatch(key));
    // Where the client resumes a stream, no event that it has may come a second time.
    let last_event_id = if request.route.resumable {
        request.headers.last_event_id
    } else {
        None
    };
    let progress = StreamProgress {
        last_event_id,
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
        StreamEnd::AnsweredOrTruncated => {}
    }
}

fn answer_turn_error(error: TurnError, request: &ClientRequest, client: &mut ClientChannel) {
    let request_id = Some(&request.upstream.request_id);
    client.answer(match error {
        TurnError::BudgetExhausted => {
            local_response::empty(StatusCode::PAYMENT_REQUIRED, request_id)
        }
        TurnError::NoSuchTurn => local_response::empty(StatusCode::NOT_FOUND, request_id),
        TurnError::StoresUnavailable => local_response::rejected(RETRY_AFTER_STORES, request_id),
    });
}

/// How the attempts of a stream ended.
enum StreamEnd {
    /// A target's stream has arrived completely; its end is still to be passed on.
    Complete,
    /// The client has its complete answer, or its stream is to be truncated.
    AnsweredOrTruncated,
}

struct StreamAttempts<'run> {
    proxy: &'run Rc<Proxy>,
    request: &'run mut ClientRequest,
    client: &'run mut ClientChannel,
    completion: &'run mut TurnCompletion,
    progress: StreamProgress,
    /// The last complete failure of a target.
    failure: Option<BufferedResponse>,
}

impl StreamAttempts<'_> {
    /// Sends the request until an attempt is delivered or the dispatcher answers it.
    async fn run(&mut self, mut admitted: AdmittedRequest) -> StreamEnd {
        loop {
            let attempt = match admitted.next_decision().await {
                Decision::Attempt(attempt) => attempt,
                Decision::Reject(retry_after) => {
                    let request_id = Some(&self.request.upstream.request_id);
                    self.client
                        .answer(local_response::rejected(retry_after, request_id));
                    return StreamEnd::AnsweredOrTruncated;
                }
                Decision::Fail(last) => {
                    self.fail(last);
                    return StreamEnd::AnsweredOrTruncated;
                }
            };
            let result = self.attempt(&attempt).await;
            admitted.on_attempt_ended(result);
            if result.outcome == AttemptOutcome::Delivered {
                if self.completion.delivered.is_complete {
                    return StreamEnd::Complete;
                }
                return StreamEnd::AnsweredOrTruncated;
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
            Ok(response) => self.read_answer(attempt, response, elapsed).await,
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

    /// Reads the answer after its head, and passes it on.
    async fn read_answer(
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
        let answer =
            BufferedResponse::read(response, pool, deadline, &mut self.request.memory).await?;
        let mut result = answer.attempt_result(elapsed);
        match answer.outcome() {
            // Such an answer cannot follow the events that the client has.
            AttemptOutcome::Delivered if self.client.has_begun() => {
                result.outcome = AttemptOutcome::Error;
            }
            AttemptOutcome::Delivered => {
                self.client
                    .answer(answer.into_response(&self.request.upstream.method));
            }
            AttemptOutcome::Error => self.failure = Some(answer),
            _ => {}
        }
        Ok(result)
    }

    /// Passes one target's stream on; it has arrived completely if there is no error.
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
        };
        relay.pass_on(status, &headers, &mut body, deadline).await?;
        self.proxy
            .target_client
            .pool
            .put_back(connection, &headers, Instant::now());
        self.completion.delivered.is_complete = true;
        Ok(())
    }

    /// The last target's own failure if it has arrived completely; an answer that has begun is
    /// truncated.
    fn fail(&mut self, last: AttemptOutcome) {
        let response = match self.failure.take() {
            Some(failure) => failure.into_response(&self.request.upstream.method),
            None => local_response::failed(last, Some(&self.request.upstream.request_id)),
        };
        self.client.answer(response);
    }

    /// Ends the answer as complete: that of a retained turn only once the stores have it.
    async fn finish(&mut self) {
        if self
            .completion
            .store_retained(self.proxy, self.request.deadline)
            .await
        {
            self.client.end().await;
        }
    }
}
