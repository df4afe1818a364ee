//! One member of the chain: takes in messages, time and finished writes, and says what is to be done.

mod adopt;
mod attempt;
mod catch_up;
mod effects;
mod presence;
mod proposals;
mod reads;
mod reform;
mod replication;
mod votes;

use std::collections::VecDeque;
use std::net::SocketAddr;

use plankhill_protocol::ids::Revision;

use crate::durable::{Acceptor, Durable, Snapshot};
use crate::effect::{Deferred, Effect, Millis, Ticket};
use crate::log::Log;
use crate::machine::{BadSnapshot, Replicated, StateMachine};
use crate::message::Message;
use crate::peers::Peers;
use crate::view::{Identity, Member, View, ViewNumber};

use attempt::Attempts;
use catch_up::CatchUp;
use presence::Presence;
use proposals::Proposals;
use reads::Reads;
use replication::Passing;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Itself.
    pub member: Member,
    /// Losses to be borne at once (f): nothing is acknowledged before f+1 members have it.
    pub tolerated: usize,
    /// Where the seeds' controllers listen.
    pub seeds: Vec<SocketAddr>,
    /// A random number.
    pub random: u64,
}

/// One member of the chain.
pub struct ChainMember<M> {
    me: Member,
    tolerated: usize,
    seeds: Vec<SocketAddr>,
    now: Millis,
    random: u64,
    founders: Option<Vec<SocketAddr>>,
    acceptor: Acceptor,
    view: View,
    /// The view on disk, and the last operation on disk in it.
    durable: (ViewNumber, Revision),
    log: Log,
    snapshot: Snapshot,
    replicated: Replicated<M>,
    peers: Peers,
    presence: Presence,
    passing: Passing,
    attempts: Attempts,
    catch_up: CatchUp,
    proposals: Proposals,
    reads: Reads,
    effects: Vec<Effect>,
    tickets: Ticket,
    /// What waits for the disk, with the time at which it was handed over.
    deferred: VecDeque<(Ticket, Millis, Deferred)>,
}

impl<M: StateMachine> ChainMember<M> {
    /// Starts from what is on the disk, whose incarnation has to be there already.
    ///
    /// # Errors
    /// [`BadSnapshot`] when the snapshot on the disk is not one of this state machine.
    pub fn new(
        configuration: Configuration,
        disk: Durable,
        machine: M,
        now: Millis,
    ) -> Result<Self, BadSnapshot> {
        let replicated = Replicated::new(machine, &disk.snapshot)?;
        let log = Log::new(disk.snapshot.revision, disk.entries);
        let acceptor = match disk.acceptor.instance == disk.view.number.next() {
            true => disk.acceptor,
            false => Acceptor::fresh(disk.view.number.next()),
        };
        let random = configuration.random | 1;
        let mut member = Self {
            me: configuration.member,
            tolerated: configuration.tolerated,
            seeds: configuration.seeds,
            now,
            random,
            founders: disk.founders,
            acceptor,
            durable: (disk.view.number, log.last()),
            view: disk.view,
            log,
            snapshot: disk.snapshot,
            replicated,
            peers: Peers::new(now),
            presence: Presence::new(random >> 1, now),
            passing: Passing::default(),
            attempts: Attempts::default(),
            catch_up: CatchUp::default(),
            proposals: Proposals::default(),
            reads: Reads::new(random),
            effects: Vec::new(),
            tickets: Ticket::default(),
            deferred: VecDeque::new(),
        };
        member.resume(disk.committed);
        Ok(member)
    }

    /// Takes in a message. `from` is who the connection was opened by, or answered by.
    pub fn receive(&mut self, from: &Identity, message: Message, now: Millis) {
        self.now = self.now.max(now);
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            Message::Decided(view) => self.adopt(view),
            Message::Prepare { instance, ballot } => self.on_prepare(from, instance, ballot),
            Message::Accept { ballot, view } => self.on_accept(from, ballot, view),
            Message::Promise { .. } | Message::Refuse { .. } | Message::Accepted { .. } => {
                self.on_vote(from, message);
            }
            Message::Forward { view, entry } => self.on_forward(from, view, entry),
            Message::Append {
                view,
                previous,
                entries,
            } => self.on_append(from, view, previous, entries),
            Message::Committed { view, revision } => self.on_committed(from, view, revision),
            Message::Outcome { request, outcome } => self.on_outcome(request, outcome),
            Message::Fetch { view, after } => self.on_fetch(from, view, after),
            Message::Fetched {
                view,
                after,
                entries,
                committed,
            } => {
                self.on_fetched(from, view, after, entries, committed);
            }
            Message::Install { view, snapshot } => self.on_install(from, view, snapshot),
            Message::Read { view, read } => self.on_read(from, view, read),
            Message::ReadAt { read, revision } => self.on_read_at(read, revision),
            Message::Confirm { view, round } => self.on_confirm(from, view, round),
            Message::Confirmed { view, round } => self.on_confirmed(from, view, round),
        }
    }

    /// A batch of writes, and with it all earlier ones, survives a loss of power now.
    pub fn persisted(&mut self, ticket: Ticket, now: Millis) {
        self.now = self.now.max(now);
        self.presence.disk_refuses = false;
        while self
            .deferred
            .front()
            .is_some_and(|(waits_for, _, _)| *waits_for <= ticket)
        {
            let Some((_, _, deferred)) = self.deferred.pop_front() else {
                return;
            };
            self.carry_out(deferred);
        }
    }

    /// The disk has refused to write, as a full one does. It goes on being tried; until a batch has been written the
    /// others go on without this member.
    pub fn disk_refuses(&mut self, now: Millis) {
        self.now = self.now.max(now);
        self.presence.disk_refuses = true;
        self.send_heartbeats();
    }

    /// Time passes; to be called at [`ChainMember::next_tick`] at the latest.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        self.keep_presence();
        self.drive_attempts();
        self.resend_operations();
        self.repeat_proposals();
        self.repeat_reads();
    }

    /// What is to be done, in this order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The state machine, with all committed operations that are known here applied.
    pub fn machine(&self) -> &M {
        self.replicated.machine()
    }

    /// The last operation applied.
    pub fn revision(&self) -> Revision {
        self.replicated.revision()
    }

    /// The newest view known; number 0 for none.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether this member has promised to help with the next view, and takes no operations in this one.
    fn is_sealed(&self) -> bool {
        self.acceptor.promised.is_some()
    }

    fn in_chain(&self) -> bool {
        self.view.in_chain(&self.me.identity)
    }

    fn is_head(&self) -> bool {
        self.view.place(&self.me.identity) == Some(0)
    }

    fn is_tail(&self) -> bool {
        self.view
            .place(&self.me.identity)
            .is_some_and(|place| place + 1 == self.view.chain.len())
    }

    /// Links that a chain needs before it may acknowledge: f+1, or all machines of a core that has fewer.
    fn required_links(&self, voters: usize) -> usize {
        voters.max(self.seeds.len()).min(self.tolerated + 1)
    }
}
