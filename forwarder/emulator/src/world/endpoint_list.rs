//! The endpoint list as received by each forwarder.

use plankhill_decisions::interface::EndpointState;
use plankhill_invariants::Observation;

use super::{Step, World};
use crate::deciders::Input;
use crate::random::{between, uniform};

impl World<'_> {
    /// Passes a destination's endpoints to a forwarder's decider with the first event for that
    /// destination: the decider has no use for them before.
    pub(super) fn introduce_destination(
        &mut self,
        forwarder_id: u32,
        destination: u32,
        inputs: &mut Vec<Input>,
    ) {
        if !self.forwarders[forwarder_id as usize]
            .introduced
            .insert(destination)
        {
            return;
        }
        let known_changes = self.forwarders[forwarder_id as usize].known_changes;
        for target in self.destinations[destination as usize].targets.clone() {
            let listing = self.targets[target as usize].as_of(known_changes);
            if listing != EndpointState::Removed {
                self.list_one(forwarder_id, target, listing, inputs);
            }
        }
    }

    pub(super) fn list_one(
        &mut self,
        forwarder_id: u32,
        target: u32,
        listing: EndpointState,
        inputs: &mut Vec<Input>,
    ) {
        self.observe(Observation::EndpointListed {
            forwarder: forwarder_id,
            target,
            is_draining: listing != EndpointState::Running,
        });
        let target_state = &self.targets[target as usize];
        if listing == EndpointState::Removed {
            return inputs.push(Input::EndpointRemoved { target });
        }
        let kind = self.destinations[target_state.destination as usize].group as usize;
        let destination = target_state.destination;
        let zone = target_state.zone as usize;
        inputs.push(Input::EndpointListed {
            target,
            destination,
            kind,
            zone,
            listing,
        });
    }

    /// Records a change of the endpoint list at a target. Each forwarder receives the change after its
    /// own delay.
    pub(super) fn list_changed(&mut self, target: u32, listing: EndpointState) {
        let change = self.changes.len() as u32;
        self.changes.push((self.now, target));
        let target_state = &mut self.targets[target as usize];
        target_state.listing = listing;
        target_state.introduced.push((change, listing));
        for at in 0..self.forwarders.len() as u32 {
            self.schedule_list_update(at);
        }
    }

    pub(super) fn schedule_list_update(&mut self, forwarder_id: u32) {
        if std::mem::replace(
            &mut self.forwarders[forwarder_id as usize].list_update_scheduled,
            true,
        ) {
            return;
        }
        let [least, most] = self.scenario.forwarders.list_delay;
        let delay = between(&mut self.rng_lists, least, most);
        let from = (self.now + delay).max(self.forwarders[forwarder_id as usize].list_frozen_until);
        self.queue.put(from, Step::ListUpdate(forwarder_id));
    }

    /// The forwarder receives all new changes, or some of them and the others with the next update.
    pub(super) fn receive_list_update(&mut self, forwarder_id: u32) {
        let partial = self.scenario.forwarders.list_omitted_share;
        let it = &mut self.forwarders[forwarder_id as usize];
        if it.list_frozen_until > self.now {
            let unfrozen_at = it.list_frozen_until;
            return self.queue.put(unfrozen_at, Step::ListUpdate(forwarder_id));
        }
        it.list_update_scheduled = false;
        let mut pending_changes = std::mem::take(&mut it.missed);
        pending_changes.extend(it.known_changes as u32..self.changes.len() as u32);
        it.known_changes = self.changes.len();
        for change in pending_changes {
            if partial > 0.0 && uniform(&mut self.rng_lists) < partial {
                self.forwarders[forwarder_id as usize].missed.push(change);
                continue;
            }
            let target = self.changes[change as usize].1;
            let (kind, destination, zone) = {
                let it = &self.targets[target as usize];
                (
                    self.destinations[it.destination as usize].group as usize,
                    it.destination,
                    it.zone as usize,
                )
            };
            let listing = self.targets[target as usize].as_of(change as usize + 1);
            if self.forwarders[forwarder_id as usize]
                .introduced
                .contains(&destination)
            {
                self.incoming(
                    forwarder_id,
                    Input::EndpointListed {
                        target,
                        destination,
                        kind,
                        zone,
                        listing,
                    },
                    None,
                );
            }
        }
        if !self.forwarders[forwarder_id as usize].missed.is_empty() {
            self.schedule_list_update(forwarder_id);
        }
    }

    /// The number of the list's changes that all forwarders have received.
    pub(super) fn changes_known_to_all(&self) -> usize {
        self.forwarders
            .iter()
            .map(|it| it.known_changes)
            .min()
            .unwrap_or(0)
    }
}
