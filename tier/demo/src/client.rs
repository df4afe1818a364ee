//! Requests of the clients, with retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, StatusCode};
use thiserror::Error;
use tokio::time::sleep;

use crate::call::{call, CallError, CallResponse};
use crate::configuration;
use crate::counts::SharedCounts;
use crate::load_balancer::LoadBalancer;

/// Longest wait for the response to one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest number of attempts of one request.
const MAX_ATTEMPTS: u32 = 6;

/// Backoff before the second attempt; the backoff grows by this amount with each further attempt.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Longest backoff taken from a `Retry-After` header; longer values are shortened to this limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A client's request; each of its attempts has a separate request id.
#[derive(Debug, Clone)]
pub(crate) struct ClientRequest {
    /// Prefix of the request ids of the attempts, unique within the run.
    pub(crate) id_prefix: String,
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
}

/// The conclusive response to a request.
#[derive(Debug)]
pub(crate) struct ClientResponse {
    /// Request id of the attempt that received the response.
    pub(crate) attempt_id: String,
    pub(crate) http_response: CallResponse,
}

/// Error of a request none of whose attempts received a conclusive response.
#[derive(Debug, Error)]
#[error("{request}: {last_failure}")]
pub(crate) struct RequestError {
    request: String,
    last_failure: AttemptFailure,
}

/// Reason why one attempt failed.
#[derive(Debug, Error)]
enum AttemptFailure {
    #[error("{proxy} returned status {status}")]
    Status {
        proxy: SocketAddr,
        status: StatusCode,
    },
    #[error("{proxy}: {error}")]
    Call { proxy: SocketAddr, error: CallError },
}

impl AttemptFailure {
    /// Short name of the kind of failure, for the report.
    fn kind(&self) -> String {
        match self {
            AttemptFailure::Status { status, .. } => format!("status {}", status.as_u16()),
            AttemptFailure::Call { error, .. } => error.kind().to_owned(),
        }
    }
}

/// Sends requests to the proxies.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) load_balancer: Arc<LoadBalancer>,
    pub(crate) counts: Arc<SharedCounts>,
    /// Index of the client among all clients; selects the proxy of its first attempt.
    pub(crate) index: usize,
}

impl Client {
    /// Sends `request` until an attempt receives a conclusive response, at most [`MAX_ATTEMPTS`]
    /// times.
    ///
    /// # Errors
    /// [`RequestError`] with the failure of the last attempt if no response was conclusive.
    pub(crate) async fn send(
        &self,
        request: &ClientRequest,
    ) -> Result<ClientResponse, RequestError> {
        let mut attempt = 0;
        loop {
            let id = format!("{}-{attempt}", request.id_prefix);
            let proxy = self
                .load_balancer
                .choose_proxy(self.index + attempt as usize);
            let mut backoff = RETRY_BACKOFF * (attempt + 1);
            let failure = match call(proxy, build_request(request, &id), ATTEMPT_TIMEOUT).await {
                Ok(response) if is_conclusive(response.status) => {
                    return Ok(ClientResponse {
                        attempt_id: id,
                        http_response: response,
                    })
                }
                Ok(response) => {
                    backoff = retry_after(&response).unwrap_or(backoff);
                    let status = response.status;
                    AttemptFailure::Status { proxy, status }
                }
                Err(error) => AttemptFailure::Call { proxy, error },
            };
            self.count_failure(failure.kind());
            sleep(backoff).await;
            attempt += 1;
            if attempt == MAX_ATTEMPTS {
                return Err(RequestError {
                    request: request.id_prefix.clone(),
                    last_failure: failure,
                });
            }
        }
    }

    fn count_failure(&self, kind: String) {
        self.counts
            .update(|counts| *counts.failed_attempts.entry(kind).or_default() += 1);
    }
}

fn is_conclusive(status: StatusCode) -> bool {
    status.is_success() || (status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS)
}

fn retry_after(response: &CallResponse) -> Option<Duration> {
    let seconds: f64 = response
        .headers
        .get("retry-after")?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .map(|backoff| backoff.min(MAX_RETRY_AFTER))
}

fn build_request(request: &ClientRequest, id: &str) -> Request<Full<Bytes>> {
    let mut built = Request::new(Full::new(Bytes::from(request.body.clone())));
    *built.method_mut() = request.method.clone();
    *built.uri_mut() = hyper::Uri::from_static(request.path);
    let headers = built.headers_mut();
    headers.insert(HOST, HeaderValue::from_static(configuration::HOST));
    let attempt_headers = [
        ("request-id", id.to_owned()),
        ("deadline-ms", ATTEMPT_TIMEOUT.as_millis().to_string()),
    ];
    for (name, value) in attempt_headers.iter().chain(&request.headers) {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(*name, value);
        }
    }
    built
}
