//! A stand-in for the proxy: a dispatcher, a clock that the story sets, and what it commanded.

#![allow(dead_code)] // each file of stories uses its part

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

/// An idempotent request without a session, due 5 s after `now`, with an objective of 500 ms.
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

pub fn once(key: u64, now: Ms) -> NewRequest {
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
    /// What was decided, if it is to be compared.
    pub transcript: Option<Transcript>,
}

impl Proxy {
    /// With these targets, all healthy and in the proxy's zone.
    pub fn with(targets: &[&str]) -> Self {
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

    /// Runs a round; wake-ups are left out of what it returns.
    pub fn at(&mut self, now: Ms, hand_in: impl FnOnce(&mut Dispatcher)) -> Vec<Command> {
        self.now = now;
        hand_in(&mut self.dispatcher);
        let commands = self.dispatcher.poll_commands(now);
        if let Some(transcript) = &mut self.transcript {
            transcript.round(0, now, &commands);
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

    /// Lets time pass until then, with all wake-ups that are asked for.
    pub fn until(&mut self, then: Ms) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some(at) = self.wake_at.filter(|at| *at <= then) {
            let at = at.max(self.now);
            commands.extend(self.at(at, |_| ()));
        }
        commands.extend(self.at(then, |_| ()));
        commands
    }

    /// Hands in a request; returns the target that it was sent to at once.
    pub fn takes(&mut self, now: Ms, new: NewRequest) -> Option<String> {
        sent_to(&self.at(now, |dispatcher| dispatcher.enqueue(now, new)))
    }

    pub fn ends(&mut self, now: Ms, key: u64, target: &str, fate: AttemptOutcome) -> Vec<Command> {
        self.ends_with(
            now,
            key,
            target,
            AttemptResult {
                elapsed: 50.0,
                ..AttemptResult::from_outcome(fate)
            },
        )
    }

    pub fn ends_with(
        &mut self,
        now: Ms,
        key: u64,
        target: &str,
        ended: AttemptResult,
    ) -> Vec<Command> {
        let target = InstanceId::from(target);
        self.at(now, |dispatcher| {
            dispatcher.on_attempt_ended(now, RequestKey(key), &target, ended)
        })
    }

    pub fn health_checked(
        &mut self,
        now: Ms,
        target: &str,
        answer: HealthCheckResult,
    ) -> Vec<Command> {
        let target = InstanceId::from(target);
        self.at(now, |dispatcher| {
            dispatcher.on_health_check_ended(&target, answer)
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
