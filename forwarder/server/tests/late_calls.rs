//! Calls that were decided, and may no longer be sent when their connection is ready.

mod peers;

use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use peers::blocked_target::*;
use peers::*;

/// A retry is decided within its deduplication window, and its connection is ready only after it:
/// the process was suspended in between, so that nothing could cancel the call. The destination may
/// have dropped the fingerprint by then.
#[rstest]
fn a_retry_whose_connection_is_ready_after_its_window_is_not_sent() {
    let window = Duration::from_millis(1400);
    let mut target = BlockedTarget::new();
    let (discovery, _watches, notices) = discovery_stub(0);
    let mut config = config(discovery, target.address());
    config["settings"]["profiles"][1]["windowUs"] = json!(window.as_micros() as u64);
    let forwarder = Forwarder::start(&config);
    forwarder.submit("a", "order", "");
    let (first, _) = target.listener.accept().expect("connection is established");
    let mut from = BufReader::new(first);
    read_message(&mut from).expect("a call");
    let window_ends = Instant::now() + window;
    target.fill_backlog();
    drop(from); // the call may have run
    target.wait_for_dial();
    forwarder.suspend();
    let mut retry = target.accept_dial();
    thread::sleep(window_ends.saturating_duration_since(Instant::now()));
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut retry), "");
    let notice = receive(&notices);
    assert_eq!(
        (&notice["message"], &notice["outcome"]),
        (&json!("a"), &json!("handed_back"))
    );
}

/// A call's connection is ready only after its event's deadline: nothing is sent after the
/// deadline.
#[rstest]
#[case::binding("charge")]
#[case::retriable("job")]
fn a_call_whose_connection_is_ready_after_the_deadline_is_not_sent(#[case] traffic: &str) {
    let mut target = BlockedTarget::new();
    let (discovery, _watches, notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, target.address()));
    target.fill_backlog();
    let event = String::from_utf8(event_request("a", traffic, "")).expect("UTF-8");
    assert_eq!(
        forwarder
            .exchange(event.replace("Deadline: 60", "Deadline: 1.3").as_bytes())
            .0,
        202
    );
    let deadline = Instant::now() + Duration::from_millis(1300);
    target.wait_for_dial();
    forwarder.suspend();
    let mut call = target.accept_dial();
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut call), "");
    let notice = receive(&notices);
    assert_eq!(
        (&notice["message"], &notice["outcome"]),
        (&json!("a"), &json!("handed_back"))
    );
}

/// The response arrives before the event's deadline and is read after it, because the process was
/// suspended. A call that counted as unanswered would be given up, although it was delivered.
#[rstest]
fn a_response_during_a_suspension_counts_after_the_deadline() {
    let target = BlockedTarget::new();
    let (discovery, _watches, notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, target.address()));
    let event = String::from_utf8(event_request("a", "charge", ORDER_KEY_COOKIE)).expect("UTF-8");
    assert_eq!(
        forwarder
            .exchange(event.replace("Deadline: 60", "Deadline: 1.3").as_bytes())
            .0,
        202
    );
    let deadline = Instant::now() + Duration::from_millis(1300);
    let (stream, _) = target.listener.accept().expect("connection is established");
    let mut from = BufReader::new(stream);
    read_message(&mut from).expect("a call");
    forwarder.suspend();
    from.get_mut()
        .write_all(OK.as_bytes())
        .expect("connection is open");
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
    forwarder.signal("-CONT");
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    // The connection is still open, and the next event of the order key is sent: the first event is
    // complete.
    let (head, _) = read_message(&mut from).expect("a call");
    assert!(head.contains("Req-Id: b\r\n"), "{head}");
    assert!(notices.try_recv().is_err());
}
