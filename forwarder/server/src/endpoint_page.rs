//! A page of the endpoint list in the JSON format of discovery: a complete list, or the changes
//! since a revision. Used by the watch, the stored list and the event loop.

use std::net::SocketAddr;

use plankhill_decisions::interface::{
    DestinationId, DestinationKindId, EndpointState, TargetId, ZoneId,
};
use plankhill_forwarder_config::fields::{optional_number, position_of, text, unsigned, Object};
use plankhill_forwarder_config::Names;
use serde_json::Value;

/// Whether the page is the complete list.
pub fn is_complete(page: &Value) -> bool {
    page.get("complete") == Some(&Value::Bool(true))
}

/// Revision of the list after the page is applied.
pub fn revision(page: &Value) -> Option<u64> {
    page.get("revision").and_then(Value::as_u64)
}

/// Whether a JSON value is a page: it has entries, or no entries but a revision.
pub fn is_page(page: &Value) -> bool {
    match page.get("members") {
        None | Some(Value::Null) => revision(page).is_some(),
        Some(members) => members.is_array(),
    }
}

/// The entries of a page, unparsed.
pub fn raw_entries(page: &Value) -> impl Iterator<Item = &Value> {
    page.get("members")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}

/// A listed target.
pub struct Endpoint {
    pub target: TargetId,
    pub address: SocketAddr,
    pub destination: DestinationId,
    pub kind: DestinationKindId,
    pub zone: ZoneId,
    pub state: EndpointState,
    /// Events per second that the destination accepts, 0 if the entry has no valid size; `None`
    /// unless sizes are rates.
    pub advertised_rate: Option<f64>,
}

/// One entry of a page.
pub enum PageEntry {
    Listed(Endpoint),
    Removed(TargetId),
}

/// Why an entry cannot be read; the other entries of its page remain valid.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The entry is not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing, has the wrong type, or has a name that the settings do not define.
    #[error("{0}")]
    Field(String),
    /// The protocol does not define the phase.
    #[error("phase: unknown value {0:?}")]
    UnknownPhase(String),
    /// The address is not an IP address with a port.
    #[error("host_port: {0:?} is not an IP address with a port")]
    Address(String),
}

/// Parses the entries of a page, in page order.
pub fn entries<'a>(
    page: &'a Value,
    names: &'a Names,
) -> impl Iterator<Item = Result<PageEntry, EntryError>> + 'a {
    raw_entries(page).map(move |entry| parse_entry(entry, names))
}

fn parse_entry(entry: &Value, names: &Names) -> Result<PageEntry, EntryError> {
    let entry = entry.as_object().ok_or(EntryError::NotAnObject)?;
    let target = TargetId(text_field(entry, "id")?.into());
    let state = match text_field(entry, "phase")? {
        "up" => EndpointState::Running,
        "draining" => EndpointState::Draining,
        "removed" => return Ok(PageEntry::Removed(target)),
        other => return Err(EntryError::UnknownPhase(other.to_owned())),
    };
    let address = text_field(entry, "host_port")?;
    let address = address
        .parse()
        .map_err(|_| EntryError::Address(address.to_owned()))?;
    let kind = named_position(&names.kinds, entry, "flavor")?;
    let zone = named_position(&names.zones, entry, "locality")?;
    let destination = unsigned(entry, "cell").map_err(EntryError::Field)?;
    let advertised_rate = match names.sizes_are_rates {
        // An invalid size does not invalidate the entry: it counts as 0.
        true => Some(optional_number(entry, "size").unwrap_or(0.0)),
        false => None,
    };
    Ok(PageEntry::Listed(Endpoint {
        target,
        address,
        destination: DestinationId(destination),
        kind: DestinationKindId(kind),
        zone: ZoneId(zone),
        state,
        advertised_rate,
    }))
}

fn text_field<'a>(entry: &'a Object, field: &str) -> Result<&'a str, EntryError> {
    text(entry, field).map_err(EntryError::Field)
}

fn named_position(names: &[String], entry: &Object, field: &str) -> Result<usize, EntryError> {
    position_of(names, text_field(entry, field)?, field).map_err(EntryError::Field)
}
