//! Calls to targets, and the outcomes of their responses.

mod peers;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

#[rstest]
#[case("charge", "", &[])]
#[case("charge", "HTTP/1.1 nonsense\r\n\r\n", &[])]
#[case("charge", "HTTP/1.1 200 OK\r\nContent-Le", &["delivered"])]
#[case("charge", "HTTP/1.1 410 Gone\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", &["delivered"])]
#[case("charge", "HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", &["again"])]
#[case("charge", "HTTP/1.1 200 \u{7}\r\n\r\n", &["delivered"])]
#[case("charge", "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", &["delivered"])]
#[case("charge", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc", &["delivered"])]
#[case("charge", "HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\nab", &[])]
#[case("charge", "HTTP/1.1 503 Full\r\nConnection: close\r\nSrv-Load: \u{1}\r\nContent-Length: 0\r\n\r\n", &["again"])]
#[case("charge", "HTTP/1.1 200 OHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", &[])]
#[case("job", "", &["again"])]
#[case("order", "HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nshort", &["again"])]
fn valid_and_malformed_responses(
    #[case] traffic: &str,
    #[case] response: &str,
    #[case] expected: &[&str],
) {
    let (forwarder, calls, notices, _) = start_with_stubs(0, |_| ());
    forwarder.submit("a", traffic, "Cookie: about=5\r\n");
    receive(&calls).respond(&format!("{response}{CLOSE_CONNECTION}"));
    match expected {
        [] => assert_eq!(receive(&notices), given_up_notice("a")),
        ["again"] => assert_eq!(receive(&calls).id(), "a"),
        _ => {
            // The event is complete: the next event of its order key is sent, and no notice is.
            forwarder.submit("b", "charge", "Cookie: about=5\r\n");
            // The call is kept: dropping it closes the connection, which may end "b" with a notice.
            let next = receive(&calls);
            assert_eq!(next.id(), "b");
            assert!(notices.try_recv().is_err());
        }
    }
}

/// Malformed responses are no evidence of a target's health: they arrive at once, and the target is
/// not taken offline for them. Their connection stays open but is not used again.
#[rstest]
#[case("\u{7}\u{7f}noise\r\n")]
#[case("HTTP/1.1 500 Oh\r\nContent-Length: -2\r\n\r\n")]
#[case("HTTP/1.1 500 Oh\r\nand no end")]
fn malformed_responses_take_no_target_offline(#[case] response: &str) {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    forwarder.submit("a", "job", "");
    for _ in 0..3 {
        let call = receive(&calls);
        assert!(call.head.starts_with("POST /receive "), "{}", call.head);
        call.respond(response);
    }
    let call = receive(&calls);
    assert!(call.head.starts_with("POST /receive "), "{}", call.head);
    call.respond(OK);
}

#[rstest]
fn a_connection_that_the_target_closed_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, listener.local_addr().unwrap()));
    for id in ["a", "b"] {
        forwarder.submit(id, "charge", "");
        let (mut stream, _) = listener.accept().expect("a new connection");
        read_message(&mut BufReader::new(&mut stream)).expect("a call");
        stream.write_all(OK.as_bytes()).expect("write succeeds");
        stream
            .shutdown(std::net::Shutdown::Both)
            .expect("shutdown succeeds");
        // The forwarder closes its end once it has seen this end close.
        while !matches!(stream.read(&mut [0; 64]), Ok(0) | Err(_)) {}
    }
}

/// An idle target has no actor. The wait only makes sure of that; the result of the test does not
/// depend on it.
#[rstest]
fn an_idle_target_is_called_again() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    for id in ["a", "b"] {
        forwarder.submit(id, "job", "");
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.respond(&format!("{OK}{CLOSE_CONNECTION}"));
        thread::sleep(Duration::from_millis(3500));
    }
}

/// Guards against an actor and a mailbox for each idle target, with which ten thousand targets took
/// 270 MB.
#[rstest]
#[case::few_slots(4)]
#[case::many_slots(1024)]
fn ten_thousand_idle_destinations_take_little_memory_at_any_number_of_slots(#[case] slots: usize) {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |config| {
        let unused = SocketAddr::from(([127, 0, 0, 1], 9));
        let members = config
            .pointer_mut("/known/members")
            .and_then(Value::as_array_mut)
            .expect("a list");
        members.extend((2..10_002).map(|cell| {
            let mut entry = member(&format!("t{cell}"), unused, "up");
            entry["cell"] = json!(cell);
            entry
        }));
        config["settings"]["familyInfo"]["slots"] = json!(slots);
    });
    forwarder.submit("a", "job", "");
    receive(&calls).respond(OK);
    let status = std::fs::read_to_string(format!("/proc/{}/status", forwarder.child.id()))
        .expect("process is running");
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("field is present");
    let kilobytes: u64 = resident
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number");
    assert!(kilobytes < 50_000, "{kilobytes} kB for 10,000 destinations");
}

/// A status line with 200 completes its event, and a target that stops sending after it blocks no
/// slot: there is one slot here, which the next event of the order key needs. A call that counted
/// as unanswered would be given up as one that may have run.
#[rstest]
#[case::within_its_head("HTTP/1.1 200 OK\r\nContent-Le")]
#[case::within_its_body("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")]
#[case::without_an_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")]
fn a_truncated_200_response_completes_its_event_and_frees_its_slot(#[case] response: &str) {
    let (forwarder, calls, notices, _) = start_with_stubs(0, |config| {
        config["settings"]["familyInfo"]["slots"] = json!(1)
    });
    let ids: Vec<String> = (0..4).map(|number| format!("e{number}")).collect();
    for id in &ids {
        forwarder.submit(id, "charge", "Cookie: about=5\r\n");
    }
    for id in &ids {
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.respond(response);
    }
    forwarder.submit("last", "job", "");
    assert_eq!(receive(&calls).id(), "last");
    assert!(notices.try_recv().is_err());
}
