//! Troubles begin, turn and end. What one does to a call is read where the call meets it; what is here
//! changes the world at an instant: lists, lives, broken calls and outages.

use plankhill_decisions::interface::{EndpointState, TargetId};
use plankhill_forwarder_config::scenario::{FaultKind, Ms};

use super::destinations::Target;
use super::{Step, World};

impl World<'_> {
    pub(super) fn schedule_faults(&mut self) {
        for (at, trouble) in self.scenario.faults.iter().enumerate() {
            if trouble.start < self.scenario.length {
                self.queue.put(trouble.start, Step::FaultBegins(at as u16));
                self.queue
                    .put(trouble.start + trouble.length, Step::FaultEnds(at as u16));
            }
        }
    }

    pub(super) fn begin_fault(&mut self, at: u16) {
        let scenario = self.scenario;
        let trouble = &scenario.faults[at as usize];
        let end = trouble.start + trouble.length;
        match trouble.kind {
            FaultKind::Flood | FaultKind::MassWake => (), // the clients' stream holds them
            FaultKind::RetryStorm => self.storm = trouble.strength.max(1.0),
            FaultKind::ForwarderKilled
            | FaultKind::ForwarderLost
            | FaultKind::ForwarderStalled
            | FaultKind::ForwarderReplaced => {
                for (place, forwarder) in self.struck.forwarders[at as usize].iter().enumerate() {
                    let when = trouble.start + place as f64 * trouble.apart;
                    if place == 0 || when <= end {
                        self.queue.put(when, Step::StrikeForwarder(at, *forwarder));
                    }
                }
            }
            FaultKind::ListFrozen => {
                for forwarder in self.struck.forwarders[at as usize].clone() {
                    let it = &mut self.forwarders[forwarder as usize];
                    it.list_frozen_until = it.list_frozen_until.max(end);
                }
            }
            FaultKind::Gone => {
                for target in self.struck_targets(at) {
                    self.list_changed(target, EndpointState::Draining);
                }
                self.queue
                    .put(self.now + trouble.every, Step::RemoveDraining(at));
            }
            FaultKind::Replaced => {
                let targets = self.struck_targets(at);
                let step = trouble.length / targets.len().max(1) as f64;
                for (place, target) in targets.into_iter().enumerate() {
                    self.queue
                        .put(self.now + place as f64 * step, Step::ReplaceOne(at, target));
                }
            }
            FaultKind::Flapping => self.switch(at, true, |world| {
                world.flapped_down[at as usize] = true;
                world
                    .queue
                    .put(world.now + trouble.every, Step::FaultToggles(at));
            }),
            FaultKind::Down
            | FaultKind::Silent
            | FaultKind::Hung
            | FaultKind::Slow
            | FaultKind::Erring
            | FaultKind::Resetting
            | FaultKind::LimitLowered
            | FaultKind::HalfOpen
            | FaultKind::CutOneWay => self.switch(at, true, |_| ()),
        }
    }

    pub(super) fn end_fault(&mut self, at: u16) {
        match self.scenario.faults[at as usize].kind {
            FaultKind::RetryStorm => self.storm = 0.0,
            FaultKind::Gone => {
                for target in self.struck_targets(at) {
                    self.targets[target as usize].left = false;
                    self.list_changed(target, EndpointState::Running);
                }
                self.note_struck(at);
            }
            FaultKind::Down
            | FaultKind::Silent
            | FaultKind::Hung
            | FaultKind::Slow
            | FaultKind::Flapping
            | FaultKind::Erring
            | FaultKind::Resetting
            | FaultKind::LimitLowered
            | FaultKind::HalfOpen
            | FaultKind::CutOneWay => self.switch(at, false, |_| ()),
            _ => (),
        }
    }

    /// A flapping trouble turns from down to up, or back.
    pub(super) fn toggle_fault(&mut self, at: u16) {
        let trouble = &self.scenario.faults[at as usize];
        if self.now >= trouble.start + trouble.length {
            return;
        }
        self.flapped_down[at as usize] = !self.flapped_down[at as usize];
        self.note_struck(at);
        self.queue
            .put(self.now + trouble.every, Step::FaultToggles(at));
    }

    fn switch(&mut self, at: u16, on: bool, then: impl FnOnce(&mut Self)) {
        for destination in self.struck.destinations[at as usize].clone() {
            let active = self.active.entry(destination).or_default();
            active.retain(|trouble| *trouble != at);
            if on {
                active.push(at);
            } else if active.is_empty() {
                self.active.remove(&destination);
            }
        }
        then(self);
        self.note_struck(at);
    }

    fn note_struck(&mut self, at: u16) {
        for destination in self.struck.destinations[at as usize].clone() {
            self.break_calls(destination);
            self.update_outages(destination);
        }
    }

    fn struck_targets(&self, at: u16) -> Vec<u32> {
        let destinations = &self.struck.destinations[at as usize];
        let targets = destinations
            .iter()
            .flat_map(|d| &self.destinations[*d as usize].targets);
        targets
            .copied()
            .filter(|target| self.covers(at, *target))
            .collect()
    }

    /// Targets that were told to leave are gone.
    pub(super) fn gone_for_good(&mut self, at: u16) {
        for target in self.struck_targets(at) {
            if self.targets[target as usize].listing == EndpointState::Draining {
                self.remove_target(target);
            }
        }
    }

    fn remove_target(&mut self, target: u32) {
        self.targets[target as usize].left = true;
        self.list_changed(target, EndpointState::Removed);
        self.break_calls(self.targets[target as usize].destination);
    }

    /// One target leaves; a new one has come in its place, listed at the same time. When the leaving one is
    /// still there after the notice, it is gone then.
    pub(super) fn replace_one(&mut self, at: u16, target: u32) {
        match self.targets[target as usize].listing {
            EndpointState::Running => {
                let it = &self.targets[target as usize];
                let new = Target::new(it.destination, it.lane, it.zone, it.place, it.factor);
                let destination = it.destination as usize;
                let number = self.targets.len() as u32;
                self.targets.push(new);
                self.names
                    .borrow_mut()
                    .push(TargetId(number.to_string().into()));
                self.destinations[destination].targets.push(number);
                // Not there for those that have not heard of it.
                self.targets[number as usize]
                    .introduced
                    .push((0, EndpointState::Removed));
                self.list_changed(number, EndpointState::Running);
                self.list_changed(target, EndpointState::Draining);
                let notice: Ms = self.scenario.faults[at as usize].every;
                self.queue
                    .put(self.now + notice, Step::ReplaceOne(at, target));
            }
            EndpointState::Draining => {
                self.remove_target(target);
                // Nobody new is told of it: it is forgotten with its destination's old list.
                let destination = self.targets[target as usize].destination as usize;
                let everyone = self.forwarders.len();
                if everyone == 1 || self.destinations[destination].targets.len() > FORMER_KEPT {
                    self.forget_former(destination);
                }
            }
            EndpointState::Removed => (),
        }
    }

    /// Targets that are gone, and that all have heard of, leave their destination's list.
    fn forget_former(&mut self, destination: usize) {
        let heard = self.forwarders_heard();
        let targets = &self.targets;
        self.destinations[destination].targets.retain(|target| {
            let it = &targets[*target as usize];
            it.listing != EndpointState::Removed || it.as_of(heard) != EndpointState::Removed
        });
    }

    pub(super) fn strike_forwarder(&mut self, at: u16, forwarder: u32) {
        let trouble = &self.scenario.faults[at as usize];
        match trouble.kind {
            FaultKind::ForwarderKilled => self.end_process(forwarder, trouble.every, true),
            FaultKind::ForwarderLost => self.end_process(forwarder, trouble.every, false),
            FaultKind::ForwarderReplaced => self.begin_shutdown(forwarder),
            _ => self.stall(forwarder, self.now + trouble.length.min(trouble.every)),
        }
    }
}

/// Former targets of a destination that are kept before those that all have heard of are forgotten.
const FORMER_KEPT: usize = 64;
