//! A page of the list of targets, as discovery answers it.

use std::net::SocketAddr;

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_forwarder_config::fields::*;
use plankhill_forwarder_config::Names;
use serde_json::Value;

pub fn is_whole(page: &Value) -> bool {
    page.get("complete") == Some(&Value::Bool(true))
}

pub fn revision(page: &Value) -> Option<u64> {
    page.get("revision").and_then(Value::as_u64)
}

/// Whether an answer is a page of the list at all: with its entries, or none and a revision.
pub fn is_list(page: &Value) -> bool {
    match page.get("members") {
        None | Some(Value::Null) => revision(page).is_some(),
        Some(members) => members.is_array(),
    }
}

/// Hands a page of the list to the decisions; `place` learns where each target stands
/// and says what the decisions hear of it, `gone` learns which went.
/// An entry that can't be read is left out and told to `bad`.
pub fn hand_over(
    page: &Value,
    names: &Names,
    to: &mut Scheduler,
    mut place: impl FnMut(
        &TargetId,
        SocketAddr,
        (DestinationId, DestinationKindId, ZoneId),
        EndpointState,
    ) -> EndpointState,
    mut gone: impl FnMut(&TargetId),
    mut bad: impl FnMut(String),
) {
    for entry in page
        .get("members")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
    {
        let mut read = || -> Plain<()> {
            let entry = entry.as_object().ok_or("not an object")?;
            let target = TargetId(text(entry, "id")?.into());
            let listing = match text(entry, "phase")? {
                "up" => EndpointState::Running,
                "draining" => EndpointState::Draining,
                "removed" => EndpointState::Removed,
                other => return Err(format!("phase: unknown word {other:?}")),
            };
            if listing == EndpointState::Removed {
                to.set_endpoint_state(&target, EndpointState::Removed);
                gone(&target);
                return Ok(());
            }
            let address = text(entry, "host_port")?;
            let address = address
                .parse()
                .map_err(|_| format!("host_port: {address:?} is no address"))?;
            let kind =
                DestinationKindId(self::place(&names.kinds, text(entry, "flavor")?, "flavor")?);
            let zone = ZoneId(self::place(
                &names.zones,
                text(entry, "locality")?,
                "locality",
            )?);
            let destination = DestinationId(whole(entry, "cell")?);
            let listing = place(&target, address, (destination, kind, zone), listing);
            to.on_endpoint_listed(target, destination, kind, zone, listing);
            if names.sizes_are_rates {
                // An entry is not lost over its size: it counts as untold.
                to.set_advertised_rate(destination, optional_number(entry, "size").unwrap_or(0.0));
            }
            Ok(())
        };
        if let Err(what) = read() {
            bad(what);
        }
    }
}
