//! A client's requests, with the tries that clients make.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, StatusCode};
use tokio::time::sleep;

use crate::call::{call, Answer};
use crate::configuration;
use crate::front::Front;
use crate::tally::Tally;

/// Longest wait for the answer to one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries of one request.
const MAX_TRIES: u32 = 6;

/// Pause before the second try; it grows with each.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause that a `Retry-After` is obeyed with.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A client's request; each try gets an id of its own.
#[derive(Debug, Clone)]
pub(crate) struct ClientRequest {
    /// Start of the ids of its tries, unique in the run.
    pub(crate) name: String,
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
}

/// A request that was answered.
#[derive(Debug)]
pub(crate) struct Answered {
    /// Id of the try that was answered.
    pub(crate) id: String,
    pub(crate) answer: Answer,
}

/// Sends requests to the proxies.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) front: Arc<Front>,
    pub(crate) tally: Arc<Tally>,
    /// Place of the client among all, by which its proxies are chosen.
    pub(crate) place: usize,
}

impl Client {
    /// Sends `request` until a try succeeds or is refused for good.
    ///
    /// # Errors
    /// What the last try saw.
    pub(crate) async fn send(&self, request: &ClientRequest) -> Result<Answered, String> {
        let mut seen = String::new();
        for number in 0..MAX_TRIES {
            let id = format!("{}-{number}", request.name);
            let proxy = self.front.choose(self.place + number as usize);
            let pause = match call(proxy, built(request, &id), TRY_TIMEOUT).await {
                Ok(answer) if is_final(answer.status) => return Ok(Answered { id, answer }),
                Ok(answer) => {
                    seen = format!("{proxy} answered {}", answer.status);
                    self.count_failed(format!("answered {}", answer.status.as_u16()));
                    retry_after(&answer)
                }
                Err(error) => {
                    seen = format!("{proxy}: {error}");
                    self.count_failed(error.kind().to_owned());
                    None
                }
            };
            sleep(pause.unwrap_or(RETRY_PAUSE * (number + 1))).await;
        }
        Err(format!("{}: {seen}", request.name))
    }

    fn count_failed(&self, what: String) {
        self.tally
            .update(|counts| *counts.failed_tries.entry(what).or_default() += 1);
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

fn built(request: &ClientRequest, id: &str) -> Request<Full<Bytes>> {
    let mut built = Request::new(Full::new(Bytes::from(request.body.clone())));
    *built.method_mut() = request.method.clone();
    *built.uri_mut() = hyper::Uri::from_static(request.path);
    let headers = built.headers_mut();
    headers.insert(HOST, HeaderValue::from_static(configuration::HOST));
    let own = [
        ("request-id", id.to_owned()),
        ("deadline-ms", TRY_TIMEOUT.as_millis().to_string()),
    ];
    for (name, value) in own.iter().chain(&request.headers) {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(*name, value);
        }
    }
    built
}
