//! The life cycle of a copy (accepted, handed to an instance, ended) and of its broadcast, which is kept
//! until all copies have ended.

use crate::command::{Broadcast, CopyEnd, Effect, Outcome, Rejection};
use crate::names::*;
use crate::state::{FanoutState, PendingBroadcast, PendingCopy, MAX_COMPLETED_IDS};

impl FanoutState {
    /// Checks whether the broadcast would be accepted now. The log gives the same answer; this one is
    /// available before the broadcast is proposed.
    pub fn check_broadcast(&self, broadcast: &Broadcast) -> Result<(), Rejection> {
        let id = &broadcast.id;
        if id.0.is_empty() || id.0.len() > BroadcastId::MAX_LEN {
            return Err(Rejection::BadId);
        }
        let members = self
            .lists
            .get(&broadcast.list)
            .ok_or(Rejection::NoSuchList)?;
        if self.known.contains_key(id) || self.completed_id_set.contains(id) {
            return Err(Rejection::Known);
        }
        let full = self.pending_broadcasts.len() >= self.bounds.broadcasts
            || self.copies + members.len() > self.bounds.kept_in_all
            || self.body_bytes + broadcast.body.len() > self.bounds.body_bytes;
        (!full).then_some(()).ok_or(Rejection::Full)
    }

