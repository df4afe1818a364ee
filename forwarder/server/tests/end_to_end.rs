//! The forwarder as its peers meet it: real sockets, with stand-ins for target, discovery and
//! client.

mod peers;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

#[rstest]
fn an_event_reaches_its_target_unchanged_over_one_connection() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
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
        call.answer(OK);
    }
    let chunked = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let whole = String::from_utf8(event_request("c", "order", "")).unwrap();
    stream
        .write_all(
            whole
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

/// Guards the others' notices from an id that the platform does not take.
#[rstest]
fn a_notice_that_cannot_be_read_holds_up_no_other() {
    let (forwarder, calls, notices, _) = start_with_stand_ins(0, |_| ());
    for id in ["unreadable", "a"] {
        forwarder.submit(id, "charge", "Cookie: about=5\r\n");
        receive(&calls).answer(ERROR);
    }
    assert_eq!(receive(&notices), given_up_notice("unreadable"));
    assert_eq!(receive(&notices), given_up_notice("a"));
}

#[rstest]
fn an_event_for_a_destination_that_nobody_lists_is_not_taken_on() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let stray = String::from_utf8(event_request("a", "job", ""))
        .unwrap()
        .replace("dest=1", "dest=70000");
    assert_eq!(forwarder.exchange(stray.as_bytes()).0, 503);
    forwarder.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b");
}

#[rstest]
fn what_does_not_fit_is_refused_with_a_time_to_come_back() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |config| {
        config["settings"]["allowed"]["maxOpen"] = json!(2)
    });
    forwarder.submit("a", "charge", "Cookie: about=5\r\n");
    let out = receive(&calls);
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
    out.answer(OK);
}

/// Guards the memory: an event held for long holds no buffer, which others need to be read at all.
#[rstest]
fn short_events_are_held_while_there_is_room_however_small_the_memory() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |config| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["allowed"]["maxOpen"] = json!(300);
    });
    (0..200).for_each(|number| forwarder.submit(&format!("e{number}"), "job", ""));
    assert_eq!(receive(&calls).body, b"body");
}

/// Guards a client's event from another that uses its id: neither leaving takes it back, nor is it
/// sent twice.
#[rstest]
fn an_id_that_another_uses_too_is_taken_once_and_stays_its_owners() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.submit("a", "charge", "");
    let out = receive(&calls);
    assert_eq!(forwarder.exchange(&event_request("a", "charge", "")).0, 503);
    forwarder.suspend();
    let mut thief = TcpStream::connect(forwarder.address).expect("the kernel accepts it");
    thief
        .write_all(&event_request("a", "charge", ""))
        .expect("the kernel accepts it");
    drop(thief);
    forwarder.signal("-CONT");
    out.answer(OK);
    forwarder.submit("b", "charge", "");
    assert_eq!(receive(&calls).id(), "b", "a is over");
    assert_eq!(forwarder.exchange(&event_request("a", "charge", "")).0, 503);
    forwarder.submit("c", "charge", "");
    assert_eq!(receive(&calls).id(), "c", "a does not run again");
}

#[rstest]
#[case("/listen", json!("nowhere"), "listen: \"nowhere\" is not an address")]
#[case(
    "/settings/familyInfo/slots",
    Value::Null,
    "settings.familyInfo.slots: is missing"
)]
fn a_bad_configuration_ends_it_with_one_plain_line(
    #[case] at: &str,
    #[case] value: Value,
    #[case] said: &str,
) {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut config = config(nobody, nobody);
    *config.pointer_mut(at).expect("key exists") = value;
    let file = format!(
        "plankhill-bad-{}{}.json",
        std::process::id(),
        at.replace('/', "-")
    );
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, config.to_string()).expect("written");
    let told = expect_start_error(&path, "/tmp".as_ref());
    std::fs::remove_file(&path).expect("written above");
    assert!(told.contains(said), "{told}");
}
