//! A new version starts beside a running process, and each side ends at each step.

mod peers;

use async_io::block_on;
use plankhill_hot_restart::{bind, Message, MessageSender, StateLock, PROTOCOL_VERSION};
use rstest::rstest;

use peers::successor::send_hello;
use peers::*;

/// After which step it ends.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Ends {
    Hello,
    State,
    Prepared,
    Yours,
    ItsFrame,
}

/// The new process ends at each step: before its frame the old one goes on as if nothing had been.
#[rstest]
fn the_new_process_may_end_at_any_step(
    #[values(Ends::Hello, Ends::State, Ends::Prepared, Ends::Yours, Ends::ItsFrame)] ends: Ends,
) {
    let (mut first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let (sender, mut receiver) = send_hello(&first.folder, PROTOCOL_VERSION);
    if ends >= Ends::State {
        assert!(matches!(
            block_on(receiver.receive()),
            Ok((Message::State(_), Some(_)))
        ));
    }
    if ends >= Ends::Prepared {
        block_on(sender.send(&Message::Prepared, None)).expect("message sent");
    }
    if ends >= Ends::Yours {
        assert!(matches!(
            block_on(receiver.receive()),
            Ok((Message::Ownership, Some(_)))
        ));
    }
    if ends == Ends::ItsFrame {
        let ledger = first.folder.join("ledger");
        let (mut own, _) =
            plankhill_event_log::EventLog::open(&first.folder, 3_000_000).expect("opens");
        let before = std::fs::metadata(&ledger).expect("file exists").len();
        own.change_owner().expect("write succeeds");
        assert!(std::fs::metadata(&ledger).expect("file exists").len() > before);
    }
    drop((sender, receiver));
    if ends == Ends::ItsFrame {
        // Who wrote last has ended; a third start reads what there is.
        first.child.wait().expect("process exits");
        let third = Forwarder::start_in(first.folder.clone());
        let call = receive(&calls);
        assert_eq!(
            call.id(),
            "b",
            "the charge that was out is written off, its key goes on"
        );
        call.answer(OK);
        drop((out, third));
        return;
    }
    out.answer(OK);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.answer(OK);
    first.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c");
    // And hands over to the next that asks.
    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
}

/// The old process ends at each step; its state, listener and folder are those of a real one.
/// Either way the new process goes on alone, and what was out may have run.
#[rstest]
fn the_old_process_may_end_at_any_step(
    #[values(Ends::Hello, Ends::State, Ends::Yours)] ends: Ends,
) {
    let (mut first, calls, notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let (_heir, mut receiver) = send_hello(&first.folder, PROTOCOL_VERSION);
    let Ok((state @ Message::State(_), Some(listener))) = block_on(receiver.receive()) else {
        panic!("a state")
    };
    first.signal("-KILL");
    first.child.wait().expect("process exits");
    let lock = StateLock::try_acquire(&first.folder)
        .expect("locks")
        .expect("lock is free");
    let asked = bind(&first.folder).expect("a socket");
    let folder = first.folder.clone();
    let second = std::thread::spawn(move || Forwarder::start_in(folder));
    block_on(async {
        let sender = MessageSender::new(asked.accept().await.expect("connects").0);
        let mut receiver = sender.receiver();
        assert!(matches!(
            receiver.receive().await,
            Ok((Message::Hello { .. }, _))
        ));
        if ends >= Ends::State {
            sender
                .send(&state, Some(listener))
                .await
                .expect("message sent");
            assert!(matches!(
                receiver.receive().await,
                Ok((Message::Prepared, _))
            ));
        }
        if ends >= Ends::Yours {
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
    drop((asked, lock));
    let second = second.join().expect("process starts");
    assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    drop(out);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.answer(OK);
    second.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c");
}
