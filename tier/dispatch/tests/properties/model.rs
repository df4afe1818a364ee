//! Random requests, results of attempts and endpoint lists, and the invariants that are checked for
//! all of them.

use std::collections::HashMap;

use arbtest::arbitrary::{Result, Unstructured};
use plankhill_dispatch::retry::ExecutionState;
use plankhill_dispatch::{AttemptOutcome, Command, Idempotency, Ms, NewRequest, RequestKey};
use plankhill_protocol::tables::{Target, TargetState};

use crate::common::{draining, healthy, request, Proxy};

const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Delivered,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// The state of a request, tracked independently of the dispatcher.
struct TrackedRequest {
    new: NewRequest,
    in_flight: Option<String>,
    executions: u32,
    may_have_executed: bool,
    outcomes: u32,
    cancelled: bool,
}

/// The way in which a change of several targets is passed to the dispatcher.
#[allow(dead_code)] // the property test uses only one variant
pub enum Relisting {
    AtOnce,
    /// Target by target before one iteration, so that the dispatcher sees the changes in a
    /// deterministic order.
    OneByOne,
}

pub struct Model {
    pub proxy: Proxy,
    pub relisting: Relisting,
    listed: Vec<Target>,
    requests: HashMap<u64, TrackedRequest>,
    last_key: u64,
}

impl Model {
    pub fn new() -> Self {
        let listed = TARGETS.iter().map(|id| healthy(id)).collect();
        Model {
            proxy: Proxy::with_targets(&TARGETS),
            relisting: Relisting::AtOnce,
            listed,
            requests: HashMap::new(),
            last_key: 0,
        }
    }

