//! The life of a copy: taken, handed in, ended; and what is kept of its broadcast until all have ended.

use crate::command::{Broadcast, CopyEnd, News, Outcome, Rejection};
use crate::names::*;
use crate::state::{FanoutState, Kept, Pending, REMEMBERED};

impl FanoutState {
    /// Whether it would be taken now: the same answer as in the log, given before it is proposed.
    pub fn would_take(&self, broadcast: &Broadcast) -> Result<(), Rejection> {
        let id = &broadcast.id;
        if id.0.is_empty() || id.0.len() > BroadcastId::LONGEST {
            return Err(Rejection::BadId);
        }
        let members = self
            .lists
            .get(&broadcast.list)
            .ok_or(Rejection::NoSuchList)?;
        if self.known.contains_key(id) || self.past_ids.contains(id) {
            return Err(Rejection::Known);
        }
        let full = self.kept.len() >= self.bounds.broadcasts
            || self.copies + members.len() > self.bounds.kept_in_all
            || self.body_bytes + broadcast.body.len() > self.bounds.body_bytes;
        (!full).then_some(()).ok_or(Rejection::Full)
    }

    pub(crate) fn taken(
        &mut self,
        broadcast: Broadcast,
        news: &mut Vec<News>,
    ) -> Result<Position, Rejection> {
        self.would_take(&broadcast)?;
        let members = self.lists.get(&broadcast.list).cloned().unwrap_or_default();
        self.last = Position(self.last.0 + 1);
        let position = self.last;
        self.copies += members.len();
        self.body_bytes += broadcast.body.len();
        self.known.insert(broadcast.id.clone(), position);
        let open = members.len() as u32;
        self.kept.insert(
            position,
            Kept {
                broadcast,
                open,
                outcomes: [0; 3],
            },
        );
        for subscriber in members {
            let Some(follower) = self.followers.get_mut(&subscriber) else {
                continue;
            };
            follower.waiting.push_back(position);
            let kept = follower.waiting.len() + follower.out().count();
            if kept > self.bounds.kept_for_one {
                // The oldest is worth least to one that lags, and it has surely not run.
                let oldest = follower.waiting.pop_front();
                oldest
                    .into_iter()
                    .for_each(|p| self.give_up(subscriber, p, news));
            }
        }
        self.trim(position, news);
        Ok(position)
    }

    /// A copy that nobody was handed is dismissed: whoever serves its subscriber tells so.
    fn give_up(&mut self, subscriber: Subscriber, position: Position, news: &mut Vec<News>) {
        let at = self.server(subscriber);
        let end = Some(Outcome::Rejected);
        if let Some(follower) = self.followers.get_mut(&subscriber) {
            follower.pending.push(Pending {
                position,
                at,
                end,
                voted: true,
            });
            news.extend(at.map(|to| News::Hand {
                to,
                ticket: None,
                subscriber,
                position,
                end,
            }));
        }
    }

    pub(crate) fn time_up(&mut self, positions: &[Position], news: &mut Vec<News>) {
        let ids: Vec<Subscriber> = self.followers.keys().copied().collect();
        for subscriber in ids {
            let Some(follower) = self.followers.get_mut(&subscriber) else {
                continue;
            };
            let (over, still): (Vec<_>, Vec<_>) = follower
                .waiting
                .iter()
                .copied()
                .partition(|p| positions.contains(p));
            follower.waiting = still.into();
            over.into_iter()
                .for_each(|position| self.give_up(subscriber, position, news));
        }
    }

    /// Hands the instance what its subscribers wait for, within window and room: in turns, so that those with
    /// the fewest out come first.
    pub(crate) fn spread(&mut self, by: InstanceId, ticket: u64, news: &mut Vec<News>) {
        let Some(mut held) = self.instances.get(&by).filter(|i| !i.lost).map(|i| i.held) else {
            return;
        };
        let cohorts = self.cohorts.values().filter(|c| c.by == Some(by));
        let mut asking: Vec<Subscriber> = cohorts.flat_map(|c| c.members.iter().copied()).collect();
        asking.retain(|s| {
            self.followers
                .get(s)
                .is_some_and(|f| !f.waiting.is_empty() && !f.out_elsewhere(Some(by)))
        });
        for turn in 0..self.bounds.window.max(self.bounds.slow_window) {
            for subscriber in &asking {
                let Some(follower) = self.followers.get_mut(subscriber) else {
                    continue;
                };
                let slow = self.cohorts.get(&follower.cohort).is_some_and(|c| c.slow);
                let full = held >= self.bounds.room || turn >= self.bounds.window_of(slow);
                if full || follower.out().count() != turn {
                    continue;
                }
                let Some(position) = follower.waiting.pop_front() else {
                    continue;
                };
                follower.pending.push(Pending {
                    position,
                    at: Some(by),
                    end: None,
                    voted: false,
                });
                held += 1;
                let (to, subscriber) = (by, *subscriber);
                news.push(News::Hand {
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

    /// Counts once, and only from the instance that has the copy.
    pub(crate) fn ended(&mut self, by: InstanceId, end: CopyEnd, news: &mut Vec<News>) {
        let CopyEnd {
            subscriber,
            position,
            ..
        } = end;
        let Some(follower) = self.followers.get_mut(&subscriber) else {
            return;
        };
        let here = |p: &Pending| p.position == position && p.at == Some(by);
        let Some(place) = follower.pending.iter().position(here) else {
            return;
        };
        let pending = follower.pending.remove(place);
        if pending.end.is_none() {
            if let Some(instance) = self.instances.get_mut(&by) {
                instance.held = instance.held.saturating_sub(1);
            }
            // One that was given up before any call says nothing of its subscriber.
            let called = end.outcome == Outcome::Completed || end.own > 0.0;
            if !pending.voted && called {
                self.sample(by, subscriber, end.own, end.waited);
            }
        }
        self.close(position, pending.end.unwrap_or(end.outcome), news);
        if self.moving.contains(&subscriber) {
            self.settles(subscriber, news);
        }
        self.forget_if_gone(subscriber);
    }

    fn close(&mut self, position: Position, outcome: Outcome, news: &mut Vec<News>) {
        if let Some(kept) = self.kept.get_mut(&position) {
            kept.open -= 1;
            kept.outcomes[outcome as usize] += 1;
            self.copies -= 1;
        }
        self.trim(position, news);
    }

    /// Nothing is kept of a broadcast once each copy has its end.
    fn trim(&mut self, position: Position, news: &mut Vec<News>) {
        if self.kept.get(&position).is_none_or(|kept| kept.open > 0) {
            return;
        }
        let Some(Kept {
            broadcast,
            outcomes,
            ..
        }) = self.kept.remove(&position)
        else {
            return;
        };
        self.body_bytes -= broadcast.body.len();
        let id = broadcast.id;
        self.known.remove(&id);
        self.past_ids.insert(id.clone());
        self.past.push_back(id.clone());
        if self.past.len() > REMEMBERED {
            self.past
                .pop_front()
                .map(|oldest| self.past_ids.remove(&oldest));
        }
        news.push(News::AllEnded {
            id,
            position,
            outcomes,
        });
    }
}
