//! What comes over the links.

use crate::core::Kept;
use crate::disk::thread::ToDisk;
use crate::links::shared::FromLinks;
use crate::wire::mirror::{Kind, Message};
use crate::wire::said::Said;
use crate::{GroupEvent, GroupId, InstanceName, Purpose};

use super::peers::Call;
use super::state::Groups;

/// The most groups that an instance is in.
const MOST_GROUPS: usize = 4096;

impl Groups {
    pub(super) fn heard(&mut self, news: FromLinks) {
        match news {
            FromLinks::Called { call, peer, hello } => self.called(call, peer, hello),
            FromLinks::Answered { peer, answer } => self.answered(peer, answer),
            FromLinks::Lost { peer } => self.lost(peer),
            FromLinks::Ended { call } => {
                self.calls.remove(&call);
            }
            FromLinks::Said { call, said } => {
                let Some(call) = self.calls.get(&call).copied() else {
                    return;
                };
                self.peers[call.peer].heard = self.now();
                self.said(call, *said);
            }
        }
    }

    fn said(&mut self, from: Call, said: Said) {
        match said {
            Said::Beat { left, control } => {
                self.has_left(from.peer, left);
                let peer = &mut self.peers[from.peer];
                peer.control = control;
            }
            Said::Raft { group, message } => self.voter_said(from, group, message),
            Said::Slice { group, slice } => self.slice_came(from, group, slice),
            Said::Taken { group, offset } => self.state_taken(from, group, offset),
            Said::Found {
                group,
                purpose,
                voters,
            } => {
                let mine = voters.contains(&self.incarnation()) && group.founder == from.who;
                if mine && self.may_make(group, purpose) {
                    let machine = (self.machines)(purpose);
                    self.make(group, purpose, Kept::founded(&voters, &*machine));
                }
            }
            Said::Join { group, purpose } => {
                if self.may_make(group, purpose) {
                    self.make(group, purpose, Kept::default());
                }
            }
            Said::Gone { group } => {
                let leads = self
                    .cores
                    .get(&group)
                    .is_none_or(|core| core.leads().is_some());
                if !leads {
                    self.parked.insert(group);
                }
            }
            Said::Dissolved { group } => {
                let leads = self
                    .cores
                    .get(&group)
                    .is_none_or(|core| core.leads().is_some());
                if !leads {
                    self.bury(group);
                }
            }
            Said::Report { body } => self.reported(from, body),
        }
    }

    pub(super) fn reported(&mut self, from: Call, body: Vec<u8>) {
        let core = self.control.and_then(|group| self.cores.get(&group));
        if core.is_some_and(|core| core.leads().is_some()) {
            let from_name = InstanceName(self.fleet.instances[from.peer].name.as_str().into());
            self.tell(GroupEvent::ReportReceived {
                from: from_name,
                incarnation: from.who,
                body,
            });
        }
    }

    pub(super) fn may_make(&self, group: GroupId, purpose: Purpose) -> bool {
        let known = self.cores.contains_key(&group)
            || self.making.contains_key(&group)
            || self.gone.contains(&group);
        let other_control =
            purpose == Purpose::Control && self.control.is_some_and(|own| own != group);
        let copies_off = purpose == Purpose::EventLog && self.fleet.replication.is_none();
        let full = self.cores.len() + self.making.len() >= MOST_GROUPS;
        !known && !other_control && !copies_off && !full && group.number != 0
    }

    pub(super) fn make(&mut self, group: GroupId, purpose: Purpose, kept: Kept) {
        let copy = Kept {
            base: kept.base.clone(),
            hard: kept.hard,
            ..Kept::default()
        };
        self.making.insert(group, (purpose, kept));
        self.rings.disk.send(ToDisk::Make {
            group,
            purpose,
            kept: copy,
        });
    }

    fn voter_said(&mut self, from: Call, group: GroupId, message: Message) {
        if message.from != from.who.0 || message.to != self.incarnation().0 {
            return;
        }
        let Some(core) = self.cores.get(&group) else {
            if self.gone.contains(&group) && !self.making.contains_key(&group) {
                self.say(from.peer, &Said::Dissolved { group });
            }
            return;
        };
        if core.leads().is_some() && !core.is_member(from.who) {
            return self.say(from.peer, &Said::Gone { group });
        }
        let leader = matches!(
            message.kind,
            Kind::Append | Kind::Heartbeat | Kind::Snapshot
        );
        if leader {
            self.parked.remove(&group);
        }
        let grows = message.kind == Kind::Append && !message.entries.is_empty();
        if grows && core.purpose == Purpose::EventLog && self.is_full() {
            // Refused, and sent again by its leader until there is room.
            return;
        }
        if let Some(message) = message.into_raft() {
            self.with(group, |core, out| core.step(message, out));
        }
    }

    /// The state of another came whole.
    pub(super) fn state_came(&mut self, group: GroupId, message: Message) {
        self.parked.remove(&group);
        if let Some(message) = message.into_raft() {
            self.with(group, |core, out| core.step(message, out));
        }
    }

    /// Committed: nothing of it is kept. A leader stays until the others know.
    pub(super) fn dissolves(&mut self, group: GroupId) {
        let now = self.now();
        let since = *self.dissolving.entry(group).or_insert(now);
        let leads = self
            .cores
            .get(&group)
            .is_some_and(|core| core.leads().is_some());
        let known = self
            .cores
            .get(&group)
            .is_none_or(|core| core.seen().iter().all(|seen| seen.knows));
        if !leads || known || now - since > self.fleet.timing.replace {
            self.bury(group);
        }
    }

    pub(super) fn bury(&mut self, group: GroupId) {
        if self.cores.remove(&group).is_none() {
            return;
        }
        self.leases.forget(group);
        self.held.remove(&group);
        self.disk_bytes.remove(&group);
        self.parked.remove(&group);
        self.dissolving.remove(&group);
        self.incoming.remove(&group);
        self.outgoing.retain(|(of, _), _| *of != group);
        self.gone.insert(group);
        self.rings.disk.send(ToDisk::Bury { group });
        self.tell(GroupEvent::Deposed { group });
    }
}
