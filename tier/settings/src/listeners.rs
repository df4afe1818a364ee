//! The table `[listeners_map]`: the addresses at which a process serves callers from outside the
//! tier.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer};

/// Addresses by purpose; a purpose that the role does not serve is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Listeners {
    /// For requests of clients.
    #[serde(deserialize_with = "optional_address")]
    pub http: Option<SocketAddr>,
    /// For readiness: whether this process takes new clients.
    #[serde(deserialize_with = "optional_address")]
    pub readiness: Option<SocketAddr>,
    /// For the operator and for heartbeats of targets.
    #[serde(deserialize_with = "optional_address")]
    pub admin: Option<SocketAddr>,
}

/// Reads an address; the empty string stands for none.
fn optional_address<'de, D: Deserializer<'de>>(source: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(source)?;
    if text.is_empty() {
        return Ok(None);
    }
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(serde::de::Error::custom(format_args!(
            "{text:?} is no address of the form IP:PORT"
        ))),
    }
}
