//! Idle clients use up the descriptors while discovery is down: the endpoint list is received again
//! once discovery is back.

mod peers;

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;

use rstest::rstest;
use serde_json::json;

use peers::manual_discovery::*;
use peers::*;

fn watch(requests: &Receiver<Request>) -> Request {
    std::iter::repeat_with(|| receive(requests))
        .find(Request::is_watch)
        .expect("iterator is endless")
}

/// The system's limit on open descriptors of the forwarder.
const MAX_DESCRIPTORS: usize = 96;

/// Opens up to `count` client connections, which send one request or none and stay open.
fn fill(forwarder: &Forwarder, count: usize) -> Vec<TcpStream> {
    (0..count)
        .filter_map(|number| {
            let mut stream = TcpStream::connect(forwarder.address).ok()?;
            if number % 2 == 0 {
                let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            Some(stream)
        })
        .collect()
}

/// Guards the endpoint list, notices, targets and operators against clients that hold all
/// connections that may be open.
#[rstest]
#[case::configured_at_the_limit(MAX_DESCRIPTORS)]
#[case::configured_above_the_limit(2 * MAX_DESCRIPTORS)]
fn idle_clients_at_the_limit_block_no_list_notice_target_or_operator(#[case] sockets: usize) {
    let ((old, old_calls), (new, new_calls)) = (stub_server(), stub_server());
    let (discovery, requests) = manual_discovery();
    let mut config_value = config(discovery, old);
    config_value["limits"]["sockets"] = json!(sockets);
    let forwarder = Forwarder::start_with_descriptor_limit(&config_value, MAX_DESCRIPTORS);
    let old_watch = watch(&requests);
    let idle = fill(&forwarder, 2 * MAX_DESCRIPTORS);
    // The next connect to discovery uses whatever descriptors are left.
    old_watch.disconnect();
    let mut new_watch = watch(&requests);
    new_watch.write(&list_response(43, true, &[member("u", new, "up")]));
    assert_eq!(watch(&requests).query_number("since"), 43);
    forwarder.submit("a", "charge", "");
    let call = receive(&new_calls);
    assert_eq!(call.id(), "a");
    call.respond(ERROR);
    let notice =
        std::iter::repeat_with(|| receive(&requests)).find(|r| r.head.starts_with("POST /status "));
    notice
        .expect("iterator is endless")
        .write("HTTP/1.1 204 Fine\r\n\r\n");
    assert_eq!(forwarder.call_admin("GET", "/-/ready"), 200);
    assert!(old_calls.try_recv().is_err());
    assert!(!forwarder
        .log
        .lock()
        .unwrap()
        .contains("client connection cannot be accepted"));
    drop(idle);
}
