//! Applies the log's commands, each to the part of the state that it changes.

use crate::command::{Command, Effect, Rejection};
use crate::names::*;
use crate::state::FanoutState;

/// The window of `Bounds::moves_a_minute`, in ticks.
const MOVE_WINDOW_TICKS: u64 = 60;

impl FanoutState {
    /// Applies the command and returns its effects in order. The same command on the same state has the same
    /// effects on every instance.
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut later = Vec::new();
        match command {
            Command::Laid(layout) => self.apply_layout(layout, &mut effects),
            Command::Started { by, process } => self.start_process(by, process),
            Command::Joined(instance) => self.mark_reachable(instance),
            Command::Lost(instance) => self.mark_lost(instance),
            Command::Taken {
                by,
                process,
                number,
                broadcast,
            } => {
                if self.decide_submission(by, process, number) {
                    effects.push(match self.accept_broadcast(broadcast, &mut later) {
                        Ok(position) => Effect::Accepted {
                            by,
                            process,
                            number,
                            position,
                        },
                        Err(reason) => Effect::Rejected {
                            by,
                            process,
                            number,
                            reason,
                        },
                    });
                }
            }
            Command::Barred {
                by,
                process,
                number,
            } => {
                if self.decide_submission(by, process, number) {
                    effects.push(Effect::Rejected {
                        by,
                        process,
                        number,
                        reason: Rejection::Late,
                    });
                }
            }
            Command::Spread {
                by,
                process,
                ticket,
            } if self.process(by) == process => {
                self.hand_out_copies(by, ticket, &mut effects);
            }
            Command::Ended { by, process, ends } if self.process(by) == process => {
                ends.into_iter()
                    .for_each(|end| self.end_copy(by, end, &mut effects));
            }
            Command::StillOut {
                by,
                process,
                copies,
            } if self.process(by) == process => {
                for (subscriber, position, own) in copies {
                    self.sample_in_flight_copy(by, subscriber, position, own);
                }
            }
            Command::Spread { .. } | Command::Ended { .. } | Command::StillOut { .. } => (),
            Command::Rests {
                by,
                subscriber,
                rests,
            } => {
                if let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) {
                    if rests && self.instances.contains_key(&by) {
                        subscriber_state.rests.insert(by);
                    } else {
                        subscriber_state.rests.remove(&by);
                    }
                }
            }
            Command::TimeUp(positions) => self.reject_queued(&positions, &mut effects),
            Command::Moved {
                subscriber,
                from,
                to,
            } => self.move_subscriber(subscriber, from, to, &mut effects),
            Command::Served { cohort, epoch, by } => {
                self.assign_cohort(cohort, epoch, by, &mut effects)
            }
            Command::GivenUp { instance, time } => {
                self.end_copies_of_lost(instance, time, &mut effects)
            }
            Command::Tick => {
                self.tick += 1;
                self.update_verdicts();
            }
        }
        effects.append(&mut later);
        effects
    }

    /// Whether one more move is within the bounds.
    pub(crate) fn may_move(&self) -> bool {
        self.moving.len() < self.bounds.moves_at_once
            && self.recent_moves() < self.bounds.moves_a_minute
    }

    pub(crate) fn recent_moves(&self) -> usize {
        self.move_ticks
            .iter()
            .filter(|at| **at + MOVE_WINDOW_TICKS > self.tick)
            .count()
    }

    /// Moves the subscriber to another cohort. From this place in the log on, the old instance is handed none
    /// of its copies.
    fn move_subscriber(
        &mut self,
        subscriber: Subscriber,
        from: Cohort,
        to: Cohort,
        effects: &mut Vec<Effect>,
    ) {
        let there = |id: InstanceId| self.instances.get(&id).is_some_and(|i| !i.lost);
        let served = self.cohorts.get(&to).and_then(|c| c.by).is_some_and(there);
        let known = self
            .subscribers
            .get(&subscriber)
            .is_some_and(|f| f.cohort == from);
        if !served || !known || from == to || self.moving.contains(&subscriber) || !self.may_move()
        {
            return;
        }
        if let Some(old) = self.cohorts.get_mut(&from) {
            old.members.remove(&subscriber);
        }
        if let Some(new) = self.cohorts.get_mut(&to) {
            new.members.insert(subscriber);
        }
        if let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) {
            subscriber_state.cohort = to;
        }
        self.move_ticks
            .retain(|at| *at + MOVE_WINDOW_TICKS > self.tick);
        self.move_ticks.push_back(self.tick);
        self.update_move(subscriber, effects);
    }
}
