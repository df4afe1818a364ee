//! Baselines to compare the decision module with: the usual retry policies of a simple service.
//!
//! They respect idempotency, key order, retry-afters and drains. They have no offline lanes, warm-up,
//! fair queueing or load shedding.

mod dispatch;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use plankhill_decisions::interface::{AttemptOutcome, DecisionConfig, EndpointState, Ms};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::{Decider, Decision, EventKey, Input};
use crate::random::{stream, uniform, RandomStream};

/// The options of a baseline, beyond attempting each event.
pub struct BaselineOptions {
    /// The upper bound of attempts of one event, beside that of the configuration.
    pub attempts: u32,
    /// The timeout of a call in milliseconds.
    pub timeout: Ms,
    /// Circuit breaker: after five failures in a row nothing is sent for five seconds, then one
    /// call decides.
    pub breaker: bool,
    /// Retry budget: retries may be a tenth of the first attempts.
    pub budget: bool,
    /// Additive increase, multiplicative decrease: a destination's limit of calls in flight grows
    /// by one for as many deliveries, and is halved by a failure.
    pub aimd: bool,
}

/// Full jitter: the backoff is uniform from 0 to this, doubling with each attempt.
const INITIAL_BACKOFF: Ms = 200.0;
const MAX_BACKOFF: Ms = 10_000.0;
/// Events are completed this long before their deadline.
const DEADLINE_MARGIN: Ms = 30.0;

struct Event {
    destination: u32,
    traffic: usize,
    key: Option<u64>,
    deadline: Ms,
    attempts: u32,
    not_before: Ms,
    may_have_run: Option<(Ms, usize)>,
    out: Option<u32>,
    order: u64,
    accepted_now: bool,
    unacknowledged: bool,
}

#[derive(Default)]
struct Destination {
    targets: Vec<(u32, usize, bool)>,
    retry_after_ends: Ms,
    failures: u32,
    breaker_open_until: Ms,
    trial_in_flight: bool,
    max_calls: f64,
    out: usize,
    queued_events: BTreeMap<u64, EventKey>,
}

#[derive(Default)]
struct KeyQueue {
    queue: VecDeque<EventKey>,
    cooldown_ends: Ms,
}

pub struct Baseline {
    config: DecisionConfig,
    options: BaselineOptions,
    rng: ChaCha8Rng,
    events: FxHashMap<EventKey, Event>,
    destinations: BTreeMap<u32, Destination>,
    destination_of_target: FxHashMap<u32, u32>,
    keys: FxHashMap<u64, KeyQueue>,
    /// Times at which a destination needs attention.
    due: BTreeSet<(u64, u32)>,
    completions_due: BTreeSet<(u64, EventKey)>,
    out: usize,
    taken: u64,
    retry_budget: f64,
    last_send_at: Ms,
}

impl Baseline {
    pub fn new(config: DecisionConfig, options: BaselineOptions) -> Self {
        let rng = stream(config.seed, RandomStream::Baselines);
        Baseline {
            config,
            options,
            rng,
            events: FxHashMap::default(),
            destinations: BTreeMap::new(),
            destination_of_target: FxHashMap::default(),
            keys: FxHashMap::default(),
            due: BTreeSet::new(),
            completions_due: BTreeSet::new(),
            out: 0,
            taken: 0,
            retry_budget: 10.0,
            last_send_at: f64::INFINITY,
        }
    }

    fn take(&mut self, input: &Input, now: Ms) {
        match *input {
            Input::EndpointListed {
                target,
                destination,
                zone,
                listing,
                ..
            } => {
                self.destination_of_target.insert(target, destination);
                let to = self.destinations.entry(destination).or_default();
                let runs = listing == EndpointState::Running;
                match to.targets.iter_mut().find(|(id, ..)| *id == target) {
                    Some(known) => known.2 = runs,
                    None => to.targets.push((target, zone, runs)),
                }
                self.due.insert((now.to_bits(), destination));
            }
            Input::EndpointRemoved { target } => {
                if let Some(to) = self
                    .destination_of_target
                    .remove(&target)
                    .and_then(|of| self.destinations.get_mut(&of))
                {
                    to.targets.retain(|(id, ..)| *id != target);
                }
            }
            Input::Accepted {
                event,
                destination,
                traffic,
                deadline,
                key,
                again,
            } => {
                self.taken += 1;
                let key = key.filter(|_| self.config.traffic_types[traffic].ordered);
                if let Some(key) = key {
                    self.keys.entry(key).or_default().queue.push_back(event);
                }
                let order = self.taken;
                self.destinations
                    .entry(destination)
                    .or_default()
                    .queued_events
                    .insert(order, event);
                let held = Event {
                    destination,
                    traffic,
                    key,
                    deadline,
                    attempts: 0,
                    not_before: now,
                    may_have_run: None,
                    out: None,
                    order,
                    accepted_now: !again,
                    unacknowledged: false,
                };
                self.completions_due
                    .insert(((deadline - DEADLINE_MARGIN).max(0.0).to_bits(), event));
                self.events.insert(event, held);
                self.due.insert((now.to_bits(), destination));
            }
            Input::AttemptsRestored {
                event,
                attempts,
                may_have_run,
                was_out,
            } => {
                let Some(held) = self.events.get_mut(&event) else {
                    return;
                };
                (held.attempts, held.may_have_run) = (attempts, may_have_run);
                if let Some(key_queue) = held
                    .key
                    .filter(|_| was_out)
                    .and_then(|key| self.keys.get_mut(&key))
                {
                    key_queue.cooldown_ends = now + self.config.key_cooldown;
                }
            }
            Input::CompletionRestored { event } => {
                if let Some(held) = self.events.get_mut(&event) {
                    held.unacknowledged = true;
                    if let Some(to) = self.destinations.get_mut(&held.destination) {
                        to.queued_events.remove(&held.order);
                    }
                }
            }
            Input::AttemptEnded {
                event,
                outcome,
                wait,
                ..
            } => self.send_ended(event, outcome, wait, now),
            Input::CompletionAcknowledged { event } => self.forget(event, now),
            Input::ShutdownBegan { ends } => self.last_send_at = ends - self.options.timeout,
            Input::HealthCheckEnded { .. } | Input::WarmUpRestored { .. } => (),
        }
    }

