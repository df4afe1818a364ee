//! Facts in, breaches out. Each rule reads the same small record of events, keys, targets and lanes.

mod bounds;
mod effects;
mod fleet;
mod kept;
mod sending;
mod taking;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::facts::*;
pub use bounds::Bounds;
use kept::*;

/// How many breaches are kept whole; past that they are counted.
const KEPT: usize = 200;

#[derive(Default)]
pub struct Checker {
    bounds: Bounds,
    now: Ms,
    owed: HashMap<u64, Owed>,
    lines: HashMap<(u32, u64), Line>,
    /// Keys in the order in which their rests end.
    resting: VecDeque<(Ms, (u32, u64))>,
    forwarders: BTreeMap<u32, Forwarder>,
    saw_failure: HashMap<u32, HashSet<u32>>,
    applied: HashMap<u64, Applied>,
    doors: HashMap<u32, Door>,
    served: HashMap<u32, Served>,
    /// Applied fingerprints in the order in which they fade.
    fading: VecDeque<(Ms, u64)>,
    breaches: Vec<Violation>,
    counts: BTreeMap<Invariant, u64>,
    taken: u64,
    ends: u64,
}

impl Checker {
    pub fn new(bounds: Bounds) -> Self {
        Checker {
            bounds,
            ..Checker::default()
        }
    }

    /// Facts come in the order of their time.
    pub fn observe(&mut self, now: Ms, fact: Observation) {
        if now < self.now {
            self.breach(
                Invariant::OneEnd,
                format!(
                    "told of {now} ms after {} ms: the teller is at fault",
                    self.now
                ),
            );
        }
        self.now = self.now.max(now);
        while let Some(&(_, place)) = self.resting.front().filter(|(until, _)| *until <= self.now) {
            self.resting.pop_front();
            self.forget_if_empty(place);
        }
        match fact {
            Observation::Taken {
                forwarder,
                event,
                effect,
                key,
                patience_ends,
                ..
            } => self.taken(forwarder, event, effect, key, patience_ends),
            Observation::Sent {
                forwarder,
                event,
                target,
                group,
                lane,
            } => self.sent(forwarder, event, target, group, lane),
            Observation::Pinged {
                forwarder,
                target,
                lane,
            } => {
                self.drains(forwarder, target, "a ping");
                self.waits(forwarder, lane, "a ping");
            }
            Observation::SendOver { event, cut, .. } => self.send_over(event, cut),
            Observation::Ended {
                event,
                end,
                by_notice,
                ..
            } => self.ended(event, end, by_notice),
            Observation::Heard { event } => {
                if let Some(owed) = self.owed.get_mut(&event) {
                    owed.unheard = false;
                    self.forget_if_over(event);
                }
            }
            Observation::Applied {
                event,
                origin,
                effect,
            } => self.applied(event, origin, effect),
            Observation::Listed {
                forwarder,
                target,
                leaves,
            } => {
                let leaving = &mut self.forwarders.entry(forwarder).or_default().leaving;
                if leaves {
                    leaving.entry(target).or_insert(now);
                } else {
                    leaving.remove(&target);
                }
            }
            Observation::Wait {
                forwarder,
                lane,
                until,
            } => {
                let waits = &mut self.forwarders.entry(forwarder).or_default().waits;
                let known = waits.entry(lane).or_insert(until);
                *known = known.max(until);
            }
            Observation::OutageBegan { lane } => {
                self.saw_failure.entry(lane).or_default();
            }
            Observation::SawFailure { forwarder, lane } => {
                if let Some(saw) = self.saw_failure.get_mut(&lane) {
                    saw.insert(forwarder);
                }
            }
            Observation::Tipped { lane, load } => self.tipped(lane, &load),
            Observation::Warm { lane } => {
                self.saw_failure.remove(&lane);
            }
            Observation::Halted { forwarder } => {
                let it = self.forwarders.entry(forwarder).or_default();
                it.halted = true;
                it.pause = Some((f64::INFINITY, now));
            }
            Observation::Resumed { forwarder, anew } => self.resumed(forwarder, anew),
            Observation::Unpromised { event } => self.not_promised(event),
            Observation::Budget { target, most } => self.budget(target, most),
            Observation::Opened { forwarder, target } => self.opened(forwarder, target),
            Observation::Closed { forwarder, target } => self.closed(forwarder, target),
            Observation::Serves {
                forwarder,
                subscriber,
            } => self.serves(forwarder, subscriber),
            Observation::ServesNoMore {
                forwarder,
                subscriber,
            } => self.serves_no_more(forwarder, subscriber),
            Observation::Lost { event } => {
                if let Some(owed) = self.owed.get_mut(&event) {
                    (owed.ended, owed.unheard, owed.out) = (true, false, false);
                    self.ends += 1;
                    self.forget_if_over(event);
                }
            }
        }
    }

    /// At the end of a run: what is still owed must have its patience before it, or a halted forwarder.
    pub fn finish(&mut self, now: Ms) {
        self.now = self.now.max(now);
        let mut late: Vec<u64> = self
            .owed
            .iter()
            .filter(|(_, owed)| {
                !owed.ended && !owed.unpromised && owed.patience_ends + self.bounds.rounding < now
            })
            .filter(|(_, owed)| !self.excused(owed.forwarder, owed.patience_ends))
            .map(|(&event, _)| event)
            .collect();
        late.sort_unstable();
        for event in late {
            let ends = self.owed[&event].patience_ends;
            self.breach(
                Invariant::OneEnd,
                format!("event {event} has no end; its patience was over at {ends:.3} ms"),
            );
        }
    }

    pub fn breaches(&self) -> &[Violation] {
        &self.breaches
    }

    pub fn count(&self, rule: Invariant) -> u64 {
        self.counts.get(&rule).copied().unwrap_or(0)
    }

    /// Events taken and ended so far; the rest is still owed.
    pub fn books(&self) -> (u64, u64) {
        (self.taken, self.ends)
    }

    /// How much the checker keeps: events, keys and fingerprints.
    pub fn kept(&self) -> usize {
        self.owed.len() + self.lines.len() + self.applied.len()
    }

    fn breach(&mut self, rule: Invariant, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Violation {
                at: self.now,
                rule,
                what,
            });
        }
    }
}
