//! Heartbeats: who lives, who is cut off, and whose view is confirmed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use plankhill_protocol::ids::Revision;

use crate::effect::Millis;
use crate::machine::StateMachine;
use crate::message::{Heartbeat, Message};
use crate::timing::{CURRENT, DISK_STALLED, FROZEN, HEARTBEAT};
use crate::view::Identity;

use super::ChainMember;

/// The member's own heartbeats and what it derives from those of others.
#[derive(Debug)]
pub(super) struct Presence {
    sequence: u64,
    next: Millis,
    last_tick: Millis,
    pub(super) started: Millis,
    pub(super) leaving: bool,
    /// A write has failed, and none has succeeded since.
    pub(super) disk_refuses: bool,
    /// At this time the tail was sure of its view, and nothing was committed that is missing here.
    current_at: Option<Millis>,
}

impl Presence {
    pub(super) fn new(sequence: u64, now: Millis) -> Self {
        Self {
            sequence,
            next: now,
            last_tick: now,
            started: now,
            leaving: false,
            disk_refuses: false,
            current_at: None,
        }
    }

    pub(super) fn forget_confirmation(&mut self) {
        self.current_at = None;
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// When `tick` has something to do next.
    pub fn next_tick(&self) -> Millis {
        let busy = !self.attempts.is_idle() || !self.proposals.is_empty() || !self.reads.is_empty();
        let soon = if busy {
            self.now + HEARTBEAT / 3
        } else {
            self.now + HEARTBEAT
        };
        self.presence.next.min(soon)
    }

    /// Whether a confirmation of this view by a majority, with everything committed by then, is fresh here.
    pub fn is_current(&self, now: Millis) -> bool {
        let confirmed = if self.is_tail() {
            self.confirmed_at()
        } else {
            self.presence.current_at
        };
        confirmed.is_some_and(|at| now.saturating_sub(at) < CURRENT)
    }

    /// Whether this member reaches a majority of the voters, both ways.
    pub fn is_connected(&self, now: Millis) -> bool {
        let me = &self.me.identity;
        let reached = |voter: &&Identity| *voter == me || self.peers.is_reached(voter, now);
        let voters = self.view.voters.iter().map(|voter| &voter.identity);
        self.view.number.0 > 0
            && voters.filter(|voter| reached(voter)).count() >= self.view.majority()
    }

    /// Takes over other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Asks the others to go on without this member.
    pub fn leave(&mut self, now: Millis) {
        self.now = self.now.max(now);
        self.presence.leaving = true;
        self.send_heartbeats();
    }

    /// Whether the others should go on without this member: it was asked to leave, its disk takes nothing, or it hears
    /// too few to be of use. They may still hear it where a cut holds up one direction only.
    pub(super) fn is_leaving(&self) -> bool {
        self.presence.leaving || self.disk_is_away() || !self.hears_majority()
    }

    /// Whether a majority of the voters is heard, this member among them. After a start or a freeze everybody counts as
    /// heard for a while.
    pub(super) fn hears_majority(&self) -> bool {
        let me = &self.me.identity;
        let heard = |voter: &&Identity| *voter == me || !self.peers.is_silent(voter, self.now);
        let voters = self.view.voters.iter().map(|voter| &voter.identity);
        self.view.number.0 == 0 || voters.filter(heard).count() >= self.view.majority()
    }

    /// Whether the disk refuses to write, or has not answered for long. Meanwhile nothing more is handed to it that
    /// somebody would repeat anyway, so that what waits for it stays small.
    pub(super) fn disk_is_away(&self) -> bool {
        let waits_since = self.deferred.front().map(|(_, since, _)| *since);
        let stalled =
            waits_since.is_some_and(|since| self.peers.awake_for(since, self.now) >= DISK_STALLED);
        self.presence.disk_refuses || stalled
    }

    pub(super) fn keep_presence(&mut self) {
        if self.now.saturating_sub(self.presence.last_tick) >= FROZEN {
            self.peers.woke(self.now);
        }
        self.presence.last_tick = self.now;
        self.peers.prune(self.now);
        if self.now >= self.presence.next {
            self.send_heartbeats();
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.presence.next = self.now + HEARTBEAT;
        let heartbeat = self.next_heartbeat();
        for contact in self.contacts() {
            self.send(contact, Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn next_heartbeat(&mut self) -> Heartbeat {
        self.presence.sequence = self.presence.sequence.wrapping_add(1);
        self.peers.sent(self.presence.sequence, self.now);
        self.heartbeat()
    }

    fn heartbeat(&self) -> Heartbeat {
        // The heartbeat speaks of the view on disk. While a later one is on its way there, this member has left
        // the former, and what it knows of the later one must not pass for knowledge of the former.
        let settled = self.durable.0 == self.view.number;
        let confirmed_at = if settled && self.is_tail() {
            self.confirmed_at()
        } else {
            None
        };
        let committed = if settled {
            self.replicated.revision()
        } else {
            Revision(0)
        };
        Heartbeat {
            member: self.me.clone(),
            sequence: self.presence.sequence,
            echoes: self.peers.echoes(self.now),
            view: self.durable.0,
            sealed: !settled || self.is_sealed(),
            position: self.durable.1,
            committed,
            leaving: self.is_leaving(),
            founder: self.founders.is_some(),
            confirmed_age: confirmed_at.map(|at| self.now.saturating_sub(at)),
        }
    }

    /// Everyone who may be a member or may want to become one.
    pub fn contacts(&self) -> BTreeSet<SocketAddr> {
        let founders = self
            .founders
            .iter()
            .flatten()
            .filter(|_| self.view.number.0 == 0);
        let seeds = self.seeds.iter().chain(founders).copied();
        let voters = self.view.voters.iter().map(|voter| voter.address);
        let heard = self.peers.all().map(|peer| peer.heartbeat.member.address);
        let mut contacts: BTreeSet<_> = seeds.chain(voters).chain(heard).collect();
        contacts.remove(&self.me.address);
        contacts
    }

    pub(super) fn on_heartbeat(&mut self, from: &Identity, heartbeat: Heartbeat) {
        if heartbeat.member.identity != *from || heartbeat.member.identity == self.me.identity {
            return;
        }
        let same_view = heartbeat.view == self.view.number;
        let (view, committed, position) = (heartbeat.view, heartbeat.committed, heartbeat.position);
        self.take_confirmation(&heartbeat);
        let was_alive = self.peers.is_alive(from, self.now);
        let was_current = self.is_current(self.now);
        self.peers.heard(
            heartbeat.clone(),
            &self.me.identity,
            same_view && !heartbeat.sealed,
            self.now,
        );
        self.spread_news(heartbeat.member.address, was_alive, was_current);
        if view < self.view.number {
            let decided = Message::Decided(self.view.clone());
            self.send_to(from, decided);
        } else if same_view {
            self.on_link_position(from, position);
            self.on_committed(from, view, committed);
            self.fetch_if_behind(from, position);
        }
    }

    /// Sends heartbeats ahead of their time where somebody waits for one: a machine that is heard anew waits for its
    /// echo, and all wait for the word of a tail that has just become sure of its view. After a loss of power everywhere
    /// the chain answers after a few ways between its members, not after several heartbeats.
    fn spread_news(&mut self, sender: SocketAddr, was_alive: bool, was_current: bool) {
        if self.is_tail() && !was_current && self.is_current(self.now) {
            self.send_heartbeats();
        } else if !was_alive {
            let heartbeat = self.next_heartbeat();
            self.send(sender, Message::Heartbeat(heartbeat));
        }
    }

    /// The tail says how long ago it was sure of its view; this member's heartbeat that it echoes was sent
    /// before it said so.
    fn take_confirmation(&mut self, heartbeat: &Heartbeat) {
        let from_tail = self
            .view
            .tail()
            .is_some_and(|tail| tail.identity == heartbeat.member.identity);
        let Some(age) = heartbeat.confirmed_age else {
            return;
        };
        if !from_tail || heartbeat.view != self.view.number || !self.holds(heartbeat.committed) {
            return;
        }
        let echo = heartbeat
            .echoes
            .iter()
            .find(|echo| echo.identity == self.me.identity);
        let said_after = echo.and_then(|echo| self.peers.sent_at(echo.sequence));
        let sure_at = said_after.and_then(|at| at.checked_sub(age));
        self.presence.current_at = self.presence.current_at.max(sure_at);
    }

    /// Whether this member can apply everything up to here.
    fn holds(&self, revision: Revision) -> bool {
        self.log.last() >= revision
    }

    /// The latest time at which a majority of the voters was surely in this view.
    fn confirmed_at(&self) -> Option<Millis> {
        let confirmation = |voter: &Identity| match *voter == self.me.identity {
            true => Some(self.now).filter(|_| !self.is_sealed()),
            false => self.peers.get(voter).and_then(|peer| peer.confirmed),
        };
        let mut times: Vec<_> = self
            .view
            .voters
            .iter()
            .filter_map(|voter| confirmation(&voter.identity))
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        times.get(self.view.majority() - 1).copied()
    }
}
