//! Limits of what clients may send.

use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

use crate::fields;

/// Limits of what a client may send, and of how long its connection may be idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Validate)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    #[serde(deserialize_with = "fields::whole")]
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_header_bytes: u64,
    /// Largest body of a request, in bytes.
    #[serde(deserialize_with = "fields::whole")]
    pub max_body_bytes: u64,
    /// Longest time in which a client has to send a request's head.
    #[serde(
        rename = "header_timeout_ms",
        deserialize_with = "fields::milliseconds"
    )]
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle between two requests.
    #[serde(rename = "idle_timeout_ms", deserialize_with = "fields::milliseconds")]
    pub idle_timeout: Duration,
}
