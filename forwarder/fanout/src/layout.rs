//! Lists and cohorts as the fleet file has them.

use crate::command::{Layout, News};
use crate::names::*;
use crate::state::{FanoutState, Follower};

impl FanoutState {
    /// A subscriber that no list names any more still gets what was taken for it. One that is new goes to the
    /// cohort with the fewest. Cohorts that the file no longer has stay while they have members.
    pub(crate) fn laid(&mut self, layout: Layout, news: &mut Vec<News>) {
        self.bounds = layout.bounds;
        self.lists = layout.lists.into_iter().collect();
        for members in self.lists.values_mut() {
            members.sort();
            members.dedup();
        }
        let told = layout.cohorts + layout.slow_cohorts;
        for number in 0..told {
            self.cohorts.entry(Cohort(number)).or_default().slow = number >= layout.cohorts;
        }
        self.followers.values_mut().for_each(|f| f.listed = false);
        let named: Vec<Subscriber> = self.lists.values().flatten().copied().collect();
        for subscriber in named {
            if let Some(follower) = self.followers.get_mut(&subscriber) {
                follower.listed = true;
                continue;
            }
            let fast = self
                .cohorts
                .iter_mut()
                .filter(|(id, c)| !c.slow && id.0 < told);
            if let Some((cohort, state)) = fast.min_by_key(|(id, c)| (c.members.len(), **id)) {
                state.members.insert(subscriber);
                self.followers.insert(subscriber, Follower::new(*cohort));
            }
        }
        self.leave_old_cohorts(told, news);
        let gone: Vec<Subscriber> = self.followers.keys().copied().collect();
        gone.into_iter()
            .for_each(|subscriber| self.forget_if_gone(subscriber));
    }

    fn leave_old_cohorts(&mut self, told: u32, news: &mut Vec<News>) {
        let old: Vec<Cohort> = self
            .cohorts
            .keys()
            .copied()
            .filter(|c| c.0 >= told)
            .collect();
        for cohort in old {
            let members = self
                .cohorts
                .remove(&cohort)
                .map(|c| c.members)
                .unwrap_or_default();
            for subscriber in members {
                let fast = self.cohorts.iter_mut().filter(|(_, c)| !c.slow);
                let Some((to, state)) = fast.min_by_key(|(id, c)| (c.members.len(), **id)) else {
                    continue;
                };
                state.members.insert(subscriber);
                if let Some(follower) = self.followers.get_mut(&subscriber) {
                    follower.cohort = *to;
                }
                self.moves(subscriber, news);
            }
        }
    }

    /// No list names it and nothing is kept for it.
    pub(crate) fn forget_if_gone(&mut self, subscriber: Subscriber) {
        let Some(follower) = self.followers.get(&subscriber) else {
            return;
        };
        if follower.listed || !follower.waiting.is_empty() || !follower.pending.is_empty() {
            return;
        }
        if let Some(cohort) = self.cohorts.get_mut(&follower.cohort) {
            cohort.members.remove(&subscriber);
        }
        self.followers.remove(&subscriber);
        self.moving.remove(&subscriber);
    }
}
