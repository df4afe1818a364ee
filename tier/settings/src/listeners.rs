//! The table `[listeners_map]`: the addresses at which a process serves callers outside the tier.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer};

/// Listen addresses by purpose; `None` for a purpose that the role does not serve.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Listeners {
    /// For client requests.
    #[serde(deserialize_with = "optional_address")]
    pub http: Option<SocketAddr>,
    /// For readiness checks: whether this process accepts new clients.
    #[serde(deserialize_with = "optional_address")]
    pub readiness: Option<SocketAddr>,
    /// For operators and for heartbeats from targets.
    #[serde(deserialize_with = "optional_address")]
    pub admin: Option<SocketAddr>,
}

/// Reads an address; an empty string means `None`.
fn optional_address<'de, D: Deserializer<'de>>(source: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(source)?;
    if text.is_empty() {
        return Ok(None);
    }
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(serde::de::Error::custom(format_args!(
            "{text:?} is not an address of the form IP:PORT"
        ))),
    }
}
