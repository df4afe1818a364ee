//! The instances that serve subscribers: whether each is reachable, how many copies it has, and the votes on
//! it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::command::{Effect, Outcome};
use crate::detect::Sample;
use crate::names::*;
use crate::state::FanoutState;
use crate::votes::Votes;

/// Decided submissions that are remembered one by one: several times the number that a local instance has
/// open.
pub(crate) const MAX_DECIDED_SUBMISSIONS: usize = 1024;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Instance {
    /// The number of its latest process.
    pub(crate) process: u64,
    /// Submissions of clients at that process that were decided; all those below `floor` were.
    pub(crate) decided_submissions: BTreeSet<u64>,
    pub(crate) floor: u64,
    pub(crate) lost: bool,
    pub(crate) times_lost: u64,
    /// Number of copies that may be in flight at the instance.
    pub(crate) held: usize,
    /// Votes on the instance, one for each batch: late if the instance was at fault in it, with the mean wait
    /// of copies for their first call.
    pub(crate) votes: Votes,
    pub(crate) at_fault: bool,
    /// Samples that are not judged yet, and the tick of the first one.
    pub(crate) batch: Vec<Sample>,
    pub(crate) since: u64,
}

impl FanoutState {
    pub(crate) fn start_process(&mut self, by: InstanceId, process: u64) {
        let instance = self.instances.entry(by).or_default();
        if process > instance.process {
            (instance.process, instance.lost) = (process, false);
            (instance.decided_submissions, instance.floor) = (BTreeSet::new(), 0);
        }
    }

    /// Records the submission as decided. False if it already was, or if it is not of the current process:
    /// reports may arrive late or twice.
    pub(crate) fn decide_submission(&mut self, by: InstanceId, process: u64, number: u64) -> bool {
        let Some(instance) = self.instances.get_mut(&by).filter(|i| i.process == process) else {
            return false;
        };
        if number < instance.floor || !instance.decided_submissions.insert(number) {
            return false;
        }
        if instance.decided_submissions.len() > MAX_DECIDED_SUBMISSIONS {
            instance.floor = instance
                .decided_submissions
                .pop_first()
                .map_or(0, |oldest| oldest + 1);
        }
        true
    }

    /// The number of the instance's latest process; 0 if none has started.
    pub fn process(&self, instance: InstanceId) -> u64 {
        self.instances.get(&instance).map_or(0, |i| i.process)
    }

    /// Marks the instance as reachable. It resumes its copies, except those that were abandoned in the
    /// meantime.
    pub(crate) fn mark_reachable(&mut self, instance: InstanceId) {
        if let Some(instance) = self.instances.get_mut(&instance) {
            instance.lost = false;
        }
    }

    pub(crate) fn mark_lost(&mut self, id: InstanceId) {
        if let Some(instance) = self.instances.get_mut(&id).filter(|i| !i.lost) {
            instance.lost = true;
            instance.times_lost += 1;
            instance.batch.clear();
        }
    }

    /// Assigns the cohort to an instance. Copies in flight at the previous instance end there; until then the
    /// subscribers' next copies wait.
    pub(crate) fn assign_cohort(
        &mut self,
        cohort: Cohort,
        epoch: u64,
        by: InstanceId,
        effects: &mut Vec<Effect>,
    ) {
        let is_reachable = self.instances.get(&by).is_some_and(|i| !i.lost);
        let Some(state) = self
            .cohorts
            .get_mut(&cohort)
            .filter(|c| c.epoch == epoch && is_reachable)
        else {
            return;
        };
        state.epoch += 1;
        if state.by.replace(by) == Some(by) {
            return;
        }
        for subscriber in state.members.clone() {
            self.update_move(subscriber, effects);
        }
    }

    /// Updates the move of a subscriber that another instance may serve now: it is moving until none of its
    /// copies is in flight elsewhere.
    pub(crate) fn update_move(&mut self, subscriber: Subscriber, effects: &mut Vec<Effect>) {
        let server = self.server(subscriber);
        let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) else {
            return;
        };
        // Outcomes that are still to be reported pass to the current server if their own instance is lost.
        for pending in subscriber_state.pending.iter_mut() {
            let is_unreachable = pending
                .at
                .is_none_or(|at| self.instances.get(&at).is_none_or(|i| i.lost));
            if let (true, Some(to), Some(_)) = (is_unreachable, server, pending.end) {
                pending.at = Some(to);
                let (position, end) = (pending.position, pending.end);
                effects.push(Effect::Assigned {
                    to,
                    ticket: None,
                    subscriber,
                    position,
                    end,
                });
            }
        }
        if subscriber_state.in_flight_elsewhere(server) {
            self.moving.insert(subscriber);
        } else {
            self.complete_move_if_drained(subscriber, effects);
        }
    }

    /// Completes the subscriber's move unless a copy is still in flight elsewhere.
    pub(crate) fn complete_move_if_drained(
        &mut self,
        subscriber: Subscriber,
        effects: &mut Vec<Effect>,
    ) {
        let server = self.server(subscriber);
        let is_draining = self
            .subscribers
            .get(&subscriber)
            .is_some_and(|f| f.in_flight_elsewhere(server));
        if let (false, Some(by)) = (is_draining, server) {
            self.moving.remove(&subscriber);
            effects.push(Effect::MoveCompleted { subscriber, by });
        }
    }

    /// Ends the copies of a lost instance. They have surely ended there with an unknown outcome, and may have
    /// had their effect, so they are never sent again. The instance that serves the subscriber reports the
    /// outcome.
    pub(crate) fn end_copies_of_lost(
        &mut self,
        instance: InstanceId,
        time: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.times_lost(instance) != Some(time) {
            return;
        }
        let ids: Vec<Subscriber> = self.subscribers.keys().copied().collect();
        for subscriber in ids {
            let server = self.server(subscriber).filter(|s| !self.instances[s].lost);
            let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) else {
                continue;
            };
            let mut changed = false;
            for pending in subscriber_state
                .pending
                .iter_mut()
                .filter(|p| p.at == Some(instance))
            {
                changed = true;
                pending.end.get_or_insert(Outcome::Abandoned);
                pending.at = server;
                let (position, end) = (pending.position, pending.end);
                effects.extend(server.map(|to| Effect::Assigned {
                    to,
                    ticket: None,
                    subscriber,
                    position,
                    end,
                }));
            }
            if changed {
                self.complete_move_if_drained(subscriber, effects);
            }
        }
        self.instances.entry(instance).or_default().held = 0;
    }
}
