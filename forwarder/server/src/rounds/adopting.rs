//! What the groups that keep copies say: a record is led, or is not any more, and proposals are decided.

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::PendingEvent;
use plankhill_raft_groups::{GroupEvent, GroupId, Term};
use plankhill_replication::{
    plan_adoption, state_machine, AdoptionAction, LeaderRole, LocalKnowledge,
};
use slog::{error, info};

use super::copies::Copies;
use super::hands::Hands;
use super::keeps::Keeps;
use super::staging::name;
use crate::mail::{CameIn, Notice};

/// Whether it changes which records are led.
pub(super) fn turns(what: &CameIn) -> bool {
    let CameIn::Ground(news) = what else {
        return false;
    };
    matches!(
        news,
        GroupEvent::Elected { .. }
            | GroupEvent::Deposed { .. }
            | GroupEvent::Discarded { .. }
            | GroupEvent::PeerChanged { .. }
    )
}

impl Hands {
    pub(super) fn ground_says(&mut self, to: &mut Scheduler, news: GroupEvent) {
        match news {
            GroupEvent::Elected {
                group, term, state, ..
            } => self.leads(to, group, term, &state),
            GroupEvent::Deposed { group } => self.lose(to, group),
            GroupEvent::Committed { group, number } => self.decided(group, number, true),
            GroupEvent::Discarded { group, number } => {
                // What is void was proposed to a group that is lost, whether that is known yet or not.
                self.lose(to, group);
                self.decided(group, number, false);
            }
            GroupEvent::PeerChanged {
                incarnation,
                reachable: up,
                ..
            } => {
                self.keeps
                    .copies()
                    .into_iter()
                    .for_each(|copies| copies.roles.set_peer_reachable(incarnation, up));
            }
            GroupEvent::Applied { .. }
            | GroupEvent::SnapshotInstalled { .. }
            | GroupEvent::ReportReceived { .. } => (),
        }
    }

    fn decided(&mut self, group: GroupId, number: u64, counts: bool) {
        let Some(copies) = self.keeps.copies() else {
            return;
        };
        if let Err(e) = copies.decided(group, number, counts) {
            error!(self.common.log, "the ledger that is copied now cannot be emptied"; "error" => %e);
        }
    }

    /// Another may own the record: its events are not decided on here any more. One with a call out is held
    /// until that ends, and no longer.
    fn lose(&mut self, to: &mut Scheduler, group: GroupId) {
        let Some(book) = self.keeps.copies().and_then(|copies| copies.lose(group)) else {
            return;
        };
        info!(self.common.log, "leads a record no more"; "group" => name(group), "events" => book.len());
        self.later.retain(|(of, _)| *of != group);
        for id in book.event_ids() {
            let id = EventId(id.into());
            let out = self.out.contains(&id) && self.held.contains_key(&id);
            if out || self.keeps.holds(&id) {
                continue;
            }
            self.forget(to, &id);
        }
    }

    fn forget(&mut self, to: &mut Scheduler, id: &EventId) {
        self.held.remove(id);
        to.withdraw_event(id);
        // An end that nobody has heard holds nobody up here.
        to.on_completion_acknowledged(id);
    }

    /// A call has ended: that of a lost record's event was all that it was held for.
    pub(super) fn has_ended(&mut self, to: &mut Scheduler, event: &EventId) {
        if let Keeps::File(_) = self.keeps {
            return;
        }
        if self.held.contains_key(event) && !self.keeps.holds(event) {
            self.forget(to, event);
        }
        for (group, id) in self
            .later
            .extract_if(.., |(_, id)| id == event)
            .collect::<Vec<_>>()
        {
            let book = self
                .keeps
                .copies()
                .and_then(|copies| copies.books.get(&group));
            if let Some(owed) = book.and_then(|book| book.pending_event(&id.0)) {
                self.adopt(to, group, owed);
            }
        }
    }

