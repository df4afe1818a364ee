//! The two sides of a hand-over, ended at any step: one decides, never two.

use plankhill_hot_restart::{Does, Elder, Happens, Heir};
use proptest::prelude::*;
use rstest::rstest;

/// What may happen next, to be tried in any order; what makes no sense at the time does nothing.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The oldest word on its way is heard.
    HeirHears,
    ElderHears,
    TimeIsUp,
    HeirEnds,
    ElderEnds,
}

#[derive(Default)]
struct Both {
    elder: Elder,
    heir: Heir,
    elder_lives: bool,
    heir_lives: bool,
    connected: bool,
    /// The heir holds the lock, passed to it or taken.
    heir_has_lock: bool,
    owner_changed: bool,
    alone: bool,
    to_heir: Vec<Happens>,
    to_elder: Vec<Happens>,
}

impl Both {
    fn elder_hears(&mut self, what: Happens) {
        match self.elder.hears(what) {
            Does::StandsStill => self.to_heir.push(Happens::State { readable: true }),
            Does::Refuses => self.to_heir.push(Happens::No),
            Does::Yields => self.to_heir.push(Happens::Yours),
            Does::GoesOn => self.connected = false,
            _ => (),
        }
    }
    fn heir_hears(&mut self, what: Happens) {
        match self.heir.hears(what) {
            Does::Prepares => self.to_elder.push(Happens::Prepared),
            Does::Begins => {
                (self.heir_has_lock, self.owner_changed) = (true, true);
                self.to_elder.push(Happens::Begun);
            }
            Does::StartsAlone => self.alone = true,
            _ => (),
        }
    }
    fn step(&mut self, step: Step) {
        match step {
            Step::HeirEnds => self.heir_lives = false,
            Step::ElderEnds => self.elder_lives = false,
            Step::TimeIsUp if self.elder_lives => self.elder_hears(Happens::TimeIsUp),
            Step::HeirHears if self.heir_lives && !self.to_heir.is_empty() => {
                let word = self.to_heir.remove(0);
                self.heir_hears(word);
            }
            Step::HeirHears if self.heir_lives && !(self.connected && self.elder_lives) => {
                self.heir_hears(Happens::Gone {
                    changed: self.owner_changed,
                });
            }
            // What the heir said before it ended, and what lies on a connection that was given up, is not heard.
            Step::ElderHears if self.elder_lives && !self.heir_lives => {
                self.elder_hears(Happens::Gone {
                    changed: self.owner_changed,
                });
            }
            Step::ElderHears if self.elder_lives && self.connected && !self.to_elder.is_empty() => {
                let word = self.to_elder.remove(0);
                self.elder_hears(word);
            }
            _ => (),
        }
        // The lock is free once its holders have ended.
        if self.alone && self.heir_lives && !self.elder_lives {
            self.heir_has_lock = true;
        }
    }
    fn heir_decides(&self) -> bool {
        self.heir_lives && (self.heir.decides() || self.alone && self.heir_has_lock)
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::HeirHears),
        6 => Just(Step::ElderHears),
        1 => Just(Step::TimeIsUp),
        1 => Just(Step::HeirEnds),
        1 => Just(Step::ElderEnds),
    ]
}

proptest! {
    #[test]
    fn never_two_decide_and_who_is_left_does_in_the_end(steps in proptest::collection::vec(step(), 0..24)) {
        let mut both = Both { elder_lives: true, heir_lives: true, connected: true, ..Both::default() };
        both.elder_hears(Happens::Asked { fits: true });
        for step in steps {
            both.step(step);
            let elder = both.elder_lives && both.elder.decides();
            prop_assert!(!(elder && both.heir_decides()), "both decide");
        }
        // All that is on its way is heard, and each sees it if the other has ended.
        for _ in 0..8 {
            both.step(Step::HeirHears);
            both.step(Step::ElderHears);
        }
        let elder = both.elder_lives && both.elder.decides();
        let ended = both.elder == Elder::Ended || !both.elder_lives;
        prop_assert!(!(elder && both.heir_decides()));
        prop_assert!(elder || both.heir_decides() || ended && !both.heir_lives, "nobody decides");
    }
}

#[rstest]
fn one_that_does_not_fit_changes_nothing() {
    let mut elder = Elder::default();
    assert_eq!(elder.hears(Happens::Asked { fits: false }), Does::Refuses);
    assert!(elder.decides());
}
