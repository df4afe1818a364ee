//! Passes the output of raft's node to the disk, the links and the event loop, and manages the lease. A voter's
//! messages wait for its disk. A leader's messages may be sent before its own write completes, since the leader counts
//! itself in a majority only after its disk has acknowledged (Raft, dissertation, section 10.2.1).

use raft::eraftpb::Entry;
use raft::{Ready, StateRole};

use super::effects::{Effects, HardState, PersistRequest, SnapshotBase};
use super::entry_context::EntryContext;
use super::log_storage::LogPosition;
use super::{AwaitingDisk, LeaseRequest, Replica};
use crate::{GroupEvent, Term};

impl Replica {
    /// Emits all pending output of raft's node.
    pub(super) fn drain_ready(&mut self, out: &mut Effects) {
        self.observe_role(out);
        while self.fault.is_none() && self.node.has_ready() {
            let ready = self.node.ready();
            self.handle_ready(ready, out);
        }
        self.open_proposals
            .take_answers(self.group, &mut out.events);
    }

    fn handle_ready(&mut self, mut ready: Ready, out: &mut Effects) {
        out.messages.extend(ready.take_messages());
        let base = self.install_snapshot(&ready);
        self.node.mut_store().append(ready.entries());
        self.persist(&mut ready, base.as_ref(), out);
        for read_state in ready.take_read_states() {
            self.lease_request_answered(&read_state.request_ctx);
        }
        let committed = ready.take_committed_entries();
        self.node.advance_append_async(ready);
        if let Some(base) = base {
            self.apply_snapshot(&base, out);
        }
        self.apply_committed(&committed, out);
        self.release_messages(out);
        self.observe_role(out);
        self.serve_snapshot_request();
        self.compact_if_large(out);
    }

    /// Replaces the in-memory log by a leader's snapshot.
    fn install_snapshot(&mut self, ready: &Ready) -> Option<SnapshotBase> {
        let snapshot = ready.snapshot();
        if snapshot.is_empty() {
            return None;
        }
        let metadata = snapshot.get_metadata();
        let conf_state = metadata.get_conf_state();
        let position = LogPosition {
            index: metadata.index,
            term: metadata.term,
        };
        self.node
            .mut_store()
            .install_snapshot(position, conf_state.clone());
        Some(SnapshotBase {
            index: metadata.index,
            term: metadata.term,
            members: conf_state.into(),
            state: snapshot.data.to_vec(),
        })
    }

    /// Submits the data that must be on disk before the waiting messages are sent.
    fn persist(&mut self, ready: &mut Ready, base: Option<&SnapshotBase>, out: &mut Effects) {
        let before = self.hard_state;
        if let Some(hard_state) = ready.hs() {
            self.hard_state = HardState {
                term: hard_state.term,
                vote: hard_state.vote,
                commit: hard_state.commit,
            };
        }
        // The commit index is learned from the other members again, so a change of it alone is not written.
        let has_new_vote =
            (before.term, before.vote) != (self.hard_state.term, self.hard_state.vote);
        let is_write = has_new_vote || base.is_some() || !ready.entries().is_empty();
        let number = ready.number();
        if is_write {
            out.persist.push(PersistRequest {
                number,
                hard_state: Some(self.hard_state),
                entries: ready.take_entries(),
                base: base.cloned(),
            });
        }
        let messages = ready.take_persisted_messages();
        self.awaiting_disk.push_back(AwaitingDisk {
            number,
            is_write,
            messages,
        });
    }

    /// Emits the messages whose wait for the disk is over.
    pub(super) fn release_messages(&mut self, out: &mut Effects) {
        let mut released_number = 0;
        while let Some(waiting) = self.awaiting_disk.front() {
            if waiting.is_write && waiting.number > self.synced_number {
                break;
            }
            released_number = waiting.number;
            if let Some(waiting) = self.awaiting_disk.pop_front() {
                out.messages.extend(waiting.messages);
            }
        }
        if released_number > 0 {
            self.node.on_persist_ready(released_number);
            self.advance_applied();
        }
    }

    fn apply_committed(&mut self, entries: &[Entry], out: &mut Effects) {
        for entry in entries {
            self.apply_entry(entry, out);
            self.applied_index = entry.index;
        }
        self.advance_applied();
    }

    /// Reports the applied index to raft once the entries are on the local disk.
    fn advance_applied(&mut self) {
        let is_persisted = self.node.raft.raft_log.persisted >= self.applied_index;
        if is_persisted && self.applied_index > 0 {
            self.node.advance_apply_to(self.applied_index);
        }
    }

    /// Observes raft's role: the end of a leadership is announced immediately, and the lease ends with it.
    fn observe_role(&mut self, out: &mut Effects) {
        let is_raft_leader = self.node.raft.state == StateRole::Leader;
        let is_same_term = self
            .elected_term
            .is_none_or(|term| term.0 == self.node.raft.term);
        if self.was_leader && !is_raft_leader {
            // A leader belongs to the majority that granted its lease, so it withholds its own vote like any other
            // voter.
            self.ticks_since_leader = 0;
        }
        self.was_leader = is_raft_leader;
        if !is_raft_leader || !is_same_term {
            self.step_down(out);
        }
    }

    pub(super) fn step_down(&mut self, out: &mut Effects) {
        self.lease_until = 0.0;
        self.lease_requests.clear();
        if self.elected_term.take().is_some() {
            out.events.push(GroupEvent::Deposed { group: self.group });
        }
    }

    /// Sends a heartbeat that a majority must answer with its number (Raft, section 8: a read index).
    pub(super) fn request_lease(&mut self, now: f64) {
        self.last_lease_request += 1;
        let number = self.last_lease_request;
        self.lease_requests.push_back(LeaseRequest {
            number,
            sent_at: now,
        });
        self.node.read_index(number.to_le_bytes().to_vec());
        if self.lease_requests.len() > 4 * self.timing.election_ticks as usize {
            self.lease_requests.pop_front();
        }
    }

    /// Extends the lease, counted from the send time of the heartbeat with the number that a majority has answered.
    fn lease_request_answered(&mut self, context: &[u8]) {
        let Ok(answered) = context.try_into().map(u64::from_le_bytes) else {
            return;
        };
        while let Some(request) = self.lease_requests.front() {
            if request.number > answered {
                break;
            }
            if request.number == answered && self.is_leader() {
                self.lease_until = self
                    .lease_until
                    .max(request.sent_at + self.timing.lease_ttl);
            }
            self.lease_requests.pop_front();
        }
    }

    pub(super) fn append_proposal(&mut self, number: u64, command: Vec<u8>) {
        let Some(term) = self.elected_term.filter(|_| !self.open_proposals.is_full()) else {
            return self.open_proposals.refused(number);
        };
        let context = EntryContext::Command {
            proposer: self.me,
            term,
            number,
        };
        match self.node.propose(context.to_bytes(), command) {
            Ok(()) => {
                let index = self.node.raft.raft_log.last_index();
                self.open_proposals.appended(number, index, term);
            }
            Err(_) => self.open_proposals.refused(number),
        }
    }

    /// Returns raft's current term if its node is the leader.
    pub(super) fn raft_leader_term(&self) -> Option<Term> {
        match self.node.raft.state {
            StateRole::Leader => Some(Term(self.node.raft.term)),
            _ => None,
        }
    }
}
