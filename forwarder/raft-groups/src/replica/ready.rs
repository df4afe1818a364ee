//! From raft's node to the disk, the links and the event loop; and the lease. What a voter sends waits for its disk;
//! what a leader sends may overtake its own, since its own voice counts only once its disk has acknowledged (Raft,
//! dissertation, section 10.2.1).

use raft::eraftpb::Entry;
use raft::{Ready, StateRole};

use super::effects::{Effects, HardState, PersistRequest, SnapshotBase};
use super::entry_context::EntryContext;
use super::log_storage::LogPosition;
use super::{AwaitingDisk, LeaseRequest, Replica};
use crate::{GroupEvent, Term};

impl Replica {
    /// Hands out all that raft's node has made.
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

    /// Puts a leader's snapshot in place of the log in memory.
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

    /// Hands the disk what has to be on it before the messages that wait for it leave.
    fn persist(&mut self, ready: &mut Ready, base: Option<&SnapshotBase>, out: &mut Effects) {
        let before = self.hard_state;
        if let Some(hard_state) = ready.hs() {
            self.hard_state = HardState {
                term: hard_state.term,
                vote: hard_state.vote,
                commit: hard_state.commit,
            };
        }
        // What is committed is learnt from the others again: that alone is no reason to write.
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

    /// Hands out the messages that wait for the disk no longer.
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

    /// Tells raft what is applied, once that is on the own disk.
    fn advance_applied(&mut self) {
        let is_persisted = self.node.raft.raft_log.persisted >= self.applied_index;
        if is_persisted && self.applied_index > 0 {
            self.node.advance_apply_to(self.applied_index);
        }
    }

    /// Looks at raft's role: a lead that ended is announced at once, and its lease with it.
    fn observe_role(&mut self, out: &mut Effects) {
        let is_raft_leader = self.node.raft.state == StateRole::Leader;
        let is_same_term = self
            .elected_term
            .is_none_or(|term| term.0 == self.node.raft.term);
        if self.was_leader && !is_raft_leader {
            // A leader is one of the majority that gave its lease: the promise to itself lasts like any other's.
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

    /// Sends a heartbeat that a majority has to answer with its number (Raft, section 8: a read index).
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

    /// A majority has answered the heartbeat of that number: the lease counts from its sending.
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

    /// Raft's own term, if its node leads.
    pub(super) fn raft_lead_term(&self) -> Option<Term> {
        match self.node.raft.state {
            StateRole::Leader => Some(Term(self.node.raft.term)),
            _ => None,
        }
    }
}
