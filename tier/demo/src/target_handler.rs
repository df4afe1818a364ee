//! Request handling of a stub target.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use tokio::time::sleep;

use crate::configuration::{HEALTH_PATH, MODEL_SERVICE, TOKENS_PER_EVENT};
use crate::events;
use crate::history::digest;
use crate::target::Target;

/// Path of a target's load report.
const LOAD_REPORT_PATH: &str = "/-/report";

/// Delay before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Execution time of a tool call.
const TOOL_DURATION: Duration = Duration::from_millis(10);

/// Number of events of a stream if the request states no number of tokens.
const DEFAULT_EVENT_COUNT: u32 = 8;

/// Largest number of events queued for a slow reader.
const MAX_QUEUED_EVENTS: usize = 4;

type Body = BoxBody<Bytes, Infallible>;

/// Responds to one request.
pub(crate) async fn handle_request(
    target: Arc<Target>,
    request: Request<Incoming>,
) -> Result<Response<Body>, hyper::Error> {
    match request.uri().path() {
        HEALTH_PATH => Ok(health_response(&target)),
        LOAD_REPORT_PATH => Ok(Response::new(full_body(load_report()))),
        _ if is_misdirected(&target, request.headers()) => Ok(misdirected_response(&target)),
        _ => execute(&target, request).await,
    }
}

fn health_response(target: &Target) -> Response<Body> {
    let mut response = Response::new(full_body(String::new()));
    set_header(response.headers_mut(), "instance-id", &target.id);
    response
}

fn load_report() -> String {
    let model = serde_json::json!({"name": "m", "version": 1, "adapters": []});
    serde_json::json!({
        "phase": "both", "models": [model], "utilization": false, "sequence": 0, "queued": 0,
        "active": 0, "kv_used": 0, "kv_total": 200_000, "sessions": 0
    })
    .to_string()
}

fn is_misdirected(target: &Target, headers: &HeaderMap) -> bool {
    headers
        .get("expected-instance")
        .is_some_and(|id| id.as_bytes() != target.id.as_bytes())
}

fn misdirected_response(target: &Target) -> Response<Body> {
    let mut response = Response::new(full_body(String::new()));
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    set_header(response.headers_mut(), "instance-id", &target.id);
    set_header(response.headers_mut(), "not-executed", "1");
    response
}

async fn execute(
    target: &Target,
    request: Request<Incoming>,
) -> Result<Response<Body>, hyper::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let id = head
        .headers
        .get("request-id")
        .cloned()
        .unwrap_or(HeaderValue::from_static(""));
    target
        .executions
        .record(&String::from_utf8_lossy(id.as_bytes()));
    let mut response = if target.service == MODEL_SERVICE {
        let mut streamed = Response::new(event_stream(digest(&body), event_count(&head.headers)));
        set_header(
            streamed.headers_mut(),
            CONTENT_TYPE.as_str(),
            "text/event-stream",
        );
        streamed
    } else {
        sleep(TOOL_DURATION).await;
        Response::new(full_body(format!("{{\"done\":\"{}\"}}", head.uri.path())))
    };
    set_header(
        response.headers_mut(),
        "upstream-signature",
        &format!("{}.stand-in", target.id),
    );
    response.headers_mut().insert("request-id", id);
    Ok(response)
}

/// Number of events for the maximum number of generated tokens, which is the second number of
/// `Token-Usage`.
fn event_count(headers: &HeaderMap) -> u32 {
    let usage = headers
        .get("token-usage")
        .and_then(|value| value.to_str().ok());
    let tokens: Option<u32> = usage.and_then(|usage| usage.split_once(',')?.1.trim().parse().ok());
    tokens.map_or(DEFAULT_EVENT_COUNT, |tokens| {
        tokens.div_ceil(TOKENS_PER_EVENT)
    })
}

/// A stream of `count` events, each with `digest` and its own number.
fn event_stream(digest: String, count: u32) -> Body {
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(MAX_QUEUED_EVENTS);
    tokio::spawn(async move {
        for id in 1..=count {
            sleep(EVENT_INTERVAL).await;
            let event = events::encode(id, &format!("{digest} {id}"));
            if sender.send_data(Bytes::from(event)).await.is_err() {
                return;
            }
        }
    });
    body.boxed()
}

fn full_body(body: String) -> Body {
    Full::new(Bytes::from(body)).boxed()
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
