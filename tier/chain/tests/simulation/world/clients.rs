//! Clients that propose and read, and their pending calls.

use super::machine::Input;
use super::{CalledProcess, Event, PendingProposal, PendingRead, World};

impl World {
    pub(super) fn next_operation(&mut self) {
        if self.are_clients_stopped {
            return;
        }
        let delay = self.rng.between(1, 2 * self.config.operation_interval);
        self.schedule(delay, Event::Operation);
        self.operations += 1;
        let operation = self.operations;
        let index = self.random_machine();
        self.propose(index, operation);
    }

    /// Proposes an operation at a machine, which may be down or partitioned.
    pub fn propose(&mut self, index: usize, operation: u64) -> u128 {
        let request = u128::from(self.rng.next_u64()) << 64 | u128::from(operation);
        self.propose_as(index, request, operation);
        request
    }

    /// Proposes an operation under a request number, which may have been proposed before.
    pub fn propose_as(&mut self, index: usize, request: u128, operation: u64) {
        if self.machines[index].is_up() {
            let called = self.process_of(index);
            self.proposals
                .insert(request, PendingProposal { operation, called });
            let deadline = self.now + 4_000;
            self.deliver_input(
                index,
                Input::Propose {
                    request,
                    operation,
                    deadline,
                },
            );
        }
    }

    pub(super) fn random_machine(&mut self) -> usize {
        self.rng.below(self.machines.len() as u64) as usize
    }

    pub(super) fn next_read(&mut self) {
        let delay = self.rng.between(1, 4 * self.config.operation_interval);
        self.schedule(delay, Event::Read);
        let index = self.random_machine();
        if !self.machines[index].is_up() {
            return;
        }
        let read = self.rng.next_u64();
        let pending = PendingRead {
            expected_revision: self.history.borrow().highest_observed(),
            called: self.process_of(index),
        };
        self.reads.insert(read, pending);
        let deadline = self.now + 4_000;
        self.deliver_input(index, Input::Read { read, deadline });
    }

    /// Drops the pending calls of a process that ends.
    pub fn drop_pending_calls(&mut self, index: usize) {
        let ended = self.process_of(index);
        self.proposals.retain(|_, pending| pending.called != ended);
        self.reads.retain(|_, pending| pending.called != ended);
    }

    fn process_of(&self, index: usize) -> CalledProcess {
        CalledProcess {
            machine: index,
            process_epoch: self.machines[index].process_epoch,
        }
    }

    pub fn is_acknowledged(&self, operation: u64) -> bool {
        self.history.borrow().is_acknowledged(operation)
    }

    /// Index of the machine that is the head of the newest view.
    pub fn head(&self) -> Option<usize> {
        let members = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        let newest = members
            .map(|member| member.view())
            .max_by_key(|view| view.number)?;
        let head = &newest.head()?.identity;
        self.machines
            .iter()
            .position(|machine| machine.node == head.node)
    }

    pub fn is_proposal_pending(&self, request: u128) -> bool {
        self.proposals.contains_key(&request)
    }
}
