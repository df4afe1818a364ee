//! A simulation in virtual time: machines with disks, links between them, clients, and faults
//! derived from a seed.

pub mod checker;
mod clients;
mod disks;
pub mod faults;
pub mod machine;
mod network;
mod processes;
pub mod rng;

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_chain::{Effect, Identity, Message, Millis};
use plankhill_protocol::ids::Revision;

use checker::{History, Invariant};
use faults::{FaultMix, InjectedBug};
use machine::{Input, Machine};
use rng::SimRng;

/// Interval at which a stalled disk is checked again, in ms.
const STALL_RETRY_INTERVAL: Millis = 20;

/// Interval at which writes to a disk that rejects them are retried, in ms.
const REJECTION_RETRY_INTERVAL: Millis = 100;

/// Configuration of a simulation: its size, load, injected bug and faults.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    pub machines: usize,
    pub seeds: usize,
    pub tolerated_faults: usize,
    /// The mean time between operations, in ms.
    pub operation_interval: u64,
    pub injected_bug: Option<InjectedBug>,
    pub fault_mix: FaultMix,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver {
        to: usize,
        process_epoch: u64,
        message_id: u64,
    },
    Synced {
        index: usize,
        process_epoch: u64,
        ticket: u64,
    },
    Tick {
        index: usize,
        process_epoch: u64,
    },
    Operation,
    Retry {
        request: u128,
        operation: u64,
    },
    Read,
    Start {
        index: usize,
    },
    Thaw {
        index: usize,
    },
    Fault,
}

/// The process that a pending call was made to.
#[derive(Clone, Copy, PartialEq, Eq)]
struct CalledProcess {
    machine: usize,
    process_epoch: u64,
}

/// A proposal that waits for its outcome.
struct PendingProposal {
    operation: u64,
    called: CalledProcess,
}

/// A read that waits for its answer.
struct PendingRead {
    /// The minimum revision that the answer has to have.
    expected_revision: u64,
    called: CalledProcess,
}

/// A message in flight.
struct InFlightMessage {
    from_machine: usize,
    from: Identity,
    message: Message,
}

pub struct World {
    pub now: Millis,
    pub machines: Vec<Machine>,
    pub history: Rc<RefCell<History>>,
    pub rng: SimRng,
    pub config: WorldConfig,
    /// Ordered pairs (from, to) between which all messages are lost.
    pub partitions: Vec<(usize, usize)>,
    /// Time at which a fault last began or ended.
    pub last_fault_at: Millis,
    pub are_faults_enabled: bool,
    /// Time until which messages of one proposer are lost.
    proposer_partitioned_until: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    messages: HashMap<u64, InFlightMessage>,
    last_arrivals: BTreeMap<(usize, usize), Millis>,
    syncing: BTreeMap<usize, u64>,
    operations: u64,
    proposals: BTreeMap<u128, PendingProposal>,
    reads: BTreeMap<u64, PendingRead>,
    incarnations: u64,
    /// Whether acknowledgements may be followed by a fault at once.
    pub fault_after_acknowledgement: bool,
    /// Whether the regular proposals of clients are stopped.
    pub are_clients_stopped: bool,
}

impl World {
    pub fn new(seed: u64, config: WorldConfig) -> Self {
        let machines = (0..config.machines).map(Machine::new).collect();
        let mut world = Self {
            now: 0,
            machines,
            history: Rc::default(),
            rng: SimRng::new(seed),
            config,
            partitions: Vec::new(),
            last_fault_at: 0,
            are_faults_enabled: false,
            proposer_partitioned_until: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            messages: HashMap::new(),
            last_arrivals: BTreeMap::new(),
            syncing: BTreeMap::new(),
            operations: 0,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            incarnations: 0,
            fault_after_acknowledgement: false,
            are_clients_stopped: false,
        };
        for machine in 0..world.machines.len() {
            let delay = world.rng.below(300);
            world.schedule(delay, Event::Start { index: machine });
        }
        world.schedule(500, Event::Operation);
        world.schedule(700, Event::Read);
        world
    }

    /// A world whose members have founded a chain and are all in service.
    pub fn healthy(seed: u64, config: WorldConfig) -> Self {
        let machines = config.machines;
        let mut world = Self::new(seed, config);
        world.run(3_000);
        assert_eq!(world.in_service(), machines, "seed {seed}");
        world
    }

