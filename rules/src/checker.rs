//! Facts in, breaches out. Each rule reads the same small record of events, keys, targets and lanes.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::facts::*;

/// What the rules leave open.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// How long after hearing of a drain a target may still get something new.
    pub grace: Ms,
    /// How long a key rests after a send of it was cut short.
    pub key_rest: Ms,
    /// How long after its patience an event may end that a halted forwarder owed.
    pub after_halt: Ms,
    /// The share of a tipping load that must come from forwarders that saw the outage.
    pub knowing_share: f64,
    /// How long an effect that came about is remembered: past all that its client may still try.
    pub remembered: Ms,
    /// Slack for times that were rounded on their way.
    pub rounding: Ms,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            grace: 250.0,
            key_rest: 0.0,
            after_halt: 1000.0,
            knowing_share: 2.0 / 3.0,
            remembered: 600_000.0,
            rounding: 0.01,
        }
    }
}

/// How many breaches are kept whole; past that they are counted.
const KEPT: usize = 200;

struct Owed {
    forwarder: u32,
    effect: Effect,
    key: Option<u64>,
    patience_ends: Ms,
    out: bool,
    /// When and in which group the first send went that may have run.
    may_have_run: Option<(Ms, u32)>,
    sent: (Ms, u32),
    ended: bool,
    unheard: bool,
}

#[derive(Default)]
struct Line {
    queue: VecDeque<u64>,
    rests_until: Ms,
    rests_for: u64,
}

#[derive(Default)]
struct Forwarder {
    halted: bool,
    /// When it last resumed, and when it had halted.
    pause: Option<(Ms, Ms)>,
    leaving: HashMap<u32, Ms>,
    waits: HashMap<u32, Ms>,
}

/// The first time an origin's effect came about, while that can matter.
struct Applied {
    at: Ms,
    event: u64,
}

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
    /// Applied fingerprints in the order in which they fade.
    fading: VecDeque<(Ms, u64)>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, u64>,
    taken: u64,
    ends: u64,
}

impl Checker {
    pub fn new(bounds: Bounds) -> Self {
        Checker { bounds, ..Checker::default() }
    }

