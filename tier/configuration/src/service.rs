//! A service: a set of interchangeable targets.

use std::sync::Arc;

use serde::Deserialize;
use validator::Validate;

use crate::fields;

/// Default path of the health check.
const DEFAULT_HEALTH_CHECK: &str = "/healthz";

/// A set of interchangeable targets, and the parameters for connecting to them.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
pub struct Service {
    /// Name; unique in the configuration.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: Arc<str>,
    /// Path of the health check.
    #[serde(default = "default_health_check")]
    #[validate(length(min = 1, message = "must not be empty"))]
    pub health_check: Arc<str>,
    /// Maximum number of connections that one target accepts from all clients together.
    #[serde(deserialize_with = "fields::whole")]
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_connections: u32,
    /// Protocol of the connections to the targets.
    #[serde(default, deserialize_with = "fields::or_default")]
    pub protocol: Protocol,
    /// Whether proxies connect to the targets over TLS.
    #[serde(default, deserialize_with = "fields::or_default")]
    pub tls: bool,
    /// Rate per second at which a target speeds up during its warm-up, if configured.
    #[serde(default, rename = "cold_per_s")]
    pub warm_up_rate_per_s: Option<f64>,
    /// Whether a target executes a repeated request only once.
    #[serde(default, alias = "dedupes", deserialize_with = "fields::or_default")]
    pub idempotent: bool,
    /// The model engine, for targets that run one.
    #[serde(default)]
    #[validate(nested)]
    pub engine: Option<Engine>,
}

/// A protocol for connections to targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    H1,
    /// A protocol that this version of the software does not support.
    #[serde(other)]
    Unknown,
}

/// The model engine of a target.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
pub struct Engine {
    /// Number of requests that one target executes concurrently.
    #[serde(deserialize_with = "fields::whole")]
    #[validate(range(min = 1, message = "must not be 0"))]
    pub capacity: u32,
    /// Capacity of the KV cache of one target, in tokens.
    #[serde(default, deserialize_with = "fields::whole")]
    pub kv_capacity: u64,
    /// KV cache bytes per token.
    #[serde(default, deserialize_with = "fields::whole")]
    pub kv_token_bytes: u64,
    /// Bandwidth between the KV caches of two targets, in megabits per second.
    #[serde(default, deserialize_with = "fields::or_default")]
    pub bandwidth_mbps: f64,
    /// Number of tokens in each event of a stream.
    #[serde(default = "one_token", deserialize_with = "fields::whole")]
    #[validate(range(min = 1, message = "must not be 0"))]
    pub chunk_size: u32,
    /// Models that the targets serve.
    #[serde(default, deserialize_with = "fields::or_default")]
    pub models: Vec<Model>,
}

/// A model that a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Model {
    /// Name of the model in requests.
    pub name: Arc<str>,
}

fn default_health_check() -> Arc<str> {
    DEFAULT_HEALTH_CHECK.into()
}

fn one_token() -> u32 {
    1
}