    fn leads(&mut self, to: &mut Scheduler, group: GroupId, term: Term, state: &[u8]) {
        self.lose(to, group);
        let Keeps::Copies(copies) = &mut self.keeps else {
            return;
        };
        let Ok(mut book) = state_machine::decode_snapshot(state) else {
            return error!(self.common.log, "a record cannot be read"; "group" => name(group));
        };
        let cold: Vec<_> = book
            .warming_up_targets()
            .map(|(id, at, usual)| (TargetId(id.into()), at, usual))
            .collect();
        for (target, since, usual) in cold {
            match self.targets.holds(&target) {
                true => to.restore_warm_up(&target, since, usual),
                false => book.record_warm_up_end(&target.0),
            }
        }
        let owed = book.pending_events();
        copies.books.insert(group, book);
        let leads = copies.roles.on_elected(group);
        copies.ground.own.set(copies.roles.own_group());
        let out = owed.iter().filter(|owed| owed.in_flight.is_some()).count();
        info!(self.common.log, "leads a record"; "group" => name(group), "term" => term.0,
            "own" => leads == LeaderRole::Own, "owed" => owed.len(), "out" => out);
        owed.into_iter()
            .for_each(|owed| self.adopt(to, group, owed));
        if leads == LeaderRole::Own {
            self.adopt_file(to, group);
        }
    }

    /// What a process without copies left in the folder goes into the record first.
    fn adopt_file(&mut self, to: &mut Scheduler, group: GroupId) {
        let Some(copies) = self.keeps.copies() else {
            return;
        };
        let owed = copies
            .file
            .as_ref()
            .map(|(ledger, _)| ledger.pending_events())
            .unwrap_or_default();
        let known = |id: &str| copies.books.values().any(|book| book.contains(id));
        let owed: Vec<PendingEvent> = owed
            .into_iter()
            .filter(|owed| !known(&owed.event.id))
            .collect();
        copies.propose_file(group);
        if !owed.is_empty() {
            info!(self.common.log, "the ledger of the folder is copied"; "owed" => owed.len());
        }
        // Their calls ended with the process that made them.
        owed.into_iter().for_each(|owed| self.restore(to, owed));
    }

    fn finds(
        copies: &Copies,
        hands: &Hands,
        group: GroupId,
        id: &EventId,
    ) -> Option<LocalKnowledge> {
        let elsewhere = copies
            .books
            .iter()
            .any(|(of, book)| *of != group && book.contains(&id.0));
        Some(
            match (
                elsewhere,
                hands.held.contains_key(id),
                hands.out.contains(id),
            ) {
                (true, true, _) => LocalKnowledge::Pending,
                (true, false, _) => LocalKnowledge::Completed,
                (false, true, _) => LocalKnowledge::OwnAttemptInFlight,
                _ if hands.settled.holds(id) => LocalKnowledge::Completed,
                (false, false, true) => return None,
                (false, false, false) => LocalKnowledge::Unknown,
            },
        )
    }

    fn adopt(&mut self, to: &mut Scheduler, group: GroupId, owed: PendingEvent) {
        let id = EventId(owed.event.id.as_ref().into());
        let Keeps::Copies(copies) = &self.keeps else {
            return;
        };
        let Some(finds) = Self::finds(copies, self, group, &id) else {
            return self.later.push((group, id));
        };
        let stall = copies.ground.stall;
        let until = match plan_adoption(&owed, finds, self.now, stall) {
            AdoptionAction::AwaitOwnAttempt => return,
            AdoptionAction::Discard => {
                let book = self
                    .keeps
                    .copies()
                    .and_then(|copies| copies.books.get_mut(&group));
                return book.into_iter().for_each(|book| book.complete(&id.0));
            }
            AdoptionAction::NotifyAgain(outcome, come_back_after) => {
                self.enter(to, &owed.event);
                to.restore_completed(&id);
                return self.notices.push(Notice {
                    event: id,
                    outcome,
                    come_back_after,
                });
            }
            AdoptionAction::Merge {
                in_flight_until: out_until,
            } => {
                to.merge_remote_attempts(&id, owed.attempts, self.maybe_run(&owed));
                out_until
            }
            AdoptionAction::Restore {
                in_flight_until: out_until,
            } => {
                self.restore(to, owed);
                out_until
            }
        };
        until
            .into_iter()
            .for_each(|until| to.defer_for_remote_attempt(&id, until));
    }
}
