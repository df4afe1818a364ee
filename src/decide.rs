//! Every decision of a forwarder. A host calls [`Forwarder::round`] once a round: what came in is handed
//! over by the calls of the first block below (`taken`, `send_ended`, `listed`, ...), then the decisions go
//! straight into the writer passed with the call. Ids, terms and the writer stand in `interface.rs`,
//! what is kept between rounds in `state.rs`.
//! docs/design.md tells the mechanism and when each exception from it acts.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{Hash, Hasher};

use crate::interface::*;
use crate::state::*;

#[derive(Default)]
pub struct Forwarder {
    terms: Terms,
    started: Ms,
    now: Ms,
    draws: u64,
    taken: u64,
    calls_made: u64,
    events: BTreeMap<u64, Event>, // in the order taken
    places: HashMap<EventId, u64>,
    keys: HashMap<OrderKey, KeyLine>,
    destinations: BTreeMap<DestinationId, Destination>,
    targets: BTreeMap<TargetId, Target>,
    lanes: BTreeMap<LaneId, Lane>,
    calls: BTreeMap<u64, Call>,
    answers: Fading,
    answer_time: Fading,
    wake_at: Ms,
    woken_at: Ms, // the ring that is already ordered
}

/// Long enough to know a destination's usual traffic, short against the length of a busy hour.
const USUAL: Ms = 20_000.0;
/// Answers are remembered over some ten of them at a call or two a second; 4, 7 and 15 s serve alike.
const MEMORY: Ms = 7_000.0;
/// Good and failed calls are weighed over a few seconds: long enough for several, short against an outage.
const TREND: Ms = 5_000.0;
/// What was sent in the last moments, for the pace that a refusal cuts.
const RECENT: Ms = 2_000.0;

impl Forwarder {
    pub fn start(terms: Terms, now: Ms) -> Self {
        let never = f64::INFINITY;
        Forwarder { terms, started: now, wake_at: never, woken_at: never, ..Self::default() }
    }

    /// One round: `came_in` hands over all that arrived, then the decisions are written.
    pub fn round<E>(
        &mut self,
        now: Ms,
        came_in: impl FnOnce(&mut Self) -> Result<(), E>,
        out: &mut impl Decisions,
    ) -> Result<(), E> {
        self.now = now;
        self.wake_at = f64::INFINITY;
        came_in(self)?;
        self.forget_gone();
        self.mark_troubled();
        self.end_events(out);
        self.watch_health(out);
        self.dispatch(out);
        if self.wake_at < self.woken_at {
            self.woken_at = self.wake_at;
            out.wake_after(self.wake_at - now);
        }
        Ok(())
    }

    // ---- what came in ----

    pub fn woken(&mut self) {
        self.woken_at = Some(self.woken_at).filter(|&at| at > self.now).unwrap_or(f64::INFINITY);
    }

    pub fn list_replaced(&mut self) {
        self.targets.values_mut().for_each(|target| target.listing = Listing::Gone);
    }

    /// What a destination takes a second, by the list, half too high at worst: a floor to its usual traffic.
    pub fn limit_stated(&mut self, of: DestinationId, rate: f64) {
        self.destinations.entry(of).or_default().stated = rate / 1.5 / self.terms.forwarders;
    }

