//! Calls to the control plane, as the operator and targets make them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, IF_MATCH, LOCATION};
use hyper::{Method, Request, StatusCode};
use tokio::time::{sleep, Instant};

use crate::call::{call, Answer};

/// Longest wait for one controller's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff before the next controller is tried.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Redirections followed in one call.
const MAX_REDIRECTIONS: usize = 2;

/// One request to the control plane.
#[derive(Debug, Clone)]
pub struct ControlRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// Version that the request builds on (`If-Match`).
    pub base_version: Option<u64>,
    /// The body, JSON or empty.
    pub body: Bytes,
}

impl ControlRequest {
    /// A configuration that builds on version `base`.
    pub fn configuration(base: u64, document: &serde_json::Value) -> ControlRequest {
        let body = Bytes::from(document.to_string());
        ControlRequest {
            method: Method::PUT,
            path: "/-/config".to_owned(),
            base_version: Some(base),
            body,
        }
    }

    /// A request with a JSON body.
    pub fn post(path: &str, body: &serde_json::Value) -> ControlRequest {
        let body = Bytes::from(body.to_string());
        ControlRequest {
            method: Method::POST,
            path: path.to_owned(),
            base_version: None,
            body,
        }
    }

    /// A request without a body.
    pub fn get(path: &str) -> ControlRequest {
        ControlRequest {
            method: Method::GET,
            path: path.to_owned(),
            base_version: None,
            body: Bytes::new(),
        }
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // Paths are written by this package; one that cannot be parsed would ask for the root.
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = address.to_string().parse() {
            headers.insert(HOST, host);
        }
        headers.insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        if let Some(base) = self.base_version {
            headers.insert(IF_MATCH, base.into());
        }
        request
    }
}

/// Sends `order` to one controller after the other, from index `first` on, until one gives a clear
/// answer (2xx or 4xx) or `limit` is over.
pub async fn send(
    controllers: &[SocketAddr],
    first: usize,
    order: &ControlRequest,
    limit: Duration,
) -> Option<Answer> {
    let until = Instant::now() + limit;
    for controller in controllers
        .iter()
        .cycle()
        .skip(first % controllers.len().max(1))
    {
        if let Some(answer) = send_once(*controller, order).await {
            return Some(answer);
        }
        if Instant::now() >= until {
            break;
        }
        sleep(RETRY_BACKOFF).await;
    }
    None
}

/// The status of one controller, if it gives one.
pub async fn status(controller: SocketAddr) -> Option<serde_json::Value> {
    let answer = send_once(controller, &ControlRequest::get("/-/status")).await?;
    serde_json::from_slice(&answer.body).ok()
}

async fn send_once(controller: SocketAddr, order: &ControlRequest) -> Option<Answer> {
    let mut address = controller;
    for _ in 0..=MAX_REDIRECTIONS {
        let answer = call(address, order.request(address), CALL_TIMEOUT)
            .await
            .ok()?;
        if answer.status == StatusCode::TEMPORARY_REDIRECT {
            address = redirected_to(&answer)?;
        } else {
            return is_conclusive(answer.status).then_some(answer);
        }
    }
    None
}

fn is_conclusive(status: StatusCode) -> bool {
    let unclear = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS].contains(&status);
    (status.is_success() || status.is_client_error()) && !unclear
}

fn redirected_to(answer: &Answer) -> Option<SocketAddr> {
    let location = answer.headers.get(LOCATION)?.to_str().ok()?;
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}
