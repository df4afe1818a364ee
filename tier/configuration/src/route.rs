//! Routes map requests for a host and path prefix to services.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use validator::{Validate, ValidationError};

use crate::fields;

/// The retry semantics of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// The response is a stream of events. The request may be retried only if the route is resumable.
    Streaming,
    /// The request may be executed more than once.
    Idempotent,
    /// The request may be executed at most once for each attempt of the client.
    NonIdempotent,
}

/// A service and its share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// The services that handle the requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteServices {
    /// A single service handles all requests.
    One(Arc<str>),
    /// Several services share the requests in proportion to their weights.
    Weighted(Vec<WeightedService>),
}

/// A route: the services for requests to a host and path prefix, and the rules for these requests.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(try_from = "RouteFields")]
pub struct Route {
    /// Human-readable name.
    pub name: Arc<str>,
    /// Host of the requests; not case-sensitive.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub host: Arc<str>,
    /// Path prefix of the requests; begins and ends with a slash.
    #[validate(custom(function = check_prefix))]
    pub path_prefix: Arc<str>,
    /// Retry semantics of the requests.
    pub kind: RouteKind,
    /// Maximum total time of a request in the system.
    pub timeout: Duration,
    /// Latency up to which a response (the first event of a stream) has its full value.
    pub latency_target: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of targets to which one attempt of a client may be sent.
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_attempts: u32,
    /// Whether the stores retain the turns of the route.
    pub retained: bool,
    /// Time for which a retained turn can be continued.
    pub retention: Duration,
    /// Whether the prompts of a session share prefixes.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another target.
    pub resumable: bool,
    /// Maximum gap between two events of a response that counts as on time.
    pub event_gap_target: Option<Duration>,
    /// The services that handle the requests.
    pub services: RouteServices,
}

impl Route {
    /// Returns whether a request of this route may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }

    /// Returns whether the responses of this route are streams of events.
    pub fn is_streaming(&self) -> bool {
        self.kind == RouteKind::Streaming
    }
}

/// The keys of a route as they appear in the document.
#[derive(Deserialize)]
struct RouteFields {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    #[serde(rename = "type")]
    kind: RouteKind,
    #[serde(deserialize_with = "fields::milliseconds")]
    timeout_ms: Duration,
    #[serde(default, deserialize_with = "fields::optional_milliseconds")]
    target_latency_ms: Option<Duration>,
    #[serde(default, deserialize_with = "fields::whole")]
    priority: u32,
    #[serde(default = "one_attempt", deserialize_with = "fields::whole")]
    max_attempts: u32,
    #[serde(default, deserialize_with = "fields::or_default")]
    retained: bool,
    #[serde(default, deserialize_with = "fields::seconds_or_zero")]
    retention_s: Duration,
    #[serde(default, deserialize_with = "fields::or_default")]
    session_affinity: bool,
    #[serde(default, deserialize_with = "fields::or_default")]
    resumable: bool,
    #[serde(default, deserialize_with = "fields::optional_milliseconds")]
    gap_aim_ms: Option<Duration>,
    #[serde(default)]
    service: Option<Arc<str>>,
    #[serde(default)]
    weighted_services: Option<Vec<WeightedService>>,
}

impl TryFrom<RouteFields> for Route {
    type Error = &'static str;

    fn try_from(fields: RouteFields) -> Result<Route, Self::Error> {
        // If both are given, a non-empty weighted list takes precedence because it is more specific.
        let services = match (fields.weighted_services, fields.service) {
            (Some(weighted), None) => RouteServices::Weighted(weighted),
            (Some(weighted), Some(_)) if !weighted.is_empty() => RouteServices::Weighted(weighted),
            (_, Some(service)) => RouteServices::One(service),
            (None, None) => return Err("missing field `service` or `weighted_services`"),
        };
        Ok(Route {
            name: fields.name,
            host: fields.host,
            path_prefix: fields.path_prefix,
            kind: fields.kind,
            timeout: fields.timeout_ms,
            latency_target: fields.target_latency_ms,
            priority: fields.priority,
            max_attempts: fields.max_attempts,
            retained: fields.retained,
            retention: fields.retention_s,
            session_affinity: fields.session_affinity,
            resumable: fields.resumable,
            event_gap_target: fields.gap_aim_ms,
            services,
        })
    }
}

fn one_attempt() -> u32 {
    1
}

fn check_prefix(prefix: &str) -> Result<(), ValidationError> {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        Ok(())
    } else {
        Err(ValidationError::new("prefix").with_message("must begin and end with a slash".into()))
    }
}
