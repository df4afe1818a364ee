//! A client's request that was read completely and has a route. Made by [`crate::request_reader`],
//! answered by [`crate::buffered`] or [`crate::stream`].

use std::sync::Arc;

use plankhill_configuration::Route;
use plankhill_dispatch::{Idempotency, Ms, NewRequest, RequestKey};
use plankhill_protocol::ids::ServiceName;

use crate::clock::milliseconds;
use crate::memory_budget::MemoryReservation;
use crate::request_headers::RequestHeaders;
use crate::upstream_request::UpstreamRequest;

/// The lowest priority that a route can have.
const LOWEST_ROUTE_PRIORITY: u32 = 9;

/// A request that was read completely and has a route.
pub struct ClientRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// What its headers say.
    pub headers: RequestHeaders,
    /// What is sent to targets.
    pub upstream: UpstreamRequest,
    /// When the answer is due, on the clock of the process.
    pub deadline: Ms,
    /// The service, drawn where the route splits between several.
    pub service: ServiceName,
    /// Most connections to one of the service's targets.
    pub max_connections: usize,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u64,
    /// The memory of its bodies.
    pub memory: MemoryReservation,
}

impl ClientRequest {
    /// The request as the dispatcher gets it.
    pub fn for_dispatch(&self, key: RequestKey) -> NewRequest {
        let route = &self.route;
        let idempotency = if route.is_retryable() {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        };
        let session = if route.is_streaming() {
            self.headers.session
        } else {
            None
        };
        let prefix = if route.session_affinity {
            self.headers.prefix.clone()
        } else {
            Vec::new()
        };
        NewRequest {
            key,
            service: self.service.clone(),
            idempotency,
            session,
            deadline: self.deadline,
            latency_target: milliseconds(route.latency_target.unwrap_or(route.timeout)),
            max_attempts: route.max_attempts,
            route_priority: route.priority.min(LOWEST_ROUTE_PRIORITY) as u8,
            program_time_left: self.headers.program_time_left,
            prefix,
        }
    }
}
