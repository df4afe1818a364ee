//! Reads a client's request whole and finds out what is to be done with it.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Request, StatusCode, Uri};
use plankhill_configuration::{Route, RouteTable};
use plankhill_dispatch::{Ms, NewRequest, Repeats, RequestKey};
use plankhill_protocol::ids::ServiceName;

use crate::clock::milliseconds;
use crate::exchange::Outgoing;
use crate::facts::Facts;
use crate::headers::strip_connection_headers;
use crate::snapshot::Snapshot;

/// The objective where a route states none: its time-out.
const LOWEST_PRIORITY: u32 = 9;
/// Connections to a target are bounded by this share of what it accepts, divided by the proxies: it accepts
/// fewer while its queue is long.
const SHARE_OF_CONNECTIONS: f64 = 0.7;
/// However many proxies there are, each may hold this many connections to a target.
const FEWEST_CONNECTIONS: usize = 2;

/// A request that was read whole and has a route.
pub struct Job {
    /// Its route.
    pub route: Arc<Route>,
    /// What its headers say.
    pub facts: Facts,
    /// What is sent to targets.
    pub outgoing: Outgoing,
    /// When the answer is due.
    pub deadline: Ms,
    /// The service, drawn where the route splits between several.
    pub service: ServiceName,
    /// Most connections to one of the service's targets.
    pub most_connections: usize,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u64,
}

impl Job {
    /// The request as the dispatcher sees it.
    pub fn for_dispatch(&self, key: RequestKey) -> NewRequest {
        let route = &self.route;
        NewRequest {
            key,
            service: self.service.clone(),
            repeats: if route.may_run_again() { Repeats::Allowed } else { Repeats::Forbidden },
            session: self.facts.session.filter(|_| route.is_streaming()),
            deadline: self.deadline,
            objective: milliseconds(route.target_latency.unwrap_or(route.timeout)),
            max_attempts: route.max_attempts,
            priority: route.priority.min(LOWEST_PRIORITY) as u8,
            finish_left: self.facts.finish_left,
            prefix: if route.session_affinity { self.facts.prefix.clone() } else { Vec::new() },
        }
    }
}

/// Reads the request; its time runs from `arrived` on.
///
/// # Errors
/// The status with which it is answered instead.
pub async fn take_in(
    request: Request<Incoming>,
    snapshot: &Snapshot,
    routes: &Rc<RouteTable>,
    arrived: Ms,
) -> Result<Job, (StatusCode, Facts)> {
    let (head, body) = request.into_parts();
    let facts = Facts::of(&head.headers);
    let body = match read_whole(body, routes.limits().max_body_bytes).await {
        Ok(body) => body,
        Err(status) => return Err((status, facts)),
    };
    let Some(route) = find(routes, &head.headers, &head.uri) else {
        return Err((StatusCode::NOT_FOUND, facts));
    };
    let Some(request_id) = facts.request_id.clone() else {
        return Err((StatusCode::BAD_REQUEST, facts));
    };
    let name = service_of(&route, &facts, request_id.as_str());
    let service = routes.service(&name);
    let timeout = milliseconds(route.timeout);
    let deadline = arrived + facts.deadline.map_or(timeout, |deadline| deadline.min(timeout));
    let engine = service.and_then(|service| service.engine.as_ref());
    let accepted = service.map_or(0, |service| service.max_connections);
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    // The framing is made anew; the body is whole.
    headers.remove(header::CONTENT_LENGTH);
    Ok(Job {
        outgoing: Outgoing {
            method: head.method,
            uri: origin_form(head.uri),
            headers,
            body,
            request_id,
            last_event_id: None,
        },
        service: ServiceName::from(&*name),
        most_connections: most_connections(accepted, snapshot.tables.edges.len()),
        tokens_per_event: engine.map_or(1, |engine| u64::from(engine.chunk_size)),
        route,
        facts,
        deadline,
    })
}

/// Reads a body of at most `most` bytes. A longer one is answered with 413, one that breaks off with 400.
async fn read_whole(body: Incoming, most: u64) -> Result<Bytes, StatusCode> {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

fn find(routes: &RouteTable, headers: &HeaderMap, uri: &Uri) -> Option<Arc<Route>> {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).or_else(|| uri.host())?;
    routes.find(host, uri.path()).cloned()
}

/// Sessions stay with one service, whose targets hold their prompts.
fn service_of(route: &Route, facts: &Facts, request_id: &str) -> Arc<str> {
    match facts.session.filter(|_| route.session_affinity) {
        Some(session) => route.pick_service(&session.to_string()).clone(),
        None => route.pick_service(request_id).clone(),
    }
}

fn most_connections(accepted: u32, edges: usize) -> usize {
    let share = f64::from(accepted) * SHARE_OF_CONNECTIONS / edges.max(1) as f64;
    (share as usize).max(FEWEST_CONNECTIONS)
}

fn origin_form(uri: Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => Uri::from(path.clone()),
        _ => uri,
    }
}
