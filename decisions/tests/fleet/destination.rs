//! Simulated destination: its responses, and the number of calls that arrive in any window.

use std::collections::VecDeque;

use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, DecisionConfig, Ms};

use super::{Random, FAILS_AT, RECOVERS_AT, SERVICE_TIME, WINDOW};

/// Dependence of the responses on the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Responses {
    SlowDown,
    /// The queue is short, and further calls are rejected.
    Rejected,
    /// Response times are constant until the destination is overloaded.
    ConstantTime,
}

/// A call that has reached the destination.
pub struct Call {
    pub member: usize,
    pub event: String,
    pub arrived_at: Ms,
    /// The time until which its forwarder waits for the response; 0 once the forwarder no longer
    /// waits.
    pub waits_until: Ms,
}

struct CallInService {
    ends_at: Ms,
    call: Call,
}

/// A response to a member of the fleet.
pub struct Response {
    pub member: usize,
    pub event: String,
    pub report: AttemptReport,
}

/// The maximum load of a window.
pub struct Peak {
    /// Calls as a share of the number that the destination can take.
    pub share: f64,
    pub description: String,
}

/// A destination that serves as many calls at once as it has servers, each more slowly while it is
/// warming up.
pub struct Destination {
    responses: Responses,
    /// Calls a second.
    full_rate: f64,
    in_service: Vec<CallInService>,
    queue: VecDeque<Call>,
    /// Arrival times of the calls and health checks in the last window.
    arrivals: VecDeque<Ms>,
    pub peak: Peak,
}

impl Destination {
    pub fn new(responses: Responses, full_rate: f64) -> Self {
        Destination {
            responses,
            full_rate,
            in_service: Vec::new(),
            queue: VecDeque::new(),
            arrivals: VecDeque::new(),
            peak: Peak {
                share: 0.0,
                description: String::new(),
            },
        }
    }

    pub fn is_down(now: Ms) -> bool {
        (FAILS_AT..RECOVERS_AT).contains(&now)
    }

    /// Returns the share of its capacity that the destination has.
    fn capacity_share(now: Ms, config: &DecisionConfig) -> f64 {
        if now < RECOVERS_AT {
            return 1.0;
        }
        let initial = config.warm_up_initial_share;
        let capacity_share =
            initial + (1.0 - initial) * (now - RECOVERS_AT) / config.warm_up_duration;
        capacity_share.min(1.0)
    }

    /// Counts a call or a health check that arrives while the destination is warming up.
    pub fn count_arrival(&mut self, now: Ms, config: &DecisionConfig) {
        let warm_up = RECOVERS_AT..RECOVERS_AT + config.warm_up_duration;
        if !warm_up.contains(&now) {
            return;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| *at <= now - WINDOW) {
            self.arrivals.pop_front();
        }
        let allowed =
            config.overload_multiple * Self::capacity_share(now, config) * self.full_rate * WINDOW
                / 1000.0;
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let arrivals = self.arrivals.len();
        let share = arrivals as f64 / bound;
        if share > self.peak.share {
            let seconds = (now - RECOVERS_AT) / 1000.0;
            let description =
                format!("{arrivals} of {bound:.1}, {seconds:.1} s after its recovery");
            self.peak = Peak { share, description };
        }
    }

    fn servers(&self) -> usize {
        match self.responses {
            Responses::ConstantTime => usize::MAX / 16,
            Responses::SlowDown | Responses::Rejected => {
                (self.full_rate * SERVICE_TIME / 1000.0).round().max(1.0) as usize
            }
        }
    }

    fn max_queue(&self) -> usize {
        match self.responses {
            Responses::Rejected => self.servers(),
            Responses::SlowDown | Responses::ConstantTime => 8 * self.servers(),
        }
    }

    /// Queues a call, or rejects it at once.
    pub fn receive(&mut self, call: Call) -> Result<(), AttemptOutcome> {
        if self.queue.len() >= self.max_queue() {
            return Err(AttemptOutcome::Rejected);
        }
        self.queue.push_back(call);
        Ok(())
    }

    /// Handles the end of the member's process, which no longer waits for responses.
    pub fn remove_member(&mut self, member: usize) {
        for served in &mut self.in_service {
            if served.call.member == member {
                served.call.waits_until = 0.0;
            }
        }
        self.queue.retain(|call| call.member != member);
    }

    /// Runs one step of the destination and returns its responses.
    pub fn serve(
        &mut self,
        random: &mut Random,
        now: Ms,
        config: &DecisionConfig,
    ) -> Vec<Response> {
        if Destination::is_down(now) {
            return self.reset_all(now);
        }
        let mut responses = Vec::new();
        self.in_service.retain(|served| {
            if served.ends_at <= now && served.call.waits_until > now {
                responses.push(served.call.response(now, AttemptOutcome::Delivered));
            }
            served.ends_at > now
        });
        for served in &mut self.in_service {
            let call = &mut served.call;
            if call.waits_until > 0.0 && call.waits_until <= now {
                responses.push(call.response(now, AttemptOutcome::TimedOut));
                call.waits_until = 0.0;
            }
        }
        self.queue.retain(|call| {
            if call.waits_until <= now {
                responses.push(call.response(now, AttemptOutcome::TimedOut));
            }
            call.waits_until > now
        });
        self.start_service(random, now, config);
        responses
    }

    fn start_service(&mut self, random: &mut Random, now: Ms, config: &DecisionConfig) {
        while self.in_service.len() < self.servers() {
            let Some(call) = self.queue.pop_front() else {
                return;
            };
            let speed = match self.responses {
                Responses::ConstantTime => 1.0,
                Responses::SlowDown | Responses::Rejected => {
                    Destination::capacity_share(now, config)
                }
            };
            let service_time = SERVICE_TIME * (0.5 + random.draw()) / speed;
            let ends_at = now + service_time;
            self.in_service.push(CallInService { ends_at, call });
        }
    }

    fn reset_all(&mut self, now: Ms) -> Vec<Response> {
        let in_service = self.in_service.drain(..).map(|served| served.call);
        let calls = in_service.chain(self.queue.drain(..));
        let awaited = calls.filter(|call| call.waits_until > 0.0);
        awaited
            .map(|call| call.response(now, AttemptOutcome::Reset))
            .collect()
    }
}

impl Call {
    fn response(&self, now: Ms, outcome: AttemptOutcome) -> Response {
        let elapsed = now - self.arrived_at;
        Response {
            member: self.member,
            event: self.event.clone(),
            report: AttemptReport {
                elapsed,
                ..AttemptReport::from_outcome(outcome)
            },
        }
    }
}
