//! Forwarders and their lives: rounds, what comes in between them, the list as each has heard it, the
//! record that outlasts a process, and what happens to what was held when one ends.

use plankhill::interface::{self as names, DestinationKind, Fate, Listing, Ms, Terms, TrafficType};
use plankhill_rules::{Cut, End, Fact};
use plankhill_terms::scenario::Repeats;
use rustc_hash::{FxHashMap, FxHashSet};

use super::calls::Idle;
use super::{CallKey, Step, World};
use crate::chance::{between, draw, exponential};
use crate::clients::Ticket;
use crate::deciders::{self, Decider, Decision, EventKey, Input};
use crate::outcome::Cause;

/// An event that a forwarder has taken on.
pub(super) struct Event {
    pub ticket: Ticket,
    /// In the order taken, over all forwarders.
    pub number: u64,
    pub forwarder: u32,
    pub sends: u32,
    pub sent_at: Ms,
    pub may_have_run: Option<(Ms, usize)>,
    pub out: Option<CallKey>,
    pub ended: bool,
    /// Its end goes by a notice that was not heard yet: dismissed, with a time to come back.
    pub unheard: Option<(bool, Option<Ms>)>,
}

enum Incoming {
    HandIn(Ticket),
    /// With the lane of the call that it is about, and whether that call was written.
    Input(Input, Option<(u32, bool)>),
}

pub(super) struct Forwarder {
    decider: Option<Box<dyn Decider>>,
    pub zone: usize,
    /// Counts its processes.
    pub life: u32,
    inbox: Vec<Incoming>,
    round_called: bool,
    last_round: Ms,
    next_ring: Ms,
    pub stalled_until: Ms,
    died_at: Option<Ms>,
    /// Asked to end: since when, and by when.
    closing: Option<(Ms, Ms)>,
    /// How much of the list's changes it has heard.
    heard: usize,
    /// What a partial hearing left out.
    missed: Vec<u32>,
    list_called: bool,
    pub list_frozen_until: Ms,
    /// Destinations that its decisions were told of.
    told: FxHashSet<u32>,
    held: usize,
    pub idle: FxHashMap<u32, Vec<Idle>>,
    /// Targets whose lane was cold, for its next life.
    cold: FxHashMap<u32, (Ms, f64)>,
}

