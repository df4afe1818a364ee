//! Tests of the formats that this package defines: headers to targets, the hash of a session, by which
//! all proxies of a deployment select the same service and rank the targets in the same order, and the
//! names under which the events of a stream are stored, by which any proxy finds them. Everything else that the proxy sends to processes of this system is written by the
//! protocol, draining and store client packages.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use plankhill_dispatch::PrefixPart;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_proxy::headers;
use plankhill_proxy::request_headers::RequestHeaders;
use plankhill_proxy::stream::stream_key::{StreamKey, TurnIdentity};

const HEADERS: [(&str, HeaderName); 9] = [
    ("EXPECTED_INSTANCE", headers::EXPECTED_INSTANCE),
    ("DEADLINE_MS", headers::DEADLINE_MS),
    ("PRIORITY", headers::PRIORITY),
    ("LAST_EVENT_ID", headers::LAST_EVENT_ID),
    ("REQUEST_ID", headers::REQUEST_ID),
    ("NOT_EXECUTED", headers::NOT_EXECUTED),
    ("UPSTREAM_SIGNATURE", headers::UPSTREAM_SIGNATURE),
    ("INSTANCE_ID", headers::INSTANCE_ID),
    ("UPSTREAM_LOAD", headers::UPSTREAM_LOAD),
];

const SESSIONS: [&str; 4] = [
    "s",
    "session-0001",
    "7f3a",
    "a longer name of a session with spaces",
];

#[test]
fn header_names_match_the_fixture() {
    let lines: Vec<String> = HEADERS
        .iter()
        .map(|(name, header)| format!("{name} {header}"))
        .collect();
    let expected: Vec<&str> = include_str!("wire_format/headers.txt").lines().collect();
    assert_eq!(lines, expected);
}

#[test]
fn session_hashes_match_the_fixture() {
    let hash_of = |session: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("session", HeaderValue::from_str(session).expect("a value"));
        RequestHeaders::read(&headers).session.expect("a session")
    };
    let lines: Vec<String> = SESSIONS
        .iter()
        .map(|session| format!("{:016x} {session}", hash_of(session)))
        .collect();
    let expected: Vec<&str> = include_str!("wire_format/session_hashes.txt")
        .lines()
        .collect();
    assert_eq!(lines, expected);
}

#[test]
fn names_of_stored_events_match_the_fixture() {
    let program = ProgramId::from("p1");
    let previous = RequestId::from("r0");
    let first = TurnIdentity {
        program: &program,
        session: None,
        previous: None,
        path: "/chat/1",
        input: b"question",
    };
    let second = TurnIdentity {
        session: Some(7),
        previous: Some(&previous),
        ..first
    };
    let mut lines = Vec::new();
    for turn in [first, second] {
        let key = StreamKey::new(&turn);
        lines.push(key.program(0).to_string());
        lines.push(key.event(3, 12).to_string());
    }
    let expected: Vec<&str> = include_str!("wire_format/stream_keys.txt")
        .lines()
        .collect();
    assert_eq!(lines, expected);
}

#[test]
fn all_headers_of_a_request_are_read() {
    let mut headers = HeaderMap::new();
    let sent = [
        ("request-id", "r1"),
        ("deadline-ms", "1500"),
        ("program", "p1"),
        ("session", "s"),
        ("finish-ms", "-20"),
        ("budget", "900"),
        ("token-usage", "12, 34"),
        ("previous", "r0"),
        ("last-event-id", "56"),
        ("prefix-hash", "ff:10, 1a:20"),
    ];
    for (name, value) in sent {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let read = RequestHeaders::read(&headers);
    assert_eq!(read.request_id.expect("read").as_str(), "r1");
    assert_eq!(read.deadline, Some(1_500.0));
    assert_eq!(read.program.expect("read").as_str(), "p1");
    assert!(read.session.is_some());
    assert_eq!(read.program_time_left, Some(-20.0));
    assert_eq!(read.budget, Some(900));
    let usage = read.usage.expect("read");
    assert_eq!((usage.prompt, usage.max_generated), (12, 34));
    assert_eq!(read.previous.expect("read").as_str(), "r0");
    assert_eq!(read.last_event_id, Some(56));
    let parts = [
        PrefixPart {
            id: 0xff,
            tokens: 10,
        },
        PrefixPart {
            id: 0x1a,
            tokens: 20,
        },
    ];
    assert_eq!(read.prefix, parts);
}
