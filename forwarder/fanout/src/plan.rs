//! Which subscriber goes to which cohort, and which instance serves which: commands for the log, worked out
//! from the committed state alone. Whoever leads proposes them; proposed twice they count once.

use plankhill_decisions::interface::Ms;

use crate::command::Command;
use crate::names::*;
use crate::state::FanoutState;
use crate::verdict::Judged;

/// A mean wait for the first call of a tenth of a second weighs as much as a room filled by a tenth.
const WAIT: Ms = 1000.0;
/// What one member more weighs against the room: of two that are as free, the one with fewer.
const MEMBER: f64 = 0.001;

impl FanoutState {
    /// Few, and within the bounds on moves; the worst first.
    pub fn plan(&self) -> Vec<Command> {
        let mut commands = self.unserved();
        if commands.is_empty() {
            commands = self.regroups();
        }
        if commands.is_empty() {
            commands.extend(self.evens_out());
        }
        commands
    }

    /// Cohorts that nobody serves, or one that is lost.
    fn unserved(&self) -> Vec<Command> {
        let mut serving = self.serving();
        let mut commands = Vec::new();
        for (cohort, state) in &self.cohorts {
            if state
                .by
                .is_some_and(|by| serving.iter().any(|(id, ..)| *id == by))
            {
                continue;
            }
            // Slow ones go where the fewest others are, others keep away from the slow.
            let weight = |of: &(InstanceId, usize, usize)| match state.slow {
                true => (of.1, of.2),
                false => (of.1 + self.slow_weighs(of.2), 0),
            };
            let Some(to) = serving.iter_mut().min_by_key(|of| (weight(of), of.0)) else {
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

    /// A cohort of slow ones is as heavy as an even part of the others.
    fn slow_weighs(&self, slow: usize) -> usize {
        let fast = self.cohorts.values().filter(|c| !c.slow).count();
        slow * fast.div_ceil(self.instances.len().max(1)).max(1)
    }

    /// Instances that are there, with the cohorts that they serve and the slow ones among them.
    fn serving(&self) -> Vec<(InstanceId, usize, usize)> {
        let there = self
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
        there
            .map(|id| (id, count(id, false), count(id, true)))
            .collect()
    }

    /// One cohort goes from the instance with the most to the one with the fewest, while nothing else moves.
    fn evens_out(&self) -> Option<Command> {
        if !self.moving.is_empty() {
            return None;
        }
        let serving = self.serving();
        let load = |of: &(InstanceId, usize, usize)| of.1 + self.slow_weighs(of.2);
        let most = serving
            .iter()
            .filter(|of| of.1 > 0)
            .max_by_key(|of| (load(of), of.0))?;
        let least = serving.iter().min_by_key(|of| (load(of), of.0))?;
        if load(most) < load(least) + 2 {
            return None;
        }
        let mut theirs = self
            .cohorts
            .iter()
            .filter(|(_, c)| !c.slow && c.by == Some(most.0));
        let (cohort, state) = theirs.next()?;
        Some(Command::Served {
            cohort: *cohort,
            epoch: state.epoch,
            by: least.0,
        })
    }

    fn regroups(&self) -> Vec<Command> {
        let at_once = self.bounds.moves_at_once.saturating_sub(self.moving.len());
        let left = self
            .bounds
            .moves_a_minute
            .saturating_sub(self.moved_lately())
            .min(at_once);
        let mut wanted: Vec<(f64, Subscriber, Cohort, bool, Option<InstanceId>)> = Vec::new();
        for (subscriber, follower) in &self.followers {
            let from = follower.cohort;
            let Some(cohort) = self
                .cohorts
                .get(&from)
                .filter(|_| !self.moving.contains(subscriber))
            else {
                continue;
            };
            match follower.verdict.judged {
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
        let mut coming = Vec::new();
        let mut commands = Vec::new();
        for (_, subscriber, from, slow, barred) in wanted {
            if commands.len() >= left {
                break;
            }
            let Some((to, by)) = self.receives(slow, barred, &coming) else {
                continue;
            };
            coming.push(by);
            commands.push(Command::Moved {
                subscriber,
                from,
                to,
            });
        }
        commands
    }

    /// The cohort of that sort whose instance has the most room and lets copies wait least. One that is at
    /// fault, lost or full receives nobody.
    fn receives(
        &self,
        slow: bool,
        barred: Option<InstanceId>,
        coming: &[InstanceId],
    ) -> Option<(Cohort, InstanceId)> {
        let mut best: Option<(f64, Cohort, InstanceId)> = None;
        for (cohort, state) in self.cohorts.iter().filter(|(_, c)| c.slow == slow) {
            let Some(by) = state.by.filter(|by| Some(*by) != barred) else {
                continue;
            };
            let Some(instance) = self.instances.get(&by).filter(|i| !i.lost && !i.at_fault) else {
                continue;
            };
            let come = coming.iter().filter(|to| **to == by).count();
            let held = instance.held + (1 + come) * self.bounds.window_of(slow);
            if held > self.bounds.room {
                continue;
            }
            let room = held as f64 / self.bounds.room as f64;
            let members = MEMBER * state.members.len() as f64;
            let weight = room + instance.votes.waited() / WAIT + members;
            if best.is_none_or(|(least, ..)| weight < least) {
                best = Some((weight, *cohort, by));
            }
        }
        best.map(|(_, cohort, by)| (cohort, by))
    }
}
