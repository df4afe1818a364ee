//! A simulated proxy: a dispatcher and a clock that the test sets.

#![allow(dead_code)] // each test binary uses only a part of this module

mod transcript;

use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, DispatchSettings, Dispatcher, HealthCheckResult,
    Idempotency, Ms, NewRequest, RequestKey,
};
use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};
use plankhill_protocol::tables::{Target, TargetState};
pub use transcript::Transcript;

pub const SERVICE: &str = "models";

pub fn target(id: &str, zone: &str, state: TargetState) -> Target {
    Target {
        id: InstanceId::from(id),
        service: ServiceName::from(SERVICE),
        address: "127.0.0.1:8080".parse().expect("an address"),
        zone: ZoneName::from(zone),
        capacity: 4,
        state,
        sequence: 1,
        warm_up_remaining_ms: 0,
        models: Vec::new(),
    }
}

pub fn healthy(id: &str) -> Target {
    target(id, "near", TargetState::Healthy)
}

pub fn draining(id: &str) -> Target {
    target(id, "near", TargetState::Draining)
}

pub fn settings() -> DispatchSettings {
    DispatchSettings {
        seed: 7,
        zone: ZoneName::from("near"),
        max_requests: 1000,
    }
}

/// An idempotent request without a session, due 5 s after `now`, with a latency target of 500 ms.
pub fn request(key: u64, now: Ms) -> NewRequest {
    NewRequest {
        key: RequestKey(key),
        service: ServiceName::from(SERVICE),
        idempotency: Idempotency::Idempotent,
        session: None,
        deadline: now + 5_000.0,
        latency_target: 500.0,
        max_attempts: 2,
        route_priority: 1,
        program_time_left: None,
        prefix: Vec::new(),
    }
}

pub fn non_idempotent_request(key: u64, now: Ms) -> NewRequest {
    NewRequest {
        idempotency: Idempotency::NonIdempotent,
        ..request(key, now)
    }
}

pub fn turn(key: u64, now: Ms, session: u64) -> NewRequest {
    NewRequest {
        session: Some(session),
        ..request(key, now)
    }
}

pub struct Proxy {
    pub dispatcher: Dispatcher,
    pub now: Ms,
    pub wake_at: Option<Ms>,
    /// The decisions, if they are to be compared.
    pub transcript: Option<Transcript>,
}

impl Proxy {
    /// Creates a proxy with these targets, all healthy and in the proxy's zone.
    pub fn with_targets(targets: &[&str]) -> Self {
        let mut dispatcher = Dispatcher::new(settings(), 0.0);
        let listed: Vec<Target> = targets.iter().map(|id| healthy(id)).collect();
        dispatcher.set_targets(&listed);
        Proxy {
            dispatcher,
            now: 0.0,
            wake_at: None,
            transcript: None,
        }
    }

    /// Runs one iteration after `report`; returns the commands without wake-ups.
    pub fn iterate_at(&mut self, now: Ms, report: impl FnOnce(&mut Dispatcher)) -> Vec<Command> {
        self.now = now;
        report(&mut self.dispatcher);
        let commands = self.dispatcher.poll_commands(now);
        if let Some(transcript) = &mut self.transcript {
            transcript.add_commands(0, now, &commands);
        }
        self.wake_at = None;
        let mut others = Vec::new();
        for command in commands {
            match command {
                Command::WakeAt(at) => self.wake_at = Some(at),
                other => others.push(other),
            }
        }
        others
    }

    /// Advances the time to `until`, with all requested wake-ups.
    pub fn advance_to(&mut self, until: Ms) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some(at) = self.wake_at.filter(|at| *at <= until) {
            let at = at.max(self.now);
            commands.extend(self.iterate_at(at, |_| ()));
        }
        commands.extend(self.iterate_at(until, |_| ()));
        commands
    }

    /// Enqueues a request; returns the target if the request was sent at once.
    pub fn enqueue(&mut self, now: Ms, new: NewRequest) -> Option<String> {
        sent_to(&self.iterate_at(now, |dispatcher| dispatcher.enqueue(now, new)))
    }

    pub fn end_attempt(
        &mut self,
        now: Ms,
        key: u64,
        target: &str,
        outcome: AttemptOutcome,
    ) -> Vec<Command> {
        self.end_attempt_with(
            now,
            key,
            target,
            AttemptResult {
                elapsed: 50.0,
                ..AttemptResult::from_outcome(outcome)
            },
        )
    }

    pub fn end_attempt_with(
        &mut self,
        now: Ms,
        key: u64,
        target: &str,
        result: AttemptResult,
    ) -> Vec<Command> {
        let target = InstanceId::from(target);
        self.iterate_at(now, |dispatcher| {
            dispatcher.on_attempt_ended(now, RequestKey(key), &target, result)
        })
    }

    pub fn end_health_check(
        &mut self,
        now: Ms,
        target: &str,
        result: HealthCheckResult,
    ) -> Vec<Command> {
        let target = InstanceId::from(target);
        self.iterate_at(now, |dispatcher| {
            dispatcher.on_health_check_ended(&target, result)
        })
    }
}

/// The target of the first send.
pub fn sent_to(commands: &[Command]) -> Option<String> {
    commands.iter().find_map(|command| match command {
        Command::Send { target, .. } => Some(target.as_str().to_owned()),
        _ => None,
    })
}

pub fn sends(commands: &[Command]) -> Vec<(u64, String)> {
    let send = |command: &Command| match command {
        Command::Send {
            request, target, ..
        } => Some((request.0, target.as_str().to_owned())),
        _ => None,
    };
    commands.iter().filter_map(send).collect()
}

pub fn is_rejected(commands: &[Command], key: u64) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Reject { request, .. } if request.0 == key))
}

pub fn is_failed(commands: &[Command], key: u64) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Fail { request, .. } if request.0 == key))
}

pub fn health_checks(commands: &[Command]) -> Vec<String> {
    let check = |command: &Command| match command {
        Command::HealthCheck { target, .. } => Some(target.as_str().to_owned()),
        _ => None,
    };
    commands.iter().filter_map(check).collect()
}
