//! What the headers of a client's request say, read once by [`crate::request_reader`].

use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;

use hyper::header::HeaderMap;
use plankhill_dispatch::{Ms, PrefixPart};
use plankhill_protocol::ids::{ProgramId, RequestId};

/// Parts of a prompt that are looked at; further ones are not shared by many.
const MAX_PREFIX_PARTS: usize = 64;

/// The `Token-Usage` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that are generated.
    pub max_generated: u64,
}

/// What the headers say. A header that cannot be read counts as absent; it is passed on as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// `Request-Id`.
    pub request_id: Option<RequestId>,
    /// `Deadline-Ms`: the time that the client will wait, from the arrival of the request on.
    pub deadline: Option<Ms>,
    /// `Program`.
    pub program: Option<ProgramId>,
    /// A hash of `Session`; the same at all proxies.
    pub session: Option<u64>,
    /// `Finish-Ms`: the time that the agent program has left, negative if it is late.
    pub program_time_left: Option<Ms>,
    /// `Budget`, in tokens.
    pub budget: Option<u64>,
    /// `Token-Usage`.
    pub usage: Option<TokenUsage>,
    /// `Previous`: the turn that this one follows.
    pub previous: Option<RequestId>,
    /// `Last-Event-Id`.
    pub last_event_id: Option<u64>,
    /// `Prefix-Hash`, in order.
    pub prefix: Vec<PrefixPart>,
}

impl RequestHeaders {
    /// Reads the headers.
    pub fn read(headers: &HeaderMap) -> Self {
        RequestHeaders {
            request_id: text(headers, "request-id").map(RequestId::from),
            deadline: finite_number(headers, "deadline-ms"),
            program: text(headers, "program").map(ProgramId::from),
            session: text(headers, "session").map(session_hash),
            program_time_left: finite_number(headers, "finish-ms"),
            budget: number(headers, "budget"),
            usage: text(headers, "token-usage").and_then(parse_usage),
            previous: text(headers, "previous").map(RequestId::from),
            last_event_id: number(headers, "last-event-id"),
            prefix: text(headers, "prefix-hash")
                .map(parse_prefix)
                .unwrap_or_default(),
        }
    }
}

/// A header's text without the space around it; none if it is empty or no text.
pub fn text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    let value = headers.get(name)?.to_str().ok()?.trim();
    if value.is_empty() {
        return None;
    }
    Some(value)
}

/// A header's number.
pub fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

fn finite_number(headers: &HeaderMap, name: &str) -> Option<f64> {
    number(headers, name).filter(|number: &f64| number.is_finite())
}

fn session_hash(value: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// `prompt,most`, both in tokens.
fn parse_usage(value: &str) -> Option<TokenUsage> {
    let (prompt, max_generated) = value.split_once(',')?;
    let prompt = prompt.trim().parse().ok()?;
    let max_generated = max_generated.trim().parse().ok()?;
    Some(TokenUsage {
        prompt,
        max_generated,
    })
}

/// Parts `id:tokens` with commas between them, up to the first that cannot be read.
fn parse_prefix(value: &str) -> Vec<PrefixPart> {
    value
        .split(',')
        .take(MAX_PREFIX_PARTS)
        .map_while(parse_prefix_part)
        .collect()
}

fn parse_prefix_part(value: &str) -> Option<PrefixPart> {
    let (id, tokens) = value.trim().split_once(':')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    let tokens = tokens.parse().ok()?;
    Some(PrefixPart { id, tokens })
}