    pub fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        let now = self.proxy.now + f64::from(u.int_in_range(0..=40u32)?);
        self.advance_to(now);
        let commands = match u.int_in_range(0..=9u32)? {
            0..=3 => {
                let new = self.random_request(u)?;
                self.proxy
                    .iterate_at(now, |dispatcher| dispatcher.enqueue(now, new))
            }
            4..=7 => {
                let Some((key, target)) = self.choose_attempt(u)? else {
                    return Ok(());
                };
                let outcome = *u.choose(&OUTCOMES)?;
                self.record_result(key, outcome);
                self.proxy.end_attempt(now, key, &target, outcome)
            }
            8 => {
                let Some(key) = self.choose_pending(u)? else {
                    return Ok(());
                };
                self.requests
                    .get_mut(&key)
                    .expect("a pending request")
                    .cancelled = true;
                self.proxy
                    .iterate_at(now, |dispatcher| dispatcher.cancel(RequestKey(key)))
            }
            _ => {
                let before = self.listed.clone();
                self.relist(u)?;
                let steps = match self.relisting {
                    Relisting::AtOnce => vec![self.listed.clone()],
                    Relisting::OneByOne => one_by_one(&before, &self.listed),
                };
                self.proxy.iterate_at(now, |dispatcher| {
                    for listed in &steps {
                        dispatcher.set_targets(listed);
                    }
                })
            }
        };
        self.check(&commands);
        Ok(())
    }

    fn random_request(&mut self, u: &mut Unstructured) -> Result<NewRequest> {
        self.last_key += 1;
        let now = self.proxy.now;
        let mut new = request(self.last_key, now);
        new.session = if u.arbitrary()? {
            Some(u.int_in_range(0..=2)?)
        } else {
            None
        };
        new.idempotency = if u.arbitrary()? {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        };
        new.max_attempts = u.int_in_range(0..=3)?;
        new.deadline = now + f64::from(u.int_in_range(50..=2_000u32)?);
        new.latency_target = f64::from(u.int_in_range(0..=500u32)?);
        let tracked = TrackedRequest {
            new: new.clone(),
            in_flight: None,
            executions: 0,
            may_have_executed: false,
            outcomes: 0,
            cancelled: false,
        };
        self.requests.insert(self.last_key, tracked);
        Ok(new)
    }

    fn choose_attempt(&self, u: &mut Unstructured) -> Result<Option<(u64, String)>> {
        let mut in_flight: Vec<(u64, String)> = self
            .requests
            .iter()
            .filter_map(|(key, tracked)| Some((*key, tracked.in_flight.clone()?)))
            .collect();
        in_flight.sort();
        if in_flight.is_empty() {
            return Ok(None);
        }
        Ok(Some(u.choose(&in_flight)?.clone()))
    }

    fn choose_pending(&self, u: &mut Unstructured) -> Result<Option<u64>> {
        let pending = self
            .requests
            .iter()
            .filter(|(_, tracked)| !tracked.cancelled && tracked.outcomes == 0);
        let mut pending: Vec<u64> = pending.map(|(key, _)| *key).collect();
        pending.sort();
        if pending.is_empty() {
            return Ok(None);
        }
        Ok(Some(*u.choose(&pending)?))
    }

    fn relist(&mut self, u: &mut Unstructured) -> Result<()> {
        self.listed.clear();
        for id in TARGETS {
            match u.int_in_range(0..=4u32)? {
                0 => (),
                1 => self.listed.push(draining(id)),
                _ => self.listed.push(healthy(id)),
            }
        }
        Ok(())
    }

    fn record_result(&mut self, key: u64, outcome: AttemptOutcome) {
        let tracked = self.requests.get_mut(&key).expect("a tracked request");
        tracked.in_flight = None;
        tracked.outcomes += u32::from(outcome == AttemptOutcome::Delivered);
        if ExecutionState::from_outcome(outcome) != ExecutionState::NotExecuted {
            tracked.executions += 1;
            tracked.may_have_executed = true;
        }
    }

    fn check(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Send {
                    request,
                    target,
                    deadline,
                    ..
                } => {
                    self.check_send(request.0, target.as_str(), *deadline);
                }
                Command::Reject {
                    request,
                    retry_after,
                } => {
                    let tracked = self.record_outcome(request.0);
                    assert!(
                        !tracked.may_have_executed,
                        "a rejected request must not have been executed"
                    );
                    assert!(*retry_after > 0.0);
                }
                Command::Fail { request, .. } => {
                    let tracked = self.record_outcome(request.0);
                    assert!(
                        tracked.may_have_executed,
                        "a request that was certainly not executed must be rejected, not failed"
                    );
                }
                Command::HealthCheck { .. }
                | Command::CloseIdleConnections { .. }
                | Command::CancelUnsent { .. }
                | Command::WakeAt(_) => (),
            }
        }
    }

    fn check_send(&mut self, key: u64, target: &str, deadline: Ms) {
        let listed = self
            .listed
            .iter()
            .find(|listed| listed.id.as_str() == target);
        let state = listed.expect("a listed target").state;
        assert_eq!(
            state,
            TargetState::Healthy,
            "draining targets get no requests"
        );
        let tracked = &self.requests[&key];
        assert_eq!(
            (tracked.outcomes, tracked.cancelled),
            (0, false),
            "a completed or cancelled request must not be sent"
        );
        assert!(tracked.in_flight.is_none(), "one attempt at a time");
        assert!(self.proxy.now < deadline && deadline <= tracked.new.deadline);
        assert!(
            tracked.executions < tracked.new.max_attempts.max(1),
            "attempts are bounded"
        );
        assert!(
            tracked.new.idempotency == Idempotency::Idempotent || !tracked.may_have_executed,
            "at most one execution"
        );
        if let Some(session) = tracked.new.session {
            let earlier = self.requests.iter().filter(|(other, tracked)| {
                **other != key
                    && tracked.new.session == Some(session)
                    && (**other < key || tracked.in_flight.is_some())
            });
            for (_, earlier) in earlier {
                assert!(
                    earlier.in_flight.is_none(),
                    "one turn of a session is in flight"
                );
                assert!(
                    earlier.outcomes > 0 || earlier.cancelled,
                    "turns are sent in order of arrival"
                );
            }
        }
        self.requests
            .get_mut(&key)
            .expect("a tracked request")
            .in_flight = Some(target.to_owned());
    }

    fn record_outcome(&mut self, key: u64) -> &TrackedRequest {
        let now = self.proxy.now;
        let tracked = self.requests.get_mut(&key).expect("a tracked request");
        assert!(
            tracked.in_flight.is_none(),
            "no final response while an attempt is in flight"
        );
        assert!(!tracked.cancelled, "the request was cancelled");
        tracked.outcomes += 1;
        assert_eq!(tracked.outcomes, 1, "one outcome per request");
        assert!(
            now <= tracked.new.deadline + 0.1,
            "a final response by the deadline: {now} {}",
            tracked.new.deadline
        );
        tracked
    }

    /// Advances the time to `until`; attempts in flight time out at the deadline of their request.
    fn advance_to(&mut self, until: Ms) {
        loop {
            let attempts = self.requests.iter().filter_map(|(key, tracked)| {
                tracked
                    .in_flight
                    .as_ref()
                    .map(|target| (tracked.new.deadline, *key, target.clone()))
            });
            let first =
                attempts.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
            let wake_at = self.proxy.wake_at.unwrap_or(f64::INFINITY);
            let commands = match first {
                Some((deadline, key, target)) if deadline <= wake_at.min(until) => {
                    let now = deadline.max(self.proxy.now);
                    self.record_result(key, AttemptOutcome::TimedOut);
                    self.proxy
                        .end_attempt(now, key, &target, AttemptOutcome::TimedOut)
                }
                _ if wake_at <= until && wake_at.is_finite() => {
                    let now = wake_at.max(self.proxy.now);
                    self.proxy.iterate_at(now, |_| ())
                }
                _ => break,
            };
            self.check(&commands);
        }
        if until.is_finite() {
            let commands = self.proxy.iterate_at(until, |_| ());
            self.check(&commands);
        }
    }

    pub fn finish(&mut self) {
        self.advance_to(f64::INFINITY);
        for (key, tracked) in &self.requests {
            assert!(
                tracked.outcomes == 1 || tracked.cancelled,
                "request {key} has no outcome"
            );
        }
        assert!(self.proxy.dispatcher.is_empty());
    }
}

/// The endpoint lists between `before` and `after`, each of which changes one more target.
fn one_by_one(before: &[Target], after: &[Target]) -> Vec<Vec<Target>> {
    let with_first = |changed: usize| {
        let mut listed = Vec::new();
        for (at, id) in TARGETS.iter().enumerate() {
            let source = if at < changed { after } else { before };
            listed.extend(
                source
                    .iter()
                    .find(|target| target.id.as_str() == *id)
                    .cloned(),
            );
        }
        listed
    };
    (1..=TARGETS.len()).map(with_first).collect()
}
