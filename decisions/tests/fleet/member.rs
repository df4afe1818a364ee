//! A member of the fleet: a forwarder, its accepted events, and the inputs of its next iteration.

use std::collections::BTreeMap;

use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, DestinationId, Ms, ZoneId};

use crate::host::{event, target, Host, IDEMPOTENT};

const DESTINATION: DestinationId = DestinationId(1);
const TIME_TO_DEADLINE: Ms = 20_000.0;

/// An accepted event in the member's event log.
struct LoggedEvent {
    deadline: Ms,
    attempts: u32,
    in_flight: bool,
}

pub enum Input {
    AttemptEnded(String, AttemptReport),
    HealthCheckEnded(AttemptOutcome),
}

pub struct Member {
    /// The member's position in the fleet.
    pub number: usize,
    fleet_size: usize,
    seed: u64,
    host: Host,
    /// The member's share of the fleet's traffic.
    pub traffic_share: f64,
    event_log: BTreeMap<String, LoggedEvent>,
    pub inputs: Vec<Input>,
    restarts_at: Option<Ms>,
}

impl Member {
    pub fn new(number: usize, fleet_size: usize, seed: u64, traffic_share: f64) -> Self {
        Member {
            number,
            fleet_size,
            seed,
            host: new_host(number, fleet_size, seed, 0.0),
            traffic_share,
            event_log: BTreeMap::new(),
            inputs: Vec::new(),
            restarts_at: None,
        }
    }

    /// Stops the process; the next one starts at the time `restarts_at` with the same event log.
    pub fn stop(&mut self, restarts_at: Ms) {
        self.restarts_at = Some(restarts_at);
        self.inputs.clear();
    }

    pub fn is_stopped(&self, now: Ms) -> bool {
        self.restarts_at
            .is_some_and(|restarts_at| now < restarts_at)
    }

    /// Runs one iteration and returns its effects as strings.
    pub fn run(&mut self, now: Ms, new_events: &[String]) -> Vec<String> {
        if self.restarts_at.take().is_some() {
            self.restart(now)
        } else {
            self.run_iteration(now, new_events)
        }
    }

    /// Restarts the member. New events are lost in the iteration of a restart.
    fn restart(&mut self, now: Ms) -> Vec<String> {
        let warm_ups = std::mem::take(&mut self.host.recorded_warm_ups);
        self.host = new_host(self.number, self.fleet_size, self.seed, now);
        let event_log = &self.event_log;
        let effects = self.host.run(now, |scheduler| {
            for (target, since, usual_rate) in &warm_ups {
                scheduler.restore_warm_up(target, *since, *usual_rate);
            }
            for (name, logged) in event_log {
                scheduler.accept_event(event(name), DESTINATION, IDEMPOTENT, logged.deadline, None);
                let may_have_run = logged.in_flight.then_some((now, ZoneId(0)));
                let attempts = logged.attempts;
                scheduler.restore_attempts(&event(name), attempts, may_have_run, logged.in_flight);
            }
        });
        for logged in self.event_log.values_mut() {
            logged.in_flight = false;
        }
        effects
    }

    fn run_iteration(&mut self, now: Ms, new_events: &[String]) -> Vec<String> {
        let inputs = std::mem::take(&mut self.inputs);
        let deadline = now + TIME_TO_DEADLINE;
        for name in new_events {
            let logged = LoggedEvent {
                deadline,
                attempts: 0,
                in_flight: false,
            };
            self.event_log.insert(name.clone(), logged);
        }
        for input in &inputs {
            let Input::AttemptEnded(name, report) = input else {
                continue;
            };
            if report.outcome == AttemptOutcome::Delivered {
                self.event_log.remove(name);
            } else if let Some(logged) = self.event_log.get_mut(name) {
                logged.in_flight = false;
            }
        }
        self.host.run(now, |scheduler| {
            for input in inputs {
                let result = match input {
                    Input::AttemptEnded(name, report) => {
                        scheduler.on_attempt_ended(&event(&name), report)
                    }
                    Input::HealthCheckEnded(outcome) => {
                        scheduler.on_health_check_ended(&target("t"), outcome)
                    }
                };
                result.expect("was sent");
            }
            for name in new_events {
                scheduler.accept_event(event(name), DESTINATION, IDEMPOTENT, deadline, None);
            }
        })
    }

    /// Logs an attempt and returns the time until which the member waits for its response.
    pub fn log_attempt(&mut self, now: Ms, name: &str) -> Ms {
        let logged = self.event_log.get_mut(name).expect("was accepted");
        logged.attempts += 1;
        logged.in_flight = true;
        now + self.host.last_timeout
    }

    pub fn log_rejection(&mut self, name: &str) {
        self.event_log.remove(name);
    }
}

fn new_host(number: usize, fleet_size: usize, seed: u64, now: Ms) -> Host {
    let mut host = Host::new(|config| {
        config.seed = seed;
        config.instance = number as u64;
        config.forwarder_count = fleet_size as f64;
        config.max_calls_in_flight = 200;
        config.event_capacity = 400;
    });
    host.idle(now);
    host
}
