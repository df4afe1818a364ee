//! The wire's words and units turned into calls of the decision module.

use std::rc::Rc;

use plankhill_decisions::decide::Forwarder;
use plankhill_decisions::interface::*;
use plankhill_forwarder_config::fields::*;
use plankhill_forwarder_config::{order_key, Names};
use serde_json::Value;

pub fn hand_over(
    names: &Names,
    to: &mut Forwarder,
    arrival: &Object,
    page: Option<Rc<Vec<Value>>>,
) -> Plain<()> {
    let word = text(arrival, "cmd")?;
    let told = match word {
        "fleet" => {
            match text(arrival, "mode")? {
                "Complete" | "Persisted" => to.list_replaced(),
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
            to.taken(
                EventId(text(arrival, "xid")?.into()),
                DestinationId(whole(arrival, "toDest")?),
                TrafficId(place(
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
                to.asked_by(&EventId(text(arrival, "xid")?.into()), member, again);
            }
            Ok(())
        }
        "outcome" => {
            let ended = Ended {
                fate: fate(whole(arrival, "stateCode")?)?,
                took: optional_time(arrival, "waitTimeUs")?,
                over: arrival
                    .get("complete")
                    .is_some_and(|done| done == &Value::Bool(true)),
                wait: optional_whole(arrival, "remarkMs")?.unwrap_or(0) as Ms,
                left: names.left_at.and_then(|at| reported(arrival, at)),
            };
            to.send_ended(&EventId(text(arrival, "xid")?.into()), ended)
        }
        "probeResult" => to.ping_ended(
            &TargetId(text(arrival, "target")?.into()),
            fate(whole(arrival, "stateCode")?)?,
        ),
        "aborted" => {
            to.withdrawn(&EventId(text(arrival, "xid")?.into()));
            Ok(())
        }
        "ring" | "inbox" | "begun" => Ok(()),
        other => return Err(format!("unknown event {other:?}")),
    };
    told.map_err(|Unknown(what)| format!("{word}: {what} was never named to this instance"))
}

/// A value of a load report, which may be missing.
fn reported(arrival: &Object, at: usize) -> Option<f64> {
    arrival.get("stats")?.as_array()?.get(at)?.as_f64()
}

fn listed(names: &Names, to: &mut Forwarder, item: &Object) -> Plain<()> {
    let listing = match text(item, "mode")? {
        "Running" => Listing::Running,
        "Stopping" => Listing::Leaving,
        "Deleted" => Listing::Gone,
        other => return Err(format!("unknown mode {other:?}")),
    };
    let target = TargetId(text(item, "target")?.into());
    if listing == Listing::Gone {
        to.relisted(&target, Listing::Gone);
        return Ok(());
    }
    let of = DestinationId(whole(item, "belongsTo")?);
    to.listed(
        target,
        of,
        KindId(place(&names.kinds, text(item, "kind")?, "kind")?),
        ZoneId(place(&names.zones, text(item, "campus")?, "campus")?),
        listing,
    );
    if names.sizes_are_rates {
        to.rate_told(of, optional_number(item, "powerHint")?);
    }
    Ok(())
}

fn fate(code: u64) -> Plain<Fate> {
    Ok(match code {
        10 => Fate::Delivered,
        20 => Fate::Error,
        30 => Fate::Full,
        40 => Fate::TimedOut,
        50 => Fate::NoConnection,
        60 => Fate::Reset,
        70 => Fate::Cancelled,
        80 => Fate::NotSent,
        other => return Err(format!("stateCode: unknown code {other}")),
    })
}