impl World<'_> {
    pub(super) fn new_forwarder(&self, at: u32) -> Forwarder {
        let zone = at as usize % self.scenario.network.zones.len();
        Forwarder {
            decider: Some(self.start_decider(at, 0)),
            zone,
            life: 0,
            inbox: Vec::new(),
            round_called: false,
            last_round: f64::NEG_INFINITY,
            next_ring: f64::INFINITY,
            stalled_until: 0.0,
            died_at: None,
            closing: None,
            heard: 0,
            missed: Vec::new(),
            list_called: false,
            list_frozen_until: 0.0,
            told: FxHashSet::default(),
            held: 0,
            idle: FxHashMap::default(),
            cold: FxHashMap::default(),
        }
    }

    fn start_decider(&self, at: u32, life: u32) -> Box<dyn Decider> {
        let (scenario, rules) = (self.scenario, &self.scenario.rules);
        let traffic = scenario.traffic.iter().map(|of| TrafficType {
            effect: match of.effect {
                Repeats::Retriable => names::Effect::Retriable,
                Repeats::Binding => names::Effect::Binding,
                Repeats::Fingerprinted => {
                    names::Effect::Fingerprinted { window: of.window, one_zone: of.one_zone }
                }
            },
            soft_limit: of.soft_limit,
            patience: of.patience,
            payoff: of.payoff,
            payoff_at_end: of.payoff_at_end,
            ordered: of.ordered,
        });
        let kinds = scenario.destinations.iter().map(|group| DestinationKind {
            routes_apart: group.routes_apart,
            events_per_call: group.events_per_call,
        });
        let terms = Terms {
            seed: scenario.seed ^ (life as u64) << 48,
            instance: at as u64,
            forwarders: scenario.forwarders.count as f64,
            traffic: traffic.collect(),
            kinds: kinds.collect(),
            slots: scenario.forwarders.slots,
            room: scenario.forwarders.room,
            sends_cap: rules.sends_cap,
            pings_allowed: rules.pings,
            shares: Vec::new(),
            over_share_worth: 1.0,
            longest_advice: rules.longest_advice,
            cold_share: rules.cold_share,
            warm_after: rules.warm_after,
            tip_multiple: rules.tip_multiple,
            key_rest: rules.key_rest,
        };
        let of = &scenario.forwarders;
        deciders::start(of.decisions, terms, of.time_out, &self.names, self.now)
    }

    // ---- clients ----

    /// The layer before the forwarders passes an event on: those of one key to one forwarder while it is
    /// there, as far as that layer knows.
    pub(super) fn hand_in(&mut self, ticket: Ticket) {
        self.tally.totals.handed_in += 1;
        let count = self.forwarders.len();
        let first = match ticket.key {
            Some(key) => (key.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % count,
            None => (draw(&mut self.chance_returns) * count as f64) as usize,
        };
        let lag = self.scenario.forwarders.front_lag;
        let believed = |at: &usize| {
            let it = &self.forwarders[*at];
            it.closing.is_none() && it.died_at.is_none_or(|died| self.now < died + lag)
        };
        let chosen = (0..count).map(|step| (first + step) % count).find(believed);
        let Some(chosen) = chosen.filter(|at| self.forwarders[*at].decider.is_some()) else {
            return self.not_handed_in(ticket);
        };
        self.coming += 1;
        self.forwarders[chosen].inbox.push(Incoming::HandIn(ticket));
        self.call_round(chosen as u32);
    }

    /// Nobody took the event: the client tries again while that can matter.
    fn not_handed_in(&mut self, mut ticket: Ticket) {
        let again = exponential(&mut self.chance_returns, self.scenario.clients.again_after);
        ticket.cause = Cause::NoForwarder;
        self.comes_again(ticket, again);
    }

    fn comes_again(&mut self, ticket: Ticket, pause: Ms) {
        let at = self.now + pause;
        if at >= ticket.patience_ends {
            let cause = ticket.cause;
            return self.tally.unpaid(self.scenario, &ticket, cause);
        }
        self.coming += 1;
        self.queue.put(at, Step::HandIn(Box::new(ticket)));
    }

    /// The client hears of a dismissal.
    fn dismissed(&mut self, mut ticket: Ticket, come_back_after: Option<Ms>) {
        let of = &self.scenario.clients;
        let storms = self.storm > 0.0;
        let most = if storms { (of.returns as f64 * self.storm).ceil() as u32 } else { of.returns };
        if ticket.returns >= most {
            let cause = ticket.cause;
            return self.tally.unpaid(self.scenario, &ticket, cause);
        }
        ticket.returns += 1;
        let pause = match come_back_after {
            _ if storms => exponential(&mut self.chance_returns, STORM_PAUSE),
            Some(advice) => advice * between(&mut self.chance_returns, 1.0, 1.25),
            None => exponential(&mut self.chance_returns, of.pause),
        };
        self.comes_again(ticket, pause);
    }

    // ---- rounds ----

    pub(super) fn incoming(&mut self, at: u32, input: Input, about: Option<(u32, bool)>) {
        self.forwarders[at as usize].inbox.push(Incoming::Input(input, about));
        self.call_round(at);
    }

    fn call_round(&mut self, at: u32) {
        let it = &mut self.forwarders[at as usize];
        if it.round_called || it.decider.is_none() {
            return;
        }
        it.round_called = true;
        let from = self.now.max(it.last_round + self.scenario.forwarders.round).max(it.stalled_until);
        self.queue.put(from, Step::Round(at));
    }

    pub(super) fn ring(&mut self, at: u32, life: u32) {
        let it = &mut self.forwarders[at as usize];
        if it.life != life {
            return;
        }
        if it.next_ring <= self.now {
            it.next_ring = f64::INFINITY;
        }
        self.call_round(at);
    }

    pub(super) fn round(&mut self, at: u32) {
        let it = &mut self.forwarders[at as usize];
        it.round_called = false;
        if it.decider.is_none() {
            return;
        }
        if it.stalled_until > self.now {
            return self.call_round(at);
        }
        it.last_round = self.now;
        let inbox = std::mem::take(&mut it.inbox);
        let mut inputs = Vec::with_capacity(inbox.len());
        for incoming in inbox {
            match incoming {
                Incoming::HandIn(ticket) => {
                    self.coming -= 1;
                    self.at_the_door(at, ticket, &mut inputs)
                }
                Incoming::Input(input, about) => self.hears(at, input, about, &mut inputs),
            }
        }
        self.decide(at, inputs);
    }

    fn decide(&mut self, at: u32, inputs: Vec<Input>) {
        self.tally.totals.rounds += 1;
        let mut decisions = Vec::new();
        let mut decider = self.forwarders[at as usize].decider.take().expect("it runs");
        decider.round(self.now, &inputs, &mut decisions);
        self.forwarders[at as usize].decider = Some(decider);
        let mut next = 0;
        while next < decisions.len() {
            next += self.carry_out(at, &decisions[next..]);
        }
        let it = &self.forwarders[at as usize];
        if it.closing.is_some_and(|(since, _)| it.held == 0 && self.now >= since + CLOSING_LEAST) {
            self.process_ends(at, self.scenario.forwarders.restart, true);
        }
    }

    /// Carries out the first decision, and those behind it that share its call: how many that were.
    fn carry_out(&mut self, at: u32, decisions: &[Decision]) -> usize {
        match decisions[0] {
            Decision::Send { target, .. } => return self.send(at, target, decisions),
            Decision::Ping { target } => {
                let time_out = self.scenario.network.connect_time_out;
                self.begin_call(at, target, Vec::new(), time_out)
            }
            Decision::End { event, dismissed, come_back_after, by_notice } => {
                self.ended(at, event, dismissed, come_back_after, by_notice)
            }
            Decision::CloseIdle { target } => self.close_idle(at, target),
            Decision::TakeBack { target } => self.take_back(at, target),
            Decision::Cold { target, since, usual } => {
                self.forwarders[at as usize].cold.insert(target, (since, usual));
            }
            Decision::Wake { pause } => {
                let it = &mut self.forwarders[at as usize];
                // A clock that has no finer step: a wake-up is never for the present instant.
                let ring = (self.now + pause).max(self.now + 0.001);
                if ring < it.next_ring {
                    it.next_ring = ring;
                    let life = it.life;
                    self.queue.put(ring, Step::Ring(at, life));
                }
            }
        }
        1
    }

    fn send(&mut self, at: u32, to: u32, decisions: &[Decision]) -> usize {
        let most = self.group_of(self.targets[to as usize].destination).events_per_call;
        let mut given = f64::INFINITY;
        let mut events = Vec::with_capacity(1);
        for decision in decisions.iter().take(most) {
            match *decision {
                Decision::Send { event, target, time_out } if target == to => {
                    events.push(event);
                    given = given.min(time_out);
                }
                _ => break,
            }
        }
        let sends = events.len();
        self.begin_call(at, to, events, given);
        sends
    }

    // ---- what comes in ----

    fn at_the_door(&mut self, at: u32, mut ticket: Ticket, inputs: &mut Vec<Input>) {
        let it = &self.forwarders[at as usize];
        if it.closing.is_some() {
            return self.not_handed_in(ticket);
        }
        self.introduce(at, ticket.destination, inputs);
        let heard = self.forwarders[at as usize].heard;
        let targets = &self.destinations[ticket.destination as usize].targets;
        let named = targets.iter().any(|target| self.targets[*target as usize].as_of(heard) != Listing::Gone);
        let full = self.forwarders[at as usize].held >= self.scenario.forwarders.room;
        if full || !named || ticket.patience_ends - self.now < LEAST_PATIENCE {
            ticket.cause = Cause::NoRoom;
            self.tally.totals.dismissed += 1;
            return self.dismissed(ticket, self.scenario.rules.longest_advice);
        }
        self.taken += 1;
        let number = self.taken;
        let effect = self.effect(ticket.traffic);
        let of = &self.scenario.traffic[ticket.traffic as usize];
        let key = ticket.key.filter(|_| of.ordered);
        let (origin, patience_ends) = (ticket.origin, ticket.patience_ends);
        self.tell(Fact::Taken { forwarder: at, event: number, origin, effect, key, patience_ends });
        let (destination, traffic) = (ticket.destination, ticket.traffic as usize);
        ticket.cause = Cause::Waited;
        let event = self.events.insert(Event {
            ticket,
            number,
            forwarder: at,
            sends: 0,
            sent_at: 0.0,
            may_have_run: None,
            out: None,
            ended: false,
            unheard: None,
        });
        self.forwarders[at as usize].held += 1;
        self.tally.totals.taken += 1;
        self.tally.totals.most_held = self.tally.totals.most_held.max(self.events.len() as u64);
        inputs.push(Input::Taken { event, destination, traffic, patience_ends, key, again: false });
    }

    /// A forwarder's decisions hear of a destination when the first event goes there: until then they could
    /// do nothing with it.
    fn introduce(&mut self, at: u32, destination: u32, inputs: &mut Vec<Input>) {
        if !self.forwarders[at as usize].told.insert(destination) {
            return;
        }
        let heard = self.forwarders[at as usize].heard;
        for target in self.destinations[destination as usize].targets.clone() {
            let listing = self.targets[target as usize].as_of(heard);
            if listing != Listing::Gone {
                self.list_one(at, target, listing, inputs);
            }
        }
    }

    fn list_one(&mut self, at: u32, target: u32, listing: Listing, inputs: &mut Vec<Input>) {
        self.tell(Fact::Listed { forwarder: at, target, leaves: listing != Listing::Running });
        let it = &self.targets[target as usize];
        if listing == Listing::Gone {
            return inputs.push(Input::Left { target });
        }
        let kind = self.destinations[it.destination as usize].group as usize;
        let (destination, zone) = (it.destination, it.zone as usize);
        inputs.push(Input::Listed { target, destination, kind, zone, listing });
    }

    fn hears(&mut self, at: u32, input: Input, about: Option<(u32, bool)>, inputs: &mut Vec<Input>) {
        match input {
            Input::SendEnded { event, fate, wait, .. } => {
                let (lane, written) = about.expect("an answer is about a lane");
                if self.events.get(event).is_none_or(|event| event.ended) {
                    return;
                }
                self.send_heard(at, event, fate, wait, lane, written);
                inputs.push(input);
                if fate == Fate::Delivered {
                    self.delivered(at, event);
                }
            }
            Input::Listed { target, listing, .. } => self.list_one(at, target, listing, inputs),
            Input::Heard { event } => {
                let Some(held) = self.events.remove(event) else { return };
                self.forwarders[at as usize].held -= 1;
                self.tell(Fact::Heard { event: held.number });
                inputs.push(input);
            }
            other => inputs.push(other),
        }
    }

    fn send_heard(&mut self, at: u32, key: EventKey, fate: Fate, wait: Ms, lane: u32, written: bool) {
        let event = &mut self.events[key];
        let number = event.number;
        if let Some(call) = event.out.take() {
            let zone = self.calls.get(call).map(|call| self.targets[call.target as usize].zone as usize);
            if fate.may_have_run() {
                event.may_have_run.get_or_insert((event.sent_at, zone.unwrap_or(0)));
            }
        }
        event.ticket.cause = match fate {
            Fate::Full => Cause::Refused,
            Fate::NoConnection | Fate::NotSent => Cause::Unconnected,
            Fate::TimedOut => Cause::Unanswered,
            _ => Cause::Failed,
        };
        let cut = match fate {
            Fate::Delivered => Cut::Delivered,
            Fate::Error => Cut::Error,
            Fate::TimedOut | Fate::Reset | Fate::Cancelled => Cut::Short,
            Fate::Full | Fate::NoConnection | Fate::NotSent => Cut::NotRun,
        };
        if written {
            self.tell(Fact::SendOver { forwarder: at, event: number, cut });
        }
        if wait > 0.0 {
            self.tell(Fact::Wait { forwarder: at, lane, until: self.now + wait });
        }
    }

    // ---- ends ----

    fn delivered(&mut self, at: u32, key: EventKey) {
        let event = self.events.remove(key).expect("held");
        self.forwarders[at as usize].held -= 1;
        self.tell(Fact::Ended { forwarder: at, event: event.number, end: End::Completed, by_notice: false });
        self.tally.delivered(self.scenario, &event.ticket, self.now);
    }

    fn ended(
        &mut self,
        at: u32,
        key: EventKey,
        dismissed: bool,
        come_back_after: Option<Ms>,
        by_notice: bool,
    ) {
        let Some(event) = self.events.get_mut(key) else { return };
        event.ended = true;
        let number = event.number;
        if dismissed {
            self.tally.totals.dismissed += 1;
        } else {
            self.tally.totals.written_off += 1;
        }
        let end = if dismissed { End::Dismissed } else { End::WrittenOff };
        self.tell(Fact::Ended { forwarder: at, event: number, end, by_notice });
        if by_notice {
            self.events[key].unheard = Some((dismissed, come_back_after));
            let life = self.forwarders[at as usize].life;
            return self.queue.put(self.now + self.scenario.forwarders.notice, Step::Heard(at, life, key));
        }
        let event = self.events.remove(key).expect("seen");
        self.forwarders[at as usize].held -= 1;
        self.client_hears(event.ticket, dismissed, come_back_after);
    }

    /// The notice of an end is heard: by the client first, then, as an answer, by the forwarder.
    pub(super) fn heard(&mut self, at: u32, life: u32, key: EventKey) {
        if self.forwarders[at as usize].life != life {
            return; // the next life tells it again
        }
        let Some(event) = self.events.get_mut(key) else { return };
        let Some((dismissed, come_back_after)) = event.unheard.take() else { return };
        let ticket = event.ticket.clone();
        self.client_hears(ticket, dismissed, come_back_after);
        self.incoming(at, Input::Heard { event: key }, None);
    }

    fn client_hears(&mut self, ticket: Ticket, dismissed: bool, come_back_after: Option<Ms>) {
        if dismissed {
            self.dismissed(ticket, come_back_after);
        } else {
            self.tally.unpaid(self.scenario, &ticket, Cause::MayHaveRun);
        }
    }

    // ---- the list ----

    /// The list changed at a target: every forwarder hears of it in its own time.
    pub(super) fn list_changed(&mut self, target: u32, listing: Listing) {
        let change = self.changes.len() as u32;
        self.changes.push((self.now, target));
        let it = &mut self.targets[target as usize];
        it.listing = listing;
        it.told.push((change, listing));
        for at in 0..self.forwarders.len() as u32 {
            self.call_list(at);
        }
    }

    fn call_list(&mut self, at: u32) {
        if std::mem::replace(&mut self.forwarders[at as usize].list_called, true) {
            return;
        }
        let [least, most] = self.scenario.forwarders.list_delay;
        let delay = between(&mut self.chance_lists, least, most);
        let from = (self.now + delay).max(self.forwarders[at as usize].list_frozen_until);
        self.queue.put(from, Step::ListHeard(at));
    }

    /// Hears all that changed, or, partially, some of it, the rest with the next hearing.
    pub(super) fn list_heard(&mut self, at: u32) {
        let partial = self.scenario.forwarders.list_partial;
        let it = &mut self.forwarders[at as usize];
        if it.list_frozen_until > self.now {
            let thaw = it.list_frozen_until;
            return self.queue.put(thaw, Step::ListHeard(at));
        }
        it.list_called = false;
        let mut news = std::mem::take(&mut it.missed);
        news.extend(it.heard as u32..self.changes.len() as u32);
        it.heard = self.changes.len();
        for change in news {
            if partial > 0.0 && draw(&mut self.chance_lists) < partial {
                self.forwarders[at as usize].missed.push(change);
                continue;
            }
            let target = self.changes[change as usize].1;
            let (kind, destination, zone) = {
                let it = &self.targets[target as usize];
                (self.destinations[it.destination as usize].group as usize, it.destination, it.zone as usize)
            };
            let listing = self.targets[target as usize].as_of(change as usize + 1);
            if self.forwarders[at as usize].told.contains(&destination) {
                self.incoming(at, Input::Listed { target, destination, kind, zone, listing }, None);
            }
        }
        if !self.forwarders[at as usize].missed.is_empty() {
            self.call_list(at);
        }
    }

    /// How many of the list's changes every forwarder has heard.
    pub(super) fn forwarders_heard(&self) -> usize {
        self.forwarders.iter().map(|it| it.heard).min().unwrap_or(0)
    }

    // ---- lives ----

    pub(super) fn stalls(&mut self, at: u32, until: Ms) {
        let it = &mut self.forwarders[at as usize];
        if it.decider.is_none() {
            return;
        }
        it.stalled_until = it.stalled_until.max(until);
        let life = it.life;
        self.tell(Fact::Halted { forwarder: at });
        self.queue.put(until, Step::Recovers(at, life));
    }

    pub(super) fn recovers(&mut self, at: u32, life: u32) {
        let it = &self.forwarders[at as usize];
        if it.life == life && it.stalled_until <= self.now {
            self.tell(Fact::Resumed { forwarder: at, anew: false });
            self.call_round(at);
        }
    }

    pub(super) fn asked_to_end(&mut self, at: u32) {
        let it = &mut self.forwarders[at as usize];
        if it.decider.is_none() || it.closing.is_some() {
            return;
        }
        let ends = self.now + self.scenario.forwarders.closing;
        it.closing = Some((self.now, ends));
        let life = it.life;
        self.incoming(at, Input::Closing { ends }, None);
        self.queue.put(ends, Step::LifeEnds(at, life));
        self.queue.put(self.now + CLOSING_LEAST, Step::Ring(at, life));
    }

    pub(super) fn life_ends(&mut self, at: u32, life: u32) {
        if self.forwarders[at as usize].life == life {
            self.process_ends(at, self.scenario.forwarders.restart, true);
        }
    }

    /// The process is gone at once. With its folder kept, the next one goes on from there; with the machine
    /// lost, clients learn of it, and what may have run and binds does not come again.
    pub(super) fn process_ends(&mut self, at: u32, gone_for: Ms, folder_kept: bool) {
        let it = &mut self.forwarders[at as usize];
        if it.decider.take().is_none() {
            return;
        }
        it.life += 1;
        it.died_at = Some(self.now);
        it.closing = None;
        it.round_called = false;
        it.next_ring = f64::INFINITY;
        it.told.clear();
        let inbox = std::mem::take(&mut it.inbox);
        let targets: Vec<u32> = it.idle.keys().copied().collect();
        self.tell(Fact::Halted { forwarder: at });
        targets.into_iter().for_each(|target| self.close_idle(at, target));
        let mut unwritten = FxHashSet::default();
        // What lay unread is as if never said: a client that was not answered hands in again.
        for incoming in inbox {
            match incoming {
                Incoming::HandIn(ticket) => {
                    self.coming -= 1;
                    self.not_handed_in(ticket)
                }
                Incoming::Input(Input::Heard { event }, _) => {
                    // The client has heard, only the process has not.
                    if let Some(held) = self.events.remove(event) {
                        self.forwarders[at as usize].held -= 1;
                        self.tell(Fact::Heard { event: held.number });
                    }
                }
                Incoming::Input(Input::SendEnded { event, .. }, Some((_, false))) => {
                    unwritten.insert(event);
                }
                Incoming::Input(..) => (),
            }
        }
        self.drop_calls(at, unwritten);
        if !folder_kept {
            self.machine_lost(at);
        }
        self.queue.put(self.now + gone_for, Step::Starts(at));
    }

    /// The forwarder's side of all its calls is over: what was written may run. Its record can't tell what
    /// was not, but the rules can.
    fn drop_calls(&mut self, at: u32, mut unwritten: FxHashSet<EventKey>) {
        let ours = self.calls.iter().filter(|(_, call)| call.forwarder == at && !call.over_here);
        let ours: Vec<CallKey> = ours.map(|(key, _)| key).collect();
        for key in ours {
            let call = &mut self.calls[key];
            call.over_here = true;
            let (target, written) = (call.target, call.written);
            // A connection that is coming up is given back when it is up.
            let coming_up = !written && call.fate != Fate::NoConnection;
            if !written {
                unwritten.extend(call.members.iter().map(|member| member.event));
            }
            if !call.there && !coming_up {
                self.calls.remove(key);
            }
            if written && self.tracked(self.targets[target as usize].destination) {
                self.close_connections(target, 1);
            }
        }
        // Sends whose end lay unread count as out too.
        let mut out: Vec<(u64, EventKey)> = Vec::new();
        for (key, event) in &self.events {
            if event.forwarder == at && event.out.is_some() {
                out.push((event.number, key));
            }
        }
        out.sort_unstable();
        for (number, key) in out {
            let zone = self.zone_of_last_call(key);
            let event = &mut self.events[key];
            event.may_have_run.get_or_insert((event.sent_at, zone));
            if !unwritten.contains(&key) {
                self.tell(Fact::SendOver { forwarder: at, event: number, cut: Cut::Short });
            }
        }
    }

    fn zone_of_last_call(&self, key: EventKey) -> usize {
        let call = self.events[key].out.and_then(|call| self.calls.get(call));
        call.map_or(0, |call| self.targets[call.target as usize].zone as usize)
    }

    fn machine_lost(&mut self, at: u32) {
        let held = self.events.iter().filter(|(_, event)| event.forwarder == at);
        let mut held: Vec<(u64, EventKey)> = held.map(|(key, event)| (event.number, key)).collect();
        held.sort_unstable();
        self.forwarders[at as usize].cold.clear();
        self.forwarders[at as usize].held = 0;
        for (number, key) in held {
            let event = self.events.remove(key).expect("held");
            self.tell(Fact::Lost { event: number });
            if event.ended && event.unheard.is_none() {
                continue; // its client has heard
            }
            self.tally.totals.lost += 1;
            let mut ticket = event.ticket;
            ticket.cause = Cause::NoForwarder;
            let binds = self.scenario.traffic[ticket.traffic as usize].effect == Repeats::Binding;
            if event.ended || binds && event.may_have_run.is_some() {
                self.tally.unpaid(self.scenario, &ticket, Cause::NoForwarder);
                continue;
            }
            let again = exponential(&mut self.chance_returns, self.scenario.clients.again_after);
            self.comes_again(ticket, again);
        }
    }

    /// A new process: the list as it stands, then all that is still owed, in the order taken.
    pub(super) fn starts(&mut self, at: u32) {
        let life = self.forwarders[at as usize].life;
        self.tell(Fact::Resumed { forwarder: at, anew: true });
        let decider = self.start_decider(at, life);
        let it = &mut self.forwarders[at as usize];
        (it.decider, it.died_at, it.stalled_until) = (Some(decider), None, 0.0);
        (it.heard, it.last_round) = (self.changes.len(), self.now);
        it.missed.clear();
        let owed = self.events.iter().filter(|(_, event)| event.forwarder == at);
        let mut owed: Vec<(u64, EventKey)> = owed.map(|(key, event)| (event.number, key)).collect();
        owed.sort_unstable();
        let mut inputs = Vec::new();
        for (_, event) in owed {
            let destination = self.events[event].ticket.destination;
            self.introduce(at, destination, &mut inputs);
            let held = &mut self.events[event];
            let was_out = held.out.take().is_some();
            let (traffic, patience_ends) = (held.ticket.traffic as usize, held.ticket.patience_ends);
            let key = held.ticket.key;
            inputs.push(Input::Taken { event, destination, traffic, patience_ends, key, again: true });
            let (sends, may_have_run) = (held.sends, held.may_have_run);
            if sends > 0 {
                inputs.push(Input::Restored { event, sends, may_have_run, was_out });
            }
            if held.ended {
                inputs.push(Input::EndedBefore { event });
                self.queue.put(self.now + self.scenario.forwarders.notice, Step::Heard(at, life, event));
            }
        }
        let mut cold: Vec<_> = std::mem::take(&mut self.forwarders[at as usize].cold).into_iter().collect();
        cold.sort_unstable_by_key(|(target, _)| *target);
        for (target, (since, usual)) in cold {
            let destination = self.targets[target as usize].destination;
            if self.now - since < self.scenario.rules.warm_after {
                self.introduce(at, destination, &mut inputs);
                inputs.push(Input::WasCold { target, since, usual });
            }
        }
        self.decide(at, inputs);
    }
}

/// What is left of an event's patience at the door, at the least.
const LEAST_PATIENCE: Ms = 100.0;
/// A process that was asked to end stays for so long at the least: clients still come.
const CLOSING_LEAST: Ms = 1_000.0;
/// In a storm of retries clients wait for this on the mean.
const STORM_PAUSE: Ms = 50.0;
