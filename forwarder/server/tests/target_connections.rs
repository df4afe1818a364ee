//! Connections to a target whose connect, use or return to the pool coincides with another event.

mod peers;

use std::sync::mpsc::channel;
use std::thread;

use rstest::rstest;
use serde_json::json;

use peers::blocked_target::*;
use peers::*;

/// A call is in flight at the old address while the target moves; its connection returns to the
/// pool after the move.
#[rstest]
fn a_connection_to_a_former_address_is_not_used_after_a_move() {
    let ((old, old_calls), (new, new_calls)) = (stub_server(), stub_server());
    let (discovery, watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, old));
    for id in ["a", "b"] {
        forwarder.submit(id, "charge", ORDER_KEY_COOKIE);
    }
    let call = receive(&old_calls);
    receive(&watches).respond(&changes_response(&[member("t", new, "up")]));
    let _next_watch = receive(&watches);
    call.respond(OK);
    // The next event of the order key is sent once the call's outcome is processed, and the
    // connection has returned before.
    assert_eq!(receive(&new_calls).id(), "b");
    assert!(old_calls.try_recv().is_err());
}

/// A call that is not written when its target moves is not written to the old address, where
/// another server may listen.
#[rstest]
fn a_call_whose_target_moves_during_the_connect_goes_only_to_the_new_address() {
    let mut old = BlockedTarget::new();
    let (new, new_calls) = stub_server();
    let (discovery, watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, old.address()));
    old.fill_backlog();
    forwarder.submit("a", "job", "");
    old.wait_for_dial();
    receive(&watches).respond(&changes_response(&[member("t", new, "up")]));
    let _next_watch = receive(&watches);
    let (bytes_at_old, written) = channel();
    thread::spawn(move || bytes_at_old.send(read_until_closed(&mut old.accept_dial())));
    assert_eq!(receive(&new_calls).id(), "a");
    assert_eq!(written.try_iter().collect::<String>(), "");
}

/// While the process is suspended, a call's connection is established and a page arrives in which
/// the call's target is draining.
#[rstest]
fn a_call_whose_target_drains_while_the_process_is_suspended_is_not_written() {
    let mut target = BlockedTarget::new();
    let (discovery, watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, target.address()));
    let watch = receive(&watches);
    target.fill_backlog();
    forwarder.submit("a", "job", "");
    target.wait_for_dial();
    forwarder.suspend();
    let mut call = target.accept_dial();
    watch.respond(&changes_response(&[member(
        "t",
        target.address(),
        "draining",
    )]));
    wait_for_unread_bytes(discovery);
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut call), "");
}

/// While the process is suspended, the response to another call asks for a wait before the target's
/// next call.
#[rstest]
fn a_call_whose_target_asks_for_a_wait_while_the_process_is_suspended_is_not_written() {
    let mut target = BlockedTarget::new();
    let (discovery, _watches, _notices) = discovery_stub(0);
    let mut config = config(discovery, target.address());
    config["settings"]["familyInfo"]["slots"] = json!(2);
    let forwarder = Forwarder::start(&config);
    forwarder.submit("a", "job", "");
    let (mut first, _) = target.listener.accept().expect("connection is established");
    target.fill_backlog();
    forwarder.submit("b", "job", "");
    target.wait_for_dial();
    forwarder.suspend();
    let mut second = target.accept_dial();
    let retry_later = "HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 20000\r\nContent-Length: 0\r\n\r\n";
    std::io::Write::write_all(&mut first, retry_later.as_bytes()).expect("connection is open");
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut second), "");
}
