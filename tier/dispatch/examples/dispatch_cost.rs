//! Prints the processor time that the dispatcher takes per request, with 20 targets, 50 requests in
//! flight and two iterations per request.

use std::collections::VecDeque;
use std::time::Instant;

use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, DispatchSettings, Dispatcher, Idempotency, NewRequest,
    PrefixPart, RequestKey,
};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::{Target, TargetState};

const TARGETS: usize = 20;
const REQUESTS_IN_FLIGHT: usize = 50;
const REQUESTS: u64 = 100_000;

fn main() {
    for parts in [0, 3] {
        println!(
            "{parts} prefix parts: {:.2} us per request",
            microseconds_per_request(parts)
        );
    }
}

fn microseconds_per_request(parts: u64) -> f64 {
    let settings = DispatchSettings {
        seed: 1,
        zone: "near".into(),
        max_requests: 1_000,
    };
    let mut dispatcher = Dispatcher::new(settings, 0.0);
    dispatcher.set_targets(&(0..TARGETS).map(target).collect::<Vec<_>>());
    let mut in_flight: VecDeque<(RequestKey, InstanceId)> = VecDeque::new();
    let start = Instant::now();
    for number in 0..REQUESTS {
        let now = number as f64;
        dispatcher.enqueue(now, request(number, now, parts));
        in_flight.extend(dispatcher.poll_commands(now).into_iter().filter_map(sent));
        if in_flight.len() >= REQUESTS_IN_FLIGHT {
            let (key, target) = in_flight.pop_front().expect("requests are in flight");
            let result = AttemptResult {
                elapsed: 50.0,
                ..AttemptResult::from_outcome(AttemptOutcome::Delivered)
            };
            dispatcher.on_attempt_ended(now, key, &target, result);
            in_flight.extend(dispatcher.poll_commands(now).into_iter().filter_map(sent));
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}

fn sent(command: Command) -> Option<(RequestKey, InstanceId)> {
    match command {
        Command::Send {
            request, target, ..
        } => Some((request, target)),
        _ => None,
    }
}

fn target(number: usize) -> Target {
    Target {
        id: InstanceId::from(format!("i-{number:08x}").as_str()),
        service: "models".into(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        zone: "near".into(),
        capacity: 32,
        state: TargetState::Healthy,
        sequence: 1,
        warm_up_remaining_ms: 0,
        models: Vec::new(),
    }
}

fn request(number: u64, now: f64, parts: u64) -> NewRequest {
    let part = |at| PrefixPart {
        id: if at + 1 == parts { number / 4 } else { at },
        tokens: 1_000,
    };
    NewRequest {
        key: RequestKey(number),
        service: "models".into(),
        idempotency: Idempotency::Idempotent,
        session: (parts > 0).then_some(number),
        deadline: now + 1e9,
        latency_target: 1e9,
        max_attempts: 2,
        route_priority: 1,
        program_time_left: Some(3_000.0),
        prefix: (0..parts).map(part).collect(),
    }
}
