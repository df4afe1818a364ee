//! A simulated machine: a process, and a disk that survives the end of the process.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_chain::{
    ChainMember, DurableState, Effect, Identity, Member, MemberConfig, Message, Millis, Ticket,
    Write,
};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};

use super::checker::{History, RecordingMachine};
use super::rng::SimRng;

/// A disk, which survives the end of the process.
#[derive(Default)]
pub struct Disk {
    pub synced: DurableState,
    /// Batches that the process has submitted and that are not synced yet, in order; the first of
    /// them are being written.
    pub pending: VecDeque<(Ticket, Vec<Write>)>,
}

impl Disk {
    /// Returns whether an operation would survive a power loss.
    pub fn contains(&self, revision: u64) -> bool {
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

    /// Simulates a crash or a power loss: a random number of the pending batches has still reached
    /// the disk, in order.
    pub fn crash(&mut self, rng: &mut SimRng) {
        let synced_count = rng.below(self.pending.len() as u64 + 1);
        for (_, writes) in self.pending.drain(..).take(synced_count as usize) {
            for write in &writes {
                self.synced.apply(write);
            }
        }
    }
}

/// An input to a process.
pub enum Input {
    Message(Identity, Message),
    Persisted(Ticket),
    DiskRejected,
    Tick,
    Propose {
        request: u128,
        operation: u64,
        deadline: Millis,
    },
    Read {
        read: u64,
        deadline: Millis,
    },
}

/// A simulated machine.
pub struct Machine {
    pub node: NodeId,
    pub address: SocketAddr,
    pub disk: Disk,
    pub process: Option<ChainMember<RecordingMachine>>,
    /// Number of starts of the process so far; events of earlier starts are recognized by it.
    pub process_epoch: u64,
    pub frozen: bool,
    /// Inputs that arrive while the process is frozen.
    pub queued_inputs: VecDeque<Input>,
    pub tick_at: Millis,
    /// Duration of each sync of the disk; `None` for a few ms, chosen at random for each sync.
    pub sync_time: Option<Millis>,
    /// Time at which `sync_time` ceases to apply.
    pub slow_until: Millis,
    /// Time until which the disk completes no syncs.
    pub stalled_until: Millis,
    /// Time until which the disk rejects writes.
    pub full_until: Millis,
    /// Whether the machine has been replaced by another one.
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
            process_epoch: 0,
            frozen: false,
            queued_inputs: VecDeque::new(),
            tick_at: 0,
            sync_time: None,
            slow_until: Millis::MAX,
            stalled_until: 0,
            full_until: 0,
            removed: false,
        }
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Starts the process; an empty disk gets a new incarnation.
    pub fn start(
        &mut self,
        start: StartConfig,
        history: &Rc<RefCell<History>>,
        now: Millis,
        rng: &mut SimRng,
    ) {
        self.process_epoch += 1;
        self.frozen = false;
        self.queued_inputs.clear();
        if self.disk.synced.incarnation.is_none() {
            let founders = start.bootstrap.then(|| start.seeds.clone());
            let founders = founders.filter(|founders| founders.contains(&self.address));
            self.disk
                .synced
                .apply(&Write::Incarnation(Incarnation(start.incarnation)));
            if let Some(founders) = founders {
                self.disk.synced.apply(&Write::Founders(founders));
            }
        }
        let incarnation = self.disk.synced.incarnation.unwrap();
        let configuration = MemberConfig {
            member: Member {
                identity: Identity {
                    node: self.node.clone(),
                    incarnation,
                },
                address: self.address,
            },
            tolerated_faults: start.tolerated_faults,
            seeds: start.seeds,
            random_seed: rng.next_u64(),
        };
        let machine = RecordingMachine::new(Rc::clone(history));
        let member = ChainMember::new(configuration, self.disk.synced.clone(), machine, now);
        self.process = member.ok();
        self.tick_at = now;
    }

    /// Ends the process; only the disk remains.
    pub fn stop(&mut self, rng: &mut SimRng) {
        self.process = None;
        self.disk.crash(rng);
    }

    /// Delivers an input to the process; returns the resulting effects.
    pub fn handle_input(&mut self, input: Input, now: Millis) -> Vec<Effect> {
        let Some(member) = self.process.as_mut() else {
            return Vec::new();
        };
        if self.frozen {
            self.queued_inputs.push_back(input);
            return Vec::new();
        }
        match input {
            Input::Message(from, message) => member.receive(&from, message, now),
            Input::Persisted(ticket) => member.on_persisted(ticket, now),
            Input::DiskRejected => member.on_disk_rejected(now),
            Input::Tick => member.tick(now),
            Input::Propose {
                request,
                operation,
                deadline,
            } => {
                let request = plankhill_chain::RequestNumber(request);
                member.propose(
                    request,
                    operation.to_le_bytes().to_vec().into(),
                    deadline,
                    now,
                );
            }
            Input::Read { read, deadline } => member.read(read, deadline, now),
        }
        member.take_effects()
    }
}

/// Parameters for the start of a process.
#[derive(Clone)]
pub struct StartConfig {
    pub bootstrap: bool,
    pub incarnation: u64,
    pub tolerated_faults: usize,
    pub seeds: Vec<SocketAddr>,
}