    pub fn left(&mut self, target: &TargetId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.listing = Listing::Gone;
        }
    }

    pub fn listed(&mut self, id: TargetId, of: DestinationId, kind: KindId, zone: ZoneId, listing: Listing) {
        let apart = self.terms.kinds[kind.0].routes_apart;
        let lane = if apart { LaneId::Route(id.clone()) } else { LaneId::Destination(of) };
        self.lanes.entry(lane.clone()).or_default();
        let fresh = Target { destination: of, lane, zone, kind, listing, failures: 0, shunned_until: 0.0 };
        self.targets.entry(id.clone()).or_insert(fresh).listing = listing;
        let known = &mut self.destinations.entry(of).or_default().targets;
        if !known.contains(&id) {
            known.push(id);
        }
    }

    pub fn taken(
        &mut self,
        id: EventId,
        destination: DestinationId,
        traffic: TrafficId,
        patience_ends: Ms,
        key: Option<OrderKey>,
    ) {
        let key = key.filter(|_| self.terms.traffic[traffic.0].ordered);
        self.taken += 1;
        let place = self.taken;
        self.places.insert(id.clone(), place);
        if let Some(key) = key {
            self.keys.entry(key).or_default().queue.push_back(place);
        }
        self.destinations.entry(destination).or_default().offered.add(self.now, USUAL, 1.0);
        let event = Event { id, destination, traffic, key, patience_ends, ..Event::default() };
        self.events.insert(place, event);
    }

    pub fn withdrawn(&mut self, id: &EventId) {
        if let Some(&place) = self.places.get(id) {
            self.events.get_mut(&place).expect("placed").over = true;
            self.forget_if_over(place);
        }
    }

    pub fn send_ended(
        &mut self,
        id: &EventId,
        fate: Fate,
        took: Ms,
        complete: bool,
        wait: Ms,
    ) -> Result<(), Unknown> {
        let &place = self.places.get(id).ok_or(Unknown("the event"))?;
        let now = self.now;
        let event = self.events.get_mut(&place).expect("placed");
        let number = event.call.take().ok_or(Unknown("the send"))?;
        event.over |= complete;
        let (traffic, key) = (event.traffic, event.key);
        let call = self.calls.get_mut(&number).expect("a call has members");
        call.members -= 1;
        let (sent, first, target) =
            (call.sent, !std::mem::replace(&mut call.judged, true), call.target.clone());
        if call.members == 0 {
            self.calls.remove(&number);
        }
        let zone = self.targets[&target].zone;
        // Every event of a call may be told a wait of its own; a long one is that of a shut destination.
        let lane = self.lanes.get_mut(&self.targets[&target].lane).expect("listed");
        lane.closed_until = lane.closed_until.max(now + wait);
        if wait > 2.0 * PING {
            lane.chill(now);
        }
        if first {
            self.judge(&target, fate, sent, took, wait);
        }
        let pause = self.pause(place);
        let event = self.events.get_mut(&place).expect("placed");
        match fate {
            Fate::Delivered => event.over = true,
            Fate::Full => event.not_before = now + pause * 0.5,
            Fate::NotSent => event.not_before = now + pause * 0.1,
            Fate::NoConnection => {
                event.failures += 1;
                event.not_before = now + pause;
            }
            Fate::Error | Fate::TimedOut | Fate::Reset | Fate::Cancelled => {
                event.failures += 1;
                event.not_before = now + pause;
                event.may_have_run.get_or_insert((sent, zone));
                event.hopeless |= self.terms.traffic[traffic.0].effect == Effect::Binding;
            }
        }
        event.hopeless |= event.sends >= self.terms.sends_cap;
        if let (Some(key), Fate::TimedOut | Fate::Reset | Fate::Cancelled) = (key, fate) {
            self.keys.entry(key).or_default().rests_until = now + self.terms.key_rest;
        }
        self.forget_if_over(place);
        Ok(())
    }

    pub fn ping_ended(&mut self, target: &TargetId, fate: Fate) -> Result<(), Unknown> {
        let id = self.targets.get(target).ok_or(Unknown("the target"))?.lane.clone();
        let pause = self.ping_pause();
        let (now, stagger) = (self.now, self.stagger(&id));
        let lane = self.lanes.get_mut(&id).expect("listed");
        lane.ping_out = false;
        lane.ping_at = now + pause;
        if matches!(fate, Fate::Delivered | Fate::Full) {
            lane.release(now, stagger);
        } else {
            lane.failed.add(now, TREND, 1.0);
            lane.chill(now);
        }
        Ok(())
    }

    // ---- health and pace ----

    /// Reads the outcome of a call (once, however many events it carried) for its target and lane.
    fn judge(&mut self, id: &TargetId, fate: Fate, sent: Ms, took: Ms, wait: Ms) {
        let (now, chance) = (self.now, self.draw(1));
        let lane_id = self.targets[id].lane.clone();
        let stagger = self.stagger(&lane_id);
        let usual = self.usual_answer(&lane_id);
        let target = self.targets.get_mut(id).expect("called");
        let lane = self.lanes.get_mut(&target.lane).expect("listed");
        match fate {
            Fate::Delivered => {
                target.failures = 0;
                // A cold destination that answers at its usual pace is under its limit: past that, answers
                // slow down well before it tips.
                lane.trust = if took < 2.0 * usual { (lane.trust.max(1.0) * 1.25).min(4.0) } else { 1.0 };
                lane.delivered_at = now;
                lane.good.add(now, TREND, 1.0);
                lane.refusals = 0;
                lane.release(now, stagger);
                lane.answers.add(now, MEMORY, 1.0);
                lane.answer_time.add(now, MEMORY, took);
                self.answers.add(now, MEMORY, 1.0);
                self.answer_time.add(now, MEMORY, took);
            }
            Fate::Full => {
                lane.release(now, stagger);
                lane.trust = 1.0;
                if sent >= lane.refused_at {
                    lane.refusals += 1;
                    lane.refused_at = now;
                    let recent = lane.sent.read(now, RECENT) * 1000.0 / RECENT;
                    // A tenth less after a refusal, 8% a second back: half and twice of either only moves the
                    // loss between lateness and refusals.
                    lane.pace = Some((recent.max(0.3) * 0.9, now));
                    if wait == 0.0 {
                        let pause = 250.0 * f64::powi(2.0, lane.refusals.min(5) - 1);
                        lane.held_until = now + pause * jitter(chance);
                    }
                }
                // Refused again with nothing delivered between: it may be shut, and returns cold. Guards
                // whatever refuses all; harmful where a tight limit looks the same for long.
                let shut = lane.refusals >= 2 && now - lane.delivered_at > 1.5 * PING;
                if shut || lane.cold_since.is_some() {
                    lane.chill(now);
                }
            }
            Fate::Error | Fate::TimedOut | Fate::NoConnection | Fate::Reset => {
                target.failures += 1;
                let pause = 500.0 * f64::powi(2.0, target.failures.min(5) - 1);
                target.shunned_until = now + pause * jitter(chance);
                lane.failures += 1;
                lane.trust = 1.0;
                lane.failed.add(now, TREND, 1.0);
                if fate == Fate::TimedOut && lane.answered_at < sent {
                    // What was cut short took at least so long: a slow destination gets more time. Where
                    // others were answered meanwhile it was lost, not slow, and longer time-outs would only
                    // pin slots.
                    lane.answers.add(now, MEMORY, 1.0);
                    lane.answer_time.add(now, MEMORY, took);
                }
                // Most calls fail: an outage, with cold load counted now and after it. A smaller share of
                // losses is none, and a cold pace there would starve a destination that works.
                let (failed, good) = (lane.failed.read(now, TREND), lane.good.read(now, TREND));
                if failed / (failed + good + 2.0) > 0.4 {
                    lane.chill(now);
                }
                lane.ping_at = if lane.offline { now + PING } else { now };
                lane.offline |= lane.failures >= 2;
            }
            Fate::Cancelled | Fate::NotSent => (),
        }
    }

    /// Memory is bounded by what is held and listed: targets that are gone go with their last call, ping and
    /// wait.
    fn forget_gone(&mut self) {
        let (now, calls, lanes) = (self.now, &self.calls, &mut self.lanes);
        self.keys.retain(|_, line| !line.queue.is_empty() || line.rests_until > now);
        self.targets.retain(|id, t| {
            let lane = &lanes[&t.lane];
            let idle = !lane.ping_out && lane.closed_until <= now && lane.cold_since.is_none();
            t.listing != Listing::Gone || !idle || calls.values().any(|call| call.target == *id)
        });
        let targets = &self.targets;
        lanes.retain(|id, _| !matches!(id, LaneId::Route(target) if !targets.contains_key(target)));
        self.destinations.values_mut().for_each(|d| d.targets.retain(|id| targets.contains_key(id)));
    }

    /// A destination in trouble keeps the usual traffic that it had: what clients hand in again after a
    /// dismissal would swell the measure, and with it the budget of a cold destination.
    fn mark_troubled(&mut self) {
        for lane in self.lanes.values_mut() {
            lane.cold_since = lane.cold_since.filter(|&since| self.now - since < self.terms.warm_after);
        }
        for id in self.destinations.keys().copied().collect::<Vec<_>>() {
            let of_lane = |t: &TargetId| &self.lanes[&self.targets[t].lane];
            let troubled = self.running(id).iter().map(of_lane).any(|l| l.offline || l.cold_since.is_some());
            let usual = troubled.then(|| self.usual(id));
            self.destinations.get_mut(&id).expect("named").usual = usual;
        }
    }

    fn usual_answer(&mut self, id: &LaneId) -> Ms {
        let now = self.now;
        // Until anything has answered, a second; a lane's own answers outweigh the others' after two.
        let all = self.answer_time.read(now, MEMORY) + 1000.0;
        let common = all / (self.answers.read(now, MEMORY) + 1.0);
        let lane = self.lanes.get_mut(id).expect("listed");
        (lane.answer_time.read(now, MEMORY) + 2.0 * common) / (lane.answers.read(now, MEMORY) + 2.0)
    }

    fn watch_health(&mut self, out: &mut impl Decisions) {
        let now = self.now;
        // A call without an answer for long, and none from its lane since it went: the lane is silent. It
        // parks before more calls are pinned there. Guards against hung and stalled targets; harmful if set
        // too low.
        let calls: Vec<(LaneId, Ms)> = self.calls.values().map(|c| (c.lane.clone(), c.sent)).collect();
        for (id, sent) in calls {
            let limit = (5.0 * self.usual_answer(&id)).max(2000.0);
            let lane = self.lanes.get_mut(&id).expect("listed");
            if lane.answered_at < sent && !lane.offline {
                if now >= sent + limit {
                    lane.offline = true;
                    lane.ping_at = now;
                } else {
                    self.wake(sent + limit);
                }
            }
        }
        if !self.terms.pings_allowed {
            return;
        }
        let offline: Vec<LaneId> =
            self.lanes.iter().filter(|(_, l)| l.offline && !l.ping_out).map(|(id, _)| id.clone()).collect();
        for id in offline {
            let lane = &self.lanes[&id];
            let due = lane.ping_at.max(lane.closed_until);
            if due > now {
                self.wake(due);
                continue;
            }
            let running: Vec<TargetId> = self
                .targets
                .iter()
                .filter(|(_, t)| t.lane == id && t.listing == Listing::Running)
                .map(|(id, _)| id.clone())
                .collect();
            if !running.is_empty() {
                let drawn = (self.draw(2) * running.len() as f64) as usize;
                out.ping(&running[drawn]);
                self.lanes.get_mut(&id).expect("listed").ping_out = true;
            }
        }
    }

    /// When the lane takes its next call.
    fn opens_at(&mut self, id: &LaneId) -> Ms {
        let lane = &self.lanes[id];
        if lane.offline {
            if self.terms.pings_allowed || self.calls.values().any(|c| c.lane == *id) {
                return f64::INFINITY;
            }
            return lane.ping_at.max(lane.closed_until);
        }
        let rested = lane.closed_until.max(lane.held_until);
        self.rate(id).map_or(rested, |_| rested.max(self.lanes[id].next_slot))
    }

    /// Calls a second that this forwarder allows itself; none where nothing speaks for a limit.
    fn rate(&mut self, id: &LaneId) -> Option<f64> {
        let (now, terms) = (self.now, &self.terms);
        let lane = &self.lanes[id];
        let mut rate = f64::INFINITY;
        if let Some((pace, set)) = lane.pace.filter(|&(_, set)| now - set < 20_000.0) {
            rate = pace * (0.08 * (now - set) / 1000.0).exp();
        }
        if let Some(since) = lane.cold_since.map(|since| now - since) {
            let warm = terms.cold_share + (1.0 - terms.cold_share) * since.max(0.0) / terms.warm_after;
            let least = 1000.0 / PING / terms.forwarders;
            let trust = lane.trust.max(1.0);
            let usual = match id {
                LaneId::Destination(destination) => self.usual(*destination),
                LaneId::Route(target) => {
                    let destination = self.targets[target].destination;
                    self.usual(destination) / self.running(destination).len().max(1) as f64
                }
            };
            rate = rate.min((BUDGET * self.terms.tip_multiple * warm * usual).max(least) * trust);
        }
        rate.is_finite().then_some(rate)
    }

    /// Events a second that usually come in for the destination, from what this forwarder took.
    fn usual(&mut self, id: DestinationId) -> f64 {
        let seen = 1.0 - (-(self.now - self.started) / USUAL).exp();
        let destination = self.destinations.get_mut(&id).expect("named");
        let offered = destination.offered.read(self.now, USUAL) * 1000.0 / USUAL / seen.max(0.05);
        destination.usual.unwrap_or(offered.max(destination.stated))
    }

    /// A part of the lane's spacing, drawn at random.
    fn stagger(&mut self, id: &LaneId) -> Ms {
        self.draw(3) * self.rate(id).map_or(0.0, |rate| 1000.0 / rate)
    }

    /// A second, longer where many forwarders would ping: pings are cold load too, and use up a limit. All
    /// together send four a second at most.
    fn ping_pause(&mut self) -> Ms {
        PING * (self.terms.forwarders / 4.0).max(1.0) * jitter(self.draw(0))
    }

    fn running(&self, destination: DestinationId) -> Vec<TargetId> {
        let known = self.destinations.get(&destination).map_or(&[][..], |d| &d.targets);
        known.iter().filter(|t| self.targets[*t].listing == Listing::Running).cloned().collect()
    }

    // ---- ends ----

    fn end_events(&mut self, out: &mut impl Decisions) {
        let now = self.now;
        let mut ended = Vec::new();
        for (&place, event) in &mut self.events {
            if !event.is_held() {
                continue;
            }
            let effect = self.terms.traffic[event.traffic.0].effect;
            if let (Some((sent, _)), Effect::Fingerprinted { window, .. }) = (event.may_have_run, effect) {
                event.hopeless |= now.max(event.not_before) >= sent + window;
            }
            if event.hopeless || now >= event.patience_ends - LAST_MOMENT {
                ended.push(place);
            }
        }
        let crowded = self.crowding_out(&ended);
        ended.extend(crowded);
        for place in ended {
            let event = self.events.get_mut(&place).expect("held");
            event.over = true;
            let harmless = match (event.may_have_run, self.terms.traffic[event.traffic.0].effect) {
                (None, _) | (_, Effect::Retriable) => true,
                (_, Effect::Fingerprinted { one_zone, .. }) => !one_zone,
                (_, Effect::Binding) => false,
            };
            if harmless {
                out.dismiss(&event.id, self.terms.longest_advice);
            } else {
                out.write_off(&event.id);
            }
            self.forget_if_over(place);
        }
    }

    /// Events that make way, the least worth first. Where a destination is down or cold, what waits beyond a
    /// few seconds of its usual traffic: kept, it would make all that comes later late as well. And when the
    /// room is nearly full, at the destination with most waiting, before events for those that work are
    /// turned away. Guards against any destination that stands still or floods; could harm one about to take
    /// all at once.
    fn crowding_out(&mut self, ended: &[u64]) -> Vec<u64> {
        let mut waiting: BTreeMap<DestinationId, Vec<(f64, u64)>> = BTreeMap::new();
        for (&place, event) in &self.events {
            if event.is_held() && !ended.contains(&place) {
                waiting.entry(event.destination).or_default().push((self.worth(event), place));
            }
        }
        let mut out = Vec::new();
        for (&id, line) in &mut waiting {
            line.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            if self.destinations[&id].usual.is_some() {
                let usual = self.usual(id) / 1000.0;
                let (mut kept, mut gone) = (Vec::new(), Vec::new());
                for (worth, place) in line.drain(..) {
                    let of = &self.terms.traffic[self.events[&place].traffic.0];
                    let slope = (1.0 - of.payoff_at_end) / (of.patience - of.soft_limit).max(1.0);
                    let bears = of.soft_limit + BEARABLE / slope;
                    if kept.len() < 3 || kept.len() as f64 <= bears * usual {
                        kept.push((worth, place));
                    } else {
                        gone.push(place);
                    }
                }
                *line = kept;
                out.extend(gone);
            }
        }
        let held = self.events.len() - ended.len() - out.len();
        for _ in (self.terms.room as f64 * FILLED) as usize..held {
            out.extend(
                waiting.values_mut().max_by_key(|line| line.len()).and_then(|line| line.pop()).map(|e| e.1),
            );
        }
        out
    }

    /// What the event would pay if it were delivered now.
    fn worth(&self, event: &Event) -> f64 {
        let of = &self.terms.traffic[event.traffic.0];
        let age = self.now - (event.patience_ends - of.patience);
        let late = ((age - of.soft_limit) / (of.patience - of.soft_limit).max(1.0)).clamp(0.0, 1.0);
        of.payoff * (1.0 - late * (1.0 - of.payoff_at_end))
    }

    fn forget_if_over(&mut self, place: u64) {
        let event = &self.events[&place];
        if !event.over || event.call.is_some() {
            return;
        }
        let event = self.events.remove(&place).expect("held");
        self.places.remove(&event.id);
        if let Some(key) = event.key {
            let line = self.keys.get_mut(&key).expect("queued");
            line.queue.retain(|&p| p != place);
        }
    }

    // ---- sends ----

    fn dispatch(&mut self, out: &mut impl Decisions) {
        let now = self.now;
        let mut ready: BTreeMap<DestinationId, VecDeque<u64>> = BTreeMap::new();
        let mut wake = f64::INFINITY;
        for (&place, event) in &self.events {
            if !event.is_held() {
                continue;
            }
            wake = wake.min(event.patience_ends - LAST_MOMENT);
            if let (Some((sent, _)), Effect::Fingerprinted { window, .. }) =
                (event.may_have_run, self.terms.traffic[event.traffic.0].effect)
            {
                wake = wake.min(sent + window);
            }
            let line = event.key.map(|key| &self.keys[&key]);
            if line.is_some_and(|line| line.queue.front() != Some(&place)) {
                continue;
            }
            // The rest holds back those behind the event that was cut short, not its own next send.
            let rest = if event.sends > 0 { 0.0 } else { line.map_or(0.0, |line| line.rests_until) };
            let from = event.not_before.max(rest);
            if from > now {
                wake = wake.min(from);
            } else {
                ready.entry(event.destination).or_default().push_back(place);
            }
        }
        self.wake(wake);
        while self.calls.len() < self.terms.slots && self.send_next(&mut ready, out) {}
    }

    /// One call, to the destination with the fewest out; false when none can take one.
    fn send_next(
        &mut self,
        ready: &mut BTreeMap<DestinationId, VecDeque<u64>>,
        out: &mut impl Decisions,
    ) -> bool {
        let mut turns: Vec<(usize, u64, DestinationId)> = Vec::new();
        for (&id, heads) in ready.iter() {
            if !heads.is_empty() {
                let out = self.calls.values().filter(|c| self.targets[&c.target].destination == id).count();
                turns.push((out, self.destinations[&id].turn, id));
            }
        }
        turns.sort();
        for (_, _, id) in turns {
            let mut open = Vec::new();
            for target in self.running(id) {
                let lane = self.targets[&target].lane.clone();
                let at = self.opens_at(&lane);
                if at <= self.now {
                    open.push(target);
                } else {
                    self.wake(at);
                }
            }
            let heads = ready.get_mut(&id).expect("chosen");
            for index in 0..heads.len() {
                let Some(target) = self.pick(heads[index], &open) else { continue };
                let most = self.terms.kinds[self.targets[&target].kind.0].events_per_call.max(1);
                let cold = self.lanes[&self.targets[&target].lane].cold_since.is_some();
                let most = if cold { most.min(1 + (1.0 / RIDER) as usize) } else { most };
                let mut aboard = Vec::new();
                let mut at = index;
                while at < heads.len() && aboard.len() < most {
                    if self.may_go(heads[at], &target) {
                        aboard.push(heads.remove(at).expect("in range"));
                    } else {
                        at += 1;
                    }
                }
                self.call(id, target, aboard, out);
                return true;
            }
            heads.clear();
        }
        false
    }

    fn may_go(&self, place: u64, target: &TargetId) -> bool {
        let event = &self.events[&place];
        match (event.may_have_run, self.terms.traffic[event.traffic.0].effect) {
            (Some((_, zone)), Effect::Fingerprinted { one_zone: true, .. }) => {
                self.targets[target].zone == zone
            }
            _ => true,
        }
    }

    /// Two targets drawn at random, and the one that our own counts favour: not just failed, fewer calls out.
    fn pick(&mut self, place: u64, open: &[TargetId]) -> Option<TargetId> {
        let fit: Vec<&TargetId> = open.iter().filter(|target| self.may_go(place, target)).collect();
        let drawn = |chance: f64, of: usize| ((chance * of as f64) as usize).min(of.saturating_sub(1));
        let well: Vec<&TargetId> =
            fit.iter().copied().filter(|t| self.targets[*t].shunned_until <= self.now).collect();
        let from = if well.is_empty() { fit } else { well };
        if from.is_empty() {
            return None;
        }
        let one = drawn(self.draw(place), from.len());
        let other = (one + 1 + drawn(self.draw(place), from.len().max(2) - 1)) % from.len();
        let count = |t: &TargetId| self.calls.values().filter(|c| c.target == *t).count();
        let weigh = |t: &TargetId| (count(t) as f64, self.fee(t));
        let favoured = if weigh(from[other]) < weigh(from[one]) { other } else { one };
        Some(from[favoured].clone())
    }

    /// What an event costs that goes to the target, by the terms' figures; it settles ties of the counts.
    fn fee(&self, id: &TargetId) -> f64 {
        let target = &self.targets[id];
        let crossing = if target.zone == self.terms.zone { 0.0 } else { self.terms.crossing_fee };
        let apart = matches!(target.lane, LaneId::Route(_));
        crossing + self.terms.route_fees.get(target.zone.0).filter(|_| apart).copied().unwrap_or(0.0)
    }

    fn call(&mut self, id: DestinationId, target: TargetId, aboard: Vec<u64>, out: &mut impl Decisions) {
        let now = self.now;
        let lane_id = self.targets[&target].lane.clone();
        let usual = self.usual_answer(&lane_id);
        self.calls_made += 1;
        // Few answers take six times the usual. With the slots nearly all out, calls that get no answer must
        // not pin them: three times, which cuts a few slow answers short. Guards against losses, hangs and
        // stalls.
        let scarce = 4 * self.calls.len() >= 3 * self.terms.slots;
        let (times, least) = if scarce { (3.0, 800.0) } else { (6.0, 1500.0) };
        self.destinations.get_mut(&id).expect("chosen").turn = self.calls_made;
        for &place in &aboard {
            let event = self.events.get_mut(&place).expect("ready");
            // A binding event cannot be sent again: it is given twice the time.
            let given = match self.terms.traffic[event.traffic.0].effect {
                Effect::Binding if !scarce => 2.0,
                _ => 1.0,
            };
            let time_out = (given * (times * usual).clamp(least, 8000.0)).min(event.patience_ends - now);
            event.call = Some(self.calls_made);
            event.sends += 1;
            out.send(&event.id, &target, time_out);
        }
        if let Some(rate) = self.rate(&lane_id) {
            let lane = self.lanes.get_mut(&lane_id).expect("listed");
            let weight = 1.0 + RIDER * (aboard.len() - 1) as f64;
            lane.next_slot = lane.next_slot.max(now) + weight * 1000.0 / rate;
        }
        self.lanes.get_mut(&lane_id).expect("listed").sent.add(now, RECENT, 1.0);
        let call = Call { lane: lane_id, target, sent: now, members: aboard.len(), judged: false };
        self.calls.insert(self.calls_made, call);
    }

    /// The pause of a head after its failures: half a second, doubling, jittered by a quarter either way.
    fn pause(&mut self, place: u64) -> Ms {
        let chance = self.draw(place);
        let failures = self.events[&place].failures.min(5);
        500.0 * f64::powi(2.0, failures) * jitter(chance)
    }

    fn wake(&mut self, at: Ms) {
        if at > self.now {
            self.wake_at = self.wake_at.min(at);
        }
    }

    fn draw(&mut self, id: u64) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.terms.seed, self.terms.instance, id, self.draws).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A quarter either way, so that what failed together does not come again together.
