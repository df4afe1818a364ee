//! The two sides of a hot restart, ended at any step: one decides, never two.

use plankhill_hot_restart::{Action, Predecessor, Signal, Successor};
use proptest::prelude::*;
use rstest::rstest;

/// What may happen next, to be tried in any order; what makes no sense at the time does nothing.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The oldest signal on its way is received.
    SuccessorReceives,
    PredecessorReceives,
    TimedOut,
    SuccessorEnds,
    PredecessorEnds,
}

#[derive(Default)]
struct Both {
    predecessor: Predecessor,
    successor: Successor,
    predecessor_alive: bool,
    successor_alive: bool,
    connected: bool,
    /// The successor holds the lock, passed to it or taken.
    successor_has_lock: bool,
    owner_changed: bool,
    alone: bool,
    to_successor: Vec<Signal>,
    to_predecessor: Vec<Signal>,
}

impl Both {
    fn predecessor_receives(&mut self, what: Signal) {
        match self.predecessor.on_signal(what) {
            Action::Pause => self.to_successor.push(Signal::State { readable: true }),
            Action::Decline => self.to_successor.push(Signal::Declined),
            Action::TransferOwnership => self.to_successor.push(Signal::Ownership),
            Action::Resume => self.connected = false,
            _ => (),
        }
    }
    fn successor_receives(&mut self, what: Signal) {
        match self.successor.on_signal(what) {
            Action::ReportPrepared => self.to_predecessor.push(Signal::Prepared),
            Action::Activate => {
                (self.successor_has_lock, self.owner_changed) = (true, true);
                self.to_predecessor.push(Signal::Activated);
            }
            Action::StartFromFolder => self.alone = true,
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
            // What the successor said before it ended, and what lies on a connection that was given up, is not received.
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
        // The lock is free once its holders have ended.
        if self.alone && self.successor_alive && !self.predecessor_alive {
            self.successor_has_lock = true;
        }
    }
    fn successor_decides(&self) -> bool {
        self.successor_alive
            && (self.successor.is_deciding() || self.alone && self.successor_has_lock)
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
    fn never_two_decide_and_the_one_left_decides_in_the_end(steps in proptest::collection::vec(step(), 0..24)) {
        let mut both = Both { predecessor_alive: true, successor_alive: true, connected: true, ..Both::default() };
        both.predecessor_receives(Signal::Asked { compatible: true });
        for step in steps {
            both.step(step);
            let predecessor = both.predecessor_alive && both.predecessor.is_deciding();
            prop_assert!(!(predecessor && both.successor_decides()), "both decide");
        }
        // All that is on its way is received, and each sees it if the other has ended.
        for _ in 0..8 {
            both.step(Step::SuccessorReceives);
            both.step(Step::PredecessorReceives);
        }
        let predecessor = both.predecessor_alive && both.predecessor.is_deciding();
        let ended = both.predecessor == Predecessor::Ended || !both.predecessor_alive;
        prop_assert!(!(predecessor && both.successor_decides()));
        prop_assert!(predecessor || both.successor_decides() || ended && !both.successor_alive, "nobody decides");
    }
}

#[rstest]
fn an_incompatible_successor_changes_nothing() {
    let mut predecessor = Predecessor::default();
    assert_eq!(
        predecessor.on_signal(Signal::Asked { compatible: false }),
        Action::Decline
    );
    assert!(predecessor.is_deciding());
}
