//! The instances that serve: which of them are there, what they hold, and what their log says of each.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::command::{News, Outcome};
use crate::detect::Sample;
use crate::names::*;
use crate::state::FanoutState;
use crate::sums::Votes;

/// Decided attempts that are remembered one by one: several times what a station has open.
pub(crate) const ATTEMPTS: usize = 1024;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Instance {
    /// The number of its last process.
    pub(crate) process: u64,
    /// Attempts of clients at that process that were decided; of lower ones than the floor, all are.
    pub(crate) attempts: BTreeSet<u64>,
    pub(crate) floor: u64,
    pub(crate) lost: bool,
    pub(crate) times_lost: u64,
    /// Copies that may be out there.
    pub(crate) held: usize,
    /// Its batches, late where it was at fault, and how long copies waited there for their first call.
    pub(crate) votes: Votes,
    pub(crate) at_fault: bool,
    /// What was seen there and not judged yet, since which tick.
    pub(crate) batch: Vec<Sample>,
    pub(crate) since: u64,
}

impl FanoutState {
    pub(crate) fn started(&mut self, by: InstanceId, process: u64) {
        let instance = self.instances.entry(by).or_default();
        if process > instance.process {
            (instance.process, instance.lost) = (process, false);
            (instance.attempts, instance.floor) = (BTreeSet::new(), 0);
        }
    }

    /// Whether the attempt is to be decided now: reports come late and twice.
    pub(crate) fn attempts(&mut self, by: InstanceId, process: u64, number: u64) -> bool {
        let Some(instance) = self.instances.get_mut(&by).filter(|i| i.process == process) else {
            return false;
        };
        if number < instance.floor || !instance.attempts.insert(number) {
            return false;
        }
        if instance.attempts.len() > ATTEMPTS {
            instance.floor = instance.attempts.pop_first().map_or(0, |oldest| oldest + 1);
        }
        true
    }

    /// The number of the instance's last process; 0 if none has started.
    pub fn process(&self, instance: InstanceId) -> u64 {
        self.instances.get(&instance).map_or(0, |i| i.process)
    }

    /// It goes on with what it holds; what was given up meanwhile is no longer its own.
    pub(crate) fn joined(&mut self, instance: InstanceId) {
        if let Some(instance) = self.instances.get_mut(&instance) {
            instance.lost = false;
        }
    }

    pub(crate) fn lost(&mut self, id: InstanceId) {
        if let Some(instance) = self.instances.get_mut(&id).filter(|i| !i.lost) {
            instance.lost = true;
            instance.times_lost += 1;
            instance.batch.clear();
        }
    }

    /// The cohort changes hands. What is out at the instance before goes on there and ends there; until then
    /// the subscriber's next copies wait.
    pub(crate) fn served(
        &mut self,
        cohort: Cohort,
        epoch: u64,
        by: InstanceId,
        news: &mut Vec<News>,
    ) {
        let there = self.instances.get(&by).is_some_and(|i| !i.lost);
        let Some(state) = self
            .cohorts
            .get_mut(&cohort)
            .filter(|c| c.epoch == epoch && there)
        else {
            return;
        };
        state.epoch += 1;
        if state.by.replace(by) == Some(by) {
            return;
        }
        for subscriber in state.members.clone() {
            self.moves(subscriber, news);
        }
    }

    /// The subscriber's instance may be another now: it is on the move until nothing is out elsewhere.
    pub(crate) fn moves(&mut self, subscriber: Subscriber, news: &mut Vec<News>) {
        let server = self.server(subscriber);
        let Some(follower) = self.followers.get_mut(&subscriber) else {
            return;
        };
        // Ends that were still to be told are told by whoever serves it now, if none else can.
        for pending in follower.pending.iter_mut() {
            let gone = pending
                .at
                .is_none_or(|at| self.instances.get(&at).is_none_or(|i| i.lost));
            if let (true, Some(to), Some(_)) = (gone, server, pending.end) {
                pending.at = Some(to);
                let (position, end) = (pending.position, pending.end);
                news.push(News::Hand {
                    to,
                    ticket: None,
                    subscriber,
                    position,
                    end,
                });
            }
        }
        if follower.out_elsewhere(server) {
            self.moving.insert(subscriber);
        } else {
            self.settles(subscriber, news);
        }
    }

    pub(crate) fn settles(&mut self, subscriber: Subscriber, news: &mut Vec<News>) {
        let server = self.server(subscriber);
        let elsewhere = self
            .followers
            .get(&subscriber)
            .is_some_and(|f| f.out_elsewhere(server));
        if let (false, Some(by)) = (elsewhere, server) {
            self.moving.remove(&subscriber);
            news.push(News::Settled { subscriber, by });
        }
    }

    /// What it held has surely ended there, and nobody knows how: it may have had its effect, so it is never
    /// sent again. Whoever serves the subscriber tells the end.
    pub(crate) fn given_up(&mut self, instance: InstanceId, time: u64, news: &mut Vec<News>) {
        if self.times_lost(instance) != Some(time) {
            return;
        }
        let ids: Vec<Subscriber> = self.followers.keys().copied().collect();
        for subscriber in ids {
            let server = self.server(subscriber).filter(|s| !self.instances[s].lost);
            let Some(follower) = self.followers.get_mut(&subscriber) else {
                continue;
            };
            let mut touched = false;
            for pending in follower
                .pending
                .iter_mut()
                .filter(|p| p.at == Some(instance))
            {
                touched = true;
                pending.end.get_or_insert(Outcome::Abandoned);
                pending.at = server;
                let (position, end) = (pending.position, pending.end);
                news.extend(server.map(|to| News::Hand {
                    to,
                    ticket: None,
                    subscriber,
                    position,
                    end,
                }));
            }
            if touched {
                self.settles(subscriber, news);
            }
        }
        self.instances.entry(instance).or_default().held = 0;
    }
}
