//! Disks that take their time.

use plankhill_chain::Ticket;

use super::faults::Planted;
use super::machine::Input;
use super::{Event, World, REFUSED_STEP, STALL_STEP};

impl World {
    /// A sync takes in everything that waits when it begins.
    pub(super) fn sync_next(&mut self, at: usize) {
        if self.syncing.contains_key(&at) {
            return;
        }
        let machine = &self.machines[at];
        let Some((ticket, _)) = machine.disk.waiting.back() else {
            return;
        };
        let (ticket, life) = (ticket.0, machine.life);
        self.syncing.insert(at, ticket);
        let takes = self.chance.between(2, 9);
        self.at(takes, Event::Synced { at, life, ticket });
    }

    pub(super) fn synced(&mut self, at: usize, life: u64, ticket: u64) {
        if self.machines[at].life != life || !self.machines[at].is_up() {
            return;
        }
        if self.machines[at].stalled_until > self.now {
            self.at(STALL_STEP, Event::Synced { at, life, ticket });
            return;
        }
        if self.machines[at].full_until > self.now {
            self.input(at, Input::DiskRefuses);
            self.at(REFUSED_STEP, Event::Synced { at, life, ticket });
            return;
        }
        let lies = self.shape.planted == Some(Planted::DiskLies);
        if self.syncing.get(&at) == Some(&ticket) {
            self.syncing.remove(&at);
            let disk = &mut self.machines[at].disk;
            while !lies
                && disk
                    .waiting
                    .front()
                    .is_some_and(|(number, _)| number.0 <= ticket)
            {
                let Some((_, writes)) = disk.waiting.pop_front() else {
                    break;
                };
                writes.iter().for_each(|write| disk.synced.apply(write));
            }
        }
        self.input(at, Input::Persisted(Ticket(ticket)));
        self.sync_next(at);
    }
}
