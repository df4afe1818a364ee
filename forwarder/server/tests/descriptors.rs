//! Idle clients may fill the descriptors while discovery is down: the list is had again once it is
//! back.

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

/// Descriptors that the system gives.
const MOST: usize = 96;

/// Connections that ask once and stay, or never ask, as many as are let in.
fn fill(forwarder: &Forwarder, many: usize) -> Vec<TcpStream> {
    (0..many)
        .filter_map(|number| {
            let mut stream = TcpStream::connect(forwarder.address).ok()?;
            if number % 2 == 0 {
                let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            Some(stream)
        })
        .collect()
}

/// Guards the list, the notices, targets and operators from clients that hold all that may be open.
#[rstest]
#[case::as_told(MOST)]
#[case::told_more(2 * MOST)]
fn while_idle_clients_hold_all_that_may_be_open_list_notices_targets_and_operators_go_on(
    #[case] sockets: usize,
) {
    let ((old, old_calls), (new, new_calls)) = (stand_in(), stand_in());
    let (discovery, requests) = manual_discovery();
    let mut told = config(discovery, old);
    told["limits"]["sockets"] = json!(sockets);
    let forwarder = Forwarder::start_with_descriptor_limit(&told, MOST);
    let down = watch(&requests);
    let idle = fill(&forwarder, 2 * MOST);
    // Its next dial finds whatever is left.
    down.disconnect();
    let mut back = watch(&requests);
    back.write(&list_response(43, true, &[member("u", new, "up")]));
    assert_eq!(watch(&requests).query_number("since"), 43);
    forwarder.submit("a", "charge", "");
    let call = receive(&new_calls);
    assert_eq!(call.id(), "a");
    call.answer(ERROR);
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
