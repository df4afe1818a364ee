//! Converts a trace to observations, and checks them against the invariants in the order of time.

mod calls;

use std::collections::{BTreeMap, HashMap};

use plankhill_invariants::{
    AttemptEnd, Bounds, Checker, Completion, Idempotency, Ms, Observation, Violation,
};

use crate::options::DEDUP_WINDOW_US;
use crate::trace::{self, Trace, TraceRecord};
use calls::MAX_DETECTION_DELAY;

/// Maximum delay of notifications on a busy machine.
const NOTIFICATION_GRACE: Ms = 3_000.0;
/// Offset of the origins of events without a response, which separates them from those of accepted events.
const UNCONFIRMED_ORIGIN_OFFSET: u64 = 1 << 40;
/// Offset between the order keys of an instance and those of the next one with its name, after a loss of state.
const KEY_OFFSET_PER_STATE_LOSS: u64 = 1 << 32;

/// A call of an event to a target, with the times of what the target recorded.
#[derive(Default)]
struct Call {
    instance: usize,
    event: u64,
    target: usize,
    started_at: Ms,
    timeout: Ms,
    received_at: Option<Ms>,
    answered: Option<(Ms, u16)>,
    closed_at: Option<Ms>,
}

/// The state of converting a trace to observations.
#[derive(Default)]
struct TraceAnalysis {
    calls: BTreeMap<u64, Call>,
    /// Events whose client received no response.
    unanswered: Vec<u64>,
    /// Times at which instances lost their state. A restarted instance has no knowledge of earlier order keys.
    state_losses: Vec<(Ms, usize)>,
    /// For each instance: the start and end times of its impairments.
    impairments: HashMap<usize, Vec<(Ms, Ms)>>,
    observations: Vec<(Ms, Observation)>,
}

/// Returns the violated invariants, and prints the first ones with the records of their events.
/// `takeover_timeout_ms`: with replication, the time after an impairment of its forwarder within which an event may end late, in
/// milliseconds.
pub fn find_violations(trace: &Trace, takeover_timeout_ms: Option<Ms>) -> Vec<Violation> {
    let mut analysis = TraceAnalysis::default();
    let all = trace.records();
    all.iter()
        .for_each(|(at, record)| analysis.add_record(*at, record));
    analysis.backdate_abandoned_calls(&all);
    analysis.add_completions(&all, trace.now());
    let mut observations = std::mem::take(&mut analysis.observations);
    observations.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut checker = Checker::new(Bounds {
        resumption_grace: NOTIFICATION_GRACE,
        takeover_timeout: takeover_timeout_ms,
        ..Bounds::default()
    });
    observations
        .into_iter()
        .for_each(|(at, observation)| checker.observe(at, observation));
    checker.finish_after_recovery(trace.now());
    let counts = checker.event_counts();
    eprintln!(
        "{} events submitted, {} completed, {} calls",
        counts.accepted,
        counts.completed,
        analysis.calls.len()
    );
    let ids = trace.event_ids();
    for violation in checker.violations().iter().take(10) {
        eprintln!(
            "{:.1} ms: {}: {}",
            violation.at,
            violation.invariant.name(),
            violation.description
        );
        let after = violation
            .description
            .split("event ")
            .nth(1)
            .unwrap_or_default();
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        let Ok(event) = digits.parse() else { continue };
        eprintln!("    event {event} is {:?}", ids.get(&event));
        let of_event =
            |record: &TraceRecord| analysis.event_of(record).is_none_or(|of| of == event);
        all.iter()
            .filter(|(_, record)| of_event(record))
            .for_each(|(at, record)| eprintln!("    {at:9.1} {record:?}"));
    }
    checker.violations().to_vec()
}

