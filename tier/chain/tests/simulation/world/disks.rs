//! Disk syncs, which take time, and fail or stall temporarily.

use plankhill_chain::Ticket;

use super::faults::InjectedBug;
use super::machine::Input;
use super::{Event, World, REJECTION_RETRY_INTERVAL, STALL_RETRY_INTERVAL};

impl World {
    /// Starts a sync unless one is in progress. A sync covers all batches that are pending when it
    /// begins.
    pub(super) fn start_sync(&mut self, index: usize) {
        if self.syncing.contains_key(&index) {
            return;
        }
        let machine = &self.machines[index];
        let Some((ticket, _)) = machine.disk.pending.back() else {
            return;
        };
        let (ticket, process_epoch) = (ticket.0, machine.process_epoch);
        let sync_time = machine.sync_time.filter(|_| machine.slow_until > self.now);
        self.syncing.insert(index, ticket);
        let duration = sync_time.unwrap_or_else(|| self.rng.between(2, 9));
        self.schedule(
            duration,
            Event::Synced {
                index,
                process_epoch,
                ticket,
            },
        );
    }

    pub(super) fn complete_sync(&mut self, index: usize, process_epoch: u64, ticket: u64) {
        if self.machines[index].process_epoch != process_epoch || !self.machines[index].is_up() {
            return;
        }
        if self.machines[index].stalled_until > self.now {
            self.schedule(
                STALL_RETRY_INTERVAL,
                Event::Synced {
                    index,
                    process_epoch,
                    ticket,
                },
            );
            return;
        }
        if self.machines[index].full_until > self.now {
            self.deliver_input(index, Input::DiskRejected);
            self.schedule(
                REJECTION_RETRY_INTERVAL,
                Event::Synced {
                    index,
                    process_epoch,
                    ticket,
                },
            );
            return;
        }
        let skips_write = self.config.injected_bug == Some(InjectedBug::UnsyncedDisk);
        if self.syncing.get(&index) == Some(&ticket) {
            self.syncing.remove(&index);
            let disk = &mut self.machines[index].disk;
            while !skips_write
                && disk
                    .pending
                    .front()
                    .is_some_and(|(number, _)| number.0 <= ticket)
            {
                let Some((_, writes)) = disk.pending.pop_front() else {
                    break;
                };
                for write in &writes {
                    disk.synced.apply(write);
                }
            }
        }
        self.deliver_input(index, Input::Persisted(Ticket(ticket)));
        self.start_sync(index);
    }
}
