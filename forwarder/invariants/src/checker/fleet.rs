//! What holds over all forwarders of a fleet together.

use super::Checker;
use crate::facts::{Invariant, Ms};

impl Checker {
    /// Its client heard no answer and owes itself the next step. The event holds back no other of its key.
    pub(super) fn not_promised(&mut self, event: u64) {
        let Some(owed) = self.owed.get_mut(&event) else {
            return;
        };
        owed.unpromised = true;
        let place = owed.key.map(|key| (owed.forwarder, key));
        if let Some(line) = place.and_then(|place| self.lines.get_mut(&place)) {
            line.queue.retain(|&queued| queued != event);
        }
    }

    pub(super) fn budget(&mut self, target: u32, most: u32) {
        self.doors.entry(target).or_default().most = Some(most);
        self.within_budget(target);
    }

    pub(super) fn opened(&mut self, forwarder: u32, target: u32) {
        *self
            .doors
            .entry(target)
            .or_default()
            .open
            .entry(forwarder)
            .or_default() += 1;
        self.within_budget(target);
    }

    pub(super) fn closed(&mut self, forwarder: u32, target: u32) {
        let door = self.doors.entry(target).or_default();
        match door.open.get_mut(&forwarder) {
            Some(open) if *open > 1 => *open -= 1,
            Some(_) => drop(door.open.remove(&forwarder)),
            None => {
                let said = format!(
                    "a connection of forwarder {forwarder} to target {target} closed that was not open"
                );
                self.breach(Invariant::WithinBudget, said);
            }
        }
    }

    fn within_budget(&mut self, target: u32) {
        let Some(door) = self.doors.get(&target) else {
            return;
        };
        let open: u32 = door.open.values().sum();
        if let Some(most) = door.most.filter(|most| open > *most) {
            self.breach(
                Invariant::WithinBudget,
                format!("target {target} has {open} connections open, {most} at most"),
            );
        }
    }

    pub(super) fn serves(&mut self, forwarder: u32, subscriber: u32) {
        let by = &mut self.served.entry(subscriber).or_default().by;
        by.push(forwarder);
        if by.len() > 1 {
            let said = format!("subscriber {subscriber} is served by forwarders {by:?}");
            self.breach(Invariant::OneServer, said);
        }
    }

    pub(super) fn serves_no_more(&mut self, forwarder: u32, subscriber: u32) {
        let by = &mut self.served.entry(subscriber).or_default().by;
        let before = by.len();
        by.retain(|&server| server != forwarder);
        if by.len() == before {
            let said = format!(
                "forwarder {forwarder} stopped to serve subscriber {subscriber}, which it did not"
            );
            self.breach(Invariant::OneServer, said);
        }
    }

    /// At the end of a run whose peers all work again and that waited for it: nothing that was promised is
    /// without an end, whatever its patience, and each subscriber has its server.
    pub fn all_over(&mut self, now: Ms) {
        self.now = self.now.max(now);
        let promised = self
            .owed
            .iter()
            .filter(|(_, owed)| !owed.ended && !owed.unpromised);
        let mut lost: Vec<u64> = promised.map(|(&event, _)| event).collect();
        lost.sort_unstable();
        for event in lost {
            let by = self.owed[&event].forwarder;
            self.breach(
                Invariant::NothingLost,
                format!("event {event}, promised by forwarder {by}, has no end"),
            );
        }
        let alone = self
            .served
            .iter()
            .filter(|(_, served)| served.by.is_empty());
        let mut alone: Vec<u32> = alone.map(|(&subscriber, _)| subscriber).collect();
        alone.sort_unstable();
        for subscriber in alone {
            self.breach(
                Invariant::OneServer,
                format!("subscriber {subscriber} is served by nobody"),
            );
        }
    }
}
