//! A client request that was read completely and has a route. Created by [`crate::request_reader`],
//! served by [`crate::buffered`] or [`crate::stream`].

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
    /// The route of the request.
    pub route: Arc<Route>,
    /// The parsed headers of the request.
    pub headers: RequestHeaders,
    /// The request that is sent to targets.
    pub upstream: UpstreamRequest,
    /// The deadline of the response, on the clock of the process.
    pub deadline: Ms,
    /// The service, selected from those of the route if it has several.
    pub service: ServiceName,
    /// Maximum number of connections to each of the service's targets.
    pub max_connections: usize,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u64,
    /// The memory reserved for the bodies of the request and its response.
    pub memory: MemoryReservation,
}

impl ClientRequest {
    /// The id of the last event that the client has, if it resumes a stream.
    pub fn resumed_after(&self) -> Option<u64> {
        if self.route.resumable {
            self.headers.last_event_id
        } else {
            None
        }
    }

    /// Converts the request to the input of the dispatcher.
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
