//! The list as each forwarder has heard it.

use plankhill_decisions::interface::EndpointState;
use plankhill_invariants::Observation;

use super::{Step, World};
use crate::deciders::Input;
use crate::random::{between, uniform};

impl World<'_> {
    /// A forwarder's decisions hear of a destination when the first event goes there: until then they could
    /// do nothing with it.
    pub(super) fn introduce_destination(
        &mut self,
        at: u32,
        destination: u32,
        inputs: &mut Vec<Input>,
    ) {
        if !self.forwarders[at as usize].introduced.insert(destination) {
            return;
        }
        let heard = self.forwarders[at as usize].heard;
        for target in self.destinations[destination as usize].targets.clone() {
            let listing = self.targets[target as usize].as_of(heard);
            if listing != EndpointState::Removed {
                self.list_one(at, target, listing, inputs);
            }
        }
    }

    pub(super) fn list_one(
        &mut self,
        at: u32,
        target: u32,
        listing: EndpointState,
        inputs: &mut Vec<Input>,
    ) {
        self.observe(Observation::EndpointListed {
            forwarder: at,
            target,
            is_draining: listing != EndpointState::Running,
        });
        let it = &self.targets[target as usize];
        if listing == EndpointState::Removed {
            return inputs.push(Input::EndpointRemoved { target });
        }
        let kind = self.destinations[it.destination as usize].group as usize;
        let (destination, zone) = (it.destination, it.zone as usize);
        inputs.push(Input::EndpointListed {
            target,
            destination,
            kind,
            zone,
            listing,
        });
    }

    /// The list changed at a target: every forwarder hears of it in its own time.
    pub(super) fn list_changed(&mut self, target: u32, listing: EndpointState) {
        let change = self.changes.len() as u32;
        self.changes.push((self.now, target));
        let it = &mut self.targets[target as usize];
        it.listing = listing;
        it.introduced.push((change, listing));
        for at in 0..self.forwarders.len() as u32 {
            self.schedule_list_update(at);
        }
    }

    pub(super) fn schedule_list_update(&mut self, at: u32) {
        if std::mem::replace(
            &mut self.forwarders[at as usize].list_update_scheduled,
            true,
        ) {
            return;
        }
        let [least, most] = self.scenario.forwarders.list_delay;
        let delay = between(&mut self.rng_lists, least, most);
        let from = (self.now + delay).max(self.forwarders[at as usize].list_frozen_until);
        self.queue.put(from, Step::ListUpdate(at));
    }

    /// Hears all that changed, or, partially, some of it, the rest with the next hearing.
    pub(super) fn receive_list_update(&mut self, at: u32) {
        let partial = self.scenario.forwarders.list_partial;
        let it = &mut self.forwarders[at as usize];
        if it.list_frozen_until > self.now {
            let thaw = it.list_frozen_until;
            return self.queue.put(thaw, Step::ListUpdate(at));
        }
        it.list_update_scheduled = false;
        let mut news = std::mem::take(&mut it.missed);
        news.extend(it.heard as u32..self.changes.len() as u32);
        it.heard = self.changes.len();
        for change in news {
            if partial > 0.0 && uniform(&mut self.rng_lists) < partial {
                self.forwarders[at as usize].missed.push(change);
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
            if self.forwarders[at as usize]
                .introduced
                .contains(&destination)
            {
                self.incoming(
                    at,
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
        if !self.forwarders[at as usize].missed.is_empty() {
            self.schedule_list_update(at);
        }
    }

    /// How many of the list's changes every forwarder has heard.
    pub(super) fn forwarders_heard(&self) -> usize {
        self.forwarders.iter().map(|it| it.heard).min().unwrap_or(0)
    }
}
