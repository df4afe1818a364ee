//! Signals to a process during a hot restart: the process has sent `Ownership` and is paused until
//! the test lets it continue.

mod peers;

use async_io::block_on;
use plankhill_hot_restart::{Message, MessageReceiver, MessageSender, PROTOCOL_VERSION};
use rstest::rstest;

use peers::successor::send_hello;
use peers::*;

/// A successor that has received `Ownership` and has not activated.
fn successor_with_ownership(first: &Forwarder) -> (MessageSender, MessageReceiver) {
    let (sender, mut receiver) = send_hello(&first.folder, PROTOCOL_VERSION);
    assert!(matches!(
        block_on(receiver.receive()),
        Ok((Message::State(_), Some(_)))
    ));
    block_on(sender.send(&Message::Prepared, None)).expect("message sent");
    assert!(matches!(
        block_on(receiver.receive()),
        Ok((Message::Ownership, Some(_)))
    ));
    (sender, receiver)
}

/// A process that is asked to end while paused continues once the successor has disconnected
/// without a change of owner, and then shuts down in order.
#[rstest]
fn shutdown_during_the_pause_completes_after_the_successor_has_disconnected() {
    let (mut first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    let successor = successor_with_ownership(&first);
    first.signal("-TERM");
    first.wait_for_log("shutdown started");
    drop(successor);
    in_flight.respond(OK);
    assert!(first.child.wait().expect("process exits").success());
    let folder = std::mem::take(&mut first.folder);
    let second = Forwarder::start_in(folder);
    second.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b", "no event was pending");
}

/// If the successor activates, it receives the outcome of the predecessor's call in flight, and the
/// predecessor ends.
#[rstest]
fn shutdown_during_the_pause_relays_calls_in_flight_to_an_activated_successor() {
    let (mut first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    let (sender, mut receiver) = successor_with_ownership(&first);
    first.signal("-TERM");
    first.wait_for_log("shutdown started");
    let (mut log, _) =
        plankhill_event_log::EventLog::open(&first.folder, 3_000_000).expect("opens");
    log.change_owner().expect("write succeeds");
    block_on(sender.send(&Message::Activated, None)).expect("message sent");
    first.wait_for_log("handed over to successor");
    in_flight.respond(OK);
    let ended =
        std::iter::from_fn(|| block_on(receiver.receive()).ok()).find_map(|(message, _)| {
            match message {
                Message::AttemptEnded(event, ended) => {
                    Some((event.0.to_string(), ended.event_complete))
                }
                _ => None,
            }
        });
    assert_eq!(ended, Some(("a".to_owned(), true)));
    assert!(first.child.wait().expect("process exits").success());
}

/// The address of discovery changes while the process is paused: the process uses the new address,
/// and no pending event is lost.
#[rstest]
fn a_new_discovery_address_during_the_pause_is_used_after_it() {
    let (target, calls) = stub_server();
    let (old, _old_watches, _old_notices) = discovery_stub(0);
    let (new, watches, notices) = discovery_stub(0);
    let first = Forwarder::start(&config(old, target));
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    let successor = successor_with_ownership(&first);
    std::fs::write(
        first.folder.join("config.json"),
        config(new, target).to_string(),
    )
    .expect("written");
    first.signal("-HUP");
    first.wait_for_log("discovery moved");
    drop(successor);
    in_flight.respond(ERROR);
    assert_eq!(
        receive(&notices),
        given_up_notice("a"),
        "the notice is sent to the new address"
    );
    drop(receive(&watches));
    first.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b");
}
