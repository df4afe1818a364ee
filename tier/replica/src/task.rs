//! The task that owns the member: feeds it with messages, time and finished writes, and does what it says.

use std::collections::BTreeMap;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plankhill_chain::timing::CURRENT;
use plankhill_chain::{
    ChainMember, Effect, Message, Millis, RequestNumber, Ticket, ViewNumber, Write,
};
use plankhill_protocol::ids::Revision;
use tokio::sync::{mpsc, oneshot, watch};

use crate::handle::{Command, ReplicaStatus};
use crate::links::{Links, Received};
use crate::machine::TypedMachine;
use crate::state::{CommittedState, ReplicatedState};
use crate::storage::Written;

/// What the member's clock says at the start of its process. It does not begin at 0: what a member is told of may have
/// happened before it started, up to the time for which a confirmation counts.
pub(crate) const STARTED_AT: Millis = CURRENT;

/// Everything that the task owns.
pub(crate) struct Driver<S: ReplicatedState> {
    pub(crate) member: ChainMember<TypedMachine<S>>,
    pub(crate) started: Instant,
    pub(crate) links: Links,
    pub(crate) inbox: mpsc::Receiver<Received>,
    pub(crate) commands: mpsc::Receiver<Command<S>>,
    pub(crate) disk: Sender<(Ticket, Vec<Write>)>,
    pub(crate) written: mpsc::UnboundedReceiver<Written>,
    pub(crate) published: Published<S>,
    pub(crate) waiting: Waiting<S>,
}

/// What the handles see.
pub(crate) struct Published<S: ReplicatedState> {
    pub(crate) state: watch::Sender<Arc<CommittedState<S>>>,
    pub(crate) standing: watch::Sender<ReplicaStatus>,
    pub(crate) current: watch::Sender<bool>,
}

/// Callers that wait for an answer.
pub(crate) struct Waiting<S: ReplicatedState> {
    pub(crate) next: u128,
    pub(crate) proposals: BTreeMap<RequestNumber, oneshot::Sender<S::Outcome>>,
    pub(crate) reads: BTreeMap<u64, oneshot::Sender<Arc<CommittedState<S>>>>,
    pub(crate) leaving: Vec<oneshot::Sender<()>>,
}

impl<S: ReplicatedState> Driver<S> {
    /// Runs until all handles are gone or the disk fails.
    pub(crate) async fn run(mut self) {
        self.member.tick(self.now());
        loop {
            // Messages alone may keep the task busy.
            if self.now() >= self.member.next_tick() {
                self.member.tick(self.now());
            }
            if !self.carry_out() {
                return;
            }
            self.publish();
            let wake = self.started
                + Duration::from_millis(self.member.next_tick().saturating_sub(STARTED_AT));
            tokio::select! {
                biased;
                Some(written) = self.written.recv() => match written {
                    Written::Synced(ticket) => self.member.persisted(ticket, self.now()),
                    Written::Refused => self.member.disk_refuses(self.now()),
                    Written::Failed => return,
                },
                Some(received) = self.inbox.recv() => {
                    let now = self.now();
                    if let Message::Heartbeat(heartbeat) = &received.message {
                        self.links.heard(heartbeat.member.address);
                    }
                    self.member.receive(&received.from, received.message, now);
                }
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                () = tokio::time::sleep_until(wake.into()) => self.member.tick(self.now()),
            }
        }
    }

    fn now(&self) -> Millis {
        let elapsed = Millis::try_from(self.started.elapsed().as_millis()).unwrap_or(Millis::MAX);
        STARTED_AT.saturating_add(elapsed)
    }

    fn on_command(&mut self, command: Command<S>) {
        let now = self.now();
        let ends = |timeout: Duration| {
            now + Millis::try_from(timeout.as_millis()).unwrap_or(Millis::MAX >> 1)
        };
        match command {
            Command::Propose {
                operation,
                timeout,
                answer,
            } => {
                let Ok(bytes) = postcard::to_allocvec(&*operation) else {
                    return;
                };
                let request = RequestNumber(self.waiting.number());
                self.waiting.proposals.insert(request, answer);
                self.member
                    .propose(request, bytes.into(), ends(timeout), now);
            }
            Command::Read { timeout, answer } => {
                let read = self.waiting.number() as u64;
                self.waiting.reads.insert(read, answer);
                self.member.read(read, ends(timeout), now);
            }
            Command::Leave { answer } => {
                self.waiting.leaving.push(answer);
                self.member.leave(now);
            }
            Command::SetSeeds(seeds) => self.member.set_seeds(seeds),
        }
    }

    /// Does what the member says; false when the disk is gone.
    fn carry_out(&mut self) -> bool {
        for effect in self.member.take_effects() {
            match effect {
                Effect::Send { to, message } => self.links.send(to, message),
                Effect::Persist { ticket, writes } => {
                    if self.disk.send((ticket, writes)).is_err() {
                        return false;
                    }
                }
                Effect::Proposed { request, outcome } => self.waiting.proposed(request, &outcome),
                Effect::ProposalFailed(request) => drop(self.waiting.proposals.remove(&request)),
                Effect::ReadReady(read) => {
                    self.publish_state();
                    self.waiting.read(read, &self.published.state.borrow());
                }
                Effect::ReadFailed(read) => drop(self.waiting.reads.remove(&read)),
            }
        }
        true
    }

    fn publish(&mut self) {
        self.publish_state();
        let current = self.member.is_current(self.now());
        self.published
            .current
            .send_if_modified(|held| std::mem::replace(held, current) != current);
        let standing = self.standing(current);
        let changed = *self.published.standing.borrow() != standing;
        if changed {
            self.links.keep_only(&self.member.contacts());
            tracing::info!(
                view = standing.view.0,
                is_head = standing.is_head,
                "place in the chain"
            );
            self.published.standing.send_replace(standing);
        }
        if !self.member.view().in_chain(&self.member.me().identity) {
            for answer in self.waiting.leaving.drain(..) {
                // The caller may have stopped waiting.
                let _ = answer.send(());
            }
        }
    }

    fn publish_state(&mut self) {
        let held = self.published.state.borrow().key();
        let (revision, view) = (self.member.revision(), self.member.view().number);
        if held != (revision, view) {
            let state = self.member.machine().publish(revision, view);
            self.published.state.send_replace(Arc::new(state));
        }
    }

    fn standing(&self, current: bool) -> ReplicaStatus {
        let view = self.member.view();
        let is_head = current && view.place(&self.member.me().identity) == Some(0);
        ReplicaStatus {
            view: view.number,
            is_head,
            in_chain: view.in_chain(&self.member.me().identity),
            chain: view.links().cloned().collect(),
            voters: view.voters.clone(),
        }
    }
}

impl<S: ReplicatedState> CommittedState<S> {
    fn key(&self) -> (Revision, ViewNumber) {
        (self.revision, self.view)
    }
}

impl<S: ReplicatedState> Waiting<S> {
    /// Numbers go up from a random one, so that two members or two lives do not use the same.
    fn number(&mut self) -> u128 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    fn proposed(&mut self, request: RequestNumber, outcome: &[u8]) {
        let Some(answer) = self.proposals.remove(&request) else {
            return;
        };
        if let Ok(outcome) = postcard::from_bytes(outcome) {
            // The caller may have stopped waiting.
            let _ = answer.send(outcome);
        }
    }

    fn read(&mut self, read: u64, state: &Arc<CommittedState<S>>) {
        if let Some(answer) = self.reads.remove(&read) {
            let _ = answer.send(Arc::clone(state));
        }
    }
}
