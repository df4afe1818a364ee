//! One member of the chain: processes messages, time and completed writes, and returns effects.
//!
//! [`ChainMember`] combines components that each own one part of the state. The submodules implement
//! one concern of a member each:
//!
//! | module | concern |
//! | --- | --- |
//! | `heartbeats` | sending and receiving heartbeats; the contacts that receive them |
//! | `availability`, `freshness` | whether this member is available to the chain; whether its state is current |
//! | `disk_speed` | timeouts that depend on disks; exclusion of slow disks from the chain |
//! | `reconfiguration` | whether another view is needed; which member proposes it, and when |
//! | `proposer`, `voting` | the agreement on a view: proposing and voting |
//! | `view_plan`, `bootstrap` | selection of the view to propose; the first view |
//! | `view_change` | adopting a view; restarting with the view on disk |
//! | `proposals`, `ordering` | operations proposed at this member; their order at the head |
//! | `replication`, `commit` | replication of operations along the chain; commit, apply, snapshot |
//! | `catch_up` | transfer of missing operations to a member outside the chain |
//! | `reads`, `read_confirmation` | linearizable reads: requests at this member; confirmation at the tail |
//! | `exploration`, `planted_bugs` | support for tests that explore all states |

mod availability;
mod bootstrap;
mod catch_up;
mod commit;
mod disk_speed;
mod exploration;
mod freshness;
mod heartbeats;
mod local_node;
mod ordering;
#[cfg(feature = "planted-bugs")]
mod planted_bugs;
mod proposals;
mod proposer;
mod read_confirmation;
mod reads;
mod reconfiguration;
mod replication;
mod view_change;
mod view_plan;
mod voting;

use std::net::SocketAddr;

use plankhill_protocol::ids::Revision;

use crate::acceptor::Acceptor;
use crate::effect::{Effect, Millis, Ticket};
use crate::failure_detector::FailureDetector;
use crate::log::Log;
use crate::message::Message;
use crate::outbox::{AfterSync, Outbox};
use crate::replicated_log::ReplicatedLog;
use crate::rng::Rng;
use crate::state_machine::{BadSnapshot, StateMachine};
use crate::storage::{DurableState, Write};
use crate::timing::HEARTBEAT_INTERVAL;
use crate::view::{Identity, Member, View};
use crate::vote::Vote;

use availability::Availability;
use catch_up::CatchUp;
use disk_speed::SlowDisks;
use freshness::Freshness;
use heartbeats::HeartbeatSchedule;
use local_node::LocalNode;
use proposals::PendingProposals;
use proposer::Proposer;
use read_confirmation::ReadConfirmation;
use reads::PendingReads;
use replication::SuccessorProgress;

/// Identity and settings with which a member starts.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Identity and address of the member.
    pub member: Member,
    /// Number of simultaneous member failures to tolerate (f): an operation is acknowledged only
    /// after f+1 members have it on disk.
    pub tolerated_faults: usize,
    /// Addresses at which the seeds' controllers listen.
    pub seeds: Vec<SocketAddr>,
    /// Random seed of the member.
    pub random_seed: u64,
}

/// A member of the chain, or a machine that may become one: its state and protocol logic.
#[derive(Clone)]
pub struct ChainMember<M> {
    local: LocalNode,
    now: Millis,
    rng: Rng,
    view: View,
    acceptor: Acceptor,
    /// Ticket of the batch that writes the current acceptor to the disk.
    acceptor_ticket: Ticket,
    proposer: Proposer,
    log: ReplicatedLog<M>,
    failure_detector: FailureDetector,
    heartbeat_schedule: HeartbeatSchedule,
    availability: Availability,
    slow_disks: SlowDisks,
    freshness: Freshness,
    successor: SuccessorProgress,
    catch_up: CatchUp,
    proposals: PendingProposals,
    reads: PendingReads,
    read_confirmation: ReadConfirmation,
    outbox: Outbox,
    #[cfg(feature = "planted-bugs")]
    planted_bug: Option<crate::planted_bug::PlantedBug>,
}

impl<M: StateMachine> ChainMember<M> {
    /// Starts a member from its durable state, which must already have an incarnation.
    ///
    /// # Errors
    /// [`BadSnapshot`] if the state machine cannot decode the snapshot on the disk.
    pub fn new(
        config: MemberConfig,
        disk: DurableState,
        machine: M,
        now: Millis,
    ) -> Result<Self, BadSnapshot> {
        let next_view = disk.view.number.next();
        let acceptor = match disk.acceptor.instance == next_view {
            true => disk.acceptor,
            false => Acceptor::new(next_view),
        };
        let seed = config.random_seed | 1;
        let log = Log::new(disk.snapshot.revision, disk.entries);
        let mut member = Self {
            local: LocalNode::new(config, disk.founders, now),
            now,
            rng: Rng::new(seed),
            acceptor,
            acceptor_ticket: Ticket::default(),
            proposer: Proposer::default(),
            log: ReplicatedLog::new(machine, disk.snapshot, log, disk.view.number)?,
            view: disk.view,
            failure_detector: FailureDetector::new(now),
            heartbeat_schedule: HeartbeatSchedule::new(seed >> 1, now),
            availability: Availability::default(),
            slow_disks: SlowDisks::default(),
            freshness: Freshness::default(),
            successor: SuccessorProgress::default(),
            catch_up: CatchUp::default(),
            proposals: PendingProposals::default(),
            reads: PendingReads::default(),
            read_confirmation: ReadConfirmation::new(seed >> 1),
            outbox: Outbox::default(),
            #[cfg(feature = "planted-bugs")]
            planted_bug: None,
        };
        member.resume(disk.committed);
        Ok(member)
    }

