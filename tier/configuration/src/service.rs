//! A service: a set of targets that are alike.

use std::sync::Arc;

use serde::Deserialize;
use validator::Validate;

use crate::fields;

/// Path of the health check where the configuration names none.
const DEFAULT_HEALTH_CHECK: &str = "/healthz";

/// A set of targets that are alike, and how proxies reach them.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
pub struct Service {
    /// Name, unique in the configuration.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: Arc<str>,
    /// Path of the health check.
    #[serde(default = "default_health_check")]
    #[validate(length(min = 1, message = "must not be empty"))]
    pub health_check: Arc<str>,
    /// Most connections that one target accepts from all callers together.
    #[serde(deserialize_with = "fields::whole")]
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_connections: u32,
    /// Protocol spoken with the targets.
    #[serde(default, deserialize_with = "fields::or_default")]
    pub protocol: Protocol,
    /// Whether proxies reach the targets over TLS.
    #[serde(default, deserialize_with = "fields::or_default")]
    pub tls: bool,
    /// How much a target that warms up speeds up each second, if the operator says so.
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

/// Protocol spoken with targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    H1,
    /// A protocol that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A target's model engine.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
pub struct Engine {
    /// Requests that one target executes at once.
    #[serde(deserialize_with = "fields::whole")]
    #[validate(range(min = 1, message = "must not be 0"))]
    pub capacity: u32,
    /// Tokens that one target's cache holds.
    #[serde(default, deserialize_with = "fields::whole")]
    pub kv_capacity: u64,
    /// Bytes of cache for each token.
    #[serde(default, deserialize_with = "fields::whole")]
    pub kv_token_bytes: u64,
    /// Bandwidth between two targets' caches, in megabits a second.
    #[serde(default, deserialize_with = "fields::or_default")]
    pub bandwidth_mbps: f64,
    /// Tokens in each event of a stream.
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
    /// Name by which requests ask for it.
    pub name: Arc<str>,
}

fn default_health_check() -> Arc<str> {
    DEFAULT_HEALTH_CHECK.into()
}

fn one_token() -> u32 {
    1
}