impl TraceAnalysis {
    fn event_of(&self, record: &TraceRecord) -> Option<u64> {
        match record {
            TraceRecord::RequestSent { event, .. }
            | TraceRecord::ResponseReceived { event, .. }
            | TraceRecord::NoResponse { event } => Some(*event),
            TraceRecord::CallStarted { event, .. }
            | TraceRecord::NotificationReceived { event, .. } => Some(*event),
            TraceRecord::CallReceived { call }
            | TraceRecord::CallAnswered { call, .. }
            | TraceRecord::ConnectionClosed { call } => self.calls.get(call).map(|call| call.event),
            TraceRecord::TargetListed { .. }
            | TraceRecord::StateLost { .. }
            | TraceRecord::Impaired { .. }
            | TraceRecord::Recovered { .. } => None,
        }
    }

    fn add_record(&mut self, at: Ms, record: &TraceRecord) {
        match *record {
            TraceRecord::CallStarted {
                call,
                instance,
                event,
                target,
                timeout,
            } => {
                let call = self.calls.entry(call).or_default();
                *call = Call {
                    instance,
                    event,
                    target,
                    started_at: at,
                    timeout,
                    ..Call::default()
                };
            }
            TraceRecord::CallReceived { call } => {
                self.calls.entry(call).or_default().received_at = Some(at)
            }
            TraceRecord::CallAnswered { call, status } => {
                self.calls.entry(call).or_default().answered = Some((at, status))
            }
            TraceRecord::ConnectionClosed { call } => {
                self.calls.entry(call).or_default().closed_at = Some(at)
            }
            TraceRecord::NoResponse { event } => self.unanswered.push(event),
            TraceRecord::TargetListed {
                instance,
                target,
                is_draining,
            } => {
                let (forwarder, target) = (instance as u32, target as u32);
                self.observations.push((
                    at,
                    Observation::EndpointListed {
                        forwarder,
                        target,
                        is_draining,
                    },
                ));
            }
            TraceRecord::Impaired { instance } => {
                self.impairments
                    .entry(instance)
                    .or_default()
                    .push((at, f64::INFINITY));
                self.observations.push((
                    at,
                    Observation::Halted {
                        forwarder: instance as u32,
                    },
                ));
            }
            TraceRecord::Recovered {
                instance,
                is_new_process,
            } => {
                if let Some((_, end_time)) = self
                    .impairments
                    .get_mut(&instance)
                    .and_then(|all| all.last_mut())
                {
                    *end_time = at;
                }
                self.observations.push((
                    at,
                    Observation::Resumed {
                        forwarder: instance as u32,
                        is_new_process,
                    },
                ));
            }
            TraceRecord::StateLost { instance } => self.state_losses.push((at, instance)),
            TraceRecord::RequestSent { .. }
            | TraceRecord::ResponseReceived { .. }
            | TraceRecord::NotificationReceived { .. } => (),
        }
    }

