//! A client's request: parsing of its head, and its errors.

use std::ops::Range;
use std::rc::Rc;
use std::time::Instant;

use plankhill_buffer_pool::PooledBuffer;
use plankhill_decisions::interface::{DestinationId, EventId, Idempotency, Ms, TrafficTypeId};
use plankhill_fanout::{BroadcastId, ListName};
use plankhill_forwarder_config::fanout::BROADCAST;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_hot_restart::EventHeader;
use plankhill_http1::{Malformed, RequestHead};

/// Longest id of an event, in bytes.
const MAX_EVENT_ID_BYTES: usize = 128;
/// Longest `Req-Deadline`, in seconds.
const MAX_TIMEOUT_SECONDS: f64 = 1e6;
/// Placeholder for a broadcast's own destination: the destinations are those of its list.
const BROADCAST_DESTINATION: &str = "0";

/// Rejection of a request without a decision on an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub(super) struct RequestError {
    /// The response's status.
    pub(super) status: u16,
    /// The response's body.
    pub(super) reason: &'static str,
}

impl RequestError {
    pub(super) const fn new(status: u16, reason: &'static str) -> Self {
        RequestError { status, reason }
    }
}

impl From<Malformed> for RequestError {
    fn from(Malformed(reason): Malformed) -> Self {
        RequestError::new(400, reason)
    }
}

/// A buffer with the beginning of the next request.
pub(super) struct PartialRequest {
    pub(super) buffer: PooledBuffer,
    pub(super) filled: usize,
}

/// A request that was read to its end.
pub(super) struct Request {
    pub(super) kind: RequestKind,
    pub(super) buffer: PooledBuffer,
    pub(super) body: Range<usize>,
    /// Whether the client requests that the connection is closed after the response.
    pub(super) closes: bool,
    /// When the request's first byte arrived; the client's timeout starts then at the latest.
    pub(super) began: Instant,
}

/// Kind of a request.
pub(super) enum RequestKind {
    /// `GET /up`: whether the process admits clients.
    Up,
    /// `POST /{traffic type}`
    Event(EventHeader),
    /// `POST /{BROADCAST}/{list}/{traffic type}`
    Broadcast(ListName, EventHeader),
}

/// Parses a request's head.
///
/// # Errors
/// The path or method is not served, or a field is missing or malformed.
pub(super) fn parse_head(
    head: &RequestHead,
    config: &ForwarderConfig,
) -> Result<RequestKind, RequestError> {
    if head.path() == "/up" {
        return match head.method {
            "GET" => Ok(RequestKind::Up),
            _ => Err(RequestError::new(405, "only GET is served here")),
        };
    }
    let Route { list, traffic_type } = parse_path(head.path(), config)?;
    if head.method != "POST" {
        return Err(RequestError::new(405, "only POST is served here"));
    }
    let event = parse_event(head, config, traffic_type, list.is_some())?;
    Ok(match list {
        Some(list) => RequestKind::Broadcast(list, event),
        None => RequestKind::Event(event),
    })
}

/// Result of parsing a path.
struct Route {
    /// The list of a broadcast; none for a single event.
    list: Option<ListName>,
    traffic_type: TrafficTypeId,
}

fn parse_path(path: &str, config: &ForwarderConfig) -> Result<Route, RequestError> {
    let mut segments = path.split('/').skip(1);
    let first = segments.next();
    let mut type_name = first;
    let mut list = None;
    if let Some(layout) = &config.fanout {
        if first == Some(BROADCAST) {
            if let Some(name) = segments.next() {
                let name = ListName(name.to_owned());
                if !layout.lists.iter().any(|(known, _)| *known == name) {
                    return Err(RequestError::new(404, "no such list"));
                }
                list = Some(name);
                type_name = segments.next();
            }
        }
    }
    let type_name = type_name.unwrap_or_default();
    match config
        .names
        .traffic
        .iter()
        .position(|name| name == type_name)
    {
        Some(position) => Ok(Route {
            list,
            traffic_type: TrafficTypeId(position),
        }),
        None => Err(RequestError::new(404, "no such traffic type")),
    }
}

fn parse_event(
    head: &RequestHead,
    config: &ForwarderConfig,
    traffic_type: TrafficTypeId,
    is_broadcast: bool,
) -> Result<EventHeader, RequestError> {
    let fields = &head.fields;
    let settings = &config.decisions.traffic_types[traffic_type.0];
    // All fields are read before any is validated: a duplicate field is the first error reported.
    let id = fields.one("Req-Id")?;
    let timeout = fields.one("Req-Deadline")?.and_then(parse_timeout);
    let envelope = fields.one("X-Envelope")?.unwrap_or_default();
    let key = match fields.cookie("about") {
        Some(about) if settings.ordered => Some(plankhill_forwarder_config::order_key(about)),
        _ => None,
    };
    let fingerprint: Option<Rc<str>> = fields.one("Idempotency-Key")?.map(Rc::from);
    if matches!(settings.idempotency, Idempotency::Deduplicated { .. }) && fingerprint.is_none() {
        return Err(RequestError::new(400, "Idempotency-Key: is missing"));
    }
    let id = parse_id(id, is_broadcast)?;
    let destination = match is_broadcast {
        true => Some(BROADCAST_DESTINATION),
        false => destination_in(envelope),
    };
    let destination = destination
        .and_then(|destination| destination.parse().ok())
        .ok_or(RequestError::new(400, "X-Envelope: no dest with a number"))?;
    let timeout = timeout.ok_or(RequestError::new(
        400,
        "Req-Deadline: not a number of seconds",
    ))?;
    let key = key
        .transpose()
        .map_err(|_| RequestError::new(400, "Cookie: about is not a hexadecimal key"))?;
    Ok(EventHeader {
        id,
        destination: DestinationId(destination),
        traffic_type,
        // The timeout is at most that of the traffic type.
        timeout: settings.time_to_deadline.min(timeout),
        key,
        fingerprint,
    })
}

fn parse_id(id: Option<&str>, is_broadcast: bool) -> Result<EventId, RequestError> {
    let max_bytes = match is_broadcast {
        true => MAX_EVENT_ID_BYTES.min(BroadcastId::MAX_LEN),
        false => MAX_EVENT_ID_BYTES,
    };
    match id {
        Some(id) if !id.is_empty() && id.len() <= max_bytes => Ok(EventId(id.into())),
        _ => Err(RequestError::new(400, "Req-Id: is missing or too long")),
    }
}

/// Seconds of `Req-Deadline`, in milliseconds.
fn parse_timeout(text: &str) -> Option<Ms> {
    let seconds: f64 = text.parse().ok()?;
    let is_valid = seconds.is_finite() && (0.0..=MAX_TIMEOUT_SECONDS).contains(&seconds);
    is_valid.then_some(1000.0 * seconds)
}

fn destination_in(envelope: &str) -> Option<&str> {
    envelope
        .split([';', ',', ' '])
        .find_map(|part| part.trim().strip_prefix("dest="))
}
