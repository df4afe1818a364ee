//! Reads a client request completely, finds its route, and decides whether the proxy accepts it.
//! Called by `responder` for each request.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Request, StatusCode, Uri};
use plankhill_configuration::{Route, RouteTable};
use plankhill_dispatch::Ms;
use plankhill_protocol::ids::{RequestId, ServiceName};
use tokio::time::Instant;

use crate::body_reader::{read_complete, ReadError};
use crate::client_request::ClientRequest;
use crate::clock::milliseconds;
use crate::headers::strip_connection_headers;
use crate::process::Proxy;
use crate::request_headers::RequestHeaders;
use crate::snapshot::Snapshot;
use crate::upstream_request::UpstreamRequest;

/// The share of a target's accepted connections that all proxies together may open: a target
/// accepts fewer connections while its queue is long.
const CONNECTION_SHARE: f64 = 0.7;
/// Each proxy may open this many connections to a target, regardless of the number of proxies.
const MIN_CONNECTIONS: usize = 2;

/// Why the proxy rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The request cannot be served; the response has this status.
    Final(StatusCode),
    /// There is no configuration yet, or the memory budget has no room for the request; the client
    /// may retry soon.
    Overloaded,
    /// The process ends before the response would be complete; another node can serve the request
    /// from its start.
    ShuttingDown,
}

/// The rejection of a request, which is not sent to any target and was not executed.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectReason,
    /// The client's id for the request, if there is one.
    pub request_id: Option<RequestId>,
}

/// Reads the request; its deadline is counted from `arrived`.
///
/// # Errors
/// A [`Rejection`] if the request is not to be sent to a target.
pub async fn read_request(
    proxy: &Proxy,
    request: Request<Incoming>,
    snapshot: &Snapshot,
    arrived: Ms,
) -> Result<ClientRequest, Rejection> {
    let (head, body) = request.into_parts();
    let headers = RequestHeaders::read(&head.headers);
    let reject = |reason| Rejection {
        reason,
        request_id: headers.request_id.clone(),
    };
    let Some(routes) = &snapshot.routes else {
        return Err(reject(RejectReason::Overloaded));
    };
    let mut memory = proxy.memory.reservation();
    let limits = routes.limits();
    let max_body_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let route = find_route(routes, &head.headers, &head.uri);
    // The timeout of a request also covers the arrival of its body.
    let body_timeout = match &route {
        Some(route) => route.timeout.min(limits.idle_timeout),
        None => limits.idle_timeout,
    };
    let body_deadline = Instant::now() + body_timeout;
    let body = match read_complete(body, max_body_bytes, body_deadline, &mut memory).await {
        Ok(body) => body,
        Err(error) => return Err(reject(error.into())),
    };
    let Some(route) = route else {
        return Err(reject(RejectReason::Final(StatusCode::NOT_FOUND)));
    };
    let Some(request_id) = headers.request_id.clone() else {
        return Err(reject(RejectReason::Final(StatusCode::BAD_REQUEST)));
    };
    let service_name = pick_service(&route, &headers, request_id.as_str());
    let deadline = arrived + request_timeout(&route, &headers);
    if !proxy.lifecycle.admits(arrived, deadline) {
        return Err(reject(RejectReason::ShuttingDown));
    }
    let service = routes.service(&service_name);
    let accepted_connections = service.map_or(0, |service| service.max_connections);
    let engine = service.and_then(|service| service.engine.as_ref());
    Ok(ClientRequest {
        upstream: UpstreamRequest {
            method: head.method,
            uri: origin_form(head.uri),
            headers: upstream_headers(head.headers),
            body,
            request_id,
            last_event_id: None,
        },
        service: ServiceName::from(&*service_name),
        max_connections: max_connections(accepted_connections, snapshot.tables.edges.len()),
        tokens_per_event: engine.map_or(1, |engine| u64::from(engine.chunk_size)),
        route,
        headers,
        deadline,
        memory,
    })
}

impl From<ReadError> for RejectReason {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooLarge => RejectReason::Final(StatusCode::PAYLOAD_TOO_LARGE),
            ReadError::OutOfMemory => RejectReason::Overloaded,
            ReadError::TimedOut => RejectReason::Final(StatusCode::REQUEST_TIMEOUT),
            ReadError::Truncated => RejectReason::Final(StatusCode::BAD_REQUEST),
        }
    }
}

fn find_route(routes: &RouteTable, headers: &HeaderMap, uri: &Uri) -> Option<Arc<Route>> {
    let host = match headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
    {
        Some(host) => host,
        None => uri.host()?,
    };
    routes.find(host, uri.path()).cloned()
}

/// The shorter of the client's deadline and the route's timeout.
fn request_timeout(route: &Route, headers: &RequestHeaders) -> Ms {
    let timeout = milliseconds(route.timeout);
    match headers.deadline {
        Some(deadline) => deadline.min(timeout),
        None => timeout,
    }
}

/// With session affinity, all requests of a session use one service, whose targets cache the
/// session's prompts.
fn pick_service(route: &Route, headers: &RequestHeaders, request_id: &str) -> Arc<str> {
    match headers.session {
        Some(session) if route.session_affinity => route.pick_service(&session.to_string()).clone(),
        Some(_) | None => route.pick_service(request_id).clone(),
    }
}

/// The number of connections to a target that each of `edges` proxies may open, if the target
/// accepts `accepted` connections.
fn max_connections(accepted: u32, edges: usize) -> usize {
    let share = f64::from(accepted) * CONNECTION_SHARE / edges.max(1) as f64;
    (share as usize).max(MIN_CONNECTIONS)
}

fn upstream_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_connection_headers(&mut headers);
    // The HTTP library sets the framing of the forwarded body.
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn origin_form(uri: Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => Uri::from(path.clone()),
        _ => uri,
    }
}
