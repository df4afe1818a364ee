//! What was seen, told to the rules in the order of its time.

mod calls;

use std::collections::{BTreeMap, HashMap};

use plankhill_invariants::{
    AttemptEnd, Bounds, Checker, Completion, Idempotency, Ms, Observation, Violation,
};

use crate::book::{self, Book, Seen};
use crate::told::WINDOW_US;
use calls::SKEW;

/// Notices of a busy machine may be so late.
const LATE: Ms = 3_000.0;
/// Told from all that is promised.
const UNPROMISED: u64 = 1 << 40;
/// Between the keys of an instance and those of the next of its name.
const LIVES: u64 = 1 << 32;

#[derive(Default)]
struct Call {
    instance: usize,
    event: u64,
    target: usize,
    began: Ms,
    time_out: Ms,
    whole: Option<Ms>,
    replied: Option<(Ms, u16)>,
    gone: Option<Ms>,
}

#[derive(Default)]
struct Story {
    calls: BTreeMap<u64, Call>,
    unheard: Vec<u64>,
    /// When instances lost their folders. What comes back knows nothing of the keys before.
    lost: Vec<(Ms, usize)>,
    /// When each instance was hindered, and until when.
    hindered: HashMap<usize, Vec<(Ms, Ms)>>,
    facts: Vec<(Ms, Observation)>,
}

/// What broke. `heir_within`: with copies on, how long after its forwarder was hindered the latest an event
/// may end late, in milliseconds.
pub fn breaches(book: &Book, heir_within: Option<Ms>) -> Vec<Violation> {
    let mut story = Story::default();
    let all = book.all();
    all.iter().for_each(|(at, seen)| story.read(*at, seen));
    story.place_late_calls(&all);
    story.ends(&all, book.now());
    let mut facts = std::mem::take(&mut story.facts);
    facts.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut checker = Checker::new(Bounds {
        resumption_grace: LATE,
        takeover_within: heir_within,
        ..Bounds::default()
    });
    facts
        .into_iter()
        .for_each(|(at, fact)| checker.observe(at, fact));
    checker.finish_after_recovery(book.now());
    let counts = checker.event_counts();
    eprintln!(
        "{} events handed in, {} ended, {} calls",
        counts.accepted,
        counts.completed,
        story.calls.len()
    );
    let ids = book.ids();
    for breach in checker.violations().iter().take(10) {
        eprintln!(
            "{:.1} ms: {}: {}",
            breach.at,
            breach.invariant.name(),
            breach.description
        );
        let after = breach
            .description
            .split("event ")
            .nth(1)
            .unwrap_or_default();
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        let Ok(event) = digits.parse() else { continue };
        eprintln!("    event {event} is {:?}", ids.get(&event));
        let of_event = |seen: &Seen| story.event_of(seen).is_none_or(|of| of == event);
        all.iter()
            .filter(|(_, seen)| of_event(seen))
            .for_each(|(at, seen)| eprintln!("    {at:9.1} {seen:?}"));
    }
    checker.violations().to_vec()
}

impl Story {
    fn event_of(&self, seen: &Seen) -> Option<u64> {
        match seen {
            Seen::Asked { event, .. } | Seen::Answered { event, .. } | Seen::Unheard { event } => {
                Some(*event)
            }
            Seen::Began { event, .. } | Seen::Notice { event, .. } => Some(*event),
            Seen::Whole { call } | Seen::Replied { call, .. } | Seen::Gone { call } => {
                self.calls.get(call).map(|call| call.event)
            }
            Seen::Listed { .. } | Seen::Lost { .. } | Seen::Hindered { .. } | Seen::Free { .. } => {
                None
            }
        }
    }

    fn read(&mut self, at: Ms, seen: &Seen) {
        match *seen {
            Seen::Began {
                call,
                instance,
                event,
                target,
                time_out,
            } => {
                let call = self.calls.entry(call).or_default();
                *call = Call {
                    instance,
                    event,
                    target,
                    began: at,
                    time_out,
                    ..Call::default()
                };
            }
            Seen::Whole { call } => self.calls.entry(call).or_default().whole = Some(at),
            Seen::Replied { call, status } => {
                self.calls.entry(call).or_default().replied = Some((at, status))
            }
            Seen::Gone { call } => self.calls.entry(call).or_default().gone = Some(at),
            Seen::Unheard { event } => self.unheard.push(event),
            Seen::Listed {
                instance,
                target,
                leaves,
            } => {
                let (forwarder, target) = (instance as u32, target as u32);
                self.facts.push((
                    at,
                    Observation::EndpointListed {
                        forwarder,
                        target,
                        is_draining: leaves,
                    },
                ));
            }
            Seen::Hindered { instance } => {
                self.hindered
                    .entry(instance)
                    .or_default()
                    .push((at, f64::INFINITY));
                self.facts.push((
                    at,
                    Observation::Halted {
                        forwarder: instance as u32,
                    },
                ));
            }
            Seen::Free { instance, anew } => {
                if let Some((_, until)) = self
                    .hindered
                    .get_mut(&instance)
                    .and_then(|all| all.last_mut())
                {
                    *until = at;
                }
                self.facts.push((
                    at,
                    Observation::Resumed {
                        forwarder: instance as u32,
                        is_new_process: anew,
                    },
                ));
            }
            Seen::Lost { instance } => self.lost.push((at, instance)),
            Seen::Asked { .. } | Seen::Answered { .. } | Seen::Notice { .. } => (),
        }
    }

