//! The parsed headers of a client request, read once by [`crate::request_reader`].

use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;

use hyper::header::HeaderMap;
use plankhill_dispatch::{Ms, PrefixPart};
use plankhill_protocol::ids::{ProgramId, RequestId};

/// Maximum number of prompt parts that are read; few requests share further ones.
const MAX_PREFIX_PARTS: usize = 64;

/// The `Token-Usage` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of generated tokens.
    pub max_generated: u64,
}

/// The parsed headers. A header that cannot be parsed is treated as absent; it is forwarded
/// unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// `Request-Id`.
    pub request_id: Option<RequestId>,
    /// `Deadline-Ms`: the time that the client waits, counted from the arrival of the request.
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
    /// Parses the headers.
    pub fn read(headers: &HeaderMap) -> Self {
        RequestHeaders {
            request_id: header_text(headers, "request-id").map(RequestId::from),
            deadline: finite_number(headers, "deadline-ms"),
            program: header_text(headers, "program").map(ProgramId::from),
            session: header_text(headers, "session").map(session_hash),
            program_time_left: finite_number(headers, "finish-ms"),
            budget: header_number(headers, "budget"),
            usage: header_text(headers, "token-usage").and_then(parse_usage),
            previous: header_text(headers, "previous").map(RequestId::from),
            last_event_id: header_number(headers, "last-event-id"),
            prefix: header_text(headers, "prefix-hash")
                .map(parse_prefix)
                .unwrap_or_default(),
        }
    }
}

/// Returns the value of a header without surrounding whitespace; `None` if the header is absent,
/// empty or not text.
pub fn header_text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    let value = headers.get(name)?.to_str().ok()?.trim();
    if value.is_empty() {
        return None;
    }
    Some(value)
}

/// Returns the value of a header as a number; `None` if it is absent or cannot be parsed.
pub fn header_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

fn finite_number(headers: &HeaderMap, name: &str) -> Option<f64> {
    header_number(headers, name).filter(|number: &f64| number.is_finite())
}

fn session_hash(value: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Parses `prompt,max_generated`, both in tokens.
fn parse_usage(value: &str) -> Option<TokenUsage> {
    let (prompt, max_generated) = value.split_once(',')?;
    let prompt = prompt.trim().parse().ok()?;
    let max_generated = max_generated.trim().parse().ok()?;
    Some(TokenUsage {
        prompt,
        max_generated,
    })
}

/// Parses comma-separated parts `id:tokens`, up to the first that is malformed.
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
