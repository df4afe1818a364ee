//! Starting, stopping, freezing and thawing of processes.

use plankhill_chain::Millis;

use super::faults::InjectedBug;
use super::machine::{Input, StartConfig};
use super::{Event, World};

impl World {
    pub(super) fn start(&mut self, index: usize) {
        if self.machines[index].is_up() || self.machines[index].removed {
            return;
        }
        self.incarnations += 1;
        let first = self.machines[index].process_epoch == 0 && index < self.config.machines;
        let reuses_incarnation = self.config.injected_bug == Some(InjectedBug::IncarnationReused);
        let incarnation = if reuses_incarnation {
            index as u64 + 1
        } else {
            1_000 + self.incarnations
        };
        let start = StartConfig {
            bootstrap: first,
            incarnation,
            tolerated_faults: match self.config.injected_bug {
                Some(InjectedBug::SingleReplicaCommits) => 0,
                _ => self.config.tolerated_faults,
            },
            seeds: self.seeds(),
        };
        self.last_fault_at = self.last_fault_at.max(self.now);
        self.machines[index].start(start, &self.history, self.now, &mut self.rng);
        if let Some(InjectedBug::Planted(bug)) = self.config.injected_bug {
            if let Some(member) = self.machines[index].process.as_mut() {
                member.plant_bug(bug);
            }
        }
        self.deliver_input(index, Input::Tick);
    }

    pub fn schedule_restart(&mut self, index: usize, delay: Millis) {
        self.schedule(delay, Event::Start { index });
    }

    pub fn schedule_thaw(&mut self, index: usize, delay: Millis) {
        self.schedule(delay, Event::Thaw { index });
    }

    pub fn schedule_fault(&mut self, delay: Millis) {
        self.schedule(delay, Event::Fault);
    }

    pub fn thaw(&mut self, index: usize) {
        if !self.machines[index].frozen {
            return;
        }
        self.machines[index].frozen = false;
        self.last_fault_at = self.last_fault_at.max(self.now);
        self.deliver_input(index, Input::Tick);
        // A queued input may trigger another fault, which freezes the process again.
        while !self.machines[index].frozen {
            let Some(input) = self.machines[index].queued_inputs.pop_front() else {
                return;
            };
            self.deliver_input(index, input);
        }
    }

    /// Ends a machine's process, as a crash or a power loss does.
    pub fn stop(&mut self, index: usize) {
        self.last_fault_at = self.last_fault_at.max(self.now);
        self.machines[index].stop(&mut self.rng);
        self.syncing.remove(&index);
    }
}
