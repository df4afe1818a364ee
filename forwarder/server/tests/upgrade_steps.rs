//! Hot restarts in which either process ends after each step of the handover.

mod peers;

use async_io::block_on;
use plankhill_hot_restart::{bind, Message, MessageSender, StateLock, PROTOCOL_VERSION};
use rstest::rstest;

use peers::successor::send_hello;
use peers::*;

/// The step after which the process ends.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum LastStep {
    Hello,
    State,
    Prepared,
    Ownership,
    OwnerChange,
}

/// The successor ends after each step: until it has written the change of owner, the predecessor
/// continues as if no handover had begun.
#[rstest]
fn the_successor_may_end_after_any_step(
    #[values(
        LastStep::Hello,
        LastStep::State,
        LastStep::Prepared,
        LastStep::Ownership,
        LastStep::OwnerChange
    )]
    last_step: LastStep,
) {
    let (mut first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let (sender, mut receiver) = send_hello(&first.folder, PROTOCOL_VERSION);
    if last_step >= LastStep::State {
        assert!(matches!(
            block_on(receiver.receive()),
            Ok((Message::State(_), Some(_)))
        ));
    }
    if last_step >= LastStep::Prepared {
        block_on(sender.send(&Message::Prepared, None)).expect("message sent");
    }
    if last_step >= LastStep::Ownership {
        assert!(matches!(
            block_on(receiver.receive()),
            Ok((Message::Ownership, Some(_)))
        ));
    }
    if last_step == LastStep::OwnerChange {
        let log_file = first.folder.join("ledger");
        let (mut log, _) =
            plankhill_event_log::EventLog::open(&first.folder, 3_000_000).expect("opens");
        let before = std::fs::metadata(&log_file).expect("file exists").len();
        log.change_owner().expect("write succeeds");
        assert!(std::fs::metadata(&log_file).expect("file exists").len() > before);
    }
    drop((sender, receiver));
    if last_step == LastStep::OwnerChange {
        // The last writer has ended; a third process starts from the event log.
        first.child.wait().expect("process exits");
        let third = Forwarder::start_in(first.folder.clone());
        let call = receive(&calls);
        assert_eq!(
            call.id(),
            "b",
            "the charge in flight is given up, and the next event of its order key is sent"
        );
        call.respond(OK);
        drop((in_flight, third));
        return;
    }
    in_flight.respond(OK);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.respond(OK);
    first.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c");
    // The predecessor hands over to the next successor that connects.
    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
}

/// The predecessor ends after each step; its state, listener and folder are those of a real
/// process. In each case the successor continues alone, and the call in flight may have run.
#[rstest]
fn the_predecessor_may_end_after_any_step(
    #[values(LastStep::Hello, LastStep::State, LastStep::Ownership)] last_step: LastStep,
) {
    let (mut first, calls, notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let (_sender, mut receiver) = send_hello(&first.folder, PROTOCOL_VERSION);
    let Ok((state @ Message::State(_), Some(listener))) = block_on(receiver.receive()) else {
        panic!("no state was sent")
    };
    first.signal("-KILL");
    first.child.wait().expect("process exits");
    let lock = StateLock::try_acquire(&first.folder)
        .expect("locks")
        .expect("lock is free");
    let handover_listener = bind(&first.folder).expect("a socket");
    let folder = first.folder.clone();
    let second = std::thread::spawn(move || Forwarder::start_in(folder));
    block_on(async {
        let sender = MessageSender::new(handover_listener.accept().await.expect("connects").0);
        let mut receiver = sender.receiver();
        assert!(matches!(
            receiver.receive().await,
            Ok((Message::Hello { .. }, _))
        ));
        if last_step >= LastStep::State {
            sender
                .send(&state, Some(listener))
                .await
                .expect("message sent");
            assert!(matches!(
                receiver.receive().await,
                Ok((Message::Prepared, _))
            ));
        }
        if last_step >= LastStep::Ownership {
            sender
                .send(
                    &Message::Ownership,
                    Some(lock.try_clone_descriptor().expect("open")),
                )
                .await
                .expect("message sent");
            assert!(matches!(
                receiver.receive().await,
                Ok((Message::Activated, _))
            ));
        }
    });
    drop((handover_listener, lock));
    let second = second.join().expect("process starts");
    assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    drop(in_flight);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.respond(OK);
    second.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c");
}
