//! The forwarder on real sockets, with stubs for target, discovery and client.

mod peers;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

#[rstest]
fn an_event_reaches_its_target_unchanged_over_one_connection() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let mut stream = TcpStream::connect(forwarder.address).expect("connects");
    for id in ["a", "b"] {
        stream
            .write_all(&event_request(id, "order", ""))
            .expect("write succeeds");
        assert_eq!(read_response(&mut stream).0, 202);
        let call = receive(&calls);
        assert!(call.head.starts_with("POST /receive HTTP/1.1\r\n"));
        assert_eq!((call.id(), &call.body[..]), (id, &b"body"[..]));
        assert_eq!(call.field("Idempotency-Key"), Some(&*format!("f-{id}")));
        call.respond(OK);
    }
    let chunked = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let request = String::from_utf8(event_request("c", "order", "")).unwrap();
    stream
        .write_all(
            request
                .replace("Content-Length: 4\r\n\r\nbody", chunked)
                .as_bytes(),
        )
        .expect("write succeeds");
    assert_eq!(read_response(&mut stream).0, 202);
    assert_eq!(receive(&calls).body, b"abcde");
    assert_eq!(
        forwarder.exchange(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0,
        200
    );
}

/// Guards other notices against an event id that the platform rejects.
#[rstest]
fn an_unreadable_notice_delays_no_other() {
    let (forwarder, calls, notices, _) = start_with_stubs(0, |_| ());
    for id in ["unreadable", "a"] {
        forwarder.submit(id, "charge", "Cookie: about=5\r\n");
        receive(&calls).respond(ERROR);
    }
    assert_eq!(receive(&notices), given_up_notice("unreadable"));
    assert_eq!(receive(&notices), given_up_notice("a"));
}

#[rstest]
fn an_event_for_an_unlisted_destination_is_rejected() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let unlisted = String::from_utf8(event_request("a", "job", ""))
        .unwrap()
        .replace("dest=1", "dest=70000");
    assert_eq!(forwarder.exchange(unlisted.as_bytes()).0, 503);
    forwarder.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b");
}

#[rstest]
fn events_above_the_limit_are_rejected_with_retry_after() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |config| {
        config["settings"]["allowed"]["maxOpen"] = json!(2)
    });
    forwarder.submit("a", "charge", "Cookie: about=5\r\n");
    let in_flight = receive(&calls);
    let (status, head) = (0..3)
        .map(|number| {
            forwarder.exchange(&event_request(
                &format!("b{number}"),
                "charge",
                "Cookie: about=5\r\n",
            ))
        })
        .find(|(status, _)| *status != 202)
        .expect("at most two are accepted");
    assert_eq!(status, 503);
    assert!(head.contains("Retry-After: 2.000\r\n"), "{head}");
    in_flight.respond(OK);
}

/// Guards the read buffers: a pending event holds none, because other requests cannot be read
/// without one.
#[rstest]
fn short_events_are_accepted_up_to_the_limit_with_little_memory() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |config| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["allowed"]["maxOpen"] = json!(300);
    });
    (0..200).for_each(|number| forwarder.submit(&format!("e{number}"), "job", ""));
    assert_eq!(receive(&calls).body, b"body");
}

/// Guards a client's event against another client that uses its id: the event is neither withdrawn
/// when the other client disconnects nor sent twice.
#[rstest]
fn an_event_id_used_by_two_clients_is_accepted_once_and_stays_with_the_first() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    forwarder.submit("a", "charge", "");
    let in_flight = receive(&calls);
    assert_eq!(forwarder.exchange(&event_request("a", "charge", "")).0, 503);
    forwarder.suspend();
    let mut second_client = TcpStream::connect(forwarder.address).expect("the kernel accepts it");
    second_client
        .write_all(&event_request("a", "charge", ""))
        .expect("the kernel accepts it");
    drop(second_client);
    forwarder.signal("-CONT");
    in_flight.respond(OK);
    forwarder.submit("b", "charge", "");
    assert_eq!(receive(&calls).id(), "b", "a has completed");
    assert_eq!(forwarder.exchange(&event_request("a", "charge", "")).0, 503);
    forwarder.submit("c", "charge", "");
    assert_eq!(receive(&calls).id(), "c", "a is not sent again");
}

#[rstest]
#[case("/listen", json!("nowhere"), "listen: \"nowhere\" is not an address")]
#[case(
    "/settings/familyInfo/slots",
    Value::Null,
    "settings.familyInfo.slots: is missing"
)]
fn an_invalid_configuration_ends_the_start_with_one_line(
    #[case] at: &str,
    #[case] value: Value,
    #[case] message: &str,
) {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut config = config(unused, unused);
    *config.pointer_mut(at).expect("key exists") = value;
    let file = format!(
        "plankhill-bad-{}{}.json",
        std::process::id(),
        at.replace('/', "-")
    );
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, config.to_string()).expect("written");
    let output = expect_start_error(&path, "/tmp".as_ref());
    std::fs::remove_file(&path).expect("written above");
    assert!(output.contains(message), "{output}");
}
