//! Reads a client's request whole and finds out what is to be done with it.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Request, StatusCode, Uri};
use plankhill_configuration::{Route, RouteTable};
use plankhill_dispatch::{Idempotency, Ms, NewRequest, RequestKey};
use plankhill_protocol::ids::{RequestId, ServiceName};
use tokio::time::Instant;

use crate::clock::milliseconds;
use crate::exchange::Outgoing;
use crate::facts::Facts;
use crate::headers::strip_connection_headers;
use crate::memory::Portion;
use crate::process::Proxy;
use crate::reading::{read_whole, ReadError};
use crate::snapshot::Snapshot;

/// The last rank that a request can have.
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
    /// What it holds in memory.
    pub memory: Portion,
}

impl Job {
    /// The request as the dispatcher sees it.
    pub fn for_dispatch(&self, key: RequestKey) -> NewRequest {
        let route = &self.route;
        NewRequest {
            key,
            service: self.service.clone(),
            idempotency: if route.is_retryable() {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
            session: self.facts.session.filter(|_| route.is_streaming()),
            deadline: self.deadline,
            latency_target: milliseconds(route.latency_target.unwrap_or(route.timeout)),
            max_attempts: route.max_attempts,
            route_priority: route.priority.min(LOWEST_PRIORITY) as u8,
            program_time_left: self.facts.program_time_left,
            prefix: if route.session_affinity {
                self.facts.prefix.clone()
            } else {
                Vec::new()
            },
        }
    }
}

/// Why a request is answered by the proxy itself. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// With this status.
    Final(StatusCode),
    /// The client may come back soon.
    Overloaded,
    /// The process ends before the request would be over; another node takes it from its start.
    Ending,
}

/// Reads the request; its time runs from `arrived` on.
///
/// # Errors
/// How it is answered instead, and the name that it gave itself.
pub async fn take_in(
    proxy: &Proxy,
    request: Request<Incoming>,
    snapshot: &Snapshot,
    arrived: Ms,
) -> Result<Job, (Rejection, Option<RequestId>)> {
    let (head, body) = request.into_parts();
    let facts = Facts::of(&head.headers);
    let Some(routes) = &snapshot.routes else {
        return Err((Rejection::Overloaded, facts.request_id));
    };
    let mut memory = proxy.memory.portion();
    let limits = routes.limits();
    let most = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let route = find(routes, &head.headers, &head.uri);
    // The time of a request also covers its body.
    let time = route.as_ref().map_or(limits.idle_timeout, |route| {
        route.timeout.min(limits.idle_timeout)
    });
    let body_until = Instant::now() + time;
    let body = match read_whole(body, most, body_until, &mut memory).await {
        Ok(body) => body,
        Err(error) => return Err((error.into(), facts.request_id)),
    };
    let Some(route) = route else {
        return Err((Rejection::Final(StatusCode::NOT_FOUND), facts.request_id));
    };
    let Some(request_id) = facts.request_id.clone() else {
        return Err((Rejection::Final(StatusCode::BAD_REQUEST), None));
    };
    let name = service_of(&route, &facts, request_id.as_str());
    let service = routes.service(&name);
    let timeout = milliseconds(route.timeout);
    let deadline = arrived
        + facts
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
    if !proxy.life.admits(arrived, deadline) {
        return Err((Rejection::Ending, Some(request_id)));
    }
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
        memory,
    })
}

impl From<ReadError> for Rejection {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooLarge => Rejection::Final(StatusCode::PAYLOAD_TOO_LARGE),
            ReadError::OutOfMemory => Rejection::Overloaded,
            ReadError::TimedOut => Rejection::Final(StatusCode::REQUEST_TIMEOUT),
            ReadError::Broken => Rejection::Final(StatusCode::BAD_REQUEST),
        }
    }
}

fn find(routes: &RouteTable, headers: &HeaderMap, uri: &Uri) -> Option<Arc<Route>> {
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| uri.host())?;
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
