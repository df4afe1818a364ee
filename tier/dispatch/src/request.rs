//! A request as passed in by the proxy.

use plankhill_decisions::interface::Ms;
use plankhill_protocol::ids::ServiceName;

/// The proxy's own number of a request. A number must not be reused within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Requests of idempotent routes, and streams that may be resumed.
    Idempotent,
    /// All other requests: at most one execution.
    NonIdempotent,
}

/// A part of a prompt, as listed in the `Prefix-Hash` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Identifies the text of the part: equal ids mean equal text.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A request that was read completely from its client.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Identifies the request in all later calls and commands.
    pub key: RequestKey,
    /// The service; if the route splits its requests between several services, the one that was
    /// selected.
    pub service: ServiceName,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// A hash of the `Session` header on `streaming` routes. Requests of one session are sent one
    /// at a time, in order of arrival. `None` on other routes.
    pub session: Option<u64>,
    /// When the response is due: the earlier of the client's deadline and the route's timeout.
    pub deadline: Ms,
    /// The route's `target_latency_ms`.
    pub latency_target: Ms,
    /// The route's `max_attempts`: limits the attempts that were or may have been executed.
    pub max_attempts: u32,
    /// The route's `priority`: 0 is highest.
    pub route_priority: u8,
    /// The `Finish-Ms` header: the time that the agent program has left, negative if it is late.
    pub program_time_left: Option<Ms>,
    /// The `Prefix-Hash` header, in order; empty where the route has no `session_affinity`.
    pub prefix: Vec<PrefixPart>,
}
