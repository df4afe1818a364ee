//! A route: which service answers requests for a host and path, and how.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use validator::{Validate, ValidationError};

use crate::fields;

/// Whether a request of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Answered by a series of events; repeated only where the route is resumable.
    Streaming,
    /// The request may be executed more than once.
    Idempotent,
    /// The request may be executed at most once for each attempt of the client.
    NonIdempotent,
}

/// A share of a route's requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other services.
    pub weight: f64,
}

/// The services that answer a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteServices {
    /// One service answers all.
    One(Arc<str>),
    /// Several services share the requests by weight.
    Weighted(Vec<WeightedService>),
}

/// Which service answers requests for a host and path, and how.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(try_from = "RouteFields")]
pub struct Route {
    /// Name, for people.
    pub name: Arc<str>,
    /// Host of the requests; case does not matter.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub host: Arc<str>,
    /// Start of the requests' path.
    #[validate(custom(function = check_prefix))]
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may stay in the system.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) earns its full value.
    pub latency_target: Option<Duration>,
    /// Priority; 0 is highest.
    pub priority: u32,
    /// Largest number of targets to which one attempt of a client may be sent.
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_attempts: u32,
    /// Whether the stores retain the turns of this route.
    pub retained: bool,
    /// How long a retained turn can be continued.
    pub retention: Duration,
    /// Whether requests of a session share the prefixes of their prompts.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another target.
    pub resumable: bool,
    /// Longest gap between two events of an answer that is on time.
    pub event_gap_target: Option<Duration>,
    /// The services that answer.
    pub services: RouteServices,
}

impl Route {
    /// Whether a request of this route may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }

    /// Whether answers of this route are series of events.
    pub fn is_streaming(&self) -> bool {
        self.kind == RouteKind::Streaming
    }
}

/// The keys of a route as they stand in the document.
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
        // Where both are given, the weighted list is the more exact one.
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
