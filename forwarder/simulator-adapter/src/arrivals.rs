//! The wire's words and units turned into calls of the decision module.

use std::rc::Rc;

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_forwarder_config::fields::*;
use plankhill_forwarder_config::{order_key, Names};
use serde_json::Value;

pub fn hand_over(
    names: &Names,
    to: &mut Scheduler,
    arrival: &Object,
    page: Option<Rc<Vec<Value>>>,
) -> Plain<()> {
    let word = text(arrival, "cmd")?;
    let told = match word {
        "fleet" => {
            match text(arrival, "mode")? {
                "Complete" | "Persisted" => to.on_endpoint_list_replaced(),
                "Partial" => (),
                "Error" => return Ok(()),
                other => return Err(format!("fleet: unknown mode {other:?}")),
            }
            let page = page.ok_or("fleet: its page is missing")?;
            return page.iter().enumerate().try_for_each(|(at, item)| {
                let item = item
                    .as_object()
                    .ok_or(format!("items[{at}]: not an object"))?;
                listed(names, to, item).map_err(|what| format!("items[{at}]: {what}"))
            });
        }
        "submit" => {
            to.accept_event(
                EventId(text(arrival, "xid")?.into()),
                DestinationId(whole(arrival, "toDest")?),
                TrafficTypeId(place(
                    &names.traffic,
                    text(arrival, "tierClass")?,
                    "tierClass",
                )?),
                time(arrival, "deadlineUs")?,
                optional_text(arrival, "routeKey")?
                    .map(order_key)
                    .transpose()?,
            );
            if let Some(member) = optional_text(arrival, "project")? {
                let member = place(&names.members, member, "project")?;
                let again = ["repeat", "again"]
                    .iter()
                    .any(|mark| arrival.get(*mark) == Some(&Value::Bool(true)));
                to.charge_member(&EventId(text(arrival, "xid")?.into()), member, again);
            }
            Ok(())
        }
        "outcome" => {
            let ended = AttemptReport {
                outcome: fate(whole(arrival, "stateCode")?)?,
                elapsed: optional_time(arrival, "waitTimeUs")?,
                event_complete: arrival
                    .get("complete")
                    .is_some_and(|done| done == &Value::Bool(true)),
                retry_after: optional_whole(arrival, "remarkMs")?.unwrap_or(0) as Ms,
                limit_remaining: names.left_at.and_then(|at| reported(arrival, at)),
            };
            to.on_attempt_ended(&EventId(text(arrival, "xid")?.into()), ended)
        }
        "probeResult" => to.on_health_check_ended(
            &TargetId(text(arrival, "target")?.into()),
            fate(whole(arrival, "stateCode")?)?,
        ),
        "aborted" => {
            to.withdraw_event(&EventId(text(arrival, "xid")?.into()));
            Ok(())
        }
        "ring" | "inbox" | "begun" => Ok(()),
        other => return Err(format!("unknown event {other:?}")),
    };
    told.map_err(|UnknownId(what)| format!("{word}: {what} was never named to this instance"))
}

/// A value of a load report, which may be missing.
fn reported(arrival: &Object, at: usize) -> Option<f64> {
    arrival.get("stats")?.as_array()?.get(at)?.as_f64()
}

fn listed(names: &Names, to: &mut Scheduler, item: &Object) -> Plain<()> {
    let listing = match text(item, "mode")? {
        "Running" => EndpointState::Running,
        "Stopping" => EndpointState::Draining,
        "Deleted" => EndpointState::Removed,
        other => return Err(format!("unknown mode {other:?}")),
    };
    let target = TargetId(text(item, "target")?.into());
    if listing == EndpointState::Removed {
        to.set_endpoint_state(&target, EndpointState::Removed);
        return Ok(());
    }
    let of = DestinationId(whole(item, "belongsTo")?);
    to.on_endpoint_listed(
        target,
        of,
        DestinationKindId(place(&names.kinds, text(item, "kind")?, "kind")?),
        ZoneId(place(&names.zones, text(item, "campus")?, "campus")?),
        listing,
    );
    if names.sizes_are_rates {
        to.set_advertised_rate(of, optional_number(item, "powerHint")?);
    }
    Ok(())
}

fn fate(code: u64) -> Plain<AttemptOutcome> {
    Ok(match code {
        10 => AttemptOutcome::Delivered,
        20 => AttemptOutcome::Error,
        30 => AttemptOutcome::Rejected,
        40 => AttemptOutcome::TimedOut,
        50 => AttemptOutcome::ConnectFailed,
        60 => AttemptOutcome::Reset,
        70 => AttemptOutcome::Cancelled,
        80 => AttemptOutcome::NotSent,
        other => return Err(format!("stateCode: unknown code {other}")),
    })
}
