//! Either process of a hot restart may end at any step: never do both make decisions, and a process
//! that is left makes decisions in the end.

use plankhill_hot_restart::{Action, Predecessor, Signal, Successor};
use proptest::prelude::*;
use rstest::rstest;

/// A step of the handshake, in any order; a step that does not apply in the current state does
/// nothing.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The successor receives the oldest signal in flight, or detects that its peer has ended.
    SuccessorReceives,
    /// The predecessor receives the oldest signal in flight, or detects that its peer has ended.
    PredecessorReceives,
    TimedOut,
    SuccessorEnds,
    PredecessorEnds,
}

#[derive(Default)]
struct Handshake {
    predecessor: Predecessor,
    successor: Successor,
    predecessor_alive: bool,
    successor_alive: bool,
    connected: bool,
    /// Whether the successor holds the lock, received from the predecessor or acquired.
    successor_has_lock: bool,
    owner_changed: bool,
    /// Whether the successor starts from the state folder.
    starts_from_folder: bool,
    to_successor: Vec<Signal>,
    to_predecessor: Vec<Signal>,
}

impl Handshake {
    fn predecessor_receives(&mut self, signal: Signal) {
        match self.predecessor.on_signal(signal) {
            Action::Pause => self.to_successor.push(Signal::State { readable: true }),
            Action::Decline => self.to_successor.push(Signal::Declined),
            Action::TransferOwnership => self.to_successor.push(Signal::Ownership),
            Action::Resume => self.connected = false,
            _ => (),
        }
    }
    fn successor_receives(&mut self, signal: Signal) {
        match self.successor.on_signal(signal) {
            Action::ReportPrepared => self.to_predecessor.push(Signal::Prepared),
            Action::Activate => {
                (self.successor_has_lock, self.owner_changed) = (true, true);
                self.to_predecessor.push(Signal::Activated);
            }
            Action::StartFromFolder => self.starts_from_folder = true,
            _ => (),
        }
    }
    fn step(&mut self, step: Step) {
        match step {
            Step::SuccessorEnds => self.successor_alive = false,
            Step::PredecessorEnds => self.predecessor_alive = false,
            Step::TimedOut if self.predecessor_alive => self.predecessor_receives(Signal::TimedOut),
            Step::SuccessorReceives if self.successor_alive && !self.to_successor.is_empty() => {
                let signal = self.to_successor.remove(0);
                self.successor_receives(signal);
            }
            Step::SuccessorReceives
                if self.successor_alive && !(self.connected && self.predecessor_alive) =>
            {
                self.successor_receives(Signal::PeerGone {
                    owner_changed: self.owner_changed,
                });
            }
            // Signals that the successor sent before it ended, and signals on a connection that was
            // closed, are not received.
            Step::PredecessorReceives if self.predecessor_alive && !self.successor_alive => {
                self.predecessor_receives(Signal::PeerGone {
                    owner_changed: self.owner_changed,
                });
            }
            Step::PredecessorReceives
                if self.predecessor_alive && self.connected && !self.to_predecessor.is_empty() =>
            {
                let signal = self.to_predecessor.remove(0);
                self.predecessor_receives(signal);
            }
            _ => (),
        }
        // The lock is free once the processes that held it have ended.
        if self.starts_from_folder && self.successor_alive && !self.predecessor_alive {
            self.successor_has_lock = true;
        }
    }
    fn successor_decides(&self) -> bool {
        self.successor_alive
            && (self.successor.is_deciding() || self.starts_from_folder && self.successor_has_lock)
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::SuccessorReceives),
        6 => Just(Step::PredecessorReceives),
        1 => Just(Step::TimedOut),
        1 => Just(Step::SuccessorEnds),
        1 => Just(Step::PredecessorEnds),
    ]
}

proptest! {
    #[test]
    fn never_do_both_decide_and_a_process_that_is_left_decides_in_the_end(steps in proptest::collection::vec(step(), 0..24)) {
        let mut handshake = Handshake { predecessor_alive: true, successor_alive: true, connected: true, ..Handshake::default() };
        handshake.predecessor_receives(Signal::TakeoverRequested { compatible: true });
        for step in steps {
            handshake.step(step);
            let predecessor = handshake.predecessor_alive && handshake.predecessor.is_deciding();
            prop_assert!(!(predecessor && handshake.successor_decides()), "both decide");
        }
        // All signals in flight are received, and each process detects whether the other has ended.
        for _ in 0..8 {
            handshake.step(Step::SuccessorReceives);
            handshake.step(Step::PredecessorReceives);
        }
        let predecessor = handshake.predecessor_alive && handshake.predecessor.is_deciding();
        let ended = handshake.predecessor == Predecessor::Ended || !handshake.predecessor_alive;
        prop_assert!(!(predecessor && handshake.successor_decides()));
        prop_assert!(predecessor || handshake.successor_decides() || ended && !handshake.successor_alive, "neither process decides");
    }
}

#[rstest]
fn an_incompatible_successor_changes_nothing() {
    let mut predecessor = Predecessor::default();
    assert_eq!(
        predecessor.on_signal(Signal::TakeoverRequested { compatible: false }),
        Action::Decline
    );
    assert!(predecessor.is_deciding());
}
