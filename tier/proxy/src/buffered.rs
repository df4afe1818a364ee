//! Serves requests whose responses are buffered: a response is forwarded only after it has arrived
//! completely, so that a failed attempt can be followed by another one. Called by `responder`.

use std::rc::Rc;

use hyper::Response;
use plankhill_dispatch::{AttemptOutcome, AttemptResult};

use crate::buffered_response::BufferedResponse;
use crate::client_request::ClientRequest;
use crate::decision::{Attempt, Decision};
use crate::local_response;
use crate::process::Proxy;
use crate::response_body::ResponseBody;

/// Serves the request and returns its response. Dropping the future cancels the request.
pub async fn serve(proxy: &Rc<Proxy>, mut request: ClientRequest) -> Response<ResponseBody> {
    let key = proxy.admission.next_key();
    let mut admitted = proxy.admission.admit(request.for_dispatch(key));
    // The last complete error response from a target.
    let mut failure: Option<BufferedResponse> = None;
    loop {
        let attempt = match admitted.next_decision().await {
            Decision::Attempt(attempt) => attempt,
            Decision::Reject(retry_after) => {
                let request_id = Some(&request.upstream.request_id);
                return local_response::rejected(retry_after, request_id);
            }
            Decision::Fail(last) => {
                return match failure {
                    Some(failure) => failure.into_response(&request.upstream.method),
                    None => local_response::failed(last, Some(&request.upstream.request_id)),
                };
            }
        };
        let sent_at = proxy.clock.now();
        let response = fetch_response(proxy, &mut request, &attempt).await;
        let elapsed = proxy.clock.now() - sent_at;
        match response {
            Ok(response) => {
                admitted.on_attempt_ended(response.attempt_result(elapsed));
                match response.outcome() {
                    AttemptOutcome::Delivered => {
                        return response.into_response(&request.upstream.method);
                    }
                    AttemptOutcome::Error => failure = Some(response),
                    _ => {}
                }
            }
            Err(outcome) => {
                let result = AttemptResult {
                    elapsed,
                    ..AttemptResult::from_outcome(outcome)
                };
                admitted.on_attempt_ended(result);
            }
        }
    }
}

async fn fetch_response(
    proxy: &Proxy,
    request: &mut ClientRequest,
    attempt: &Attempt,
) -> Result<BufferedResponse, AttemptOutcome> {
    let response = proxy
        .target_client
        .send(attempt, &request.upstream, request.max_connections)
        .await?;
    let deadline = proxy.clock.instant(attempt.deadline);
    BufferedResponse::read(
        response,
        &proxy.target_client.pool,
        deadline,
        &mut request.memory,
    )
    .await
}
