//! A call on its way: connection, travel, the target's limit, queue and servers, and the way back. The
//! forwarder's side of it may be over (timed out) while the target's is not; the call is forgotten when
//! both are.

use plankhill::interface::{Fate, Listing, Ms};
use plankhill_rules::Fact;
use plankhill_terms::scenario::{Repeats, TroubleKind};

use super::forwarders::Event;
use super::{CallKey, Step, World};
use crate::chance::draw;
use crate::deciders::{EventKey, Input};

/// An event aboard a call, with what its effect is known by: the event itself may be over before.
#[derive(Clone, Copy)]
pub(super) struct Member {
    pub event: EventKey,
    pub number: u64,
    pub origin: u64,
    pub traffic: u8,
}

/// A connection that no call uses.
pub(super) struct Idle {
    since: Ms,
    /// The target has dropped it, unseen.
    dropped: bool,
}

pub(super) struct Call {
    pub forwarder: u32,
    pub life: u32,
    pub target: u32,
    pub lane: u32,
    pub ping: bool,
    pub members: Vec<Member>,
    pub began: Ms,
    pub written: bool,
    /// On a connection that stood idle before.
    pub reused: bool,
    /// The target had dropped that connection.
    pub dropped: bool,
    /// The forwarder does not wait for it any more.
    pub over_here: bool,
    /// The target has it: in its queue or being served.
    pub there: bool,
    pub served: bool,
    /// It met an outage.
    pub in_outage: bool,
    /// How it will be answered, and the wait told with that.
    pub fate: Fate,
    pub wait: Ms,
    /// It is never answered.
    pub mute: bool,
    /// Multiplies what a target takes.
    pub work: f64,
}

/// What each further event of a call weighs, as the deployments' pages have it: only a little.
const RIDER: f64 = 0.25;
/// What a ping takes of a target, against an event of one unit of work.
const PING_WORK: f64 = 0.2;