    /// Asserts that no invariant has been violated so far.
    pub fn assert_no_violations(&self, context: &dyn Display) {
        let violations = &self.history.borrow().violations;
        assert!(violations.is_empty(), "{context}: {violations:?}");
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    /// Advances the virtual time; handles no further events once an invariant is violated without
    /// an injected bug.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(Reverse((time, _, _))) = self.queue.peek() {
            let has_violation = !self.history.borrow().violations.is_empty();
            if *time > end || (has_violation && self.config.injected_bug.is_none()) {
                break;
            }
            let Some(Reverse((time, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.machines[..self.config.seeds]
            .iter()
            .map(|machine| machine.address)
            .collect()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver {
                to,
                process_epoch,
                message_id,
            } => self.deliver(to, process_epoch, message_id),
            Event::Synced {
                index,
                process_epoch,
                ticket,
            } => self.complete_sync(index, process_epoch, ticket),
            Event::Tick {
                index,
                process_epoch,
            } => {
                let machine = &self.machines[index];
                if machine.process_epoch == process_epoch && machine.tick_at <= self.now {
                    self.deliver_input(index, Input::Tick);
                }
            }
            Event::Operation => self.next_operation(),
            Event::Retry { request, operation } => {
                let index = self.random_machine();
                self.propose_as(index, request, operation);
            }
            Event::Read => self.next_read(),
            Event::Start { index } => self.start(index),
            Event::Thaw { index } => self.thaw(index),
            Event::Fault => self.next_fault(),
        }
    }

    fn deliver_input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let effects = self.machines[index].handle_input(input, now);
        for effect in effects {
            // An effect may trigger a fault that ends the process before the next effect.
            if self.machines[index].is_up() {
                self.apply_effect(index, effect);
            }
        }
        self.observe(index);
    }

    fn observe(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let Some(member) = machine.process.as_ref().filter(|_| !machine.frozen) else {
            return;
        };
        if member.view().number.0 > 0 {
            self.history.borrow_mut().record_adopted(member.view());
        }
        let tick_at = member.next_tick().max(self.now + 1);
        let process_epoch = machine.process_epoch;
        if machine.tick_at <= self.now || tick_at < machine.tick_at {
            machine.tick_at = tick_at;
            self.schedule(
                tick_at - self.now,
                Event::Tick {
                    index,
                    process_epoch,
                },
            );
        }
    }

    fn apply_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(index, to, message),
            Effect::Persist { ticket, writes } => {
                if self.config.injected_bug == Some(InjectedBug::UnsyncedDisk) {
                    let process_epoch = self.machines[index].process_epoch;
                    self.schedule(
                        0,
                        Event::Synced {
                            index,
                            process_epoch,
                            ticket: ticket.0,
                        },
                    );
                }
                self.machines[index]
                    .disk
                    .pending
                    .push_back((ticket, writes));
                self.start_sync(index);
            }
            Effect::ProposalCommitted { request, outcome } => {
                let Some(PendingProposal { operation, .. }) = self.proposals.remove(&request.0)
                else {
                    return;
                };
                let revision = u64::from_le_bytes(outcome.as_ref().try_into().unwrap());
                self.acknowledge(operation, revision);
                if self.rng.one_in(8) {
                    // The acknowledgement is lost on the way to the client, which proposes again.
                    let delay = self.rng.between(1, 3_000);
                    self.schedule(
                        delay,
                        Event::Retry {
                            request: request.0,
                            operation,
                        },
                    );
                }
            }
            Effect::ProposalFailed(request) => drop(self.proposals.remove(&request.0)),
            Effect::ReadReady(read) => {
                let Some(PendingRead {
                    expected_revision, ..
                }) = self.reads.remove(&read)
                else {
                    return;
                };
                let revision = self.machines[index]
                    .process
                    .as_ref()
                    .map_or(Revision(0), |member| member.revision());
                self.history
                    .borrow_mut()
                    .record_read(expected_revision, revision.0);
            }
            Effect::ReadFailed(read) => drop(self.reads.remove(&read)),
        }
    }

    fn acknowledge(&mut self, operation: u64, revision: u64) {
        self.history
            .borrow_mut()
            .record_acknowledged(operation, revision);
        let replicas = self
            .machines
            .iter()
            .filter(|machine| machine.disk.contains(revision))
            .count();
        if replicas <= self.config.tolerated_faults {
            let description =
                format!("revision {revision} was acknowledged with {replicas} synced replicas");
            self.history
                .borrow_mut()
                .record_violation(Invariant::ReplicatedWhenAcknowledged, description);
        }
        if self.fault_after_acknowledgement && self.are_faults_enabled && self.rng.one_in(20) {
            self.inject_fault();
        }
    }
}
