//! Begins, toggles and ends faults. The effect of a fault on a call is evaluated when the call
//! reaches the target; the steps here change the world at an instant: endpoint lists, processes,
//! calls that are reset, and outages.

use plankhill_decisions::interface::{EndpointState, TargetId};
use plankhill_forwarder_config::scenario::{FaultKind, Ms};

use super::destinations::Target;
use super::{Step, World};

impl World<'_> {
    pub(super) fn schedule_faults(&mut self) {
        for (at, fault) in self.scenario.faults.iter().enumerate() {
            if fault.start < self.scenario.length {
                self.queue.put(fault.start, Step::FaultBegins(at as u16));
                self.queue
                    .put(fault.start + fault.length, Step::FaultEnds(at as u16));
            }
        }
    }

    pub(super) fn begin_fault(&mut self, fault_id: u16) {
        let scenario = self.scenario;
        let fault = &scenario.faults[fault_id as usize];
        let end = fault.start + fault.length;
        match fault.kind {
            FaultKind::Flood | FaultKind::MassWake => (), // the clients' stream contains their events
            FaultKind::RetryStorm => self.retry_storm_factor = fault.strength.max(1.0),
            FaultKind::ForwarderKilled
            | FaultKind::ForwarderLost
            | FaultKind::ForwarderStalled
            | FaultKind::ForwarderReplaced => {
                for (position, forwarder) in self.affected.forwarders[fault_id as usize]
                    .iter()
                    .enumerate()
                {
                    let when = fault.start + position as f64 * fault.apart;
                    if position == 0 || when <= end {
                        self.queue
                            .put(when, Step::ApplyForwarderFault(fault_id, *forwarder));
                    }
                }
            }
            FaultKind::ListFrozen => {
                for forwarder in self.affected.forwarders[fault_id as usize].clone() {
                    let it = &mut self.forwarders[forwarder as usize];
                    it.list_frozen_until = it.list_frozen_until.max(end);
                }
            }
            FaultKind::Gone => {
                for target in self.affected_targets(fault_id) {
                    self.list_changed(target, EndpointState::Draining);
                }
                self.queue
                    .put(self.now + fault.every, Step::RemoveDraining(fault_id));
            }
            FaultKind::Replaced => {
                let targets = self.affected_targets(fault_id);
                let step = fault.length / targets.len().max(1) as f64;
                for (position, target) in targets.into_iter().enumerate() {
                    self.queue.put(
                        self.now + position as f64 * step,
                        Step::ReplaceOne(fault_id, target),
                    );
                }
            }
            FaultKind::Flapping => self.switch(fault_id, true, |world| {
                world.flapped_down[fault_id as usize] = true;
                world
                    .queue
                    .put(world.now + fault.every, Step::FaultToggles(fault_id));
            }),
            FaultKind::Down
            | FaultKind::Silent
            | FaultKind::Hung
            | FaultKind::Slow
            | FaultKind::Erring
            | FaultKind::Resetting
            | FaultKind::LimitLowered
            | FaultKind::HalfOpen
            | FaultKind::CutOneWay => self.switch(fault_id, true, |_| ()),
        }
    }

    pub(super) fn end_fault(&mut self, fault_id: u16) {
        match self.scenario.faults[fault_id as usize].kind {
            FaultKind::RetryStorm => self.retry_storm_factor = 0.0,
            FaultKind::Gone => {
                for target in self.affected_targets(fault_id) {
                    self.targets[target as usize].left = false;
                    self.list_changed(target, EndpointState::Running);
                }
                self.record_affected(fault_id);
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
            | FaultKind::CutOneWay => self.switch(fault_id, false, |_| ()),
            _ => (),
        }
    }

    /// Toggles a flapping fault between down and up.
    pub(super) fn toggle_fault(&mut self, fault_id: u16) {
        let fault = &self.scenario.faults[fault_id as usize];
        if self.now >= fault.start + fault.length {
            return;
        }
        self.flapped_down[fault_id as usize] = !self.flapped_down[fault_id as usize];
        self.record_affected(fault_id);
        self.queue
            .put(self.now + fault.every, Step::FaultToggles(fault_id));
    }

    fn switch(&mut self, fault_id: u16, on: bool, then: impl FnOnce(&mut Self)) {
        for destination in self.affected.destinations[fault_id as usize].clone() {
            let active = self.active.entry(destination).or_default();
            active.retain(|fault| *fault != fault_id);
            if on {
                active.push(fault_id);
            } else if active.is_empty() {
                self.active.remove(&destination);
            }
        }
        then(self);
        self.record_affected(fault_id);
    }

    fn record_affected(&mut self, fault_id: u16) {
        for destination in self.affected.destinations[fault_id as usize].clone() {
            self.reset_calls(destination);
            self.update_outages(destination);
        }
    }

    fn affected_targets(&self, fault_id: u16) -> Vec<u32> {
        let destinations = &self.affected.destinations[fault_id as usize];
        let targets = destinations
            .iter()
            .flat_map(|d| &self.destinations[*d as usize].targets);
        targets
            .copied()
            .filter(|target| self.covers(fault_id, *target))
            .collect()
    }

    /// Removes the draining targets.
    pub(super) fn remove_drained_targets(&mut self, fault_id: u16) {
        for target in self.affected_targets(fault_id) {
            if self.targets[target as usize].listing == EndpointState::Draining {
                self.remove_target(target);
            }
        }
    }

    fn remove_target(&mut self, target: u32) {
        self.targets[target as usize].left = true;
        self.list_changed(target, EndpointState::Removed);
        self.reset_calls(self.targets[target as usize].destination);
    }

    /// Lets a target drain and lists a new one in its position at the same time. A target that is still
    /// draining after the notice period is removed.
    pub(super) fn replace_one(&mut self, fault_id: u16, target: u32) {
        match self.targets[target as usize].listing {
            EndpointState::Running => {
                let target_state = &self.targets[target as usize];
                let new = Target::new(
                    target_state.destination,
                    target_state.lane,
                    target_state.zone,
                    target_state.position,
                    target_state.factor,
                );
                let destination = target_state.destination as usize;
                let number = self.targets.len() as u32;
                self.targets.push(new);
                self.names
                    .borrow_mut()
                    .push(TargetId(number.to_string().into()));
                self.destinations[destination].targets.push(number);
                // The target is unlisted for the forwarders that have not received this change.
                self.targets[number as usize]
                    .introduced
                    .push((0, EndpointState::Removed));
                self.list_changed(number, EndpointState::Running);
                self.list_changed(target, EndpointState::Draining);
                let notice: Ms = self.scenario.faults[fault_id as usize].every;
                self.queue
                    .put(self.now + notice, Step::ReplaceOne(fault_id, target));
            }
            EndpointState::Draining => {
                self.remove_target(target);
                // The removed target is not needed once all forwarders have received its removal.
                let destination = self.targets[target as usize].destination as usize;
                let everyone = self.forwarders.len();
                if everyone == 1
                    || self.destinations[destination].targets.len() > MAX_REMOVED_TARGETS
                {
                    self.drop_removed_targets(destination);
                }
            }
            EndpointState::Removed => (),
        }
    }

    /// Drops the removed targets whose removal all forwarders have received.
    fn drop_removed_targets(&mut self, destination: usize) {
        let known_changes = self.changes_known_to_all();
        let targets = &self.targets;
        self.destinations[destination].targets.retain(|target| {
            let it = &targets[*target as usize];
            it.listing != EndpointState::Removed
                || it.as_of(known_changes) != EndpointState::Removed
        });
    }

    pub(super) fn apply_forwarder_fault(&mut self, fault_id: u16, forwarder: u32) {
        let fault = &self.scenario.faults[fault_id as usize];
        match fault.kind {
            FaultKind::ForwarderKilled => self.end_process(forwarder, fault.every, true),
            FaultKind::ForwarderLost => self.end_process(forwarder, fault.every, false),
            FaultKind::ForwarderReplaced => self.begin_shutdown(forwarder),
            _ => self.stall(forwarder, self.now + fault.length.min(fault.every)),
        }
    }
}

/// Removed targets of a destination are dropped when the destination has more targets than this.
const MAX_REMOVED_TARGETS: usize = 64;
