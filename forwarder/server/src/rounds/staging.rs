//! Where copies are kept: what a round decided waits here until its marks are committed, and then leaves.

use async_channel::Sender;
use plankhill_decisions::interface::*;
use plankhill_hot_restart::Verdict;
use plankhill_replication::pipeline::CommitOutcome;
use plankhill_replication::ReleasedIteration;
use slog::info;

use super::copies::{Answer, Effects};
use super::hands::Hands;
use super::keeps::Keeps;
use crate::mail::{Notice, Sending, ToTarget};

/// Between tries to hand over what the ring had no room for, or to send what the lease did not allow.
const AGAIN: Ms = 2.0;

impl Hands {
    /// Nothing is held, unheard or still to be decided.
    pub(super) fn is_done(&mut self) -> bool {
        let waits = self
            .keeps
            .copies()
            .is_some_and(|copies| !copies.pipeline.is_empty());
        self.held.is_empty() && self.unheard == 0 && !waits
    }

    /// The first word to the groups: this life takes what is new in a new one.
    pub(super) fn founds(&mut self) {
        let Some(copies) = self.keeps.copies() else {
            return;
        };
        let founds = copies.roles.create_own_group();
        copies.order(founds);
    }

    /// Proposes what the round marked; what it decided waits for that.
    pub(super) fn stage(&mut self, fresh: Vec<EventId>) {
        let mut answers = Vec::new();
        for id in fresh {
            let to = self.held.get_mut(&id).and_then(|held| held.answer.take());
            let group = self
                .keeps
                .copies()
                .and_then(|copies| copies.roles.own_group());
            answers.extend(group.zip(to).map(|(group, to)| Answer { group, to }));
        }
        // Counted from here on: fewer are to be taken than there is room for ends.
        self.unheard += self.notices.len();
        let keeps = &self.keeps;
        let with_groups = |notice: Notice| (keeps.groups_of(&notice.event), notice);
        let notices = self.notices.drain(..).map(with_groups).collect();
        let outbox = std::mem::take(&mut self.outbox);
        let Some(copies) = self.keeps.copies() else {
            return;
        };
        copies.propose(Effects {
            answers,
            outbox,
            notices,
        });
        for group in copies.dissolve_empty() {
            info!(self.common.log, "an adopted record is empty"; "group" => name(group));
        }
    }

    /// Hands the proposals over, and lets leave what is committed.
    pub(super) fn leave(&mut self, to_notices: &Sender<Notice>) {
        let Some(copies) = self.keeps.copies() else {
            return;
        };
        let all_offered = copies.offer();
        for (id, send) in std::mem::take(&mut self.stuck) {
            self.let_send(id, send);
        }
        while let Some(released) = self
            .keeps
            .copies()
            .and_then(|copies| copies.pipeline.release())
        {
            let (effects, decided) = released.split();
            self.let_leave(effects, &decided);
        }
        while let Some(notice) = self.untold.pop_front() {
            if let Err(full) = to_notices.try_send(notice) {
                self.untold.push_front(full.into_inner());
                break;
            }
        }
        if !all_offered || !self.stuck.is_empty() {
            self.wake_at = Some(self.wake_at.unwrap_or(f64::INFINITY).min(self.now + AGAIN));
        }
    }

    fn let_leave(&mut self, effects: Effects, decided: &ReleasedIteration<()>) {
        let Effects {
            answers,
            outbox,
            notices,
        } = effects;
        for Answer { group, to } in answers {
            let _ = match decided.outcome_in(group) {
                CommitOutcome::Committed => to.try_send(Verdict::TakenOn),
                CommitOutcome::Discarded => to.try_send(Verdict::Refused(None)),
                // Nobody knows: the connection is closed without a word.
                CommitOutcome::Partial => Ok(()),
            };
        }
        for (id, word) in outbox {
            match word {
                ToTarget::Send(mut send) => {
                    if send
                        .groups
                        .iter()
                        .any(|group| decided.outcome_in(*group) != CommitOutcome::Committed)
                    {
                        send.groups.clear();
                    }
                    self.let_send(id, send);
                }
                word => self.tell(id, word),
            }
        }
        for (groups, notice) in notices {
            if groups
                .iter()
                .all(|group| decided.outcome_in(*group) != CommitOutcome::Committed)
            {
                // Whoever owns the event now decides on its end.
                self.unheard -= 1;
                continue;
            }
            info!(self.common.log, "not delivered"; "event" => &*notice.event.0, "outcome" => ?notice.outcome);
            self.untold.push_back(notice);
        }
    }

    /// A committed send leaves while this forwarder surely owns its event. A lease that lapses on a busy machine
    /// comes back with the next heartbeat, or the group is lost.
    fn let_send(&mut self, id: TargetId, mut send: Sending) {
        let Keeps::Copies(copies) = &self.keeps else {
            return;
        };
        // What it waited here is not taken from its time-out, which follows the target's own answers.
        let ends = self
            .held
            .get(&send.event)
            .map_or(0.0, |held| held.patience_ends);
        let left = send.time_out.min(ends - self.common.clock.now());
        let led =
            !send.groups.is_empty() && send.groups.iter().all(|group| copies.roles.is_led(*group));
        if !led || left <= 0.0 {
            return self.targets.turn_back(id, ToTarget::Send(send));
        }
        if !send.groups.iter().all(|group| copies.ground.holds(*group)) {
            return self.stuck.push((id, send));
        }
        send.time_out = left;
        self.tell(id, ToTarget::Send(send));
    }

    fn tell(&mut self, id: TargetId, word: ToTarget) {
        if let Err(word) = self.targets.tell(&id, word) {
            self.targets.turn_back(id, word);
        }
    }

    /// Sends to the target that wait here are not to leave.
    pub(super) fn unstage(&mut self, target: &TargetId) {
        self.stuck
            .iter_mut()
            .filter(|(to, _)| to == target)
            .for_each(|(_, send)| send.groups.clear());
        let Some(copies) = self.keeps.copies() else {
            return;
        };
        let waiting = copies
            .pipeline
            .pending_effects()
            .flat_map(|effects| &mut effects.outbox);
        for (_, word) in waiting.filter(|(to, _)| to == target) {
            if let ToTarget::Send(send) = word {
                send.groups.clear();
            }
        }
    }
}

/// As the log says it.
pub(super) fn name(group: plankhill_raft_groups::GroupId) -> String {
    format!("{:016x}/{}", group.founder.0, group.number)
}
