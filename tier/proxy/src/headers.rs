//! Header names, and the rules for which headers are forwarded. The names are part of the wire
//! format.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The id of the only target that may execute a request.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// The time left for a response, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The priority of a request at a target, from 0 (most urgent) to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The id of the event after which a stream resumes.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The client's id for a request, echoed by targets.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Set by a target that did not execute the request and never will.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// The signature of the target that executed the request.
pub const UPSTREAM_SIGNATURE: HeaderName = HeaderName::from_static("upstream-signature");
/// The id of the target that responded.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
/// The load of the target.
pub const UPSTREAM_LOAD: HeaderName = HeaderName::from_static("upstream-load");

/// Headers that apply to a single connection, or to the framing of a body on it (RFC 9110, section
/// 7.6.1).
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Headers that are kept even if `Connection` names them: the handling of requests and responses
/// depends on them.
const PROTECTED: [HeaderName; 4] = [
    REQUEST_ID,
    UPSTREAM_SIGNATURE,
    header::HOST,
    header::CONTENT_LENGTH,
];

/// Removes the headers that apply to a single connection, including those named in `Connection`.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in headers_named_in_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether `Connection` has the option `close`.
pub fn has_close_option(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

/// Converts a number to a header value.
pub fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

fn headers_named_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for option in connection_options(headers) {
        match option.parse::<HeaderName>() {
            Ok(name) if !PROTECTED.contains(&name) => names.push(name),
            Ok(_) | Err(_) => {}
        }
    }
    names
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}