impl World<'_> {
    pub(super) fn begin_call(&mut self, forwarder: u32, target: u32, events: Vec<EventKey>, time_out: Ms) {
        let ping = events.is_empty();
        let members: Vec<Member> = events
            .iter()
            .map(|&event| {
                let Event { number, ticket, .. } = &self.events[event];
                Member { event, number: *number, origin: ticket.origin, traffic: ticket.traffic }
            })
            .collect();
        let works = members.iter().map(|member| self.scenario.traffic[member.traffic as usize].work);
        let work = works.fold(if ping { PING_WORK } else { 0.0 }, f64::max);
        let sends = members.len() as u64;
        let it = &self.targets[target as usize];
        let (lane, destination) = (it.lane, it.destination);
        let call = Call {
            forwarder,
            life: self.forwarders[forwarder as usize].life,
            target,
            lane,
            ping,
            members,
            began: self.now,
            written: false,
            reused: false,
            dropped: false,
            over_here: false,
            there: false,
            served: false,
            in_outage: false,
            fate: Fate::Delivered,
            wait: 0.0,
            mute: false,
            work,
        };
        let key = self.calls.insert(call);
        for event in events {
            let event = &mut self.events[event];
            event.out = Some(key);
            event.sends += 1;
            event.sent_at = self.now;
        }
        self.tally.totals.calls += 1;
        self.tally.totals.pings += ping as u64;
        self.tally.totals.sends += sends;
        self.tally.totals.most_out = self.tally.totals.most_out.max(self.calls.len() as u64);
        self.tally.call(destination, self.now);
        self.queue.put(self.now + time_out, Step::TimeOut(key));
        self.connect(key);
    }

    /// Takes an idle connection or opens one. Where a group has no figures for connections, one is always
    /// there for a target that is up.
    fn connect(&mut self, key: CallKey) {
        let (forwarder, target) = (self.calls[key].forwarder, self.calls[key].target);
        let from = self.forwarders[forwarder as usize].zone;
        let (to, destination) = {
            let it = &self.targets[target as usize];
            (it.zone as usize, it.destination)
        };
        let tracked = self.tracked(destination);
        if let Some(dropped) = self.take_idle(forwarder, target).filter(|_| tracked) {
            self.calls[key].reused = true;
            self.calls[key].dropped = dropped;
            return self.write(key);
        }
        let plight = self.plight(target);
        let group = self.group_of(destination);
        let full =
            group.connections > 0 && self.targets[target as usize].connections as usize >= group.connections;
        let set_up = group.set_up;
        if !plight.down && !full && !tracked {
            return self.write(key);
        }
        let there = self.travel(from, to);
        let back = self.travel(to, from);
        let (Some(there), Some(back)) = (there, back) else {
            // Nothing comes back: the connection counts as refused after its own time.
            self.calls[key].fate = Fate::NoConnection;
            self.queue.put(self.now + self.scenario.network.connect_time_out, Step::Answered(key));
            return;
        };
        if plight.down || full {
            let outage = self.lanes[self.targets[target as usize].lane as usize].outage;
            let call = &mut self.calls[key];
            (call.fate, call.in_outage) = (Fate::NoConnection, outage);
            self.queue.put(self.now + there + back, Step::Answered(key));
            return;
        }
        self.targets[target as usize].connections += 1;
        self.queue.put(self.now + there + back + set_up, Step::Connected(key));
    }

    pub(super) fn tracked(&self, destination: u32) -> bool {
        let group = self.group_of(destination);
        self.tracks_connections || group.connections > 0 || group.set_up > 0.0 || group.reaped_after > 0.0
    }

    pub(super) fn connected(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else { return };
        if call.over_here {
            let target = call.target;
            self.close_connections(target, 1);
            self.calls.remove(key);
            return;
        }
        let forwarder = &self.forwarders[call.forwarder as usize];
        if forwarder.stalled_until > self.now {
            // Nobody is there to write it.
            let later = forwarder.stalled_until;
            return self.queue.put(later, Step::Connected(key));
        }
        self.write(key);
    }

    /// The first byte leaves: from here on the call may run.
    fn write(&mut self, key: CallKey) {
        let call = &mut self.calls[key];
        call.written = true;
        let (forwarder, target, lane, ping) = (call.forwarder, call.target, call.lane, call.ping);
        let (members, dropped) = (std::mem::take(&mut call.members), call.dropped);
        let from = self.forwarders[forwarder as usize].zone;
        let to = self.targets[target as usize].zone as usize;
        if ping {
            self.tell(Fact::Pinged { forwarder, target, lane });
        }
        for member in &members {
            self.tell(Fact::Sent { forwarder, event: member.number, target, group: to as u32, lane });
        }
        self.calls[key].members = members;
        let Some(travel) = self.travel(from, to) else { return };
        if dropped {
            self.calls[key].fate = Fate::Reset;
            self.queue.put(self.now + 2.0 * travel, Step::Answered(key));
        } else {
            self.queue.put(self.now + travel, Step::Reaches(key));
        }
    }

    pub(super) fn reaches(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else { return };
        let (target, lane, forwarder, reused) = (call.target, call.lane, call.forwarder, call.reused);
        let weight = 1.0 + RIDER * call.members.len().saturating_sub(1) as f64;
        let destination = self.targets[target as usize].destination;
        let outage = self.lanes[lane as usize].outage;
        self.calls[key].in_outage |= outage;
        self.tally.load(destination, self.now);
        self.weigh_on(lane, forwarder, weight);
        let plight = self.plight(target);
        if plight.down {
            // It went while the call was on its way.
            return self.respond(key, Fate::Reset, 0.0);
        }
        if plight.silent || plight.half_open && reused {
            return;
        }
        let group = &self.scenario.destinations[self.destinations[destination as usize].group as usize];
        let admitted = self.lanes[lane as usize].gauge.admit(&group.limit, plight.left_of_limit, self.now);
        if let Err(room_at) = admitted {
            let least = group.limit.tells_wait;
            let wait = if least > 0.0 { least.max(room_at.unwrap_or(0.0) - self.now) } else { 0.0 };
            return self.respond(key, Fate::Full, wait);
        }
        if plight.erring > 0.0 && draw(&mut self.chance_faults) < plight.erring {
            if draw(&mut self.chance_faults) < 0.5 {
                return self.respond(key, Fate::Error, 0.0);
            }
            self.calls[key].fate = Fate::Error;
        } else if plight.resetting > 0.0 && draw(&mut self.chance_faults) < plight.resetting {
            if draw(&mut self.chance_faults) < 0.5 {
                return self.respond(key, Fate::Reset, 0.0);
            }
            self.calls[key].fate = Fate::Reset;
        }
        self.calls[key].mute = plight.hung;
        let servers = (group.servers as f64 * plight.left_of_limit).ceil().max(1.0) as u32;
        let room = group.queue;
        let it = &mut self.targets[target as usize];
        if it.busy < servers {
            it.busy += 1;
            self.lanes[lane as usize].gauge.inside += 1;
            self.serve(key);
        } else if it.waiting.len() < room {
            it.waiting.push_back(key);
            self.lanes[lane as usize].gauge.inside += 1;
            self.calls[key].there = true;
        } else {
            self.respond(key, Fate::Full, 0.0);
        }
    }

    fn serve(&mut self, key: CallKey) {
        let (target, lane, work) = {
            let call = &mut self.calls[key];
            (call.there, call.served) = (true, true);
            (call.target, call.lane, call.work)
        };
        let it = &self.targets[target as usize];
        let group = self.destinations[it.destination as usize].group as usize;
        let factor = it.factor * work * self.plight(target).slow / self.warmth(lane);
        let takes = self.answers[group].draw(&mut self.chance_answers) * factor;
        self.queue.put(self.now + takes, Step::Served(key));
    }

    pub(super) fn served(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if !call.there {
            return; // it was broken off there
        }
        call.there = false;
        let (target, lane, fate, over_here, mute) =
            (call.target, call.lane, call.fate, call.over_here, call.mute);
        self.apply(key);
        self.tally.totals.ran_unheard += (over_here || mute || fate != Fate::Delivered) as u64;
        self.leave_server(target, lane);
        if over_here {
            self.calls.remove(key);
        } else if !mute {
            self.respond(key, fate, 0.0);
        }
    }

    /// The events of the call take effect.
    fn apply(&mut self, key: CallKey) {
        let members = std::mem::take(&mut self.calls[key].members);
        for &Member { number, origin, traffic, .. } in &members {
            let effect = self.effect(traffic);
            self.tell(Fact::Applied { event: number, origin, effect });
        }
        self.calls[key].members = members;
    }

    pub(super) fn effect(&self, traffic: u8) -> plankhill_rules::Effect {
        let of = &self.scenario.traffic[traffic as usize];
        match of.effect {
            Repeats::Retriable => plankhill_rules::Effect::Retriable,
            Repeats::Binding => plankhill_rules::Effect::Binding,
            Repeats::Fingerprinted => {
                plankhill_rules::Effect::Fingerprinted { window: of.window, one_group: of.one_zone }
            }
        }
    }

    fn leave_server(&mut self, target: u32, lane: u32) {
        let gauge = &mut self.lanes[lane as usize].gauge;
        gauge.inside = gauge.inside.saturating_sub(1);
        let it = &mut self.targets[target as usize];
        while let Some(next) = it.waiting.pop_front() {
            if self.calls.get(next).is_some_and(|call| call.there) {
                return self.serve(next);
            }
        }
        it.busy = it.busy.saturating_sub(1);
    }

    /// The target answers now: the answer travels back, unless something takes it.
    fn respond(&mut self, key: CallKey, fate: Fate, wait: Ms) {
        let call = &mut self.calls[key];
        (call.fate, call.wait) = (fate, wait);
        let (forwarder, target) = (call.forwarder, call.target);
        let from = self.targets[target as usize].zone as usize;
        let to = self.forwarders[forwarder as usize].zone;
        if self.is_cut(forwarder, self.targets[target as usize].destination, target) {
            return;
        }
        if let Some(travel) = self.travel(from, to) {
            self.queue.put(self.now + travel, Step::Answered(key));
        }
    }

    /// Whether answers of the target to the forwarder get lost now.
    fn is_cut(&self, forwarder: u32, destination: u32, target: u32) -> bool {
        let Some(active) = self.active.get(&destination) else { return false };
        active.iter().any(|&at| {
            let trouble = &self.scenario.troubles[at as usize];
            let struck = (trouble.strength * self.forwarders.len() as f64).ceil();
            trouble.kind == TroubleKind::CutOneWay && (forwarder as f64) < struck && self.covers(at, target)
        })
    }

    pub(super) fn answered(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else { return };
        if call.over_here {
            if !call.there {
                self.calls.remove(key);
            }
            return;
        }
        let (fate, wait) = (call.fate, call.wait);
        self.call_over(key, fate, wait);
    }

    pub(super) fn time_out(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).filter(|call| !call.over_here) else { return };
        let fate = if call.written { Fate::TimedOut } else { Fate::NoConnection };
        self.call_over(key, fate, 0.0);
    }

    /// The forwarder learns how the call ended, with its next round.
    pub(super) fn call_over(&mut self, key: CallKey, fate: Fate, wait: Ms) {
        let call = &mut self.calls[key];
        call.over_here = true;
        let (forwarder, target, lane, ping, began) =
            (call.forwarder, call.target, call.lane, call.ping, call.began);
        let (in_outage, written, there) = (call.in_outage, call.written, call.there);
        let members = call.members.clone();
        let destination = self.targets[target as usize].destination;
        let good = fate == Fate::Delivered;
        if !good && fate != Fate::NotSent {
            self.tally.call_failed(destination, self.now, fate == Fate::Full);
        }
        if !good && in_outage {
            self.tell(Fact::SawFailure { forwarder, lane });
        }
        if written && self.tracked(destination) {
            let kept = matches!(fate, Fate::Delivered | Fate::Full | Fate::Error);
            self.put_back(forwarder, target, kept);
        }
        let took = self.now - began;
        for Member { event, .. } in members {
            self.incoming(forwarder, Input::SendEnded { event, fate, took, wait }, Some((lane, written)));
        }
        if ping {
            self.incoming(forwarder, Input::PingEnded { target, fate }, Some((lane, written)));
        }
        // A connection still coming up is given back when it is up.
        let coming_up = !written && fate != Fate::NoConnection && self.tracked(destination);
        if !there && !coming_up {
            self.calls.remove(key);
        }
    }

    /// All calls at targets of the destination that are down now are broken off; half of them have run.
    pub(super) fn break_calls(&mut self, destination: u32) {
        let targets: Vec<u32> = self.destinations[destination as usize].targets.clone();
        let down: Vec<u32> = targets.into_iter().filter(|target| self.plight(*target).down).collect();
        if down.iter().all(|target| self.targets[*target as usize].busy == 0) {
            return;
        }
        let there = self.calls.iter().filter(|(_, call)| call.there && down.contains(&call.target));
        let there: Vec<CallKey> = there.map(|(key, _)| key).collect();
        for target in &down {
            let it = &mut self.targets[*target as usize];
            it.busy = 0;
            it.waiting.clear();
        }
        for key in there {
            let ran = self.calls[key].served && draw(&mut self.chance_faults) < 0.5;
            if ran {
                self.apply(key);
            }
            let call = &mut self.calls[key];
            call.there = false;
            let gauge = &mut self.lanes[call.lane as usize].gauge;
            gauge.inside = gauge.inside.saturating_sub(1);
            if call.over_here {
                self.calls.remove(key);
            } else {
                self.respond(key, Fate::Reset, 0.0);
            }
        }
    }

    /// Calls to a target of which nothing is written yet do not leave any more.
    pub(super) fn take_back(&mut self, forwarder: u32, target: u32) {
        let life = self.forwarders[forwarder as usize].life;
        let unwritten = self.calls.iter().filter(|(_, call)| {
            let ours = call.forwarder == forwarder && call.life == life && call.target == target;
            ours && !call.written && !call.over_here && call.fate != Fate::NoConnection
        });
        let unwritten: Vec<CallKey> = unwritten.map(|(key, _)| key).collect();
        for key in unwritten {
            self.call_over(key, Fate::NotSent, 0.0);
        }
    }

    /// Takes the connection to the target that was used last, if one is idle: whether the target has dropped
    /// it, which the forwarder does not see.
    fn take_idle(&mut self, forwarder: u32, target: u32) -> Option<bool> {
        let now = self.now;
        let idle = &mut self.forwarders[forwarder as usize].idle;
        let open = idle.get_mut(&target)?;
        let closed = open.iter().filter(|idle| idle.since + IDLE_KEPT <= now && !idle.dropped).count();
        open.retain(|idle| idle.since + IDLE_KEPT > now);
        let taken = open.pop();
        if open.is_empty() {
            idle.remove(&target);
        }
        self.close_connections(target, closed);
        taken.map(|idle| idle.dropped)
    }

    pub(super) fn close_connections(&mut self, target: u32, closed: usize) {
        let it = &mut self.targets[target as usize];
        it.connections = it.connections.saturating_sub(closed as u32);
    }

    fn put_back(&mut self, forwarder: u32, target: u32, kept: bool) {
        if !kept || self.targets[target as usize].listing == Listing::Gone {
            return self.close_connections(target, 1);
        }
        let idle = Idle { since: self.now, dropped: false };
        self.forwarders[forwarder as usize].idle.entry(target).or_default().push(idle);
        let reaped_after = self.group_of(self.targets[target as usize].destination).reaped_after;
        if reaped_after > 0.0 {
            self.queue.put(self.now + reaped_after, Step::Reaped(forwarder, target, self.now));
        }
    }

    /// The target drops a connection that has been idle since then, and nobody hears of it: the next call on
    /// it is reset.
    pub(super) fn reaped(&mut self, forwarder: u32, target: u32, since: Ms) {
        let Some(open) = self.forwarders[forwarder as usize].idle.get_mut(&target) else { return };
        let stands = open.iter_mut().find(|idle| idle.since == since && !idle.dropped);
        if let Some(idle) = stands {
            idle.dropped = true;
            self.close_connections(target, 1);
        }
    }

    pub(super) fn close_idle(&mut self, forwarder: u32, target: u32) {
        let open = self.forwarders[forwarder as usize].idle.remove(&target).unwrap_or_default();
        self.close_connections(target, open.iter().filter(|idle| !idle.dropped).count());
    }
}

/// A forwarder closes its idle connections after so long.
const IDLE_KEPT: Ms = 13_500.0;
