//! Assigns subscribers to cohorts and cohorts to instances, by commands for the log that are computed from
//! the committed state alone. The leader proposes them; a command that is proposed twice counts once.

use plankhill_decisions::interface::Ms;

use crate::command::Command;
use crate::names::*;
use crate::state::FanoutState;
use crate::verdict::Judged;

/// The mean wait for the first call that weighs as much as the complete room: 100 ms weigh as much as a tenth
/// of it.
const WAIT_SCALE: Ms = 1000.0;
/// The weight of one more member, relative to the room: of two instances with equal room, the one with the
/// smaller cohort is chosen.
const MEMBER_WEIGHT: f64 = 0.001;

impl FanoutState {
    /// The commands to propose now: few, and within the bounds on moves; the worst subscribers first.
    pub fn plan(&self) -> Vec<Command> {
        let mut commands = self.assign_unserved_cohorts();
        if commands.is_empty() {
            commands = self.plan_moves();
        }
        if commands.is_empty() {
            commands.extend(self.rebalance());
        }
        commands
    }

    /// Assigns the cohorts that no instance serves, or a lost one.
    fn assign_unserved_cohorts(&self) -> Vec<Command> {
        let mut serving = self.cohort_counts();
        let mut commands = Vec::new();
        for (cohort, state) in &self.cohorts {
            if state
                .by
                .is_some_and(|by| serving.iter().any(|(id, ..)| *id == by))
            {
                continue;
            }
            // A slow cohort goes to the instance with the fewest other cohorts; the others avoid instances
            // with slow cohorts.
            let weight = |counts: &(InstanceId, usize, usize)| match state.slow {
                true => (counts.1, counts.2),
                false => (counts.1 + self.slow_cohorts_weight(counts.2), 0),
            };
            let Some(to) = serving
                .iter_mut()
                .min_by_key(|counts| (weight(counts), counts.0))
            else {
                return commands;
            };
            *(if state.slow { &mut to.2 } else { &mut to.1 }) += 1;
            commands.push(Command::Served {
                cohort: *cohort,
                epoch: state.epoch,
                by: to.0,
            });
        }
        commands
    }

    /// The weight of so many slow cohorts: each counts as much as an instance's even share of the other
    /// cohorts.
    fn slow_cohorts_weight(&self, slow: usize) -> usize {
        let fast = self.cohorts.values().filter(|c| !c.slow).count();
        slow * fast.div_ceil(self.instances.len().max(1)).max(1)
    }

    /// Instances that are not lost, with the number of other and of slow cohorts that each serves.
    fn cohort_counts(&self) -> Vec<(InstanceId, usize, usize)> {
        let reachable = self
            .instances
            .iter()
            .filter(|(_, i)| !i.lost)
            .map(|(id, _)| *id);
        let count = |id, slow| {
            self.cohorts
                .values()
                .filter(|c| c.by == Some(id) && c.slow == slow)
                .count()
        };
        reachable
            .map(|id| (id, count(id, false), count(id, true)))
            .collect()
    }

    /// Moves one cohort from the most loaded instance to the least loaded one, while no subscriber is moving.
    fn rebalance(&self) -> Option<Command> {
        if !self.moving.is_empty() {
            return None;
        }
        let serving = self.cohort_counts();
        let load =
            |counts: &(InstanceId, usize, usize)| counts.1 + self.slow_cohorts_weight(counts.2);
        let most = serving
            .iter()
            .filter(|counts| counts.1 > 0)
            .max_by_key(|counts| (load(counts), counts.0))?;
        let least = serving
            .iter()
            .min_by_key(|counts| (load(counts), counts.0))?;
        if load(most) < load(least) + 2 {
            return None;
        }
        let mut candidates = self
            .cohorts
            .iter()
            .filter(|(_, c)| !c.slow && c.by == Some(most.0));
        let (cohort, state) = candidates.next()?;
        Some(Command::Served {
            cohort: *cohort,
            epoch: state.epoch,
            by: least.0,
        })
    }

    /// Moves the subscribers whose verdict does not fit their cohort.
    fn plan_moves(&self) -> Vec<Command> {
        let at_once = self.bounds.moves_at_once.saturating_sub(self.moving.len());
        let left = self
            .bounds
            .moves_a_minute
            .saturating_sub(self.recent_moves())
            .min(at_once);
        let mut wanted: Vec<(f64, Subscriber, Cohort, bool, Option<InstanceId>)> = Vec::new();
        for (subscriber, subscriber_state) in &self.subscribers {
            let from = subscriber_state.cohort;
            let Some(cohort) = self
                .cohorts
                .get(&from)
                .filter(|_| !self.moving.contains(subscriber))
            else {
                continue;
            };
            match subscriber_state.verdict.judged {
                Judged::Slow(figures) if !cohort.slow => {
                    wanted.push((
                        1.0 + figures.late * figures.own,
                        *subscriber,
                        from,
                        true,
                        None,
                    ));
                }
                Judged::Route(figures) if cohort.slow || cohort.by == Some(figures.at) => {
                    wanted.push((1.0, *subscriber, from, false, Some(figures.at)));
                }
                Judged::KeepsUp if cohort.slow => {
                    wanted.push((0.0, *subscriber, from, false, None))
                }
                _ => (),
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut receiving = Vec::new();
        let mut commands = Vec::new();
        for (_, subscriber, from, slow, excluded) in wanted {
            if commands.len() >= left {
                break;
            }
            let Some((to, by)) = self.choose_cohort(slow, excluded, &receiving) else {
                continue;
            };
            receiving.push(by);
            commands.push(Command::Moved {
                subscriber,
                from,
                to,
            });
        }
        commands
    }

    /// The cohort, slow or not, whose instance has the most room and the shortest wait. An instance that is
    /// at fault, lost or full is not chosen.
    fn choose_cohort(
        &self,
        slow: bool,
        excluded: Option<InstanceId>,
        receiving: &[InstanceId],
    ) -> Option<(Cohort, InstanceId)> {
        let mut best: Option<(f64, Cohort, InstanceId)> = None;
        for (cohort, state) in self.cohorts.iter().filter(|(_, c)| c.slow == slow) {
            let Some(by) = state.by.filter(|by| Some(*by) != excluded) else {
                continue;
            };
            let Some(instance) = self.instances.get(&by).filter(|i| !i.lost && !i.at_fault) else {
                continue;
            };
            let planned = receiving.iter().filter(|to| **to == by).count();
            let held = instance.held + (1 + planned) * self.bounds.window_of(slow);
            if held > self.bounds.room {
                continue;
            }
            let room = held as f64 / self.bounds.room as f64;
            let members = MEMBER_WEIGHT * state.members.len() as f64;
            let weight = room + instance.votes.mean_wait() / WAIT_SCALE + members;
            if best.is_none_or(|(least, ..)| weight < least) {
                best = Some((weight, *cohort, by));
            }
        }
        best.map(|(_, cohort, by)| (cohort, by))
    }
}
