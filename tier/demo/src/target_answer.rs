//! How a stand-in target answers.

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

use crate::configuration::{CHUNK_TOKENS, HEALTH_PATH, MODELS};
use crate::events;
use crate::history::digest;
use crate::target::Target;

/// Path of a target's report.
const REPORT_PATH: &str = "/-/report";

/// Time before each event.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Time that a tool call takes.
const TOOL_DURATION: Duration = Duration::from_millis(10);

/// Events of a stream whose request tells no number of tokens.
const DEFAULT_EVENTS: u32 = 8;

/// Most events that wait for a slow reader.
const MAX_QUEUED_EVENTS: usize = 4;

type Body = BoxBody<Bytes, Infallible>;

/// Answers one request.
pub(crate) async fn answer(
    target: Arc<Target>,
    request: Request<Incoming>,
) -> Result<Response<Body>, hyper::Error> {
    match request.uri().path() {
        HEALTH_PATH => Ok(healthy(&target)),
        REPORT_PATH => Ok(Response::new(text(report()))),
        _ if is_for_another(&target, request.headers()) => Ok(misdirected(&target)),
        _ => run(&target, request).await,
    }
}

fn healthy(target: &Target) -> Response<Body> {
    let mut response = Response::new(text(String::new()));
    set(response.headers_mut(), "instance-id", &target.id);
    response
}

fn report() -> String {
    let model = serde_json::json!({"name": "m", "version": 1, "adapters": []});
    serde_json::json!({
        "phase": "both", "models": [model], "utilization": false, "sequence": 0, "queued": 0,
        "active": 0, "kv_used": 0, "kv_total": 200_000, "sessions": 0
    })
    .to_string()
}

fn is_for_another(target: &Target, headers: &HeaderMap) -> bool {
    headers
        .get("expected-instance")
        .is_some_and(|id| id.as_bytes() != target.id.as_bytes())
}

fn misdirected(target: &Target) -> Response<Body> {
    let mut response = Response::new(text(String::new()));
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    set(response.headers_mut(), "instance-id", &target.id);
    set(response.headers_mut(), "not-executed", "1");
    response
}

async fn run(target: &Target, request: Request<Incoming>) -> Result<Response<Body>, hyper::Error> {
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
    let mut response = if target.service == MODELS {
        let mut streamed = Response::new(stream(digest(&body), events_wanted(&head.headers)));
        set(
            streamed.headers_mut(),
            CONTENT_TYPE.as_str(),
            "text/event-stream",
        );
        streamed
    } else {
        sleep(TOOL_DURATION).await;
        Response::new(text(format!("{{\"done\":\"{}\"}}", head.uri.path())))
    };
    set(
        response.headers_mut(),
        "upstream-signature",
        &format!("{}.stand-in", target.id),
    );
    response.headers_mut().insert("request-id", id);
    Ok(response)
}

/// As many events as hold the second number of `Token-Usage`.
fn events_wanted(headers: &HeaderMap) -> u32 {
    let usage = headers
        .get("token-usage")
        .and_then(|value| value.to_str().ok());
    let tokens: Option<u32> = usage.and_then(|usage| usage.split_once(',')?.1.trim().parse().ok());
    tokens.map_or(DEFAULT_EVENTS, |tokens| tokens.div_ceil(CHUNK_TOKENS))
}

/// A stream of events that each tell `digest`.
fn stream(digest: String, events: u32) -> Body {
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(MAX_QUEUED_EVENTS);
    tokio::spawn(async move {
        for id in 1..=events {
            sleep(EVENT_INTERVAL).await;
            let event = events::write(id, &format!("{digest} {id}"));
            if sender.send_data(Bytes::from(event)).await.is_err() {
                return;
            }
        }
    });
    body.boxed()
}

fn text(body: String) -> Body {
    Full::new(Bytes::from(body)).boxed()
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
