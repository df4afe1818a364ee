//! The inputs of a replica: ticks, messages, acknowledgements and proposals.

use std::hash::Hasher;

use raft::eraftpb::{Message, MessageType};
use siphasher::sip::SipHasher13;

use super::effects::Effects;
use super::{Replica, ReplicaFault};

impl Replica {
    /// Advances the replica's clock by one tick at `now`, in milliseconds on any monotonic clock.
    pub fn tick(&mut self, now: f64, out: &mut Effects) {
        self.ticks_since_leader = self.ticks_since_leader.saturating_add(1);
        self.guarded(out, |replica| {
            let elapsed_before = replica.node.raft.election_elapsed;
            replica.node.tick();
            // Raft has restarted its election timeout, so a new timeout is drawn.
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

    /// Handles a message from another replica of the group.
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
                    self.fault = Some(ReplicaFault::LostAcknowledgedEntries);
                    return;
                }
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => {
                // Within an election timeout of the last contact, the vote is withheld: the leader may still hold its
                // lease.
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
            // A message that raft rejects changes nothing.
            let _ = replica.node.step(message);
        });
    }

    /// Whether the leader's heartbeat shows that this replica acknowledged more entries than its log contains.
    fn lacks_committed_entries(&self, message: &Message) -> bool {
        message.get_msg_type() == MessageType::MsgHeartbeat
            && message.commit > self.node.raft.raft_log.last_index()
    }

    /// Records that all writes of the group up to `number` are synced.
    pub fn persisted(&mut self, number: u64, out: &mut Effects) {
        self.guarded(out, |replica| {
            replica.synced_number = replica.synced_number.max(number)
        });
    }

    /// Campaigns immediately: the founder of a new group need not wait for its election timeout.
    pub fn campaign(&mut self, out: &mut Effects) {
        if self.ticks_since_leader < self.timing.election_ticks {
            return;
        }
        self.guarded(out, |replica| {
            // Raft refuses during a membership change; the caller retries.
            let _ = replica.node.campaign();
        });
    }

    /// Proposes a command under the event loop's number.
    pub fn propose(&mut self, number: u64, command: Vec<u8>, out: &mut Effects) {
        self.guarded(out, |replica| replica.append_proposal(number, command));
    }

    /// Derives the election timeout from the seed if one is set. Raft draws a new timeout on each change of role or
    /// term.
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
