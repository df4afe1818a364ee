//! Connections to a target, and what crosses with their coming up, their rest and their way back.

mod peers;

use std::sync::mpsc::channel;
use std::thread;

use rstest::rstest;
use serde_json::json;

use peers::held::*;
use peers::*;

/// A call is out at the old address while the target moves; its connection comes back after that.
#[rstest]
fn a_connection_to_a_former_address_is_not_used_after_a_move() {
    let ((old, old_calls), (new, new_calls)) = (stand_in(), stand_in());
    let (discovery, watches, _notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, old));
    for id in ["a", "b"] {
        forwarder.submit(id, "charge", ORDER_KEY_COOKIE);
    }
    let call = receive(&old_calls);
    receive(&watches).answer(&changes_response(&[member("t", new, "up")]));
    let _next = receive(&watches);
    call.answer(OK);
    // The next of its key goes once its end is known, and the connection has come back before.
    assert_eq!(receive(&new_calls).id(), "b");
    assert!(old_calls.try_recv().is_err());
}

/// What is not written when the target moves is not written where it was: another may listen there.
#[rstest]
fn a_call_whose_target_moves_while_it_dials_goes_to_the_new_address_alone() {
    let mut old = HeldTarget::new();
    let (new, new_calls) = stand_in();
    let (discovery, watches, _notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, old.address()));
    old.hold();
    forwarder.submit("a", "job", "");
    old.wait_for_dial();
    receive(&watches).answer(&changes_response(&[member("t", new, "up")]));
    let _next = receive(&watches);
    let (late, written) = channel();
    thread::spawn(move || late.send(read_until_closed(&mut old.accept_dial())));
    assert_eq!(receive(&new_calls).id(), "a");
    assert_eq!(written.try_iter().collect::<String>(), "");
}

/// The connection of a call comes up while the process stands still, and so does the word that its
/// target leaves.
#[rstest]
fn a_call_whose_target_leaves_while_the_process_stands_still_is_not_written() {
    let mut target = HeldTarget::new();
    let (discovery, watches, _notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, target.address()));
    let watch = receive(&watches);
    target.hold();
    forwarder.submit("a", "job", "");
    target.wait_for_dial();
    forwarder.suspend();
    let mut call = target.accept_dial();
    watch.answer(&changes_response(&[member(
        "t",
        target.address(),
        "draining",
    )]));
    wait_for_unread_bytes(discovery);
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut call), "");
}

/// Another call's answer tells the target's wait while the process stands still.
#[rstest]
fn a_call_that_crosses_with_a_told_wait_while_the_process_stands_still_is_not_written() {
    let mut target = HeldTarget::new();
    let (discovery, _watches, _notices) = discovery_stand_in(0);
    let mut config = config(discovery, target.address());
    config["settings"]["familyInfo"]["slots"] = json!(2);
    let forwarder = Forwarder::start(&config);
    forwarder.submit("a", "job", "");
    let (mut first, _) = target.listener.accept().expect("connection is established");
    target.hold();
    forwarder.submit("b", "job", "");
    target.wait_for_dial();
    forwarder.suspend();
    let mut second = target.accept_dial();
    let wait = "HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 20000\r\nContent-Length: 0\r\n\r\n";
    std::io::Write::write_all(&mut first, wait.as_bytes()).expect("connection is open");
    forwarder.signal("-CONT");
    assert_eq!(read_until_closed(&mut second), "");
}
