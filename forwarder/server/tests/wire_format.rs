//! The bytes of each request that the forwarder sends to targets and discovery, and of its answers
//! to clients and operators: `wire_format/requests.txt` has a line with a name and the text, as a
//! JSON string, for each.

mod peers;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Instant;

use rstest::rstest;

use peers::manual_discovery::{list_response, manual_discovery};
use peers::*;

const PINNED: &str = include_str!("wire_format/requests.txt");

/// The pinned text, with `{host}` replaced by `address`. The text has `{seconds}` for the value of
/// a field that contains a time.
fn pinned(name: &str, address: &str) -> String {
    let line = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let line = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    let text: String = serde_json::from_str(line).expect("a JSON string");
    text.replace("{host}", address)
}

/// With the value of `Req-Deadline` replaced, which has to be a number of seconds with three
/// decimals.
fn without_deadline(head: &str) -> String {
    let value = head
        .lines()
        .find_map(|line| line.strip_prefix("Req-Deadline: "))
        .expect("a deadline");
    let (whole, part) = value.split_once('.').expect("with decimals");
    assert!(
        whole.parse::<u64>().is_ok() && part.len() == 3 && part.parse::<u64>().is_ok(),
        "{value}"
    );
    head.replace(value, "{seconds}")
}

#[rstest]
fn calls_and_health_checks_are_sent_as_pinned() {
    let (target, calls) = stub_server();
    let (discovery, _watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, target));
    let host = target.to_string();
    forwarder.submit("a", "order", "");
    let call = receive(&calls);
    assert_eq!(without_deadline(&call.head), pinned("call", &host));
    assert_eq!(call.body, b"body");
    call.respond(OK);
    // The target closes each connection of a call until a health check arrives.
    forwarder.submit("b", "job", "");
    let by = Instant::now() + TIMEOUT;
    loop {
        assert!(Instant::now() < by, "no health check arrives");
        let call = receive(&calls);
        if call.head.starts_with("POST ") {
            call.respond(&CLOSE_CONNECTION.to_string());
            continue;
        }
        assert_eq!(call.head, pinned("health-check", &host));
        assert_eq!(call.body, b"");
        break;
    }
}

#[rstest]
fn requests_to_discovery_are_sent_as_pinned() {
    let (target, calls) = stub_server();
    let (discovery, requests) = manual_discovery();
    let host = discovery.to_string();
    let forwarder = Forwarder::start(&config(discovery, target));
    // The complete list is requested before the forwarder listens, with a short time-out for the
    // response.
    let mut complete_list = receive(&requests);
    assert_eq!(complete_list.head, pinned("list", &host));
    complete_list.write(&list_response(42, true, &[member("t", target, "up")]));
    let watch = std::iter::repeat_with(|| receive(&requests))
        .find(|request| request.is_watch())
        .expect("iterator is endless");
    let wait = watch.query_number("timeout_ms");
    let revision = watch.query_number("since");
    let expected = pinned("watch", &host);
    let expected = expected
        .replace("{revision}", &revision.to_string())
        .replace("{ms}", &wait.to_string());
    assert_eq!(watch.head, expected);
    forwarder.submit("a", "charge", "Cookie: about=5\r\n");
    receive(&calls).respond(ERROR);
    let notice = std::iter::repeat_with(|| receive(&requests))
        .find(|request| request.head.starts_with("POST "));
    let notice = notice.expect("iterator is endless");
    assert_eq!(notice.head, pinned("notice", &host));
    assert_eq!(
        String::from_utf8_lossy(&notice.body),
        pinned("notice-body", &host)
    );
}

#[rstest]
fn clients_and_operators_are_answered_as_pinned() {
    let (forwarder, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    let client = |request: &[u8]| forwarder.exchange(request).1;
    let operator = |request: &str| {
        let mut stream = TcpStream::connect(forwarder.mgmt).expect("connects");
        write!(stream, "{request} HTTP/1.1\r\nHost: x\r\n\r\n").expect("write succeeds");
        read_message(&mut BufReader::new(stream))
            .expect("an answer")
            .0
    };
    forwarder.wait_until_ready();
    assert_eq!(
        client(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"),
        pinned("up", "")
    );
    assert_eq!(
        client(&event_request("a", "job", "")),
        pinned("accepted", "")
    );
    assert_eq!(
        client(&event_request("a", "job", "")),
        pinned("rejected", "")
    );
    assert_eq!(
        client(&event_request("b", "none", "")),
        pinned("no-such-type", "")
    );
    assert_eq!(
        client(b"GET /job HTTP/1.1\r\nHost: x\r\n\r\n"),
        pinned("method", "")
    );
    assert_eq!(client(&event_request("", "job", "")), pinned("no-id", ""));
    assert_eq!(operator("GET /-/ready"), pinned("operator-ready", ""));
    assert_eq!(operator("POST /-/ready"), pinned("operator-method", ""));
    assert_eq!(operator("GET /-/none"), pinned("operator-none", ""));
    assert_eq!(
        operator("POST /-/targets/none/disable"),
        pinned("operator-never-listed", "")
    );
    assert_eq!(operator("POST /-/drain"), pinned("operator-drain", ""));
    assert_eq!(
        operator("GET /-/ready"),
        pinned("operator-ready-while-drained", "")
    );
    receive(&calls).respond(OK);
}
