//! Requests, ends of calls and tables as they may come, and the checks that hold for all of them.

use std::collections::HashMap;

use arbtest::arbitrary::{Result, Unstructured};
use plankhill_dispatch::retry::ExecutionState;
use plankhill_dispatch::{AttemptOutcome, Command, Idempotency, Ms, NewRequest, RequestKey};
use plankhill_protocol::tables::{Target, TargetState};

use crate::common::{draining, healthy, request, Proxy};

const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
const FATES: [AttemptOutcome; 8] = [
    AttemptOutcome::Delivered,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// What the proxy knows of a request, kept apart from the dispatcher.
struct Seen {
    new: NewRequest,
    out: Option<String>,
    run: u32,
    may_have_executed: bool,
    ends: u32,
    withdrawn: bool,
}

/// How a change of several targets is handed over.
#[allow(dead_code)] // the property takes one of them
pub enum Relisting {
    AtOnce,
    /// Target by target, within one round: the dispatcher then sees the changes in a given order.
    OneByOne,
}

pub struct World {
    pub proxy: Proxy,
    pub relisting: Relisting,
    listed: Vec<Target>,
    seen: HashMap<u64, Seen>,
    keys: u64,
}

impl World {
    pub fn new() -> Self {
        let listed = TARGETS.iter().map(|id| healthy(id)).collect();
        World {
            proxy: Proxy::with(&TARGETS),
            relisting: Relisting::AtOnce,
            listed,
            seen: HashMap::new(),
            keys: 0,
        }
    }

    pub fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        let now = self.proxy.now + f64::from(u.int_in_range(0..=40u32)?);
        self.pass(now);
        let commands = match u.int_in_range(0..=9u32)? {
            0..=3 => {
                let new = self.draw_request(u)?;
                self.proxy
                    .at(now, |dispatcher| dispatcher.enqueue(now, new))
            }
            4..=7 => {
                let Some((key, target)) = self.draw_call(u)? else {
                    return Ok(());
                };
                let fate = *u.choose(&FATES)?;
                self.note_end(key, fate);
                self.proxy.ends(now, key, &target, fate)
            }
            8 => {
                let Some(key) = self.draw_live(u)? else {
                    return Ok(());
                };
                self.seen.get_mut(&key).expect("live").withdrawn = true;
                self.proxy
                    .at(now, |dispatcher| dispatcher.cancel(RequestKey(key)))
            }
            _ => {
                let before = self.listed.clone();
                self.relist(u)?;
                let steps = match self.relisting {
                    Relisting::AtOnce => vec![self.listed.clone()],
                    Relisting::OneByOne => one_by_one(&before, &self.listed),
                };
                self.proxy.at(now, |dispatcher| {
                    for listed in &steps {
                        dispatcher.set_targets(listed);
                    }
                })
            }
        };
        self.check(&commands);
        Ok(())
    }

    fn draw_request(&mut self, u: &mut Unstructured) -> Result<NewRequest> {
        self.keys += 1;
        let now = self.proxy.now;
        let mut new = request(self.keys, now);
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
        let seen = Seen {
            new: new.clone(),
            out: None,
            run: 0,
            may_have_executed: false,
            ends: 0,
            withdrawn: false,
        };
        self.seen.insert(self.keys, seen);
        Ok(new)
    }

    fn draw_call(&self, u: &mut Unstructured) -> Result<Option<(u64, String)>> {
        let mut out: Vec<(u64, String)> = self
            .seen
            .iter()
            .filter_map(|(key, seen)| Some((*key, seen.out.clone()?)))
            .collect();
        out.sort();
        if out.is_empty() {
            return Ok(None);
        }
        Ok(Some(u.choose(&out)?.clone()))
    }

    fn draw_live(&self, u: &mut Unstructured) -> Result<Option<u64>> {
        let live = self
            .seen
            .iter()
            .filter(|(_, seen)| !seen.withdrawn && seen.ends == 0);
        let mut live: Vec<u64> = live.map(|(key, _)| *key).collect();
        live.sort();
        if live.is_empty() {
            return Ok(None);
        }
        Ok(Some(*u.choose(&live)?))
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

    fn note_end(&mut self, key: u64, fate: AttemptOutcome) {
        let seen = self.seen.get_mut(&key).expect("seen");
        seen.out = None;
        seen.ends += u32::from(fate == AttemptOutcome::Delivered);
        if ExecutionState::from_outcome(fate) != ExecutionState::NotExecuted {
            seen.run += 1;
            seen.may_have_executed = true;
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
                    let seen = self.end(request.0);
                    assert!(
                        !seen.may_have_executed,
                        "a rejection promises that it was not executed"
                    );
                    assert!(*retry_after > 0.0);
                }
                Command::Fail { request, .. } => {
                    let seen = self.end(request.0);
                    assert!(
                        seen.may_have_executed,
                        "what was surely not executed is rejected"
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
        let state = listed.expect("not gone").state;
        assert_eq!(state, TargetState::Healthy, "nothing to draining targets");
        let seen = &self.seen[&key];
        assert_eq!((seen.ends, seen.withdrawn), (0, false), "not after its end");
        assert!(seen.out.is_none(), "one attempt at a time");
        assert!(self.proxy.now < deadline && deadline <= seen.new.deadline);
        assert!(
            seen.run < seen.new.max_attempts.max(1),
            "attempts are bounded"
        );
        assert!(
            seen.new.idempotency == Idempotency::Idempotent || !seen.may_have_executed,
            "at most one run"
        );
        if let Some(session) = seen.new.session {
            let earlier = self.seen.iter().filter(|(other, seen)| {
                **other != key
                    && seen.new.session == Some(session)
                    && (**other < key || seen.out.is_some())
            });
            for (_, earlier) in earlier {
                assert!(earlier.out.is_none(), "one turn of a session is in flight");
                assert!(
                    earlier.ends > 0 || earlier.withdrawn,
                    "in the order of arrival"
                );
            }
        }
        self.seen.get_mut(&key).expect("seen").out = Some(target.to_owned());
    }

    fn end(&mut self, key: u64) -> &Seen {
        let now = self.proxy.now;
        let seen = self.seen.get_mut(&key).expect("seen");
        assert!(
            seen.out.is_none(),
            "no answer while an attempt is in flight"
        );
        assert!(!seen.withdrawn, "its client has left");
        seen.ends += 1;
        assert_eq!(seen.ends, 1, "one end");
        assert!(
            now <= seen.new.deadline + 0.1,
            "an end by its deadline: {now} {}",
            seen.new.deadline
        );
        seen
    }

    /// Time passes until then; calls that are out end at their deadline.
    fn pass(&mut self, until: Ms) {
        loop {
            let calls = self.seen.iter().filter_map(|(key, seen)| {
                seen.out
                    .as_ref()
                    .map(|target| (seen.new.deadline, *key, target.clone()))
            });
            let first =
                calls.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
            let wake_at = self.proxy.wake_at.unwrap_or(f64::INFINITY);
            let commands = match first {
                Some((deadline, key, target)) if deadline <= wake_at.min(until) => {
                    let now = deadline.max(self.proxy.now);
                    self.note_end(key, AttemptOutcome::TimedOut);
                    self.proxy.ends(now, key, &target, AttemptOutcome::TimedOut)
                }
                _ if wake_at <= until && wake_at.is_finite() => {
                    let now = wake_at.max(self.proxy.now);
                    self.proxy.at(now, |_| ())
                }
                _ => break,
            };
            self.check(&commands);
        }
        if until.is_finite() {
            let commands = self.proxy.at(until, |_| ());
            self.check(&commands);
        }
    }

    pub fn finish(&mut self) {
        self.pass(f64::INFINITY);
        for (key, seen) in &self.seen {
            assert!(seen.ends == 1 || seen.withdrawn, "request {key} has no end");
        }
        assert!(self.proxy.dispatcher.is_empty());
    }
}

/// The lists on the way from one to the other, each with one target more as it is to be.
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
