//! What a replica is handed: ticks, messages, acknowledgements, proposals.

use std::hash::Hasher;

use raft::eraftpb::{Message, MessageType};
use siphasher::sip::SipHasher13;

use super::effects::Effects;
use super::{Replica, ReplicaFault};

impl Replica {
    /// A tick at `now`, in milliseconds on any clock that only grows.
    pub fn tick(&mut self, now: f64, out: &mut Effects) {
        self.ticks_since_leader = self.ticks_since_leader.saturating_add(1);
        self.guarded(out, |replica| {
            let elapsed_before = replica.node.raft.election_elapsed;
            replica.node.tick();
            // Raft began its election timeout again: the next one is drawn anew.
            if replica.node.raft.election_elapsed < elapsed_before {
                replica.election_draw.count += 1;
            }
            replica.ticks += 1;
            if replica
                .ticks
                .is_multiple_of(4 * replica.timing.election_ticks)
            {
                replica.resend_snapshots();
            }
            if replica.is_leader() && replica.ticks.is_multiple_of(replica.timing.heartbeat_ticks) {
                replica.request_lease(now);
            }
        });
    }

    /// A message from another replica of the group.
    pub fn step(&mut self, message: Message, out: &mut Effects) {
        if message.to != self.me.0 || message.from == self.me.0 {
            return;
        }
        let is_current = message.term >= self.node.raft.term;
        match message.get_msg_type() {
            MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot => {
                if is_current {
                    self.ticks_since_leader = 0;
                }
                if is_current && self.lacks_committed_entries(&message) {
                    self.fault = Some(ReplicaFault::LostAcknowledged);
                    return;
                }
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => {
                // The promise to a leader that may still hold its lease.
                if self.ticks_since_leader < self.timing.election_ticks {
                    return;
                }
            }
            MessageType::MsgRequestVoteResponse
            | MessageType::MsgRequestPreVoteResponse
            | MessageType::MsgAppendResponse
            | MessageType::MsgHeartbeatResponse => {}
            // Proposals are not forwarded, and leadership is not transferred.
            _ => return,
        }
        self.guarded(out, |replica| {
            // A message that makes no sense to raft changes nothing.
            let _ = replica.node.step(message);
        });
    }

    /// Whether the leader's heartbeat says that this replica acknowledged more than its log has.
    fn lacks_committed_entries(&self, message: &Message) -> bool {
        message.get_msg_type() == MessageType::MsgHeartbeat
            && message.commit > self.node.raft.raft_log.last_index()
    }

    /// The disk has all of the group up to `number`, synced.
    pub fn persisted(&mut self, number: u64, out: &mut Effects) {
        self.guarded(out, |replica| {
            replica.synced_number = replica.synced_number.max(number)
        });
    }

    /// Campaigns at once: a new group's founder need not wait for its own election timeout.
    pub fn campaign(&mut self, out: &mut Effects) {
        if self.ticks_since_leader < self.timing.election_ticks {
            return;
        }
        self.guarded(out, |replica| {
            // Refused where a change of members is under way; it is tried again.
            let _ = replica.node.campaign();
        });
    }

    /// Proposes a command under the event loop's number of it.
    pub fn propose(&mut self, number: u64, command: Vec<u8>, out: &mut Effects) {
        self.guarded(out, |replica| replica.append_proposal(number, command));
    }

    /// Where a seed is set, makes the election timeout a function of it. Raft draws a new one on each change of role
    /// and term.
    pub(super) fn draw_election_timeout(&mut self) {
        let Some(seed) = self.timing.seed else {
            return;
        };
        let raft = &self.node.raft;
        let draw = &mut self.election_draw;
        let is_same =
            (draw.term, draw.role, draw.leader) == (raft.term, raft.state, raft.leader_id);
        if !is_same {
            draw.count += 1;
            draw.term = raft.term;
            draw.role = raft.state;
            draw.leader = raft.leader_id;
        }
        let mut hash = SipHasher13::new_with_keys(seed, self.me.0);
        hash.write_u64(draw.count);
        let election_ticks = u64::from(self.timing.election_ticks);
        let timeout = election_ticks + hash.finish() % (election_ticks / 2);
        self.node
            .raft
            .set_randomized_election_timeout(timeout as usize);
    }
}
