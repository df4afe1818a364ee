//! An upper bound on the value that a day can deliver, computed with advance knowledge of every
//! fault and every arrival, which no forwarder has.
//!
//! The bound assumes the mean service time of each target, that an event goes at the first instant
//! at which its destination is up, that destinations need no warm-up, that forwarders never fail
//! and have no limit of calls in flight, and that only capacity, deadline and value bind. Order,
//! the shapes of limits, backoffs, the network and randomness cost nothing. No decider reaches the
//! bound; the distance from it shows how much value is left to gain.

use plankhill_forwarder_config::scenario::{FaultKind, Ms, Scenario};

use crate::affected::Affected;
use crate::clients::{value_at, Clients};
use crate::rate_limiter::RateLimiter;

/// The steps in which capacity is counted.
const STEP: Ms = 1000.0;

/// The bound, as a share of the value of all events.
pub fn max_value_share(scenario: &Scenario) -> f64 {
    let affected = Affected::new(scenario, scenario.seed);
    let mut events: Vec<Vec<(Ms, u8)>> = vec![Vec::new(); affected.weights.len()];
    let mut asked = 0.0;
    for client_event in Clients::new(scenario, &affected, scenario.seed) {
        asked += scenario.traffic[client_event.traffic as usize].payoff;
        events[client_event.destination as usize]
            .push((client_event.first_at, client_event.traffic));
    }
    let mut paid = 0.0;
    for (destination, events) in events.iter().enumerate() {
        if !events.is_empty() {
            paid += most_at(scenario, &affected, destination as u32, events);
        }
    }
    if asked > 0.0 {
        paid / asked
    } else {
        1.0
    }
}

/// The bound for one destination: by descending value, each event takes the latest step with free
/// capacity before its deadline. For jobs of one size that schedule is optimal, and ignoring
/// arrival times can only add.
fn most_at(scenario: &Scenario, affected: &Affected, destination: u32, events: &[(Ms, u8)]) -> f64 {
    let longest = scenario.longest_patience();
    let steps = ((scenario.length + longest) / STEP).ceil() as usize + 1;
    let open: Vec<f64> = (0..steps)
        .map(|at| capacity(scenario, affected, destination, at as f64 * STEP))
        .collect();
    // By step, the first step from there on in which the destination is up.
    let mut first_open = vec![steps; steps + 1];
    for at in (0..steps).rev() {
        first_open[at] = if open[at] > 0.0 {
            at
        } else {
            first_open[at + 1]
        };
    }
    let mut jobs: Vec<(f64, usize)> = Vec::new();
    for &(at, traffic) in events {
        let of = &scenario.traffic[traffic as usize];
        let step = (at / STEP) as usize;
        let open_step = first_open[step.min(steps)];
        let from = if open_step == step {
            at
        } else {
            open_step as f64 * STEP
        };
        if from < at + of.patience {
            let last = (((at + of.patience) / STEP) as usize).min(steps - 1);
            jobs.push((value_at(of, at, from), last));
        }
    }
    jobs.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut room: Vec<f64> = open.iter().map(|calls| calls * STEP / 1000.0).collect();
    let per_call = scenario.destinations[affected.groups[destination as usize] as usize]
        .events_per_call as f64;
    // The next step to try when a step is full (union-find with path compression).
    let mut before: Vec<usize> = (0..=steps).collect();
    let mut paid = 0.0;
    for (worth, last) in jobs {
        // Steps are counted from 1 here; 0 is none.
        let mut at = last + 1;
        let mut passed = Vec::new();
        while at > 0 && (before[at] != at || room[at - 1] < 1.0 / per_call) {
            passed.push(at);
            at = if before[at] != at { before[at] } else { at - 1 };
        }
        for full in passed {
            before[full] = at;
        }
        if at > 0 {
            room[at - 1] -= 1.0 / per_call;
            paid += worth;
        }
    }
    paid
}

/// Calls per second that the destination can serve at a time, with all faults.
fn capacity(scenario: &Scenario, affected: &Affected, destination: u32, at: Ms) -> f64 {
    let group = &scenario.destinations[affected.groups[destination as usize] as usize];
    let each = group.servers as f64 * 1000.0 / group.answer.mean;
    let work: f64 = scenario
        .traffic
        .iter()
        .map(|traffic| traffic.share * traffic.work)
        .sum::<f64>()
        / scenario
            .traffic
            .iter()
            .map(|traffic| traffic.share)
            .sum::<f64>();
    let mut targets = group.targets as f64;
    let mut limit = RateLimiter::rate(&group.limit);
    for (fault, list) in scenario.faults.iter().zip(&affected.destinations) {
        let on = fault.start <= at && at + STEP <= fault.start + fault.length;
        if !on || list.binary_search(&destination).is_err() {
            continue;
        }
        let whole = fault.scope.zone.is_none();
        let share = fault.scope.targets.unwrap_or(1.0);
        match fault.kind {
            FaultKind::Down | FaultKind::Silent | FaultKind::Hung if whole => {
                targets -= (share * group.targets as f64).ceil()
            }
            FaultKind::LimitLowered if whole && share == 1.0 => {
                targets *= fault.strength;
                limit *= fault.strength;
            }
            _ => (),
        }
    }
    (targets.max(0.0) * each / work.max(1e-9)).min(limit)
}
