//! A call at its target: the limit, the queue and the servers. The forwarder's side of a call may
//! be over (timed out) while the target's is not; the call is removed when both are over.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_forwarder_config::scenario::Idempotency;
use plankhill_invariants::Observation;

use super::state::{Call, Event, Member};
use super::{CallKey, Step, World};
use crate::deciders::EventKey;
use crate::random::uniform;

/// The weight of each further event of a call, relative to the first: a small one, as the deployments' documentation
/// states.
const EXTRA_EVENT_WEIGHT: f64 = 0.25;
/// The work of a health check, relative to an event of one unit of work.
const HEALTH_CHECK_WORK: f64 = 0.2;

impl World<'_> {
    pub(super) fn begin_call(
        &mut self,
        forwarder: u32,
        target: u32,
        events: Vec<EventKey>,
        time_out: Ms,
    ) {
        let is_health_check = events.is_empty();
        let members: Vec<Member> = events
            .iter()
            .map(|&event| {
                let Event {
                    number,
                    client_event,
                    ..
                } = &self.events[event];
                Member {
                    event,
                    number: *number,
                    origin: client_event.origin,
                    traffic: client_event.traffic,
                }
            })
            .collect();
        let works = members
            .iter()
            .map(|member| self.scenario.traffic[member.traffic as usize].work);
        let work = works.fold(
            if is_health_check {
                HEALTH_CHECK_WORK
            } else {
                0.0
            },
            f64::max,
        );
        let attempts = members.len() as u64;
        let target_state = &self.targets[target as usize];
        let lane = target_state.lane;
        let destination = target_state.destination;
        let call = Call {
            forwarder,
            incarnation: self.forwarders[forwarder as usize].incarnation,
            target,
            lane,
            is_health_check,
            members,
            began: self.now,
            written: false,
            reused: false,
            dropped: false,
            abandoned_by_sender: false,
            is_at_target: false,
            served: false,
            in_outage: false,
            outcome: AttemptOutcome::Delivered,
            wait: 0.0,
            never_answered: false,
            work,
        };
        let key = self.calls.insert(call);
        for event in events {
            let event = &mut self.events[event];
            event.out = Some(key);
            event.attempts += 1;
            event.sent_at = self.now;
        }
        self.tally.totals.calls += 1;
        self.tally.totals.pings += is_health_check as u64;
        self.tally.totals.sends += attempts;
        self.tally.totals.most_out = self.tally.totals.most_out.max(self.calls.len() as u64);
        self.tally.call(destination, self.now);
        self.queue.put(self.now + time_out, Step::TimedOut(key));
        self.connect(key);
    }

    pub(super) fn arrive(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let target = call.target;
        let lane = call.lane;
        let forwarder = call.forwarder;
        let reused = call.reused;
        let weight = 1.0 + EXTRA_EVENT_WEIGHT * call.members.len().saturating_sub(1) as f64;
        let destination = self.targets[target as usize].destination;
        let outage = self.lanes[lane as usize].outage;
        self.calls[key].in_outage |= outage;
        self.tally.load(destination, self.now);
        self.add_load(lane, forwarder, weight);
        let fault_effects = self.fault_effects(target);
        if fault_effects.down {
            // The target went down while the call was on its way.
            return self.respond(key, AttemptOutcome::Reset, 0.0);
        }
        if fault_effects.silent || fault_effects.half_open && reused {
            return;
        }
        let group =
            &self.scenario.destinations[self.destinations[destination as usize].group as usize];
        let admitted = self.lanes[lane as usize].gauge.admit(
            &group.limit,
            fault_effects.limit_factor,
            self.now,
        );
        if let Err(admits_at) = admitted {
            let least = group.limit.min_retry_after;
            let wait = if least > 0.0 {
                least.max(admits_at.unwrap_or(0.0) - self.now)
            } else {
                0.0
            };
            return self.respond(key, AttemptOutcome::Rejected, wait);
        }
        if fault_effects.erring > 0.0 && uniform(&mut self.rng_faults) < fault_effects.erring {
            if uniform(&mut self.rng_faults) < 0.5 {
                return self.respond(key, AttemptOutcome::Error, 0.0);
            }
            self.calls[key].outcome = AttemptOutcome::Error;
        } else if fault_effects.resetting > 0.0
            && uniform(&mut self.rng_faults) < fault_effects.resetting
        {
            if uniform(&mut self.rng_faults) < 0.5 {
                return self.respond(key, AttemptOutcome::Reset, 0.0);
            }
            self.calls[key].outcome = AttemptOutcome::Reset;
        }
        self.calls[key].never_answered = fault_effects.hung;
        let servers = (group.servers as f64 * fault_effects.limit_factor)
            .ceil()
            .max(1.0) as u32;
        let room = group.queue;
        let target_state = &mut self.targets[target as usize];
        if target_state.busy < servers {
            target_state.busy += 1;
            self.lanes[lane as usize].gauge.inside += 1;
            self.serve(key);
        } else if target_state.waiting.len() < room {
            target_state.waiting.push_back(key);
            self.lanes[lane as usize].gauge.inside += 1;
            self.calls[key].is_at_target = true;
        } else {
            self.respond(key, AttemptOutcome::Rejected, 0.0);
        }
    }

    pub(super) fn serve(&mut self, key: CallKey) {
        let (target, lane, work) = {
            let call = &mut self.calls[key];
            (call.is_at_target, call.served) = (true, true);
            (call.target, call.lane, call.work)
        };
        let target_state = &self.targets[target as usize];
        let group = self.destinations[target_state.destination as usize].group as usize;
        let factor =
            target_state.factor * work * self.fault_effects(target).slow / self.warmth(lane);
        let takes = self.answers[group].sample(&mut self.rng_answers) * factor;
        self.queue.put(self.now + takes, Step::Served(key));
    }

    pub(super) fn on_served(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if !call.is_at_target {
            return; // the call was reset at the target
        }
        call.is_at_target = false;
        let target = call.target;
        let lane = call.lane;
        let outcome = call.outcome;
        let abandoned_by_sender = call.abandoned_by_sender;
        let never_answered = call.never_answered;
        self.apply(key);
        self.tally.totals.ran_unheard +=
            (abandoned_by_sender || never_answered || outcome != AttemptOutcome::Delivered) as u64;
        self.leave_server(target, lane);
        if abandoned_by_sender {
            self.calls.remove(key);
        } else if !never_answered {
            self.respond(key, outcome, 0.0);
        }
    }

    /// Applies the effects of the call's events.
    pub(super) fn apply(&mut self, key: CallKey) {
        let members = std::mem::take(&mut self.calls[key].members);
        for &Member {
            number,
            origin,
            traffic,
            ..
        } in &members
        {
            let effect = self.effect(traffic);
            self.observe(Observation::EffectApplied {
                event: number,
                origin,
                idempotency: effect,
            });
        }
        self.calls[key].members = members;
    }

    pub(super) fn effect(&self, traffic: u8) -> plankhill_invariants::Idempotency {
        let of = &self.scenario.traffic[traffic as usize];
        match of.effect {
            Idempotency::Idempotent => plankhill_invariants::Idempotency::Idempotent,
            Idempotency::NonIdempotent => plankhill_invariants::Idempotency::NonIdempotent,
            Idempotency::Deduplicated => plankhill_invariants::Idempotency::Deduplicated {
                window: of.window,
                one_group: of.one_zone,
            },
        }
    }

    pub(super) fn leave_server(&mut self, target: u32, lane: u32) {
        let gauge = &mut self.lanes[lane as usize].gauge;
        gauge.inside = gauge.inside.saturating_sub(1);
        let target_state = &mut self.targets[target as usize];
        while let Some(next) = target_state.waiting.pop_front() {
            if self.calls.get(next).is_some_and(|call| call.is_at_target) {
                return self.serve(next);
            }
        }
        target_state.busy = target_state.busy.saturating_sub(1);
    }
}
