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

/// Pause before the next controller is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Redirections followed in one call.
const MAX_REDIRECTIONS: usize = 2;

/// One order for the control plane.
#[derive(Debug, Clone)]
pub struct Order {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// Version that the order builds on.
    pub base: Option<u64>,
    /// The body, JSON or empty.
    pub body: Bytes,
}

impl Order {
    /// A configuration that builds on version `base`.
    pub fn configuration(base: u64, document: &serde_json::Value) -> Order {
        let body = Bytes::from(document.to_string());
        Order {
            method: Method::PUT,
            path: "/-/config".to_owned(),
            base: Some(base),
            body,
        }
    }

    /// An order with a JSON body.
    pub fn post(path: &str, body: &serde_json::Value) -> Order {
        let body = Bytes::from(body.to_string());
        Order {
            method: Method::POST,
            path: path.to_owned(),
            base: None,
            body,
        }
    }

    /// A question without a body.
    pub fn get(path: &str) -> Order {
        Order {
            method: Method::GET,
            path: path.to_owned(),
            base: None,
            body: Bytes::new(),
        }
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // Paths are written by this package; one that can't be parsed would ask for the root.
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = address.to_string().parse() {
            headers.insert(HOST, host);
        }
        headers.insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        if let Some(base) = self.base {
            headers.insert(IF_MATCH, base.into());
        }
        request
    }
}

/// Sends `order` to one controller after the other, from place `first` on, until one gives a clear
/// answer (2xx or 4xx) or `limit` is over.
pub async fn send(
    controllers: &[SocketAddr],
    first: usize,
    order: &Order,
    limit: Duration,
) -> Option<Answer> {
    let until = Instant::now() + limit;
    for controller in controllers
        .iter()
        .cycle()
        .skip(first % controllers.len().max(1))
    {
        if let Some(answer) = ask(*controller, order).await {
            return Some(answer);
        }
        if Instant::now() >= until {
            break;
        }
        sleep(RETRY_PAUSE).await;
    }
    None
}

/// The status of one controller, if it gives one.
pub async fn status(controller: SocketAddr) -> Option<serde_json::Value> {
    let answer = ask(controller, &Order::get("/-/status")).await?;
    serde_json::from_slice(&answer.body).ok()
}

async fn ask(controller: SocketAddr, order: &Order) -> Option<Answer> {
    let mut address = controller;
    for _ in 0..=MAX_REDIRECTIONS {
        let answer = call(address, order.request(address), CALL_TIMEOUT)
            .await
            .ok()?;
        if answer.status == StatusCode::TEMPORARY_REDIRECT {
            address = redirected_to(&answer)?;
        } else {
            return is_clear(answer.status).then_some(answer);
        }
    }
    None
}

fn is_clear(status: StatusCode) -> bool {
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