    /// Facts come in the order of their time.
    pub fn tell(&mut self, now: Ms, fact: Fact) {
        if now < self.now {
            self.breach(
                Rule::OneEnd,
                format!("told of {now} ms after {} ms: the teller is at fault", self.now),
            );
        }
        self.now = self.now.max(now);
        while let Some(&(_, place)) = self.resting.front().filter(|(until, _)| *until <= self.now) {
            self.resting.pop_front();
            self.forget_if_empty(place);
        }
        match fact {
            Fact::Taken { forwarder, event, effect, key, patience_ends, .. } => {
                self.taken(forwarder, event, effect, key, patience_ends)
            }
            Fact::Sent { forwarder, event, target, group, lane } => {
                self.sent(forwarder, event, target, group, lane)
            }
            Fact::Pinged { forwarder, target, lane } => {
                self.drains(forwarder, target, "a ping");
                self.waits(forwarder, lane, "a ping");
            }
            Fact::SendOver { forwarder, event, cut } => self.send_over(forwarder, event, cut),
            Fact::Ended { event, end, by_notice, .. } => self.ended(event, end, by_notice),
            Fact::Heard { event } => {
                if let Some(owed) = self.owed.get_mut(&event) {
                    owed.unheard = false;
                    self.forget_if_over(event);
                }
            }
            Fact::Applied { event, origin, effect } => self.applied(event, origin, effect),
            Fact::Listed { forwarder, target, leaves } => {
                let leaving = &mut self.forwarders.entry(forwarder).or_default().leaving;
                if leaves {
                    leaving.entry(target).or_insert(now);
                } else {
                    leaving.remove(&target);
                }
            }
            Fact::Wait { forwarder, lane, until } => {
                let waits = &mut self.forwarders.entry(forwarder).or_default().waits;
                let known = waits.entry(lane).or_insert(until);
                *known = known.max(until);
            }
            Fact::OutageBegan { lane } => {
                self.saw_failure.entry(lane).or_default();
            }
            Fact::SawFailure { forwarder, lane } => {
                if let Some(saw) = self.saw_failure.get_mut(&lane) {
                    saw.insert(forwarder);
                }
            }
            Fact::Tipped { lane, load } => self.tipped(lane, &load),
            Fact::Warm { lane } => {
                self.saw_failure.remove(&lane);
            }
            Fact::Halted { forwarder } => {
                let it = self.forwarders.entry(forwarder).or_default();
                it.halted = true;
                it.pause = Some((f64::INFINITY, now));
            }
            Fact::Resumed { forwarder, anew } => self.resumed(forwarder, anew),
            Fact::Lost { event } => {
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
            .filter(|(_, owed)| !owed.ended && owed.patience_ends + self.bounds.rounding < now)
            .filter(|(_, owed)| !self.excused(owed.forwarder, owed.patience_ends))
            .map(|(&event, _)| event)
            .collect();
        late.sort_unstable();
        for event in late {
            let ends = self.owed[&event].patience_ends;
            self.breach(
                Rule::OneEnd,
                format!("event {event} has no end; its patience was over at {ends:.3} ms"),
            );
        }
    }

    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    pub fn count(&self, rule: Rule) -> u64 {
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

    fn breach(&mut self, rule: Rule, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { at: self.now, rule, what });
        }
    }

    fn taken(&mut self, forwarder: u32, event: u64, effect: Effect, key: Option<u64>, patience_ends: Ms) {
        self.taken += 1;
        if let Some(key) = key {
            self.lines.entry((forwarder, key)).or_default().queue.push_back(event);
        }
        let owed = Owed {
            forwarder,
            effect,
            key,
            patience_ends,
            out: false,
            may_have_run: None,
            sent: (0.0, 0),
            ended: false,
            unheard: false,
        };
        if self.owed.insert(event, owed).is_some() {
            self.breach(Rule::OneEnd, format!("event {event} was taken twice"));
        }
    }

    fn sent(&mut self, forwarder: u32, event: u64, target: u32, group: u32, lane: u32) {
        self.drains(forwarder, target, "an event");
        self.waits(forwarder, lane, "an event");
        let (now, rounding) = (self.now, self.bounds.rounding);
        let Some(owed) = self.owed.get_mut(&event) else {
            return self.breach(Rule::OneEnd, format!("event {event} was sent, but is not owed"));
        };
        let mut broken = Vec::new();
        if owed.ended {
            broken.push((Rule::OneEnd, format!("event {event} was sent after its end")));
        }
        if owed.out {
            broken.push((Rule::NoEffectTwice, format!("event {event} was sent while a send of it was out")));
        }
        if let Some((first, ran_in)) = owed.may_have_run {
            match owed.effect {
                Effect::Retriable => (),
                Effect::Binding => broken.push((
                    Rule::NoEffectTwice,
                    format!("binding event {event} may have run, was sent again"),
                )),
                Effect::Fingerprinted { window, .. } if now > first + window + rounding => broken
                    .push((Rule::NoEffectTwice, format!("event {event} was sent again after its window"))),
                Effect::Fingerprinted { one_group: true, .. } if ran_in != group => broken
                    .push((Rule::NoEffectTwice, format!("event {event} was sent again outside its group"))),
                Effect::Fingerprinted { .. } => (),
            }
        }
        (owed.out, owed.sent) = (true, (now, group));
        if let Some(line) = owed.key.and_then(|key| self.lines.get(&(owed.forwarder, key))) {
            if line.queue.front() != Some(&event) {
                broken.push((Rule::KeyOrder, format!("event {event} overtook an earlier one of its key")));
            }
            if now + rounding < line.rests_until && line.rests_for != event {
                broken.push((Rule::KeyOrder, format!("event {event} was sent while its key rested")));
            }
        }
        broken.into_iter().for_each(|(rule, what)| self.breach(rule, what));
    }

    fn drains(&mut self, forwarder: u32, target: u32, what: &str) {
        let since = self.forwarders.get(&forwarder).and_then(|it| it.leaving.get(&target)).copied();
        if let Some(since) = since.filter(|since| self.now > since + self.bounds.grace + self.bounds.rounding)
        {
            let late = self.now - since;
            let said = format!("{what} went to target {target}, {late:.1} ms after it was told to leave");
            self.breach(Rule::DrainsKept, said);
        }
    }

    fn waits(&mut self, forwarder: u32, lane: u32, what: &str) {
        let Some(it) = self.forwarders.get_mut(&forwarder) else { return };
        let Some(&until) = it.waits.get(&lane) else { return };
        if self.now + self.bounds.rounding < until {
            let said =
                format!("{what} went to lane {lane}, {:.1} ms before a told wait ended", until - self.now);
            return self.breach(Rule::WaitsHeeded, said);
        }
        it.waits.remove(&lane);
    }

    fn send_over(&mut self, forwarder: u32, event: u64, cut: Cut) {
        let (now, rest) = (self.now, self.bounds.key_rest);
        let Some(owed) = self.owed.get_mut(&event) else {
            return self.breach(Rule::OneEnd, format!("a send of event {event} ended, but it is not owed"));
        };
        owed.out = false;
        if matches!(cut, Cut::Error | Cut::Short) {
            owed.may_have_run.get_or_insert(owed.sent);
        }
        let place = owed.key.filter(|_| cut == Cut::Short).map(|key| (forwarder, key));
        if let Some(line) = place.and_then(|place| self.lines.get_mut(&place)) {
            (line.rests_until, line.rests_for) = (now + rest, event);
            self.resting.push_back((now + rest, place.expect("found")));
        }
        self.forget_if_over(event);
    }

    fn ended(&mut self, event: u64, end: End, by_notice: bool) {
        let (now, rounding) = (self.now, self.bounds.rounding);
        let Some(owed) = self.owed.get(&event) else {
            return self.breach(Rule::OneEnd, format!("event {event} ended, but is not owed"));
        };
        if owed.ended {
            return self.breach(Rule::OneEnd, format!("event {event} ended a second time"));
        }
        let (effect, ran, ends) = (owed.effect, owed.may_have_run.is_some(), owed.patience_ends);
        if now > ends + rounding && !self.excused(owed.forwarder, ends) {
            self.breach(Rule::OneEnd, format!("event {event} ended {:.1} ms after its patience", now - ends));
        }
        // Its client may hand it in again: only where that does no harm.
        let bound =
            effect == Effect::Binding || matches!(effect, Effect::Fingerprinted { one_group: true, .. });
        if end == End::Dismissed && ran && bound {
            self.breach(Rule::NoEffectTwice, format!("event {event} may have run and was dismissed"));
        }
        self.ends += 1;
        let owed = self.owed.get_mut(&event).expect("seen");
        (owed.ended, owed.unheard) = (true, by_notice);
        self.forget_if_over(event);
    }

    /// The forwarder could not act when the patience ended, and has not had the time to since.
    fn excused(&self, forwarder: u32, patience_ends: Ms) -> bool {
        let Some(it) = self.forwarders.get(&forwarder) else { return false };
        let Some((resumed, halted)) = it.pause else { return false };
        let just = it.halted || self.now <= resumed + self.bounds.after_halt;
        just && patience_ends + self.bounds.after_halt >= halted
    }

    fn resumed(&mut self, forwarder: u32, anew: bool) {
        let now = self.now;
        let it = self.forwarders.entry(forwarder).or_default();
        it.halted = false;
        if let Some((resumed, _)) = &mut it.pause {
            *resumed = now;
        }
        if anew {
            it.waits.clear();
        }
    }

    fn forget_if_over(&mut self, event: u64) {
        let Some(owed) = self.owed.get(&event) else { return };
        if !owed.ended || owed.unheard || owed.out {
            return;
        }
        let place = owed.key.map(|key| (owed.forwarder, key));
        self.owed.remove(&event);
        let Some(place) = place else { return };
        if let Some(line) = self.lines.get_mut(&place) {
            line.queue.retain(|&queued| queued != event);
        }
        self.forget_if_empty(place);
    }

    fn forget_if_empty(&mut self, place: (u32, u64)) {
        let over = |line: &Line| line.queue.is_empty() && line.rests_until <= self.now;
        if self.lines.get(&place).is_some_and(over) {
            self.lines.remove(&place);
        }
    }

    fn applied(&mut self, event: u64, origin: u64, effect: Effect) {
        while let Some(&(_, origin)) = self.fading.front().filter(|(until, _)| *until < self.now) {
            self.fading.pop_front();
            self.applied.remove(&origin);
        }
        if effect == Effect::Retriable {
            return;
        }
        let first = self.applied.get(&origin).map(|first| (first.at, first.event));
        match (first, effect) {
            (None, _) => {
                self.applied.insert(origin, Applied { at: self.now, event });
                self.fading.push_back((self.now + self.bounds.remembered, origin));
            }
            (Some((at, by)), Effect::Binding) => {
                let said = format!(
                    "binding effect {origin} came about twice: event {by} at {at:.3} ms, event {event}"
                );
                self.breach(Rule::NoEffectTwice, said);
            }
            // Repeats of one event are judged as they are sent; a client's own return is its own to weigh.
            (Some(_), _) => (),
        }
    }

    fn tipped(&mut self, lane: u32, load: &[(u32, f64)]) {
        let Some(saw) = self.saw_failure.get(&lane) else { return };
        let total: f64 = load.iter().map(|(_, weight)| weight).sum();
        let knowing: f64 = load.iter().filter(|(who, _)| saw.contains(who)).map(|(_, weight)| weight).sum();
        if total > 0.0 && knowing >= self.bounds.knowing_share * total {
            let share = 100.0 * knowing / total;
            let said =
                format!("lane {lane} was pushed over; {share:.0}% of the load came from those that knew");
            self.breach(Rule::NotPushedOver, said);
        }
    }
}