    pub(crate) fn accept_broadcast(
        &mut self,
        broadcast: Broadcast,
        effects: &mut Vec<Effect>,
    ) -> Result<Position, Rejection> {
        self.check_broadcast(&broadcast)?;
        let members = self.lists.get(&broadcast.list).cloned().unwrap_or_default();
        self.last = Position(self.last.0 + 1);
        let position = self.last;
        self.copies += members.len();
        self.body_bytes += broadcast.body.len();
        self.known.insert(broadcast.id.clone(), position);
        let open = members.len() as u32;
        self.pending_broadcasts.insert(
            position,
            PendingBroadcast {
                broadcast,
                open,
                outcomes: [0; 3],
            },
        );
        for subscriber in members {
            let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) else {
                continue;
            };
            subscriber_state.queued.push_back(position);
            let kept = subscriber_state.queued.len() + subscriber_state.in_flight().count();
            if kept > self.bounds.kept_for_one {
                // The oldest copy has the least value for a lagging subscriber, and it surely has not run.
                let oldest = subscriber_state.queued.pop_front();
                oldest
                    .into_iter()
                    .for_each(|p| self.reject_queued_copy(subscriber, p, effects));
            }
        }
        self.remove_if_completed(position, effects);
        Ok(position)
    }

    /// Rejects a copy that no instance was handed; the instance that serves its subscriber reports the
    /// outcome.
    fn reject_queued_copy(
        &mut self,
        subscriber: Subscriber,
        position: Position,
        effects: &mut Vec<Effect>,
    ) {
        let at = self.server(subscriber);
        let end = Some(Outcome::Rejected);
        if let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) {
            subscriber_state.pending.push(PendingCopy {
                position,
                at,
                end,
                sampled: true,
            });
            effects.extend(at.map(|to| Effect::Assigned {
                to,
                ticket: None,
                subscriber,
                position,
                end,
            }));
        }
    }

    pub(crate) fn reject_queued(&mut self, positions: &[Position], effects: &mut Vec<Effect>) {
        let ids: Vec<Subscriber> = self.subscribers.keys().copied().collect();
        for subscriber in ids {
            let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) else {
                continue;
            };
            let (overdue, remaining): (Vec<_>, Vec<_>) = subscriber_state
                .queued
                .iter()
                .copied()
                .partition(|p| positions.contains(p));
            subscriber_state.queued = remaining.into();
            overdue
                .into_iter()
                .for_each(|position| self.reject_queued_copy(subscriber, position, effects));
        }
    }

    /// Hands the instance the queued copies of its subscribers, within window and room: in rounds, so that
    /// the subscribers with the fewest copies in flight come first.
    pub(crate) fn hand_out_copies(
        &mut self,
        by: InstanceId,
        ticket: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut held) = self.instances.get(&by).filter(|i| !i.lost).map(|i| i.held) else {
            return;
        };
        let cohorts = self.cohorts.values().filter(|c| c.by == Some(by));
        let mut eligible: Vec<Subscriber> =
            cohorts.flat_map(|c| c.members.iter().copied()).collect();
        eligible.retain(|s| {
            self.subscribers
                .get(s)
                .is_some_and(|f| !f.queued.is_empty() && !f.in_flight_elsewhere(Some(by)))
        });
        for round in 0..self.bounds.window.max(self.bounds.slow_window) {
            for subscriber in &eligible {
                let Some(subscriber_state) = self.subscribers.get_mut(subscriber) else {
                    continue;
                };
                let slow = self
                    .cohorts
                    .get(&subscriber_state.cohort)
                    .is_some_and(|c| c.slow);
                let full = held >= self.bounds.room || round >= self.bounds.window_of(slow);
                if full || subscriber_state.in_flight().count() != round {
                    continue;
                }
                let Some(position) = subscriber_state.queued.pop_front() else {
                    continue;
                };
                subscriber_state.pending.push(PendingCopy {
                    position,
                    at: Some(by),
                    end: None,
                    sampled: false,
                });
                held += 1;
                let (to, subscriber) = (by, *subscriber);
                effects.push(Effect::Assigned {
                    to,
                    ticket: Some(ticket),
                    subscriber,
                    position,
                    end: None,
                });
            }
        }
        self.instances.entry(by).or_default().held = held;
    }

    /// Ends a copy. The end counts once, and only from the instance to which the copy is assigned.
    pub(crate) fn end_copy(&mut self, by: InstanceId, end: CopyEnd, effects: &mut Vec<Effect>) {
        let CopyEnd {
            subscriber,
            position,
            ..
        } = end;
        let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) else {
            return;
        };
        let is_assigned = |p: &PendingCopy| p.position == position && p.at == Some(by);
        let Some(index) = subscriber_state.pending.iter().position(is_assigned) else {
            return;
        };
        let pending = subscriber_state.pending.remove(index);
        if pending.end.is_none() {
            if let Some(instance) = self.instances.get_mut(&by) {
                instance.held = instance.held.saturating_sub(1);
            }
            // A copy that ended before any call is no evidence about its subscriber.
            let called = end.outcome == Outcome::Completed || end.own > 0.0;
            if !pending.sampled && called {
                self.add_sample(by, subscriber, end.own, end.waited);
            }
        }
        self.count_outcome(position, pending.end.unwrap_or(end.outcome), effects);
        if self.moving.contains(&subscriber) {
            self.complete_move_if_drained(subscriber, effects);
        }
        self.remove_if_unused(subscriber);
    }

    fn count_outcome(&mut self, position: Position, outcome: Outcome, effects: &mut Vec<Effect>) {
        if let Some(kept) = self.pending_broadcasts.get_mut(&position) {
            kept.open -= 1;
            kept.outcomes[outcome as usize] += 1;
            self.copies -= 1;
        }
        self.remove_if_completed(position, effects);
    }

    /// Removes the broadcast once every copy has ended.
    fn remove_if_completed(&mut self, position: Position, effects: &mut Vec<Effect>) {
        if self
            .pending_broadcasts
            .get(&position)
            .is_none_or(|kept| kept.open > 0)
        {
            return;
        }
        let Some(PendingBroadcast {
            broadcast,
            outcomes,
            ..
        }) = self.pending_broadcasts.remove(&position)
        else {
            return;
        };
        self.body_bytes -= broadcast.body.len();
        let id = broadcast.id;
        self.known.remove(&id);
        self.completed_id_set.insert(id.clone());
        self.completed_ids.push_back(id.clone());
        if self.completed_ids.len() > MAX_COMPLETED_IDS {
            self.completed_ids
                .pop_front()
                .map(|oldest| self.completed_id_set.remove(&oldest));
        }
        effects.push(Effect::BroadcastCompleted {
            id,
            position,
            outcomes,
        });
    }
}
