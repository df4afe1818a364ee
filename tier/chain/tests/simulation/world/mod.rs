//! A world in virtual time: machines with disks, links between them, clients, and faults that follow from a seed.

pub mod chance;
pub mod checker;
mod clients;
mod disks;
pub mod faults;
pub mod machine;
mod network;
mod processes;

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_chain::{Effect, Identity, Message, Millis};
use plankhill_protocol::ids::Revision;

use chance::Chance;
use checker::{Book, Rule};
use faults::Planted;
use machine::{Input, Machine};

/// A disk that does not answer is asked again after this long, in ms.
const STALL_STEP: Millis = 20;

/// A disk that refuses to write is tried again after this long, in ms.
const REFUSED_STEP: Millis = 100;

/// What a world is like.
#[derive(Clone, Debug)]
pub struct Shape {
    pub machines: usize,
    pub seeds: usize,
    pub tolerated: usize,
    /// Between operations, in ms.
    pub pace: u64,
    pub planted: Option<Planted>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver { to: usize, life: u64, number: u64 },
    Synced { at: usize, life: u64, ticket: u64 },
    Tick { at: usize, life: u64 },
    Operation,
    Repeat { request: u128, operation: u64 },
    Read,
    Start { at: usize },
    Thaw { at: usize },
    Fault,
}

/// A proposal or a read that waits.
struct Asked {
    machine: usize,
    life: u64,
}

pub struct World {
    pub now: Millis,
    pub machines: Vec<Machine>,
    pub book: Rc<RefCell<Book>>,
    pub chance: Chance,
    pub shape: Shape,
    /// Ordered pairs between which nothing gets through.
    pub cuts: Vec<(usize, usize)>,
    /// When the last fault ended or began.
    pub disturbed_at: Millis,
    pub faults_on: bool,
    queue: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    messages: HashMap<u64, (usize, Identity, Message)>,
    arrivals: BTreeMap<(usize, usize), Millis>,
    syncing: BTreeMap<usize, u64>,
    operations: u64,
    proposals: BTreeMap<u128, (u64, Asked)>,
    reads: BTreeMap<u64, (u64, Asked)>,
    incarnations: u64,
    /// Whether an acknowledgement is followed by a fault at once.
    pub strike: bool,
    /// Nobody proposes any more.
    pub clients_gone: bool,
}

impl World {
    pub fn new(seed: u64, shape: Shape) -> Self {
        let machines = (0..shape.machines).map(Machine::new).collect();
        let mut world = Self {
            now: 0,
            machines,
            book: Rc::default(),
            chance: Chance::new(seed),
            shape,
            cuts: Vec::new(),
            disturbed_at: 0,
            faults_on: false,
            queue: BinaryHeap::new(),
            sequence: 0,
            messages: HashMap::new(),
            arrivals: BTreeMap::new(),
            syncing: BTreeMap::new(),
            operations: 0,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            incarnations: 0,
            strike: false,
            clients_gone: false,
        };
        for machine in 0..world.machines.len() {
            let delay = world.chance.below(300);
            world.at(delay, Event::Start { at: machine });
        }
        world.at(500, Event::Operation);
        world.at(700, Event::Read);
        world
    }

    fn at(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    /// Lets time pass; stops early when a rule is broken without a planted mistake.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(Reverse((time, _, _))) = self.queue.peek() {
            let broken = self.shape.planted.is_none() && !self.book.borrow().broken.is_empty();
            if *time > end || broken {
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
        self.machines[..self.shape.seeds]
            .iter()
            .map(|machine| machine.address)
            .collect()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { to, life, number } => self.deliver(to, life, number),
            Event::Synced { at, life, ticket } => self.synced(at, life, ticket),
            Event::Tick { at, life } => {
                let machine = &self.machines[at];
                if machine.life == life && machine.tick_at <= self.now {
                    self.input(at, Input::Tick);
                }
            }
            Event::Operation => self.next_operation(),
            Event::Repeat { request, operation } => {
                let at = self.any_machine();
                self.propose_as(at, request, operation);
            }
            Event::Read => self.next_read(),
            Event::Start { at } => self.start(at),
            Event::Thaw { at } => self.thaw(at),
            Event::Fault => self.next_fault(),
        }
    }

    fn input(&mut self, at: usize, input: Input) {
        let now = self.now;
        let effects = self.machines[at].take(input, now);
        for effect in effects {
            // One effect may bring a fault on that ends the process before the next.
            if self.machines[at].is_up() {
                self.carry_out(at, effect);
            }
        }
        self.look_at(at);
    }

    fn look_at(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let Some(member) = machine.process.as_ref().filter(|_| !machine.frozen) else {
            return;
        };
        if member.view().number.0 > 0 {
            self.book.borrow_mut().adopted(member.view());
        }
        let (tick_at, life) = (member.next_tick().max(self.now + 1), machine.life);
        if machine.tick_at <= self.now || tick_at < machine.tick_at {
            machine.tick_at = tick_at;
            self.at(tick_at - self.now, Event::Tick { at, life });
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(at, to, message),
            Effect::Persist { ticket, writes } => {
                if self.shape.planted == Some(Planted::DiskLies) {
                    let life = self.machines[at].life;
                    self.at(
                        0,
                        Event::Synced {
                            at,
                            life,
                            ticket: ticket.0,
                        },
                    );
                }
                self.machines[at].disk.waiting.push_back((ticket, writes));
                self.sync_next(at);
            }
            Effect::Proposed { request, outcome } => {
                let Some((operation, _)) = self.proposals.remove(&request.0) else {
                    return;
                };
                let revision = u64::from_le_bytes(outcome.as_ref().try_into().unwrap());
                self.acknowledge(operation, revision);
                if self.chance.one_in(8) {
                    // The acknowledgement was lost on its way to the operator.
                    let delay = self.chance.between(1, 3_000);
                    self.at(
                        delay,
                        Event::Repeat {
                            request: request.0,
                            operation,
                        },
                    );
                }
            }
            Effect::ProposalFailed(request) => drop(self.proposals.remove(&request.0)),
            Effect::ReadReady(read) => {
                let Some((had_to_hold, _)) = self.reads.remove(&read) else {
                    return;
                };
                let revision = self.machines[at]
                    .process
                    .as_ref()
                    .map_or(Revision(0), |member| member.revision());
                self.book.borrow_mut().read(had_to_hold, revision.0);
            }
            Effect::ReadFailed(read) => drop(self.reads.remove(&read)),
        }
    }

    fn acknowledge(&mut self, operation: u64, revision: u64) {
        self.book.borrow_mut().acknowledged(operation, revision);
        let copies = self
            .machines
            .iter()
            .filter(|machine| machine.disk.holds(revision))
            .count();
        if copies <= self.shape.tolerated {
            let what = format!("revision {revision} was acknowledged with {copies} synced copies");
            self.book.borrow_mut().fail(Rule::Copies, what);
        }
        if self.strike && self.faults_on && self.chance.one_in(20) {
            self.strike_now();
        }
    }
}
