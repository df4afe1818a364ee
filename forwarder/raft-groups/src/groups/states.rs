//! A group's state on its way to one that is far behind: in slices, a few under way at a time, so that heartbeats
//! and other groups are not held up.

use crate::links::shared::Peer;
use crate::wire::mirror::Message;
use crate::wire::said::{Said, Slice};
use crate::{GroupId, Incarnation, Purpose};

use super::peers::Call;
use super::state::Groups;

const SLICE: usize = 256 << 10;
const UNDER_WAY: usize = 8 * SLICE;
/// The longest state of the control group, in bytes.
const LONGEST_CONTROL: u64 = 64 << 20;

/// One being sent.
pub struct Outgoing {
    to: Incarnation,
    message: Message,
    data: Vec<u8>,
    sent: usize,
    taken: usize,
    moved: f64,
}

/// One coming in.
pub struct Incoming {
    from: Incarnation,
    message: Message,
    total: u64,
    data: Vec<u8>,
}

impl Groups {
    pub(super) fn send_state(&mut self, group: GroupId, peer: Peer, mut message: Message) {
        let now = self.now();
        let (Some(to), Some(state)) = (self.peers[peer].up, &mut message.snapshot) else {
            return;
        };
        let under_way = self
            .outgoing
            .get(&(group, peer))
            .is_some_and(|o| o.to == to && o.message.term == message.term);
        if under_way {
            return;
        }
        let data = std::mem::take(&mut state.data);
        self.outgoing.insert(
            (group, peer),
            Outgoing {
                to,
                message,
                data,
                sent: 0,
                taken: 0,
                moved: now,
            },
        );
        self.send_slices(group, peer);
    }

    fn send_slices(&mut self, group: GroupId, peer: Peer) {
        let Some(mut state) = self.outgoing.remove(&(group, peer)) else {
            return;
        };
        while state.sent < state.taken + UNDER_WAY
            && (state.sent < state.data.len() || state.sent == 0)
        {
            let end = (state.sent + SLICE).min(state.data.len());
            let slice = Slice {
                message: (state.sent == 0).then(|| state.message.clone()),
                offset: state.sent as u64,
                total: state.data.len() as u64,
                bytes: state.data[state.sent..end].to_vec(),
            };
            state.sent = end;
            self.say(peer, &Said::Slice { group, slice });
            if end == state.data.len() {
                break;
            }
        }
        self.outgoing.insert((group, peer), state);
    }

    pub(super) fn state_taken(&mut self, from: Call, group: GroupId, offset: u64) {
        let now = self.now();
        let Some(state) = self
            .outgoing
            .get_mut(&(group, from.peer))
            .filter(|s| s.to == from.who)
        else {
            return;
        };
        state.taken = state.taken.max(offset as usize).min(state.sent);
        state.moved = now;
        match state.taken >= state.data.len() {
            true => drop(self.outgoing.remove(&(group, from.peer))),
            false => self.send_slices(group, from.peer),
        }
    }

    /// One that does not move is given up: raft asks for it again.
    pub(super) fn states_go_on(&mut self, now: f64) {
        let patience = 2.0 * self.fleet.timing.election;
        let peers = &self.peers;
        self.outgoing
            .retain(|(_, peer), s| now - s.moved < patience && peers[*peer].up == Some(s.to));
    }

    pub(super) fn slice_came(&mut self, from: Call, group: GroupId, slice: Slice) {
        let Slice {
            message,
            offset,
            total,
            bytes,
        } = slice;
        let Some(core) = self.cores.get(&group) else {
            return;
        };
        let most = match (core.purpose, &self.fleet.replication) {
            (Purpose::EventLog, Some(copies)) => copies.memory,
            _ => LONGEST_CONTROL,
        };
        if let Some(message) = message.filter(|_| offset == 0) {
            let whose = message.from == from.who.0 && message.to == self.incarnation().0;
            if !whose || total > most || message.snapshot.is_none() {
                return;
            }
            self.incoming.insert(
                group,
                Incoming {
                    from: from.who,
                    message,
                    total,
                    data: Vec::new(),
                },
            );
        }
        let Some(state) = self.incoming.get_mut(&group) else {
            return;
        };
        let follows =
            state.from == from.who && state.total == total && state.data.len() as u64 == offset;
        if !follows || offset + bytes.len() as u64 > total {
            self.incoming.remove(&group);
            return;
        }
        state.data.extend_from_slice(&bytes);
        let come = state.data.len() as u64;
        if come == total {
            if let Some(Incoming {
                mut message, data, ..
            }) = self.incoming.remove(&group)
            {
                if let Some(whole) = &mut message.snapshot {
                    whole.data = data;
                }
                self.state_came(group, message);
            }
        }
        self.say(
            from.peer,
            &Said::Taken {
                group,
                offset: come,
            },
        );
    }
}
