//! Limits on client requests and connections.

use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

use crate::fields;

/// Limits on the requests of a client, and on the idle time of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Validate)]
pub struct Limits {
    /// Maximum size of the head of a request, in bytes.
    #[serde(deserialize_with = "fields::whole")]
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_header_bytes: u64,
    /// Maximum size of the body of a request, in bytes.
    #[serde(deserialize_with = "fields::whole")]
    pub max_body_bytes: u64,
    /// Maximum time for a client to send the head of a request.
    #[serde(
        rename = "header_timeout_ms",
        deserialize_with = "fields::milliseconds"
    )]
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle between two requests.
    #[serde(rename = "idle_timeout_ms", deserialize_with = "fields::milliseconds")]
    pub idle_timeout: Duration,
}
