//! Decodes events from the names and units of the wire format, and applies them to a scheduler.

use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, DestinationKindId, EndpointState, EventId, Ms,
    TargetId, TrafficTypeId, ZoneId,
};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_forwarder_config::fields::{
    optional_number, optional_text, optional_time, optional_unsigned, position_of, text, time,
    unsigned, Object,
};
use plankhill_forwarder_config::{order_key, Names};
use serde_json::Value;

use crate::error::{field, item_field, ArrivalError, ItemError};
use crate::host::Page;

/// Applies one event to its forwarder's scheduler.
///
/// # Errors
/// The event is unknown or malformed, or refers to an id that was never sent to the forwarder.
pub fn apply_arrival(
    names: &Names,
    scheduler: &mut Scheduler,
    event: &Object,
    page: Option<Page>,
) -> Result<(), ArrivalError> {
    let command = text(event, "cmd").map_err(field)?;
    match command {
        "fleet" => apply_list(names, scheduler, event, page),
        "submit" => submit(names, scheduler, event),
        "outcome" => {
            let report = parse_report(names, event)?;
            let id = event_id(event)?;
            scheduler
                .on_attempt_ended(&id, report)
                .map_err(|unknown| ArrivalError::unknown_id(command, unknown))
        }
        "probeResult" => {
            let target = TargetId(text(event, "target").map_err(field)?.into());
            let outcome = parse_outcome(unsigned(event, "stateCode").map_err(field)?)?;
            scheduler
                .on_health_check_ended(&target, outcome)
                .map_err(|unknown| ArrivalError::unknown_id(command, unknown))
        }
        "aborted" => {
            scheduler.withdraw_event(&event_id(event)?);
            Ok(())
        }
        "ring" | "inbox" | "begun" => Ok(()),
        other => Err(ArrivalError::UnknownCommand(other.to_owned())),
    }
}

fn event_id(event: &Object) -> Result<EventId, ArrivalError> {
    Ok(EventId(text(event, "xid").map_err(field)?.into()))
}

fn apply_list(
    names: &Names,
    scheduler: &mut Scheduler,
    event: &Object,
    page: Option<Page>,
) -> Result<(), ArrivalError> {
    match text(event, "mode").map_err(field)? {
        "Complete" | "Persisted" => scheduler.on_endpoint_list_replaced(),
        "Partial" => (),
        "Error" => return Ok(()),
        other => return Err(ArrivalError::UnknownListMode(other.to_owned())),
    }
    let page = page.ok_or(ArrivalError::NoPage)?;
    for (index, item) in page.iter().enumerate() {
        apply_item(names, scheduler, item).map_err(|error| ArrivalError::Item { index, error })?;
    }
    Ok(())
}

fn apply_item(names: &Names, scheduler: &mut Scheduler, item: &Value) -> Result<(), ItemError> {
    let item = item.as_object().ok_or(ItemError::NotAnObject)?;
    let state = match text(item, "mode").map_err(item_field)? {
        "Running" => EndpointState::Running,
        "Stopping" => EndpointState::Draining,
        "Deleted" => EndpointState::Removed,
        other => return Err(ItemError::UnknownMode(other.to_owned())),
    };
    let target = TargetId(text(item, "target").map_err(item_field)?.into());
    if state == EndpointState::Removed {
        scheduler.set_endpoint_state(&target, EndpointState::Removed);
        return Ok(());
    }
    let destination = DestinationId(unsigned(item, "belongsTo").map_err(item_field)?);
    let kind = named_position(&names.kinds, item, "kind")?;
    let zone = named_position(&names.zones, item, "campus")?;
    scheduler.on_endpoint_listed(
        target,
        destination,
        DestinationKindId(kind),
        ZoneId(zone),
        state,
    );
    if names.sizes_are_rates {
        let rate = optional_number(item, "powerHint").map_err(item_field)?;
        scheduler.set_advertised_rate(destination, rate);
    }
    Ok(())
}

fn named_position(names: &[String], item: &Object, field: &str) -> Result<usize, ItemError> {
    let name = text(item, field).map_err(item_field)?;
    position_of(names, name, field).map_err(item_field)
}

fn submit(names: &Names, scheduler: &mut Scheduler, event: &Object) -> Result<(), ArrivalError> {
    let id = event_id(event)?;
    let destination = DestinationId(unsigned(event, "toDest").map_err(field)?);
    let type_name = text(event, "tierClass").map_err(field)?;
    let traffic_type = position_of(&names.traffic, type_name, "tierClass").map_err(field)?;
    let deadline = time(event, "deadlineUs").map_err(field)?;
    let key = match optional_text(event, "routeKey").map_err(field)? {
        Some(digits) => Some(order_key(digits).map_err(field)?),
        None => None,
    };
    let traffic_type = TrafficTypeId(traffic_type);
    scheduler.accept_event(id.clone(), destination, traffic_type, deadline, key);
    if let Some(member) = optional_text(event, "project").map_err(field)? {
        let member = position_of(&names.members, member, "project").map_err(field)?;
        let is_repeat = is_true(event, "repeat") || is_true(event, "again");
        scheduler.charge_member(&id, member, is_repeat);
    }
    Ok(())
}

fn is_true(event: &Object, field: &str) -> bool {
    event.get(field) == Some(&Value::Bool(true))
}

fn parse_report(names: &Names, event: &Object) -> Result<AttemptReport, ArrivalError> {
    Ok(AttemptReport {
        outcome: parse_outcome(unsigned(event, "stateCode").map_err(field)?)?,
        elapsed: optional_time(event, "waitTimeUs").map_err(field)?,
        event_complete: is_true(event, "complete"),
        retry_after: optional_unsigned(event, "remarkMs")
            .map_err(field)?
            .unwrap_or(0) as Ms,
        limit_remaining: names
            .limit_remaining_column
            .and_then(|position| load_report(event, position)),
    })
}

/// A value of a load report, which may be missing.
fn load_report(event: &Object, position: usize) -> Option<f64> {
    event.get("stats")?.as_array()?.get(position)?.as_f64()
}

fn parse_outcome(code: u64) -> Result<AttemptOutcome, ArrivalError> {
    Ok(match code {
        10 => AttemptOutcome::Delivered,
        20 => AttemptOutcome::Error,
        30 => AttemptOutcome::Rejected,
        40 => AttemptOutcome::TimedOut,
        50 => AttemptOutcome::ConnectFailed,
        60 => AttemptOutcome::Reset,
        70 => AttemptOutcome::Cancelled,
        80 => AttemptOutcome::NotSent,
        other => return Err(ArrivalError::UnknownStateCode(other)),
    })
}
