//! A client's requests, with the attempts that clients make.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, StatusCode};
use thiserror::Error;
use tokio::time::sleep;

use crate::call::{call, Answer, CallError};
use crate::configuration;
use crate::counts::SharedCounts;
use crate::load_balancer::LoadBalancer;

/// Time for the answer to one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 6;

/// Backoff before the second attempt; it grows by itself with each further one.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Longest `Retry-After` that is obeyed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A client's request; each attempt gets an id of its own.
#[derive(Debug, Clone)]
pub(crate) struct ClientRequest {
    /// Prefix of the ids of its attempts, unique in the run.
    pub(crate) name: String,
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
}

/// A request that was answered.
#[derive(Debug)]
pub(crate) struct AnsweredRequest {
    /// Id of the attempt that was answered.
    pub(crate) id: String,
    pub(crate) answer: Answer,
}

/// No attempt of a request was answered conclusively.
#[derive(Debug, Error)]
#[error("{request}: {last_failure}")]
pub(crate) struct RequestError {
    request: String,
    last_failure: AttemptFailure,
}

/// Why one attempt failed.
#[derive(Debug, Error)]
enum AttemptFailure {
    #[error("{proxy} answered {status}")]
    Status {
        proxy: SocketAddr,
        status: StatusCode,
    },
    #[error("{proxy}: {error}")]
    Call { proxy: SocketAddr, error: CallError },
}

impl AttemptFailure {
    /// What happened, in two or three words.
    fn kind(&self) -> String {
        match self {
            AttemptFailure::Status { status, .. } => format!("answered {}", status.as_u16()),
            AttemptFailure::Call { error, .. } => error.kind().to_owned(),
        }
    }
}

/// Sends requests to the proxies.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) load_balancer: Arc<LoadBalancer>,
    pub(crate) counts: Arc<SharedCounts>,
    /// Index of the client among all, by which its proxies are chosen.
    pub(crate) index: usize,
}

impl Client {
    /// Sends `request` until an attempt succeeds or is rejected for good.
    ///
    /// # Errors
    /// [`RequestError`] with the failure of the last attempt.
    pub(crate) async fn send(
        &self,
        request: &ClientRequest,
    ) -> Result<AnsweredRequest, RequestError> {
        let mut number = 0;
        loop {
            let id = format!("{}-{number}", request.name);
            let proxy = self
                .load_balancer
                .choose_proxy(self.index + number as usize);
            let mut backoff = RETRY_BACKOFF * (number + 1);
            let failure = match call(proxy, build_request(request, &id), ATTEMPT_TIMEOUT).await {
                Ok(answer) if is_final(answer.status) => return Ok(AnsweredRequest { id, answer }),
                Ok(answer) => {
                    backoff = retry_after(&answer).unwrap_or(backoff);
                    let status = answer.status;
                    AttemptFailure::Status { proxy, status }
                }
                Err(error) => AttemptFailure::Call { proxy, error },
            };
            self.count_failure(failure.kind());
            sleep(backoff).await;
            number += 1;
            if number == MAX_ATTEMPTS {
                return Err(RequestError {
                    request: request.name.clone(),
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

fn is_final(status: StatusCode) -> bool {
    status.is_success() || (status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS)
}

fn retry_after(answer: &Answer) -> Option<Duration> {
    let seconds: f64 = answer
        .headers
        .get("retry-after")?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .map(|pause| pause.min(MAX_RETRY_AFTER))
}

fn build_request(request: &ClientRequest, id: &str) -> Request<Full<Bytes>> {
    let mut built = Request::new(Full::new(Bytes::from(request.body.clone())));
    *built.method_mut() = request.method.clone();
    *built.uri_mut() = hyper::Uri::from_static(request.path);
    let headers = built.headers_mut();
    headers.insert(HOST, HeaderValue::from_static(configuration::HOST));
    let own = [
        ("request-id", id.to_owned()),
        ("deadline-ms", ATTEMPT_TIMEOUT.as_millis().to_string()),
    ];
    for (name, value) in own.iter().chain(&request.headers) {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(*name, value);
        }
    }
    built
}
