//! Requests of the operator and of targets to the control plane.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, IF_MATCH, LOCATION};
use hyper::{Method, Request, StatusCode};
use tokio::time::{sleep, Instant};

use crate::call::{call, CallResponse};

/// Longest wait for the response of one controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff before a request is sent to the next controller.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Largest number of redirections followed for one request.
const MAX_REDIRECTIONS: usize = 2;

/// One request to the control plane.
#[derive(Debug, Clone)]
pub struct ControlRequest {
    /// The HTTP method.
    pub method: Method,
    /// The request path.
    pub path: String,
    /// Version of the configuration that the request replaces (`If-Match`).
    pub base_version: Option<u64>,
    /// The request body, JSON or empty.
    pub body: Bytes,
}

impl ControlRequest {
    /// A request that replaces version `base_version` of the configuration by `document`.
    pub fn configuration(base_version: u64, document: &serde_json::Value) -> ControlRequest {
        let body = Bytes::from(document.to_string());
        ControlRequest {
            method: Method::PUT,
            path: "/-/config".to_owned(),
            base_version: Some(base_version),
            body,
        }
    }

    /// A POST request with a JSON body.
    pub fn post(path: &str, body: &serde_json::Value) -> ControlRequest {
        let body = Bytes::from(body.to_string());
        ControlRequest {
            method: Method::POST,
            path: path.to_owned(),
            base_version: None,
            body,
        }
    }

    /// A GET request without a body.
    pub fn get(path: &str) -> ControlRequest {
        ControlRequest {
            method: Method::GET,
            path: path.to_owned(),
            base_version: None,
            body: Bytes::new(),
        }
    }

    fn to_http_request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // All paths come from this package; an invalid path would be replaced by `/`.
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = address.to_string().parse() {
            headers.insert(HOST, host);
        }
        headers.insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        if let Some(version) = self.base_version {
            headers.insert(IF_MATCH, version.into());
        }
        request
    }
}

/// Sends `request` to one controller after another, beginning with index `first`, until one returns
/// a conclusive response (2xx, or 4xx except 408 and 429) or `time_limit` has passed.
pub async fn send(
    controllers: &[SocketAddr],
    first: usize,
    request: &ControlRequest,
    time_limit: Duration,
) -> Option<CallResponse> {
    let deadline = Instant::now() + time_limit;
    for controller in controllers
        .iter()
        .cycle()
        .skip(first % controllers.len().max(1))
    {
        if let Some(response) = send_once(*controller, request).await {
            return Some(response);
        }
        if Instant::now() >= deadline {
            break;
        }
        sleep(RETRY_BACKOFF).await;
    }
    None
}

/// Reads the status of one controller; `None` if the controller does not report its status.
pub async fn status(controller: SocketAddr) -> Option<serde_json::Value> {
    let response = send_once(controller, &ControlRequest::get("/-/status")).await?;
    serde_json::from_slice(&response.body).ok()
}

async fn send_once(controller: SocketAddr, request: &ControlRequest) -> Option<CallResponse> {
    let mut address = controller;
    for _ in 0..=MAX_REDIRECTIONS {
        let response = call(address, request.to_http_request(address), CALL_TIMEOUT)
            .await
            .ok()?;
        if response.status == StatusCode::TEMPORARY_REDIRECT {
            address = redirect_address(&response)?;
        } else {
            return is_conclusive(response.status).then_some(response);
        }
    }
    None
}

fn is_conclusive(status: StatusCode) -> bool {
    let is_transient =
        [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS].contains(&status);
    (status.is_success() || status.is_client_error()) && !is_transient
}

fn redirect_address(response: &CallResponse) -> Option<SocketAddr> {
    let location = response.headers.get(LOCATION)?.to_str().ok()?;
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}
