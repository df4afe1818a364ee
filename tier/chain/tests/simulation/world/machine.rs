//! A machine of the world: a disk that survives, and a process that may not.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_chain::{
    ChainMember, Configuration, Durable, Effect, Identity, Member, Message, Millis, Ticket, Write,
};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};

use super::chance::Chance;
use super::checker::{Book, Listing};

/// What survives the process.
#[derive(Default)]
pub struct Disk {
    pub synced: Durable,
    /// Batches that the process has handed over, the first of them being written.
    pub waiting: VecDeque<(Ticket, Vec<Write>)>,
}

impl Disk {
    /// Whether an operation would be found here after a loss of power.
    pub fn holds(&self, revision: u64) -> bool {
        let last = self
            .synced
            .entries
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default();
        self.synced.incarnation.is_some()
            && last.max(self.synced.snapshot.revision) >= Revision(revision)
    }

    /// The process or the power is gone: some of what waited has still reached the disk, in order.
    pub fn lose(&mut self, chance: &mut Chance) {
        let survives = chance.below(self.waiting.len() as u64 + 1);
        for (_, writes) in self.waiting.drain(..).take(survives as usize) {
            writes.iter().for_each(|write| self.synced.apply(write));
        }
    }
}

/// Something that a process takes in.
pub enum Input {
    Message(Identity, Message),
    Persisted(Ticket),
    DiskRefuses,
    Tick,
    Propose {
        request: u128,
        operation: u64,
        ends: Millis,
    },
    Read {
        read: u64,
        ends: Millis,
    },
}

/// One machine.
pub struct Machine {
    pub node: NodeId,
    pub address: SocketAddr,
    pub disk: Disk,
    pub process: Option<ChainMember<Listing>>,
    /// Tells events of former lives apart.
    pub life: u64,
    pub frozen: bool,
    /// What has come while it was frozen.
    pub held_back: VecDeque<Input>,
    pub tick_at: Millis,
    /// The disk answers nothing until then.
    pub stalled_until: Millis,
    /// The disk refuses to write until then.
    pub full_until: Millis,
    /// Gone for good.
    pub removed: bool,
}

impl Machine {
    pub fn new(number: usize) -> Self {
        let address = SocketAddr::from(([10, 0, 0, number as u8], 7000));
        Self {
            node: NodeId::from(format!("core-{number}").as_str()),
            address,
            disk: Disk::default(),
            process: None,
            life: 0,
            frozen: false,
            held_back: VecDeque::new(),
            tick_at: 0,
            stalled_until: 0,
            full_until: 0,
            removed: false,
        }
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Starts the process; an empty disk begins a new incarnation.
    pub fn start(
        &mut self,
        start: Start,
        book: &Rc<RefCell<Book>>,
        now: Millis,
        chance: &mut Chance,
    ) {
        self.life += 1;
        self.frozen = false;
        self.held_back.clear();
        if self.disk.synced.incarnation.is_none() {
            let founders = start.bootstrap.then(|| start.seeds.clone());
            let founders = founders.filter(|founders| founders.contains(&self.address));
            self.disk
                .synced
                .apply(&Write::Incarnation(Incarnation(start.incarnation)));
            founders
                .into_iter()
                .for_each(|founders| self.disk.synced.apply(&Write::Founders(founders)));
        }
        let incarnation = self.disk.synced.incarnation.unwrap();
        let configuration = Configuration {
            member: Member {
                identity: Identity {
                    node: self.node.clone(),
                    incarnation,
                },
                address: self.address,
            },
            tolerated: start.tolerated,
            seeds: start.seeds,
            random: chance.number(),
        };
        let machine = Listing::new(Rc::clone(book));
        let member = ChainMember::new(configuration, self.disk.synced.clone(), machine, now);
        self.process = member.ok();
        self.tick_at = now;
    }

    /// The process ends; nothing of it is left but the disk.
    pub fn stop(&mut self, chance: &mut Chance) {
        self.process = None;
        self.disk.lose(chance);
    }

    /// Hands something to the process and returns what it wants done.
    pub fn take(&mut self, input: Input, now: Millis) -> Vec<Effect> {
        let Some(member) = self.process.as_mut() else {
            return Vec::new();
        };
        if self.frozen {
            self.held_back.push_back(input);
            return Vec::new();
        }
        match input {
            Input::Message(from, message) => member.receive(&from, message, now),
            Input::Persisted(ticket) => member.persisted(ticket, now),
            Input::DiskRefuses => member.disk_refuses(now),
            Input::Tick => member.tick(now),
            Input::Propose {
                request,
                operation,
                ends,
            } => {
                let request = plankhill_chain::RequestNumber(request);
                member.propose(request, operation.to_le_bytes().to_vec().into(), ends, now);
            }
            Input::Read { read, ends } => member.read(read, ends, now),
        }
        member.take_effects()
    }
}

/// How a process is started.
#[derive(Clone)]
pub struct Start {
    pub bootstrap: bool,
    pub incarnation: u64,
    pub tolerated: usize,
    pub seeds: Vec<SocketAddr>,
}
