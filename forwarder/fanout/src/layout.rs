//! Applies the lists and cohorts of the fleet file.

use crate::command::{Effect, Layout};
use crate::names::*;
use crate::state::{FanoutState, SubscriberState};

impl FanoutState {
    /// A subscriber that is no longer in any list still gets the copies accepted for it. A new one joins the
    /// cohort with the fewest members. The members of a cohort that is no longer in the file move to other
    /// cohorts.
    pub(crate) fn apply_layout(&mut self, layout: Layout, effects: &mut Vec<Effect>) {
        self.bounds = layout.bounds;
        self.lists = layout.lists.into_iter().collect();
        for members in self.lists.values_mut() {
            members.sort();
            members.dedup();
        }
        let cohort_count = layout.cohorts + layout.slow_cohorts;
        for number in 0..cohort_count {
            self.cohorts.entry(Cohort(number)).or_default().slow = number >= layout.cohorts;
        }
        self.subscribers
            .values_mut()
            .for_each(|f| f.is_listed = false);
        let named: Vec<Subscriber> = self.lists.values().flatten().copied().collect();
        for subscriber in named {
            if let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) {
                subscriber_state.is_listed = true;
                continue;
            }
            let fast = self
                .cohorts
                .iter_mut()
                .filter(|(id, c)| !c.slow && id.0 < cohort_count);
            if let Some((cohort, state)) = fast.min_by_key(|(id, c)| (c.members.len(), **id)) {
                state.members.insert(subscriber);
                self.subscribers
                    .insert(subscriber, SubscriberState::new(*cohort));
            }
        }
        self.remove_old_cohorts(cohort_count, effects);
        let candidates: Vec<Subscriber> = self.subscribers.keys().copied().collect();
        candidates
            .into_iter()
            .for_each(|subscriber| self.remove_if_unused(subscriber));
    }

    fn remove_old_cohorts(&mut self, cohort_count: u32, effects: &mut Vec<Effect>) {
        let old: Vec<Cohort> = self
            .cohorts
            .keys()
            .copied()
            .filter(|c| c.0 >= cohort_count)
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
                if let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) {
                    subscriber_state.cohort = *to;
                }
                self.update_move(subscriber, effects);
            }
        }
    }

    /// Removes the subscriber if no list names it and no copy is kept for it.
    pub(crate) fn remove_if_unused(&mut self, subscriber: Subscriber) {
        let Some(subscriber_state) = self.subscribers.get(&subscriber) else {
            return;
        };
        if subscriber_state.is_listed
            || !subscriber_state.queued.is_empty()
            || !subscriber_state.pending.is_empty()
        {
            return;
        }
        if let Some(cohort) = self.cohorts.get_mut(&subscriber_state.cohort) {
            cohort.members.remove(&subscriber);
        }
        self.subscribers.remove(&subscriber);
        self.moving.remove(&subscriber);
    }
}
