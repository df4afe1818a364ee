//! Signals to a running process while a new version takes over: it stands still, and has said
//! *yours*, so that nothing goes on there before the story lets it.

mod peers;

use async_io::block_on;
use plankhill_hot_restart::{Message, MessageReceiver, MessageSender, PROTOCOL_VERSION};
use rstest::rstest;

use peers::successor::send_hello;
use peers::*;

/// A new process that was told *yours* and has not begun.
fn told_yours(first: &Forwarder) -> (MessageSender, MessageReceiver) {
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

/// Told to end meanwhile, it goes on once the new one has gone without its frame, and ends in
/// order.
#[rstest]
fn asked_to_end_while_it_stands_still_it_ends_in_order_when_the_new_one_has_gone() {
    let (mut first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    let heir = told_yours(&first);
    first.signal("-TERM");
    first.wait_for_log("shutdown started");
    drop(heir);
    out.answer(OK);
    assert!(first.child.wait().expect("process exits").success());
    let folder = std::mem::take(&mut first.folder);
    let second = Forwarder::start_in(folder);
    second.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b", "nothing was owed any more");
}

/// Where the new one begins after all, what is out in the old one comes to it, and the old one
/// ends.
#[rstest]
fn asked_to_end_while_it_stands_still_it_passes_on_what_is_out_when_the_new_one_begins() {
    let (mut first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    let (sender, mut receiver) = told_yours(&first);
    first.signal("-TERM");
    first.wait_for_log("shutdown started");
    let (mut own, _) =
        plankhill_event_log::EventLog::open(&first.folder, 3_000_000).expect("opens");
    own.change_owner().expect("write succeeds");
    block_on(sender.send(&Message::Activated, None)).expect("message sent");
    first.wait_for_log("handed over to successor");
    out.answer(OK);
    let ended =
        std::iter::from_fn(|| block_on(receiver.receive()).ok()).find_map(|(word, _)| match word {
            Message::AttemptEnded(event, ended) => {
                Some((event.0.to_string(), ended.event_complete))
            }
            _ => None,
        });
    assert_eq!(ended, Some(("a".to_owned(), true)));
    assert!(first.child.wait().expect("process exits").success());
}

/// Discovery moves meanwhile: it is asked there, and nothing that is held is lost.
#[rstest]
fn told_of_another_discovery_while_it_stands_still_it_goes_on_there() {
    let (target, calls) = stand_in();
    let (old, _old_watches, _old_notices) = discovery_stand_in(0);
    let (new, watches, notices) = discovery_stand_in(0);
    let first = Forwarder::start(&config(old, target));
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    let heir = told_yours(&first);
    std::fs::write(
        first.folder.join("config.json"),
        config(new, target).to_string(),
    )
    .expect("written");
    first.signal("-HUP");
    first.wait_for_log("discovery moved");
    drop(heir);
    out.answer(ERROR);
    assert_eq!(
        receive(&notices),
        given_up_notice("a"),
        "its end is told there"
    );
    drop(receive(&watches));
    first.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b");
}
