//! Checks observations, and collects violations. All invariants use the same records of events,
//! keys, targets and lanes; the submodules implement the invariants by subject.

mod attempts;
mod bounds;
mod completion;
mod effects;
mod fleet;
mod records;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::invariant::{Invariant, Violation};
use crate::observation::{Ms, Observation};
use records::{
    AppliedEffect, ForwarderRecord, Halt, KeyQueue, KeyQueueId, PendingEvent, SubscriberServers,
    TargetConnections,
};

pub use bounds::Bounds;

/// Violations beyond this number are counted, not described.
const MAX_DESCRIBED_VIOLATIONS: usize = 200;

/// Numbers of accepted and completed events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCounts {
    /// Events accepted so far.
    pub accepted: u64,
    /// Events completed or lost so far; the others are pending.
    pub completed: u64,
}

/// Checks the invariants of one run.
#[derive(Default)]
pub struct Checker {
    bounds: Bounds,
    now: Ms,
    events: HashMap<u64, PendingEvent>,
    key_queues: HashMap<KeyQueueId, KeyQueue>,
    /// Key queues in the order in which their cool-downs end.
    cooldowns: VecDeque<(Ms, KeyQueueId)>,
    forwarders: BTreeMap<u32, ForwarderRecord>,
    /// The forwarders that observed a failure, by lane with an outage or warming up after one.
    informed: HashMap<u32, HashSet<u32>>,
    effects: HashMap<u64, AppliedEffect>,
    /// Effects in the order of the times at which their records expire.
    effect_expiries: VecDeque<(Ms, u64)>,
    connections: HashMap<u32, TargetConnections>,
    subscribers: HashMap<u32, SubscriberServers>,
    violations: Vec<Violation>,
    violation_counts: BTreeMap<Invariant, u64>,
    accepted: u64,
    completed: u64,
}

impl Checker {
    /// Creates a checker for a run that has not begun.
    pub fn new(bounds: Bounds) -> Self {
        Checker {
            bounds,
            ..Checker::default()
        }
    }

    /// Checks the next observation. Observations must arrive in the order of their times; one that
    /// does not is counted as a violation, which is a fault of the reporter.
    pub fn observe(&mut self, now: Ms, observation: Observation) {
        if now < self.now {
            let last = self.now;
            let description = format!("told of {now} ms after {last} ms: the teller is at fault");
            self.report(Invariant::CompletedOnce, description);
        }
        self.now = self.now.max(now);
        self.end_cooldowns();
        match observation {
            Observation::Accepted {
                forwarder,
                event,
                idempotency,
                key,
                deadline,
                ..
            } => self.accept(forwarder, event, idempotency, key, deadline),
            Observation::AttemptSent {
                forwarder,
                event,
                target,
                group,
                lane,
            } => self.send_attempt(forwarder, event, target, group, lane),
            Observation::HealthCheckSent {
                forwarder,
                target,
                lane,
            } => {
                self.check_draining(forwarder, target, "a ping");
                self.check_retry_after(forwarder, lane, "a ping");
            }
            Observation::AttemptEnded { event, outcome, .. } => self.end_attempt(event, outcome),
            Observation::Completed {
                event,
                completion,
                by_notification,
                ..
            } => self.complete(event, completion, by_notification),
            Observation::CompletionAcknowledged { event } => self.acknowledge(event),
            Observation::EffectApplied {
                event,
                origin,
                idempotency,
            } => self.apply_effect(event, origin, idempotency),
            Observation::EndpointListed {
                forwarder,
                target,
                is_draining,
            } => self.list_endpoint(forwarder, target, is_draining, now),
            Observation::RetryAfterReceived {
                forwarder,
                lane,
                until,
            } => {
                let record = self.forwarders.entry(forwarder).or_default();
                let ends = record.retry_after_ends.entry(lane).or_insert(until);
                *ends = ends.max(until);
            }
            Observation::OutageBegan { lane } => {
                self.informed.entry(lane).or_default();
            }
            Observation::FailureObserved { forwarder, lane } => {
                if let Some(informed) = self.informed.get_mut(&lane) {
                    informed.insert(forwarder);
                }
            }
            Observation::Overloaded { lane, load } => self.check_overload(lane, &load),
            Observation::WarmedUp { lane } => {
                self.informed.remove(&lane);
            }
            Observation::Halted { forwarder } => {
                let record = self.forwarders.entry(forwarder).or_default();
                record.is_halted = true;
                record.last_halt = Some(Halt {
                    began: now,
                    ended: f64::INFINITY,
                });
            }
            Observation::Resumed {
                forwarder,
                is_new_process,
            } => self.resume(forwarder, is_new_process),
            Observation::AcceptanceUnconfirmed { event } => self.mark_unconfirmed(event),
            Observation::ConnectionLimitSet { target, limit } => {
                self.set_connection_limit(target, limit);
            }
            Observation::ConnectionOpened { forwarder, target } => {
                self.open_connection(forwarder, target);
            }
            Observation::ConnectionClosed { forwarder, target } => {
                self.close_connection(forwarder, target);
            }
            Observation::ServiceStarted {
                forwarder,
                subscriber,
            } => self.start_service(forwarder, subscriber),
            Observation::ServiceEnded {
                forwarder,
                subscriber,
            } => self.end_service(forwarder, subscriber),
            Observation::EventLost { event } => self.lose(event),
        }
    }

    /// Ends a run: reports every event that passed its deadline without a completion,
    /// unless a halted forwarder excuses that.
    pub fn finish(&mut self, now: Ms) {
        self.now = self.now.max(now);
        let is_late = |event: &PendingEvent| {
            event.requires_completion() && event.deadline + self.bounds.rounding < now
        };
        let late = self.events.iter().filter(|(_, event)| is_late(event));
        let late = late.filter(|(_, event)| !self.is_excused(event.accepted_by, event.deadline));
        let mut late: Vec<u64> = late.map(|(&number, _)| number).collect();
        late.sort_unstable();
        for number in late {
            let deadline = self.events[&number].deadline;
            let description =
                format!("event {number} has no end; its patience was over at {deadline:.3} ms");
            self.report(Invariant::CompletedOnce, description);
        }
    }

    /// The first 200 violations, in the order in which they were found.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of violations of the invariant.
    pub fn violation_count(&self, invariant: Invariant) -> u64 {
        self.violation_counts.get(&invariant).copied().unwrap_or(0)
    }

    /// Numbers of events accepted and completed so far.
    pub fn event_counts(&self) -> EventCounts {
        EventCounts {
            accepted: self.accepted,
            completed: self.completed,
        }
    }

    /// Number of records that the checker retains: events, keys and effects.
    pub fn retained_entries(&self) -> usize {
        self.events.len() + self.key_queues.len() + self.effects.len()
    }

    fn report(&mut self, invariant: Invariant, description: String) {
        *self.violation_counts.entry(invariant).or_default() += 1;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            self.violations.push(Violation {
                at: self.now,
                invariant,
                description,
            });
        }
    }

    fn end_cooldowns(&mut self) {
        while let Some(&(ends, queue)) = self.cooldowns.front() {
            if ends > self.now {
                return;
            }
            self.cooldowns.pop_front();
            self.remove_key_if_idle(queue);
        }
    }
}