    /// Adds the observations that depend on the complete trace: attempts, acceptances, effects and completions.
    fn add_completions(&mut self, all: &[(Ms, TraceRecord)], now: Ms) {
        let mut confirmed_deliveries = HashMap::new();
        let mut possible_deliveries: HashMap<u64, (Ms, usize)> = HashMap::new();
        let mut observations = Vec::new();
        for call in self
            .calls
            .values()
            .filter(|call| call.received_at.is_some())
        {
            let (forwarder, event, target) = (call.instance as u32, call.event, call.target as u32);
            observations.push((
                call.started_at,
                Observation::AttemptSent {
                    forwarder,
                    event,
                    target,
                    group: 0,
                    lane: 0,
                },
            ));
            let read = call
                .answered
                .is_some_and(|(at, _)| self.is_surely_read(call, at));
            let outcome = match call.answered {
                Some((at, 200)) if read => {
                    confirmed_deliveries
                        .entry(event)
                        .or_insert((at, call.instance));
                    AttemptEnd::Delivered
                }
                Some((at, 200)) => {
                    let last = possible_deliveries
                        .entry(event)
                        .or_insert((at, call.instance));
                    last.0 = last.0.max(at);
                    AttemptEnd::CutShort
                }
                Some((_, 503)) => AttemptEnd::NotExecuted,
                Some(_) => AttemptEnd::Error,
                None => AttemptEnd::CutShort,
            };
            observations.push((
                self.ended_at(call),
                Observation::AttemptEnded {
                    forwarder,
                    event,
                    outcome,
                },
            ));
        }
        let mut notified: HashMap<u64, bool> = HashMap::new();
        for (at, record) in all {
            match *record {
                TraceRecord::RequestSent {
                    instance,
                    event,
                    origin,
                    idempotency,
                    key,
                    time_to_deadline,
                } => {
                    let (forwarder, idempotency) =
                        (instance as u32, self.checker_idempotency(idempotency));
                    let origin = if self.unanswered.contains(&event) {
                        UNCONFIRMED_ORIGIN_OFFSET + event
                    } else {
                        origin
                    };
                    let deadline = at + time_to_deadline + MAX_DETECTION_DELAY;
                    let losses = self
                        .state_losses
                        .iter()
                        .filter(|(lost_at, of)| *of == instance && lost_at < at);
                    let key =
                        key.map(|key| key + KEY_OFFSET_PER_STATE_LOSS * losses.count() as u64);
                    observations.push((
                        *at,
                        Observation::Accepted {
                            forwarder,
                            event,
                            origin,
                            idempotency,
                            key,
                            deadline,
                        },
                    ));
                    if self.unanswered.contains(&event) {
                        observations.push((*at, Observation::AcceptanceUnconfirmed { event }));
                    }
                    let was_executed = |call: &&Call| {
                        call.event == event && !matches!(call.answered, Some((_, 503)))
                    };
                    let received = self
                        .calls
                        .values()
                        .filter(was_executed)
                        .filter_map(|call| call.received_at);
                    observations.extend(received.map(|at| {
                        (
                            at,
                            Observation::EffectApplied {
                                event,
                                origin,
                                idempotency,
                            },
                        )
                    }));
                }
                TraceRecord::ResponseReceived { event, status } if status != 202 => {
                    let end = if matches!(status, 429 | 503) {
                        Completion::Rejected
                    } else {
                        Completion::Abandoned
                    };
                    observations.push((
                        *at,
                        Observation::Completed {
                            forwarder: 0,
                            event,
                            completion: end,
                            by_notification: false,
                        },
                    ));
                }
                // A repeated notification with the same outcome is allowed.
                TraceRecord::NotificationReceived {
                    event,
                    is_abandoned,
                } if notified.get(&event) != Some(&is_abandoned) => {
                    notified.insert(event, is_abandoned);
                    let end = if is_abandoned {
                        Completion::Abandoned
                    } else {
                        Completion::Rejected
                    };
                    observations.push((
                        *at,
                        Observation::Completed {
                            forwarder: 0,
                            event,
                            completion: end,
                            by_notification: true,
                        },
                    ));
                    observations.push((*at, Observation::CompletionAcknowledged { event }));
                }
                _ => (),
            }
        }
        // Deliveries whose answer may not have been read: a completion only for events without another one.
        possible_deliveries.retain(|event, _| {
            !confirmed_deliveries.contains_key(event) && !notified.contains_key(event)
        });
        possible_deliveries.retain(|event, end| self.extend_to_last_call(*event, end, now));
        for (event, (at, instance)) in confirmed_deliveries.into_iter().chain(possible_deliveries) {
            let forwarder = instance as u32;
            observations.push((
                at,
                Observation::Completed {
                    forwarder,
                    event,
                    completion: Completion::Completed,
                    by_notification: false,
                },
            ));
        }
        self.observations.extend(observations);
    }

    fn checker_idempotency(&self, idempotency: trace::Idempotency) -> Idempotency {
        match idempotency {
            trace::Idempotency::Idempotent => Idempotency::Idempotent,
            trace::Idempotency::Deduplicated => Idempotency::Deduplicated {
                window: DEDUP_WINDOW_US as f64 / 1000.0,
                one_group: false,
            },
            trace::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}
