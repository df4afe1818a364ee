//! What a core is handed: ticks, messages, acknowledgements, proposals.

use raft::eraftpb::{Message, MessageType};

use super::effects::Effects;
use super::{Core, Fault};

impl Core {
    /// A tick of its clock, at `now` in milliseconds on any clock that only grows.
    pub fn tick(&mut self, now: f64, out: &mut Effects) {
        self.heard = self.heard.saturating_add(1);
        self.guarded(out, |core| {
            let silent = core.node.raft.election_elapsed;
            core.node.tick();
            core.draws += u64::from(core.node.raft.election_elapsed < silent);
            core.ticks += 1;
            if core.ticks.is_multiple_of(4 * core.pace.election) {
                core.send_states_again();
            }
            if core.leads.is_some() && core.ticks.is_multiple_of(core.pace.heartbeat) {
                core.ask_to_hold(now);
            }
        });
    }

    /// Another voter's message.
    pub fn step(&mut self, message: Message, out: &mut Effects) {
        use MessageType::*;
        let term = self.node.raft.term;
        match message.get_msg_type() {
            _ if message.to != self.me.0 || message.from == self.me.0 => return,
            MsgAppend | MsgHeartbeat | MsgSnapshot => {
                if message.term >= term {
                    self.heard = 0;
                }
                let known = message.get_msg_type() == MsgHeartbeat && message.term >= term;
                if known && message.commit > self.node.raft.raft_log.last_index() {
                    self.fault = Some(Fault::Forgot);
                    return;
                }
            }
            // The promise to a leader that may still hold.
            MsgRequestVote | MsgRequestPreVote if self.heard < self.pace.election => return,
            MsgRequestVote
            | MsgRequestPreVote
            | MsgRequestVoteResponse
            | MsgRequestPreVoteResponse => {}
            MsgAppendResponse | MsgHeartbeatResponse => {}
            // Proposals go to no other, and the lead is handed to nobody.
            _ => return,
        }
        self.guarded(out, |core| {
            // A message that makes no sense to raft changes nothing.
            let _ = core.node.step(message);
        });
    }

    /// The disk has all of the group up to this number, synced.
    pub fn persisted(&mut self, number: u64, out: &mut Effects) {
        self.guarded(out, |core| core.synced = core.synced.max(number));
    }

    /// A new group's founder need not wait for its own election span.
    pub fn campaign(&mut self, out: &mut Effects) {
        if self.heard < self.pace.election {
            return;
        }
        self.guarded(out, |core| {
            let _ = core.node.campaign();
        });
    }

    pub fn propose(&mut self, number: u64, command: Vec<u8>, out: &mut Effects) {
        self.guarded(out, |core| core.on_proposed(number, command));
    }

    /// Election spans as a function of the seed. Raft draws a new one on each change of role and term.
    pub(super) fn draw_span(&mut self) {
        let Some(seed) = self.pace.seed else { return };
        let raft = &self.node.raft;
        let now = (raft.term, raft.state, raft.leader_id);
        if now != self.drawn_for {
            self.draws += 1;
            self.drawn_for = now;
        }
        use std::hash::Hasher;
        let mut hash = siphasher::sip::SipHasher13::new_with_keys(seed, self.me.0);
        hash.write_u64(self.draws);
        let span = self.pace.election as u64 + hash.finish() % (self.pace.election / 2) as u64;
        self.node
            .raft
            .set_randomized_election_timeout(span as usize);
    }
}
