//! Which held events end, and how: each is told at once.

use super::*;

/// The share of the room that may fill before events make way: a tenth left over takes in a clump.
const FILLED: f64 = 0.9;

impl Scheduler {
    /// What is due at a destination, apart from its sends.
    pub(super) fn tend(&mut self, id: DestinationId, out: &mut impl Effects) {
        let (here, Some(to)) = (&self.here, self.destinations.get_mut(&id)) else {
            return;
        };
        to.forget_gone(here, &mut self.homes);
        let held = to.events.iter().filter(|(_, event)| event.is_held());
        let hopeless = |event: &Event| here.now.max(event.not_before) >= here.window_ends(event);
        // Beyond its share an event takes no room that others need.
        let scarce = 3 * (self.places.len() - self.unheard) > here.terms.event_capacity;
        let excess = |event: &Event| event.over_share && scarce && event.may_have_run.is_none();
        let ends = held
            .filter(|(_, e)| hopeless(e) || excess(e) || here.now >= e.patience_ends - LAST_MOMENT);
        let ended: Vec<u64> = ends.map(|(&place, _)| place).collect();
        ended.into_iter().for_each(|place| self.end(id, place, out));
        let to = self.destinations.get_mut(&id).expect("tended");
        to.watch_health(&mut self.here, out);
    }

    /// Before events for destinations that work are turned away, what cannot go now makes way, where most
    /// waits, the least worth first: against what stands still or floods. Ends not heard yet take no room (or
    /// one too many has all held make way). What a restart found untried makes none: it was promised a try.
    pub(super) fn keep_room(&mut self, out: &mut impl Effects) {
        let filled = (self.here.terms.event_capacity as f64 * FILLED) as usize;
        let over = |all: &Self| all.places.len() - all.unheard > filled;
        let changed = self
            .changed
            .iter()
            .copied()
            .filter(|_| over(self))
            .collect::<Vec<_>>();
        changed.into_iter().for_each(|id| self.file(id));
        while over(self) {
            let worth = |event: &Event| Moment(self.here.worth(event));
            let gives_way = |event: &Event| event.is_held() && !event.untried;
            let least = self.waiting.iter().rev().find_map(|&(_, id)| {
                let held = self.destinations[&id]
                    .events
                    .iter()
                    .filter(|(_, event)| gives_way(event));
                Some((
                    id,
                    *held
                        .min_by_key(|(place, event)| (worth(event), Reverse(**place)))?
                        .0,
                ))
            });
            let Some((id, place)) = least else { return };
            self.end(id, place, out);
            self.file(id);
        }
    }

    /// The final answer: dismissed where another try does no harm, written off where it might.
    pub(super) fn end(&mut self, id: DestinationId, place: u64, out: &mut impl Effects) {
        let events = &mut self.destinations.get_mut(&id).expect("holds it").events;
        let event = events.get_mut(&place).expect("held");
        event.over = true;
        let effect = self.here.terms.traffic_types[event.traffic.0].idempotency;
        let dismissed = event.may_have_run.is_none()
            || effect != Idempotency::NonIdempotent && !effect.retries_in_zone();
        let advice = self.here.terms.max_retry_after;
        event.unheard = if dismissed {
            out.reject(&event.id, advice)
        } else {
            out.abandon(&event.id)
        };
        self.unheard += event.unheard as usize;
        self.forget_if_over(id, place);
    }

    pub(super) fn forget_if_over(&mut self, id: DestinationId, place: u64) {
        let events = &mut self.destinations.get_mut(&id).expect("holds it").events;
        let done = |event: &Event| event.over && !event.unheard && event.call.is_none();
        let Some(event) = done(&events[&place])
            .then(|| events.remove(&place))
            .flatten()
        else {
            return;
        };
        self.places.remove(&event.id);
        self.changed.insert(id);
        if let Some(key) = event.key {
            let line = self.keys.get_mut(&key).expect("queued");
            line.queue.retain(|&(p, _)| p != place);
            self.changed
                .extend(line.queue.front().map(|(_, next)| next));
            self.forget_if_idle(key);
        }
    }

    pub(super) fn forget_if_idle(&mut self, key: OrderKey) {
        let is_idle = |line: &KeyLine| line.queue.is_empty() && line.rests_until <= self.here.now;
        self.keys
            .get(&key)
            .is_some_and(is_idle)
            .then(|| self.keys.remove(&key));
    }
}

impl Here {
    /// When the event may no longer be sent again because it may have run, or has had all its sends.
    pub(super) fn window_ends(&self, event: &Event) -> Ms {
        match (
            event.may_have_run,
            self.terms.traffic_types[event.traffic.0].idempotency,
        ) {
            _ if event.sends >= self.terms.max_attempts => f64::NEG_INFINITY,
            (Some(_), Idempotency::NonIdempotent) => f64::NEG_INFINITY,
            _ => self.lapses_at(event),
        }
    }

    /// When the destination forgets the fingerprint of an event that may have run.
    pub(super) fn lapses_at(&self, event: &Event) -> Ms {
        match (
            event.may_have_run,
            self.terms.traffic_types[event.traffic.0].idempotency,
        ) {
            (Some((sent, _)), Idempotency::Deduplicated { window, .. }) => sent + window,
            _ => f64::INFINITY,
        }
    }

    /// What the event would pay if it were delivered now.
    pub(super) fn worth(&self, event: &Event) -> f64 {
        let of = &self.terms.traffic_types[event.traffic.0];
        let age = self.now - (event.patience_ends - of.patience);
        let late = ((age - of.soft_limit) / (of.patience - of.soft_limit).max(1.0)).clamp(0.0, 1.0);
        let share = if event.over_share {
            self.terms.over_quota_value_weight
        } else {
            1.0
        };
        share * of.value * (1.0 - late * (1.0 - of.value_at_end))
    }
}