    /// All that follows from the whole of what was seen.
    fn ends(&mut self, all: &[(Ms, Seen)], now: Ms) {
        let mut sure = HashMap::new();
        let mut maybe: HashMap<u64, (Ms, usize)> = HashMap::new();
        let mut facts = Vec::new();
        for call in self.calls.values().filter(|call| call.whole.is_some()) {
            let (forwarder, event, target) = (call.instance as u32, call.event, call.target as u32);
            facts.push((
                call.began,
                Observation::AttemptSent {
                    forwarder,
                    event,
                    target,
                    group: 0,
                    lane: 0,
                },
            ));
            let read = call
                .replied
                .is_some_and(|(at, _)| self.surely_read(call, at));
            let cut = match call.replied {
                Some((at, 200)) if read => {
                    sure.entry(event).or_insert((at, call.instance));
                    AttemptEnd::Delivered
                }
                Some((at, 200)) => {
                    let last = maybe.entry(event).or_insert((at, call.instance));
                    last.0 = last.0.max(at);
                    AttemptEnd::CutShort
                }
                Some((_, 503)) => AttemptEnd::NotExecuted,
                Some(_) => AttemptEnd::Error,
                None => AttemptEnd::CutShort,
            };
            facts.push((
                self.over_at(call),
                Observation::AttemptEnded {
                    forwarder,
                    event,
                    outcome: cut,
                },
            ));
        }
        let mut noticed: HashMap<u64, bool> = HashMap::new();
        for (at, seen) in all {
            match *seen {
                Seen::Asked {
                    instance,
                    event,
                    origin,
                    effect,
                    key,
                    patience,
                } => {
                    let (forwarder, effect) = (instance as u32, self.rules_effect(effect));
                    let origin = if self.unheard.contains(&event) {
                        UNPROMISED + event
                    } else {
                        origin
                    };
                    let patience_ends = at + patience + SKEW;
                    let lives = self
                        .lost
                        .iter()
                        .filter(|(lost, of)| *of == instance && lost < at);
                    let key = key.map(|key| key + LIVES * lives.count() as u64);
                    facts.push((
                        *at,
                        Observation::Accepted {
                            forwarder,
                            event,
                            origin,
                            idempotency: effect,
                            key,
                            deadline: patience_ends,
                        },
                    ));
                    if self.unheard.contains(&event) {
                        facts.push((*at, Observation::AcceptanceUnconfirmed { event }));
                    }
                    let ran = |call: &&Call| {
                        call.event == event && !matches!(call.replied, Some((_, 503)))
                    };
                    let whole = self
                        .calls
                        .values()
                        .filter(ran)
                        .filter_map(|call| call.whole);
                    facts.extend(whole.map(|at| {
                        (
                            at,
                            Observation::EffectApplied {
                                event,
                                origin,
                                idempotency: effect,
                            },
                        )
                    }));
                }
                Seen::Answered { event, status } if status != 202 => {
                    let end = if matches!(status, 429 | 503) {
                        Completion::Rejected
                    } else {
                        Completion::Abandoned
                    };
                    facts.push((
                        *at,
                        Observation::Completed {
                            forwarder: 0,
                            event,
                            completion: end,
                            by_notification: false,
                        },
                    ));
                }
                // Told twice it does no harm.
                Seen::Notice { event, given_up } if noticed.get(&event) != Some(&given_up) => {
                    noticed.insert(event, given_up);
                    let end = if given_up {
                        Completion::Abandoned
                    } else {
                        Completion::Rejected
                    };
                    facts.push((
                        *at,
                        Observation::Completed {
                            forwarder: 0,
                            event,
                            completion: end,
                            by_notification: true,
                        },
                    ));
                    facts.push((*at, Observation::CompletionAcknowledged { event }));
                }
                _ => (),
            }
        }
        // Delivered, though nobody may know: an end where there is no other.
        maybe.retain(|event, _| !sure.contains_key(event) && !noticed.contains_key(event));
        maybe.retain(|event, end| self.follows_last_call(*event, end, now));
        for (event, (at, instance)) in sure.into_iter().chain(maybe) {
            let forwarder = instance as u32;
            facts.push((
                at,
                Observation::Completed {
                    forwarder,
                    event,
                    completion: Completion::Completed,
                    by_notification: false,
                },
            ));
        }
        self.facts.extend(facts);
    }

    fn rules_effect(&self, effect: book::Effect) -> Idempotency {
        match effect {
            book::Effect::Retriable => Idempotency::Idempotent,
            book::Effect::Fingerprinted => Idempotency::Deduplicated {
                window: WINDOW_US as f64 / 1000.0,
                one_group: false,
            },
            book::Effect::Binding => Idempotency::NonIdempotent,
        }
    }
}
