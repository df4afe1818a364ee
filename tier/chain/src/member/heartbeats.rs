//! Heartbeats: schedule, recipients, and processing of received heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use plankhill_protocol::ids::Revision;

use crate::effect::Millis;
use crate::failure_detector::ViewConfirmation;
use crate::message::{Heartbeat, Message};
use crate::state_machine::StateMachine;
use crate::timing::HEARTBEAT_INTERVAL;
use crate::view::Identity;

use super::ChainMember;

/// Time of the next heartbeat, and sequence number of the last one.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatSchedule {
    last_sequence: u64,
    next_at: Millis,
}

impl HeartbeatSchedule {
    /// Creates a schedule in which the first heartbeat is due immediately.
    pub(super) fn new(last_sequence: u64, now: Millis) -> Self {
        Self {
            last_sequence,
            next_at: now,
        }
    }

    pub(super) fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Sequence number of the last heartbeat.
    pub(super) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}

impl<M: StateMachine> ChainMember<M> {
    pub(super) fn send_due_heartbeats(&mut self) {
        if self.now >= self.heartbeat_schedule.next_at {
            self.send_heartbeats();
        }
    }

    /// Sends a heartbeat to every contact.
    pub(super) fn send_heartbeats(&mut self) {
        self.heartbeat_schedule.next_at = self.now + HEARTBEAT_INTERVAL;
        let heartbeat = self.next_heartbeat();
        for contact in self.contacts() {
            self.outbox
                .send(contact, Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn next_heartbeat(&mut self) -> Heartbeat {
        let sequence = self.heartbeat_schedule.next_sequence();
        self.failure_detector.record_sent(sequence, self.now);
        self.heartbeat(sequence)
    }

    /// Builds a heartbeat, which describes the view on disk. While a later view is being written,
    /// this member has left the former view, and its state in the later view must not be reported
    /// as state of the former one.
    fn heartbeat(&self, sequence: u64) -> Heartbeat {
        let is_view_persisted = self.is_view_persisted();
        let confirmed_at = match is_view_persisted && self.is_tail() {
            true => self.majority_confirmed_at(),
            false => None,
        };
        let committed = match is_view_persisted {
            true => self.log.committed(),
            false => Revision(0),
        };
        let persisted = self.log.persisted();
        Heartbeat {
            member: self.local.member().clone(),
            sequence,
            echoes: self.failure_detector.echoes(self.now),
            view: persisted.view,
            sealed: !is_view_persisted || self.acceptor.is_sealed(),
            last_revision: persisted.revision,
            committed,
            leaving: self.is_leaving(),
            founder: self.local.founders().is_some(),
            confirmed_age_ms: confirmed_at.map(|at| self.now.saturating_sub(at)),
            sync_ms: self.outbox.sync_time(),
        }
    }

    /// Addresses of all machines that may be members or may join.
    pub fn contacts(&self) -> BTreeSet<SocketAddr> {
        let mut contacts: BTreeSet<SocketAddr> = self.local.seeds().iter().copied().collect();
        if !self.view.number.is_founded() {
            contacts.extend(self.local.founders().unwrap_or_default());
        }
        contacts.extend(self.view.voters.iter().map(|voter| voter.address));
        contacts.extend(
            self.failure_detector
                .peers()
                .map(|peer| peer.member().address),
        );
        contacts.remove(&self.local.address());
        contacts
    }

    pub(super) fn on_heartbeat(&mut self, from: &Identity, heartbeat: Heartbeat) {
        if heartbeat.member.identity != *from || self.local.is(from) {
            return;
        }
        let is_same_view = heartbeat.view == self.view.number;
        let confirmation = match is_same_view && !heartbeat.sealed {
            true => ViewConfirmation::Confirmed,
            false => ViewConfirmation::NotConfirmed,
        };
        self.record_tail_confirmation(&heartbeat);
        let was_alive = self.failure_detector.is_alive(from, self.now);
        let was_current = self.is_current(self.now);
        self.failure_detector.record_received(
            heartbeat.clone(),
            self.local.identity(),
            confirmation,
            self.now,
        );
        if self.is_tail() && !was_current && self.is_current(self.now) {
            // The view of the tail has just been confirmed, and all members wait for this
            // confirmation.
            self.send_heartbeats();
        } else if !was_alive {
            // A machine that sends its first heartbeat waits for the echo.
            let answer = Message::Heartbeat(self.next_heartbeat());
            self.outbox.send(heartbeat.member.address, answer);
        }
        if heartbeat.view < self.view.number {
            let decided = Message::Decided(self.view.clone());
            self.send_to(from, decided);
        } else if is_same_view {
            self.on_successor_position(from, heartbeat.last_revision);
            self.on_committed(from, heartbeat.view, heartbeat.committed);
            self.fetch_if_behind(from, heartbeat.last_revision);
        }
    }
}
