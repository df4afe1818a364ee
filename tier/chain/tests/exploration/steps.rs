//! The steps of the model, and the bounds of an exploration.

use stateright::{Model, Property};

use crate::initial_states::InitialState;
use crate::system::{Defect, System};

/// Machine at which clients propose: a member in the middle of the first chain, which becomes the
/// tail of the view that the head proposes if it receives no heartbeats from the last member.
const PROPOSING_MACHINE: usize = 1;
/// Machine at which clients read: the tail of the first chain.
const READING_MACHINE: usize = 2;

/// Bounds of an exploration: its initial state, and the maximum number of steps of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub machines: usize,
    pub initial_state: InitialState,
    pub operations: u8,
    pub reads: u8,
    /// Clock advances of a member that receives heartbeats from only some of the others.
    pub clock_advances: u8,
    /// Number of machines, counted from the head of the first chain, that may miss heartbeats,
    /// crash or lose their disks.
    pub faulty: usize,
    pub crashes: u8,
    pub lost_disks: u8,
    pub lost_messages: u8,
    pub defect: Option<Defect>,
}

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Delivers the message at this position of the link; the messages before it are lost.
    Deliver {
        link: (usize, usize),
        position: usize,
    },
    Sync {
        machine: usize,
    },
    /// Advances the clock of a machine that receives heartbeats from only these others.
    AdvanceClock {
        machine: usize,
        reachable: Vec<usize>,
    },
    Propose {
        machine: usize,
    },
    Read {
        machine: usize,
    },
    /// Restarts the process; the first `kept` of its pending batches are on the disk.
    Crash {
        machine: usize,
        kept: usize,
    },
    LoseDisk {
        machine: usize,
    },
}

impl Model for Bounds {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        vec![self.initial_state.build(self.machines, self.defect)]
    }

    fn actions(&self, system: &System, steps: &mut Vec<Step>) {
        if system.history.violation.is_some() {
            return;
        }
        self.add_deliveries(system, steps);
        for machine in 0..self.machines {
            self.add_machine_steps(machine, system, steps);
        }
    }

    fn next_state(&self, system: &System, step: Step) -> Option<System> {
        let mut next = system.clone();
        match step {
            Step::Deliver { link, position } => next.deliver(link, position),
            Step::Sync { machine } => next.sync(machine),
            Step::AdvanceClock { machine, reachable } => {
                next.steps_taken.clock_advances += 1;
                next.advance_clock(machine, &reachable);
            }
            Step::Propose { machine } => next.propose(machine),
            Step::Read { machine } => next.read(machine),
            Step::Crash { machine, kept } => next.crash(machine, kept),
            Step::LoseDisk { machine } => next.lose_disk(machine),
        }
        next.update_fingerprint();
        (next != *system).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is violated", |_, system: &System| {
                system.history.violation.is_none()
            }),
            Property::sometimes("a later view is adopted", |_, system: &System| {
                system.history.has_later_view()
            }),
            Property::sometimes(
                "a later view acknowledges",
                |bounds: &Bounds, system: &System| {
                    bounds.operations == 0 || system.history.has_later_acknowledgement()
                },
            ),
        ]
    }
}

impl Bounds {
    fn add_deliveries(&self, system: &System, steps: &mut Vec<Step>) {
        let remaining_losses = self.lost_messages - system.steps_taken.lost_messages;
        for (link, messages) in &system.links {
            let positions = messages.len().min(usize::from(remaining_losses) + 1);
            for position in 0..positions {
                steps.push(Step::Deliver {
                    link: *link,
                    position,
                });
            }
        }
    }

    fn add_machine_steps(&self, machine: usize, system: &System, steps: &mut Vec<Step>) {
        let node = &system.nodes[machine];
        let steps_taken = &system.steps_taken;
        if !node.unsynced.is_empty() {
            steps.push(Step::Sync { machine });
        }
        if steps_taken.clock_advances < self.clock_advances && machine < self.faulty {
            self.add_clock_advances(machine, steps);
        }
        if steps_taken.operations < self.operations && machine == PROPOSING_MACHINE {
            steps.push(Step::Propose { machine });
        }
        if steps_taken.reads < self.reads && machine == READING_MACHINE {
            steps.push(Step::Read { machine });
        }
        if steps_taken.crashes < self.crashes && machine < self.faulty {
            for kept in 0..=node.unsynced.len() {
                steps.push(Step::Crash { machine, kept });
            }
        }
        if steps_taken.lost_disks < self.lost_disks && machine < self.faulty {
            steps.push(Step::LoseDisk { machine });
        }
    }

    fn add_clock_advances(&self, machine: usize, steps: &mut Vec<Step>) {
        let others: Vec<usize> = (0..self.machines)
            .filter(|other| *other != machine)
            .collect();
        // The empty subset is left out: a member that receives no heartbeats detects that it is
        // partitioned and starts no attempt.
        for subset in 1..1_usize << others.len() {
            let reachable = others.iter().enumerate();
            let reachable = reachable.filter(|(position, _)| subset & (1 << position) != 0);
            steps.push(Step::AdvanceClock {
                machine,
                reachable: reachable.map(|(_, other)| *other).collect(),
            });
        }
    }
}
