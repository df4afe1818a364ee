//! Which headers are passed along.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Names the only target that may run a request.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// What is left of the time for an answer, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The rank of a request at a target.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// From which event on a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The name of a client's try, echoed by targets.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// A target says that it did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// The stamp of the target that ran the request.
pub const UPSTREAM_SIGNATURE: HeaderName = HeaderName::from_static("upstream-signature");
/// The target that answered.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
/// How full the target is.
pub const UPSTREAM_LOAD: HeaderName = HeaderName::from_static("upstream-load");

/// Headers that concern one connection, or the framing of a body on it.
const OF_ONE_CONNECTION: [HeaderName; 10] = [
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

/// Takes out the headers that concern one connection only, those named in `Connection` included.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in named_in_connection(headers) {
        headers.remove(name);
    }
    for name in &OF_ONE_CONNECTION {
        headers.remove(name);
    }
}

/// Whether `Connection` holds `close`.
pub fn says_close(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

/// A number as a header's value.
pub fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

fn named_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    connection_options(headers)
        .filter_map(|option| option.parse().ok())
        .filter(may_be_named)
        .collect()
}

/// A sender cannot take away what the exchange itself rests on.
fn may_be_named(name: &HeaderName) -> bool {
    ![
        REQUEST_ID,
        UPSTREAM_SIGNATURE,
        header::HOST,
        header::CONTENT_LENGTH,
    ]
    .contains(name)
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}