fn jitter(chance: f64) -> f64 {
    0.75 + 0.5 * chance
}

/// The design's second between pings.
const PING: Ms = 1000.0;
/// The share of the tipping load that a forwarder allows itself, with its usual traffic for its part of the
/// capacity. 0.6, 0.8 and 1 kept the rules alike and each step paid; a tenth is left for what pings weigh.
const BUDGET: f64 = 0.9;
/// The part of its payoff that an event may lose while those before it go, at a destination down or cold.
/// 0.15, 0.25 and 0.35 serve alike.
const BEARABLE: f64 = 0.25;
/// The share of the room that may fill before events make way: a tenth left over takes in a clump.
const FILLED: f64 = 0.9;
/// What each further event of a call is taken to weigh: the wire says only that it is a little.
const RIDER: f64 = 0.25;
/// Held events end this long before patience does, so that the answer's round is in time.
const LAST_MOMENT: Ms = 30.0;

impl Lane {
    /// Cold from now on, or from the end of a told wait: a late time-out does not shorten it.
    fn chill(&mut self, now: Ms) {
        self.cold_since = Some(self.cold_since.unwrap_or(now).max(now).max(self.closed_until));
    }

    /// Back in turn: of many forwarders released by one answer each, the first calls are spread as well.
    fn release(&mut self, now: Ms, stagger: Ms) {
        if self.offline {
            self.next_slot = self.next_slot.max(now + stagger);
        }
        self.answered_at = now;
        self.offline = false;
        self.failures = 0;
    }
}
