//! What the headers of a client's request say, read once.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;

use hyper::header::HeaderMap;
use plankhill_dispatch::{Ms, PrefixPart};
use plankhill_protocol::ids::{ProgramId, RequestId};

/// Parts of a prompt that are looked at; further ones are not shared by many.
const MOST_PARTS: usize = 64;

/// `Token-Usage`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most that are generated.
    pub most: u64,
}

/// What the headers say. A header that cannot be read counts as absent; it is passed on as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// `Request-Id`.
    pub request_id: Option<RequestId>,
    /// `Deadline-Ms`: the time that the client will wait, from the arrival of the request on.
    pub deadline: Option<Ms>,
    /// `Program`.
    pub program: Option<ProgramId>,
    /// A hash of `Session`.
    pub session: Option<u64>,
    /// `Finish-Ms`; negative if the program is late.
    pub program_time_left: Option<Ms>,
    /// `Budget`, in tokens.
    pub budget: Option<u64>,
    /// `Token-Usage`.
    pub usage: Option<TokenUsage>,
    /// `Previous`.
    pub previous: Option<RequestId>,
    /// `Last-Event-Id`.
    pub last_event_id: Option<u64>,
    /// `Prefix-Hash`, in order.
    pub prefix: Vec<PrefixPart>,
}

impl Facts {
    /// Reads the headers.
    pub fn of(headers: &HeaderMap) -> Self {
        Facts {
            request_id: text(headers, "request-id").map(RequestId::from),
            deadline: number(headers, "deadline-ms").filter(|deadline: &Ms| deadline.is_finite()),
            program: text(headers, "program").map(ProgramId::from),
            session: text(headers, "session").map(hash),
            program_time_left: number(headers, "finish-ms").filter(|left: &Ms| left.is_finite()),
            budget: number(headers, "budget"),
            usage: text(headers, "token-usage").and_then(usage),
            previous: text(headers, "previous").map(RequestId::from),
            last_event_id: number(headers, "last-event-id"),
            prefix: text(headers, "prefix-hash").map(prefix).unwrap_or_default(),
        }
    }
}

/// A header's text without the space around it; none if it is empty or no text.
pub fn text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    let value = headers.get(name)?.to_str().ok()?.trim();
    (!value.is_empty()).then_some(value)
}

/// A header's number.
pub fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

fn hash(value: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn usage(value: &str) -> Option<TokenUsage> {
    let (prompt, most) = value.split_once(',')?;
    Some(TokenUsage {
        prompt: prompt.trim().parse().ok()?,
        most: most.trim().parse().ok()?,
    })
}

fn prefix(value: &str) -> Vec<PrefixPart> {
    value.split(',').take(MOST_PARTS).map_while(part).collect()
}

fn part(value: &str) -> Option<PrefixPart> {
    let (id, tokens) = value.trim().split_once(':')?;
    Some(PrefixPart {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
