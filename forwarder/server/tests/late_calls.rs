//! Calls that were decided, and may not leave any more when they could.

mod peers;

use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use peers::held::*;
use peers::*;

/// A repeat that is decided inside its window, and whose connection comes up after it: there the
/// process has stood still, and nothing has told the call meanwhile. The destination may have
/// forgotten the fingerprint.
#[rstest]
fn a_repeat_whose_connection_comes_up_after_its_window_does_not_leave() {
    let window = Duration::from_millis(1400);
    let mut target = HeldTarget::new();
    let (discovery, _watches, notices) = discovery_stand_in(0);
    let mut config = config(discovery, target.address());
    config["settings"]["profiles"][1]["windowUs"] = json!(window.as_micros() as u64);
    let forwarder = Forwarder::start(&config);
    forwarder.submit("a", "order", "");
    let (first, _) = target.listener.accept().expect("connection is established");
    let mut from = BufReader::new(first);
    read_message(&mut from).expect("a call");
    let window_ends = Instant::now() + window;
    target.hold();
    drop(from); // it may have run
    target.wait_for_dial();
    forwarder.suspend();
    let mut repeat = target.accept_dial();
    thread::sleep(window_ends.saturating_duration_since(Instant::now()));
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut repeat), "");
    let notice = receive(&notices);
    assert_eq!(
        (&notice["message"], &notice["outcome"]),
        (&json!("a"), &json!("handed_back"))
    );
}

/// A call whose connection comes up after its event's patience has ended: nothing is sent after the
/// end.
#[rstest]
#[case::binding("charge")]
#[case::retriable("job")]
fn a_call_whose_connection_comes_up_after_the_end_of_patience_does_not_leave(
    #[case] traffic: &str,
) {
    let mut target = HeldTarget::new();
    let (discovery, _watches, notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, target.address()));
    target.hold();
    let event = String::from_utf8(event_request("a", traffic, "")).expect("UTF-8");
    assert_eq!(
        forwarder
            .exchange(event.replace("Deadline: 60", "Deadline: 1.3").as_bytes())
            .0,
        202
    );
    let patience_ends = Instant::now() + Duration::from_millis(1300);
    target.wait_for_dial();
    forwarder.suspend();
    let mut call = target.accept_dial();
    thread::sleep(patience_ends.saturating_duration_since(Instant::now()));
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut call), "");
    let notice = receive(&notices);
    assert_eq!(
        (&notice["message"], &notice["outcome"]),
        (&json!("a"), &json!("handed_back"))
    );
}

/// The answer came in time, and is read after it: the process stood still. A call taken for
/// unanswered would be written off, though it was delivered.
#[rstest]
fn an_answer_that_came_in_a_stall_counts_after_its_time() {
    let target = HeldTarget::new();
    let (discovery, _watches, notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, target.address()));
    let event = String::from_utf8(event_request("a", "charge", ORDER_KEY_COOKIE)).expect("UTF-8");
    assert_eq!(
        forwarder
            .exchange(event.replace("Deadline: 60", "Deadline: 1.3").as_bytes())
            .0,
        202
    );
    let patience_ends = Instant::now() + Duration::from_millis(1300);
    let (stream, _) = target.listener.accept().expect("connection is established");
    let mut from = BufReader::new(stream);
    read_message(&mut from).expect("a call");
    forwarder.suspend();
    from.get_mut()
        .write_all(OK.as_bytes())
        .expect("connection is open");
    thread::sleep(patience_ends.saturating_duration_since(Instant::now()));
    forwarder.signal("-CONT");
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    // The connection stands, and the next of the key goes: it is over.
    let (head, _) = read_message(&mut from).expect("a call");
    assert!(head.contains("Req-Id: b\r\n"), "{head}");
    assert!(notices.try_recv().is_err());
}