    /// Processes a message. `from` is the member at the other end of the connection.
    pub fn receive(&mut self, from: &Identity, message: Message, now: Millis) {
        self.advance_clock(now);
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            Message::Decided(view) => self.adopt_view(view),
            Message::Prepare { instance, ballot } => self.on_prepare(from, instance, ballot),
            Message::Accept { ballot, view } => self.on_accept(from, ballot, view),
            Message::Promise {
                instance,
                ballot,
                accepted,
                last_revision,
            } => {
                let vote = Vote::Promise {
                    instance,
                    ballot,
                    accepted,
                    last_revision,
                };
                self.on_vote(from, vote);
            }
            Message::Refuse { instance, promised } => {
                self.on_vote(from, Vote::Refuse { instance, promised });
            }
            Message::Accepted { instance, ballot } => {
                self.on_vote(from, Vote::Accepted { instance, ballot });
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
            } => self.on_fetched(from, view, after, entries, committed),
            Message::Install { view, snapshot } => self.on_install(from, view, snapshot),
            Message::Read { view, read_id } => self.on_read(from, view, read_id),
            Message::ReadAt { read_id, revision } => self.on_read_at(read_id, revision),
            Message::Confirm {
                view,
                confirmation_id,
            } => self.on_confirm(from, view, confirmation_id),
            Message::Confirmed {
                view,
                confirmation_id,
            } => self.on_confirmed(from, view, confirmation_id),
        }
    }

    /// Reports that a batch of writes, and with it all earlier ones, survives a power failure.
    pub fn on_persisted(&mut self, ticket: Ticket, now: Millis) {
        self.advance_clock(now);
        self.availability.disk_recovered();
        self.outbox.record_sync(self.now);
        while let Some(after) = self.outbox.pop_synced(ticket) {
            self.on_synced(after);
        }
    }

    /// Reports that the disk has rejected a write, for example because it is full. The driver
    /// retries; until a batch is written, the other members continue without this one.
    pub fn on_disk_rejected(&mut self, now: Millis) {
        self.advance_clock(now);
        self.availability.disk_rejected_write();
        self.send_heartbeats();
    }

    /// Processes the passage of time; must be called at [`ChainMember::next_tick`] at the latest.
    pub fn tick(&mut self, now: Millis) {
        self.advance_clock(now);
        self.failure_detector.tick(self.now);
        self.send_due_heartbeats();
        self.observe_slow_disks();
        self.probe_slow_disk();
        self.drive_proposer();
        self.resend_operations();
        self.retry_proposals();
        self.retry_reads();
    }

    /// Time at which `tick` must be called next.
    pub fn next_tick(&self) -> Millis {
        let is_busy = !self.proposer.is_idle()
            || !self.proposals.is_empty()
            || !self.reads.is_empty()
            || !self.read_confirmation.is_idle();
        let interval = match is_busy {
            true => HEARTBEAT_INTERVAL / 3,
            false => HEARTBEAT_INTERVAL,
        };
        self.heartbeat_schedule.next_at().min(self.now + interval)
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.local.set_seeds(seeds);
    }

    /// Requests that the other members continue without this one.
    pub fn leave(&mut self, now: Millis) {
        self.advance_clock(now);
        self.availability.leave();
        self.send_heartbeats();
    }

    /// Removes and returns the effects that the driver must perform, in this order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.outbox.take_effects()
    }

    /// The state machine, with all operations applied that are known to be committed at this
    /// member.
    pub fn machine(&self) -> &M {
        self.log.machine()
    }

    /// Revision of the last applied operation.
    pub fn revision(&self) -> Revision {
        self.log.committed()
    }

    /// The newest known view; number 0 before the first view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Identity and address of this member.
    pub fn member(&self) -> &Member {
        self.local.member()
    }

    /// Advances the clock; an earlier time from the driver does not set it back.
    fn advance_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    fn on_synced(&mut self, after: AfterSync) {
        match after {
            AfterSync::Nothing => {}
            AfterSync::Send(to, message) => self.outbox.send(to, message),
            AfterSync::CountVote(vote) => {
                let identity = self.local.identity().clone();
                self.on_vote(&identity, vote);
            }
            AfterSync::ViewAdopted(position) => {
                self.log.set_persisted(position);
                self.send_heartbeats();
            }
            AfterSync::Appended(position) => {
                self.log.set_persisted(position);
                self.on_appended(position.view);
            }
        }
    }

    fn persist(&mut self, writes: Vec<Write>, after: AfterSync) -> Ticket {
        self.outbox.persist(writes, after, self.now)
    }

    /// Sends to a machine whose address is known from its heartbeat or from the view; drops the
    /// message otherwise.
    fn send_to(&mut self, to: &Identity, message: Message) {
        if let Some(address) = self.address_of(to) {
            self.outbox.send(address, message);
        }
    }

    fn address_of(&self, identity: &Identity) -> Option<SocketAddr> {
        if let Some(peer) = self.failure_detector.peer(identity) {
            return Some(peer.member().address);
        }
        let voter = self.view.voter(identity)?;
        Some(voter.address)
    }

    /// Returns whether the newest known view is on disk.
    fn is_view_persisted(&self) -> bool {
        self.log.persisted().view == self.view.number
    }

    fn is_in_chain(&self) -> bool {
        self.view.is_in_chain(self.local.identity())
    }

    fn is_head(&self) -> bool {
        self.view.position_of(self.local.identity()) == Some(0)
    }

    fn is_tail(&self) -> bool {
        match self.view.position_of(self.local.identity()) {
            Some(position) => position + 1 == self.view.chain.len(),
            None => false,
        }
    }
}
