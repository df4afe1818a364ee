//! Decisions are gathered during a round and carried out after it, once they stand in the ledger.

use async_channel::Sender;
use plankhill_decisions::interface::*;
use plankhill_event_log::Outcome;
use plankhill_hot_restart::Verdict;
use slog::{debug, info};

use super::hands::Hands;
use crate::mail::{Notice, Sending, ToTarget};

impl Hands {
    /// Sends and pings that the ledger could not note never leave; their ends come in with the next round.
    pub(super) fn unsend(&mut self) {
        for (target, word) in std::mem::take(&mut self.outbox) {
            self.targets.turn_back(target, word);
        }
    }

    pub(super) fn carry_out(&mut self, to_notices: &Sender<Notice>) {
        for (id, word) in std::mem::take(&mut self.outbox) {
            if let Err(word) = self.targets.tell(&id, word) {
                self.targets.turn_back(id, word);
            }
        }
        for notice in self.notices.drain(..) {
            info!(self.common.log, "not delivered"; "event" => &*notice.event.0, "outcome" => ?notice.outcome);
            self.unheard += 1;
            // Fewer are taken on than the mailbox holds.
            let _ = to_notices.try_send(notice);
        }
    }

    /// An end for an event that was taken on; true if it goes as a notice.
    pub(super) fn ended(
        &mut self,
        event: &EventId,
        outcome: Outcome,
        come_back_after: Option<Ms>,
    ) -> bool {
        let answer = self.held.remove(event).and_then(|held| held.answer);
        let Some(answer) = answer else {
            self.keeps.ended(event, outcome, come_back_after);
            (outcome == Outcome::Abandoned).then(|| self.settled.add(event, self.now));
            self.notices.push(Notice {
                event: event.clone(),
                outcome,
                come_back_after,
            });
            self.common
                .fanout
                .iter()
                .for_each(|fanout| fanout.ended(event, outcome));
            return true;
        };
        self.keeps.over(event);
        let _ = answer.try_send(match outcome {
            Outcome::Rejected => Verdict::Refused(come_back_after),
            Outcome::Abandoned => Verdict::Failed,
        });
        false
    }
}

impl Effects for Hands {
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, time_out: Ms, leaves_by: Ms) {
        let Some(held) = self.held.get(event) else {
            return;
        };
        let zone = self.targets.zone(target);
        // Of a target that is gone no zone is known: an empty name is none that the settings have.
        let zone = self
            .common
            .told
            .names
            .zones
            .get(zone.0)
            .map_or("", String::as_str);
        self.keeps.sent(event, self.now, zone, time_out);
        self.out.insert(event.clone());
        self.common
            .fanout
            .iter()
            .for_each(|fanout| fanout.sends(event, target));
        debug!(self.common.log, "sends"; "event" => &*event.0, "target" => &*target.0, "time_out" => time_out);
        let (fingerprint, body) = (held.fingerprint.clone(), held.body.clone());
        let groups = self.keeps.groups_of(event);
        let patience_ends = held.patience_ends;
        let send = Sending {
            event: event.clone(),
            decided: self.common.clock.instant(self.now),
            fingerprint,
            body,
            time_out,
            patience_ends,
            leaves_by,
            groups,
        };
        self.outbox.push((target.clone(), ToTarget::Send(send)));
    }
    fn reject(&mut self, event: &EventId, come_back_after: Option<Ms>) -> bool {
        self.ended(event, Outcome::Rejected, come_back_after)
    }
    fn abandon(&mut self, event: &EventId) -> bool {
        self.ended(event, Outcome::Abandoned, None)
    }
    fn health_check(&mut self, target: &TargetId) {
        self.pings.insert(target.clone());
        self.common
            .fanout
            .iter()
            .for_each(|fanout| fanout.rests(target));
        self.outbox.push((target.clone(), ToTarget::Ping));
    }
    fn close_idle_connections(&mut self, target: &TargetId) {
        self.outbox.push((target.clone(), ToTarget::CloseIdle));
    }
    fn cancel_unsent(&mut self, target: &TargetId) {
        self.unstage(target);
        // At once, and before the round's own sends: what does not leave needs no record, and neither a ledger that
        // cannot be written nor a majority that does not answer may let it leave.
        self.tell_elder(target);
        let _ = self.targets.tell(target, ToTarget::TakeBack);
    }
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        if let Some(budgets) = &self.common.budgets {
            budgets.cold(
                target,
                since + self.common.told.decisions.warm_up_duration - self.now,
            );
        }
        self.keeps.note_cold(target, since, usual);
        self.common
            .fanout
            .iter()
            .for_each(|fanout| fanout.rests(target));
    }
    fn wake_after(&mut self, pause: Ms) {
        // A little more, so that rounding does not wake it before it is due.
        self.wake_at = Some(self.now + pause + 0.01);
    }
}
