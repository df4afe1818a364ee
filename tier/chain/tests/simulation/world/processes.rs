//! Processes that start, end, freeze and wake.

use plankhill_chain::Millis;

use super::faults::Planted;
use super::machine::{Input, Start};
use super::{Event, World};

impl World {
    pub(super) fn start(&mut self, at: usize) {
        if self.machines[at].is_up() || self.machines[at].removed {
            return;
        }
        self.incarnations += 1;
        let first = self.machines[at].life == 0 && at < self.shape.machines;
        let keeps_name = self.shape.planted == Some(Planted::IncarnationKept);
        let incarnation = if keeps_name {
            at as u64 + 1
        } else {
            1_000 + self.incarnations
        };
        let start = Start {
            bootstrap: first,
            incarnation,
            tolerated: match self.shape.planted {
                Some(Planted::AnyCopies) => 0,
                _ => self.shape.tolerated,
            },
            seeds: self.seeds(),
        };
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.machines[at].start(start, &self.book, self.now, &mut self.chance);
        self.input(at, Input::Tick);
    }

    pub fn restart_after(&mut self, at: usize, delay: Millis) {
        self.at(delay, Event::Start { at });
    }

    pub fn thaw_after(&mut self, at: usize, delay: Millis) {
        self.at(delay, Event::Thaw { at });
    }

    pub fn fault_after(&mut self, delay: Millis) {
        self.at(delay, Event::Fault);
    }

    pub fn thaw(&mut self, at: usize) {
        if !self.machines[at].frozen {
            return;
        }
        self.machines[at].frozen = false;
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.input(at, Input::Tick);
        // What it takes in may bring the next fault on.
        while !self.machines[at].frozen {
            let Some(input) = self.machines[at].held_back.pop_front() else {
                return;
            };
            self.input(at, input);
        }
    }

    /// The process or the power of a machine ends.
    pub fn stop(&mut self, at: usize) {
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.machines[at].stop(&mut self.chance);
        self.syncing.remove(&at);
    }
}
