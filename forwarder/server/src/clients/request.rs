//! A request of a client: what is asked for, and what is wrong with it.

use std::ops::Range;
use std::rc::Rc;
use std::time::Instant;

use plankhill_buffer_pool::Buffer;
use plankhill_decisions::interface::*;
use plankhill_fanout::{BroadcastId, ListName};
use plankhill_forwarder_config::fanout::BROADCAST;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_hot_restart::Event;
use plankhill_http1::{Malformed, RequestHead};

/// A refusal that is no decision on an event: what is wrong with the request.
pub(super) struct Refusal(pub(super) u16, pub(super) &'static str);

impl From<Malformed> for Refusal {
    fn from(Malformed(what): Malformed) -> Self {
        Refusal(400, what)
    }
}

/// A buffer with the beginning of the next request.
pub(super) struct Begun {
    pub(super) buffer: Buffer,
    pub(super) filled: usize,
}

/// A request that was read whole.
pub(super) struct Request {
    pub(super) asked: Asked,
    pub(super) buffer: Buffer,
    pub(super) body: Range<usize>,
    pub(super) closes: bool,
    /// Its first byte came then: its client counts from there at the latest.
    pub(super) since: Instant,
}

pub(super) enum Asked {
    Up,
    Event(Event),
    /// For all destinations of the list; its own destination says nothing.
    Broadcast(ListName, Event),
}

pub(super) fn read_fields(head: &RequestHead, told: &ForwarderConfig) -> Result<Asked, Refusal> {
    if head.path() == "/up" {
        return if head.method == "GET" {
            Ok(Asked::Up)
        } else {
            Err(Refusal(405, "only GET is served here"))
        };
    }
    let mut steps = head.path().split('/').skip(1);
    let list = steps
        .clone()
        .nth(1)
        .filter(|_| told.fanout.is_some() && steps.next() == Some(BROADCAST));
    let class = list
        .map_or(head.path().split('/').nth(1), |_| steps.nth(1))
        .unwrap_or_default();
    let layout = told.fanout.as_ref().filter(|_| list.is_some());
    let list = list.map(|list| ListName(list.to_owned()));
    if layout.is_some_and(|layout| {
        layout
            .lists
            .iter()
            .all(|(name, _)| Some(name) != list.as_ref())
    }) {
        return Err(Refusal(404, "no such list"));
    }
    let traffic = told.names.traffic.iter().position(|name| name == class);
    let traffic = traffic
        .map(TrafficTypeId)
        .ok_or(Refusal(404, "no such traffic type"))?;
    if head.method != "POST" {
        return Err(Refusal(405, "only POST is served here"));
    }
    let (fields, kind) = (&head.fields, &told.decisions.traffic_types[traffic.0]);
    let id = fields
        .one("Req-Id")?
        .filter(|id| !id.is_empty() && id.len() <= 128);
    let patience = fields
        .one("Req-Deadline")?
        .and_then(|text| text.parse::<f64>().ok());
    let patience = patience.filter(|seconds| seconds.is_finite() && (0.0..=1e6).contains(seconds));
    let envelope = fields.one("X-Envelope")?.unwrap_or_default();
    let dest = envelope
        .split([';', ',', ' '])
        .find_map(|part| part.trim().strip_prefix("dest="));
    let key = fields
        .cookie("about")
        .filter(|_| kind.ordered)
        .map(plankhill_forwarder_config::order_key)
        .transpose();
    let fingerprint = fields.one("Idempotency-Key")?.map(Rc::from);
    if matches!(kind.idempotency, Idempotency::Deduplicated { .. }) && fingerprint.is_none() {
        return Err(Refusal(400, "Idempotency-Key: is missing"));
    }
    let id = id.filter(|id| list.is_none() || id.len() <= BroadcastId::LONGEST);
    let dest = if list.is_some() { Some("0") } else { dest };
    let event = Event {
        id: EventId(
            id.ok_or(Refusal(400, "Req-Id: is missing or too long"))?
                .into(),
        ),
        destination: DestinationId(
            dest.and_then(|dest| dest.parse().ok())
                .ok_or(Refusal(400, "X-Envelope: no dest with a number"))?,
        ),
        traffic,
        // Nobody is owed more than the traffic type gives.
        patience: kind
            .patience
            .min(1000.0 * patience.ok_or(Refusal(400, "Req-Deadline: not a number of seconds"))?),
        key: key.map_err(|_| Refusal(400, "Cookie: about is not a hexadecimal key"))?,
        fingerprint,
    };
    Ok(match list {
        Some(list) => Asked::Broadcast(list, event),
        None => Asked::Event(event),
    })
}