    fn send_ended(&mut self, key: EventKey, outcome: AttemptOutcome, wait: Ms, now: Ms) {
        let Some(event) = self.events.get_mut(&key) else {
            return;
        };
        let Some(zone) = event.out.take() else { return };
        let Some(to) = self.destinations.get_mut(&event.destination) else {
            return;
        };
        self.out -= 1;
        to.out -= 1;
        to.trial_in_flight = false;
        to.retry_after_ends = to.retry_after_ends.max(now + wait);
        let good = outcome == AttemptOutcome::Delivered;
        if good {
            to.failures = 0;
            to.max_calls += 1.0 / to.max_calls.max(1.0);
        } else if outcome != AttemptOutcome::NotSent {
            to.failures += (outcome != AttemptOutcome::Rejected) as u32;
            to.max_calls = (to.max_calls / 2.0).max(1.0);
            if to.failures >= 5 {
                to.breaker_open_until = now + 5_000.0;
            }
        }
        if outcome.may_have_run() {
            event
                .may_have_run
                .get_or_insert((event.not_before, zone as usize));
        }
        let ceiling =
            (INITIAL_BACKOFF * f64::powi(2.0, event.attempts.min(10) as i32)).min(MAX_BACKOFF);
        event.not_before = now + ceiling * uniform(&mut self.rng);
        let destination = event.destination;
        let cut = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        );
        if let Some(key_queue) = event
            .key
            .filter(|_| cut)
            .and_then(|key| self.keys.get_mut(&key))
        {
            key_queue.cooldown_ends = now + self.config.key_cooldown;
        }
        if good {
            self.forget(key, now);
        } else {
            let again = event.not_before;
            // The event's completion may have come due while its attempt was in flight.
            self.completions_due
                .insert(((event.deadline - DEADLINE_MARGIN).max(0.0).to_bits(), key));
            to.queued_events.insert(event.order, key);
            self.due.insert((again.to_bits(), destination));
        }
        self.due.insert((now.to_bits(), destination));
    }
}

impl Decider for Baseline {
    fn iterate(&mut self, now: Ms, inputs: &[Input], out: &mut Vec<Decision>) {
        let had_room = self.out < self.config.max_calls_in_flight;
        for input in inputs {
            self.take(input, now);
        }
        while let Some(&(at, key)) = self
            .completions_due
            .first()
            .filter(|(at, _)| f64::from_bits(*at) <= now)
        {
            self.completions_due.remove(&(at, key));
            if self
                .events
                .get(&key)
                .is_some_and(|event| event.out.is_none() && !event.unacknowledged)
            {
                self.complete(key, now, out);
            }
        }
        if !had_room && self.out < self.config.max_calls_in_flight {
            let starved = self
                .destinations
                .iter()
                .filter(|(_, to)| !to.queued_events.is_empty());
            self.due.extend(
                starved
                    .map(|(id, _)| (now.to_bits(), *id))
                    .collect::<Vec<_>>(),
            );
        }
        while let Some(&(at, id)) = self
            .due
            .first()
            .filter(|(at, _)| f64::from_bits(*at) <= now)
        {
            self.due.remove(&(at, id));
            self.serve(id, now, out);
        }
        for input in inputs {
            if let Input::Accepted { event, .. } = input {
                self.events
                    .entry(*event)
                    .and_modify(|event| event.accepted_now = false);
            }
        }
        let due = self.due.first().map(|(at, _)| f64::from_bits(*at));
        let ends = self
            .completions_due
            .first()
            .map(|(at, _)| f64::from_bits(*at));
        let next = due
            .unwrap_or(f64::INFINITY)
            .min(ends.unwrap_or(f64::INFINITY));
        if next.is_finite() {
            out.push(Decision::WakeUp {
                pause: (next - now).max(0.001),
            });
        }
    }
}
