//! Handles one client request, from its head to the head of the response. Called by
//! `connection_server` for each request.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, Response};
use plankhill_dispatch::Ms;
use tokio::time::timeout;

use crate::client_connection::ConnectionActivity;
use crate::client_request::ClientRequest;
use crate::clock::duration;
use crate::headers::DEADLINE_MS;
use crate::process::Proxy;
use crate::request_headers::{header_number, RequestHeaders};
use crate::request_reader::{read_request, RejectReason, Rejection};
use crate::response_body::ResponseBody;
use crate::snapshot::Snapshot;
use crate::{buffered, local_response, stream};

/// A request waits for the first tables for at most this share of its deadline.
const TABLES_WAIT_SHARE: f64 = 0.25;
/// A request waits for the first tables no longer than this.
const MAX_TABLES_WAIT: Duration = Duration::from_millis(1_200);
/// The `Retry-After` until the first tables have arrived.
const RETRY_AFTER_NO_TABLES: Ms = 200.0;
/// The `Retry-After` while the memory budget has no room for the request.
const RETRY_AFTER_OVERLOAD: Ms = 300.0;
/// The `Retry-After` during a shutdown: the client's next connection reaches another process.
const RETRY_AFTER_SHUTDOWN: Ms = 20.0;

/// Handles one request and returns its response.
pub(crate) async fn respond(
    proxy: Rc<Proxy>,
    activity: &ConnectionActivity,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let work = proxy.lifecycle.begin_work();
    activity.on_request_head();
    let arrived = proxy.clock.now();
    let mut response = handle(&proxy, request, arrived).await;
    if proxy.lifecycle.is_draining() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    activity.on_response_head();
    drop(work);
    response
}

async fn handle(
    proxy: &Rc<Proxy>,
    request: Request<Incoming>,
    arrived: Ms,
) -> Response<ResponseBody> {
    let Some(snapshot) = current_snapshot(proxy, &request).await else {
        let request_id = RequestHeaders::read(request.headers()).request_id;
        return local_response::rejected(RETRY_AFTER_NO_TABLES, request_id.as_ref());
    };
    match read_request(proxy, request, &snapshot, arrived).await {
        Ok(request) => forward(proxy, request).await,
        Err(rejection) => reject(proxy, &rejection),
    }
}

async fn forward(proxy: &Rc<Proxy>, request: ClientRequest) -> Response<ResponseBody> {
    if request.route.is_streaming() {
        stream::serve(proxy, request).await
    } else {
        buffered::serve(proxy, request).await
    }
}

fn reject(proxy: &Proxy, rejection: &Rejection) -> Response<ResponseBody> {
    let request_id = rejection.request_id.as_ref();
    match rejection.reason {
        RejectReason::Final(status) => local_response::empty(status, request_id),
        RejectReason::Overloaded => local_response::rejected(RETRY_AFTER_OVERLOAD, request_id),
        RejectReason::ShuttingDown => {
            proxy.lifecycle.count_rejected();
            local_response::rejected(RETRY_AFTER_SHUTDOWN, request_id)
        }
    }
}

/// Returns the newest snapshot; `None` if it cannot be used to serve requests yet.
///
/// After a start, possibly of all machines at once, the tables arrive within a second: a request
/// waits for them, because a rejection would cost its client an attempt.
async fn current_snapshot(proxy: &Proxy, request: &Request<Incoming>) -> Option<Rc<Snapshot>> {
    let lifecycle = &proxy.lifecycle;
    if !lifecycle.has_current_tables() {
        let deadline: Option<Ms> = header_number(request.headers(), DEADLINE_MS.as_str());
        let share = duration(deadline.unwrap_or(0.0) * TABLES_WAIT_SHARE);
        let _ = timeout(share.min(MAX_TABLES_WAIT), lifecycle.wait_tables_current()).await;
    }
    let snapshot = proxy.snapshots.newest();
    if lifecycle.has_current_tables() && snapshot.routes.is_some() {
        Some(snapshot)
    } else {
        None
    }
}
