//! What clients ask for, and what they were told.

use super::machine::Input;
use super::{Asked, Event, World};

impl World {
    pub(super) fn next_operation(&mut self) {
        if self.clients_gone {
            return;
        }
        let delay = self.chance.between(1, 2 * self.shape.pace);
        self.at(delay, Event::Operation);
        self.operations += 1;
        let (operation, at) = (self.operations, self.any_machine());
        self.propose(at, operation);
    }

    /// Proposes an operation at a machine, which need not be able to take it.
    pub fn propose(&mut self, at: usize, operation: u64) -> u128 {
        let request = u128::from(self.chance.number()) << 64 | u128::from(operation);
        self.propose_as(at, request, operation);
        request
    }

    pub(super) fn propose_as(&mut self, at: usize, request: u128, operation: u64) {
        if self.machines[at].is_up() {
            let asked = Asked {
                machine: at,
                life: self.machines[at].life,
            };
            self.proposals.insert(request, (operation, asked));
            let ends = self.now + 4_000;
            self.input(
                at,
                Input::Propose {
                    request,
                    operation,
                    ends,
                },
            );
        }
    }

    pub(super) fn any_machine(&mut self) -> usize {
        self.chance.below(self.machines.len() as u64) as usize
    }

    pub(super) fn next_read(&mut self) {
        let delay = self.chance.between(1, 4 * self.shape.pace);
        self.at(delay, Event::Read);
        let at = self.any_machine();
        if !self.machines[at].is_up() {
            return;
        }
        let read = self.chance.number();
        let asked = Asked {
            machine: at,
            life: self.machines[at].life,
        };
        self.reads.insert(read, (self.book.borrow().seen(), asked));
        let ends = self.now + 4_000;
        self.input(at, Input::Read { read, ends });
    }

    /// Forgets what processes that have ended were asked.
    pub fn forget_asked(&mut self, at: usize) {
        let life = self.machines[at].life;
        self.proposals
            .retain(|_, (_, asked)| asked.machine != at || asked.life != life);
        self.reads
            .retain(|_, (_, asked)| asked.machine != at || asked.life != life);
    }

    pub fn is_acknowledged(&self, operation: u64) -> bool {
        self.book.borrow().is_acknowledged(operation)
    }

    /// The machine that heads the newest view.
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

    pub fn is_proposed(&self, request: u128) -> bool {
        self.proposals.contains_key(&request)
    }
}
