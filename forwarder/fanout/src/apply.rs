//! Applies the log's commands, each to the part of the state that it is about.

use crate::command::{Command, News, Rejection};
use crate::names::*;
use crate::state::FanoutState;

/// A minute, in ticks.
const MINUTE: u64 = 60;

impl FanoutState {
    /// Tells what follows of it, in order. The same command at the same state tells the same everywhere.
    pub fn apply(&mut self, command: Command) -> Vec<News> {
        let mut news = Vec::new();
        let mut later = Vec::new();
        match command {
            Command::Laid(layout) => self.laid(layout, &mut news),
            Command::Started { by, process } => self.started(by, process),
            Command::Joined(instance) => self.joined(instance),
            Command::Lost(instance) => self.lost(instance),
            Command::Taken {
                by,
                process,
                number,
                broadcast,
            } => {
                if self.attempts(by, process, number) {
                    news.push(match self.taken(broadcast, &mut later) {
                        Ok(position) => News::Taken {
                            by,
                            process,
                            number,
                            position,
                        },
                        Err(why) => News::Refused {
                            by,
                            process,
                            number,
                            why,
                        },
                    });
                }
            }
            Command::Barred {
                by,
                process,
                number,
            } => {
                if self.attempts(by, process, number) {
                    news.push(News::Refused {
                        by,
                        process,
                        number,
                        why: Rejection::Late,
                    });
                }
            }
            Command::Spread {
                by,
                process,
                ticket,
            } if self.process(by) == process => {
                self.spread(by, ticket, &mut news);
            }
            Command::Ended { by, process, ends } if self.process(by) == process => {
                ends.into_iter()
                    .for_each(|end| self.ended(by, end, &mut news));
            }
            Command::StillOut {
                by,
                process,
                copies,
            } if self.process(by) == process => {
                for (subscriber, position, own) in copies {
                    self.still_out(by, subscriber, position, own);
                }
            }
            Command::Spread { .. } | Command::Ended { .. } | Command::StillOut { .. } => (),
            Command::Rests {
                by,
                subscriber,
                rests,
            } => {
                if let Some(follower) = self.followers.get_mut(&subscriber) {
                    if rests && self.instances.contains_key(&by) {
                        follower.rests.insert(by);
                    } else {
                        follower.rests.remove(&by);
                    }
                }
            }
            Command::TimeUp(positions) => self.time_up(&positions, &mut news),
            Command::Moved {
                subscriber,
                from,
                to,
            } => self.moved(subscriber, from, to, &mut news),
            Command::Served { cohort, epoch, by } => self.served(cohort, epoch, by, &mut news),
            Command::GivenUp { instance, time } => self.given_up(instance, time, &mut news),
            Command::Tick => {
                self.tick += 1;
                self.detect();
            }
        }
        news.append(&mut later);
        news
    }

    /// Whether one more move keeps the bounds.
    pub(crate) fn may_move(&self) -> bool {
        self.moving.len() < self.bounds.moves_at_once
            && self.moved_lately() < self.bounds.moves_a_minute
    }

    pub(crate) fn moved_lately(&self) -> usize {
        self.moved_at
            .iter()
            .filter(|at| **at + MINUTE > self.tick)
            .count()
    }

    /// From here on, in the log's order, the old instance is handed nothing more.
    fn moved(&mut self, subscriber: Subscriber, from: Cohort, to: Cohort, news: &mut Vec<News>) {
        let there = |id: InstanceId| self.instances.get(&id).is_some_and(|i| !i.lost);
        let served = self.cohorts.get(&to).and_then(|c| c.by).is_some_and(there);
        let known = self
            .followers
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
        if let Some(follower) = self.followers.get_mut(&subscriber) {
            follower.cohort = to;
        }
        self.moved_at.retain(|at| *at + MINUTE > self.tick);
        self.moved_at.push_back(self.tick);
        self.moves(subscriber, news);
    }
}
