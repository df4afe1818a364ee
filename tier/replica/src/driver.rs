//! The task that owns the chain member: passes messages, clock ticks and completed writes to the
//! member and executes its effects.

use plankhill_chain::{ChainMember, Effect, Message};
use tokio::sync::mpsc;

use crate::clock::{deadline, Clock};
use crate::command::Command;
use crate::committed_state::ReplicatedState;
use crate::peer_connections::{PeerConnections, Received};
use crate::pending_calls::PendingCalls;
use crate::published::Published;
use crate::status::ReplicaStatus;
use crate::storage::{DiskReport, DiskWriter, WriteBatch};
use crate::typed_machine::TypedMachine;

/// The state of the task.
pub(crate) struct Driver<S: ReplicatedState> {
    member: ChainMember<TypedMachine<S>>,
    clock: Clock,
    connections: PeerConnections,
    disk: DiskWriter,
    inbox: mpsc::Receiver<Received>,
    commands: mpsc::Receiver<Command<S>>,
    published: Published<S>,
    pending: PendingCalls<S>,
}

/// Whether the task continues to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Continue,
    /// The disk has failed.
    Stop,
}

impl<S: ReplicatedState> Driver<S> {
    /// Creates the task of a member that was created at [`crate::clock::STARTED_AT`].
    pub(crate) fn new(
        member: ChainMember<TypedMachine<S>>,
        connections: PeerConnections,
        disk: DiskWriter,
        inbox: mpsc::Receiver<Received>,
        commands: mpsc::Receiver<Command<S>>,
        published: Published<S>,
    ) -> Self {
        Self {
            member,
            clock: Clock::start(),
            connections,
            disk,
            inbox,
            commands,
            published,
            pending: PendingCalls::new(),
        }
    }

    /// Runs until all handles are dropped or the disk fails.
    pub(crate) async fn run(mut self) {
        self.member.tick(self.clock.now());
        loop {
            // The biased `select!` below polls the timer last, so that a steady stream of messages
            // would delay ticks.
            let now = self.clock.now();
            if now >= self.member.next_tick() {
                self.member.tick(now);
            }
            if self.execute_effects() == Progress::Stop {
                return;
            }
            self.publish();
            let wake_at = self.clock.instant_of(self.member.next_tick());
            tokio::select! {
                // Disk reports come first: the member holds messages back until writes are synced.
                biased;
                Some(report) = self.disk.next_report() => match report {
                    DiskReport::Synced(ticket) => {
                        self.member.on_persisted(ticket, self.clock.now());
                    }
                    DiskReport::Rejected => self.member.on_disk_rejected(self.clock.now()),
                    DiskReport::Failed => return,
                },
                Some(received) = self.inbox.recv() => self.on_received(received),
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                () = tokio::time::sleep_until(wake_at.into()) => {
                    self.member.tick(self.clock.now());
                }
            }
        }
    }

    fn on_received(&mut self, received: Received) {
        let now = self.clock.now();
        if let Message::Heartbeat(heartbeat) = &received.message {
            self.connections.retry_now(heartbeat.member.address);
        }
        self.member.receive(&received.from, received.message, now);
    }

    fn on_command(&mut self, command: Command<S>) {
        let now = self.clock.now();
        match command {
            Command::Propose {
                operation,
                timeout,
                answer,
            } => {
                let Ok(bytes) = postcard::to_allocvec(&*operation) else {
                    return;
                };
                let request = self.pending.add_proposal(answer);
                self.member
                    .propose(request, bytes.into(), deadline(now, timeout), now);
            }
            Command::Read { timeout, answer } => {
                let read_id = self.pending.add_read(answer);
                self.member.read(read_id, deadline(now, timeout), now);
            }
            Command::Leave { answer } => {
                self.pending.add_leave(answer);
                self.member.leave(now);
            }
            Command::SetSeeds(seeds) => self.member.set_seeds(seeds),
        }
    }

    fn execute_effects(&mut self) -> Progress {
        for effect in self.member.take_effects() {
            match effect {
                Effect::Send { to, message } => self.connections.send(to, message),
                Effect::Persist { ticket, writes } => {
                    if self.disk.submit(WriteBatch { ticket, writes }).is_err() {
                        return Progress::Stop;
                    }
                }
                Effect::ProposalCommitted { request, outcome } => {
                    self.pending.complete_proposal(request, &outcome);
                }
                Effect::ProposalFailed(request) => self.pending.abandon_proposal(request),
                Effect::ReadReady(read_id) => {
                    self.published.publish_state(&self.member);
                    self.pending.complete_read(read_id, self.published.state());
                }
                Effect::ReadFailed(read_id) => self.pending.abandon_read(read_id),
            }
        }
        Progress::Continue
    }

    fn publish(&mut self) {
        self.published.publish_state(&self.member);
        let is_current = self.member.is_current(self.clock.now());
        self.published.publish_current(is_current);
        let status = self.status(is_current);
        let is_in_chain = status.is_in_chain;
        if self.published.is_new_status(&status) {
            self.connections.retain(&self.member.contacts());
            tracing::info!(
                view = status.view.0,
                is_head = status.is_head,
                is_in_chain,
                "replica status changed"
            );
            self.published.publish_status(status);
        }
        if !is_in_chain {
            self.pending.complete_leaves();
        }
    }

    fn status(&self, is_current: bool) -> ReplicaStatus {
        let view = self.member.view();
        let position = view.position_of(&self.member.member().identity);
        ReplicaStatus {
            view: view.number,
            is_head: is_current && position == Some(0),
            is_in_chain: position.is_some(),
            chain: view.chain_members().cloned().collect(),
            voters: view.voters.clone(),
        }
    }
}
