//! Counts kept while a day is simulated. Their size depends on the scenario's traffic types and the
//! steps of the series.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use plankhill_forwarder_config::scenario::{Decider, Ms, Scenario};
use plankhill_invariants::{Checker, Invariant};
use rustc_hash::FxHashMap;

use crate::affected::{self, Affected};
use crate::clients::{value_at, ClientEvent};
use crate::outcome::{
    FaultInterval, HeatRow, LossCause, Outcome, RuleCount, Series, Totals, TrafficOutcome,
};

/// Steps of a series, and rows of the heat map: as many as a reader can tell apart on a page.
const STEPS: usize = 200;
const ROWS: usize = 40;

struct TrafficTally {
    events: u64,
    delivered: u64,
    asked: f64,
    paid: f64,
    time: Ms,
    /// Microseconds.
    times: Histogram<u64>,
}

pub struct Tally {
    pub totals: Totals,
    pub series: Series,
    traffic: Vec<TrafficTally>,
    causes: BTreeMap<LossCause, f64>,
    rows: FxHashMap<u32, usize>,
    heat: Vec<HeatRow>,
    /// Destinations that a fault strikes, in order.
    pub affected: Vec<u32>,
    width: Ms,
}

impl Tally {
    pub fn new(scenario: &Scenario, affected: &Affected) -> Self {
        let width = scenario.length / STEPS as f64;
        let zeros = vec![0; STEPS];
        let series = Series {
            width,
            asked: vec![0.0; STEPS],
            paid: vec![0.0; STEPS],
            calls: zeros.clone(),
            failed: zeros.clone(),
            refused: zeros.clone(),
            held: zeros.clone(),
            out: zeros,
            load: vec![0.0; STEPS],
            capacity: vec![0.0; STEPS],
        };
        let traffic = scenario.traffic.iter().map(|_| TrafficTally {
            events: 0,
            delivered: 0,
            asked: 0.0,
            paid: 0.0,
            time: 0.0,
            times: Histogram::new_with_bounds(1, 10_000_000_000, 2).expect("bounds are in order"),
        });
        // A fault that strikes all destinations singles none out.
        let all = affected.weights.len();
        let mut affected_destinations: Vec<u32> = affected
            .destinations
            .iter()
            .filter(|list| list.len() < all || all <= ROWS)
            .flatten()
            .copied()
            .collect();
        affected_destinations.sort_unstable();
        affected_destinations.dedup();
        let by_use = affected::by_use(&affected.weights);
        let is_affected = |at: &u32| affected_destinations.binary_search(at).is_ok();
        let half = by_use.iter().filter(|at| is_affected(at)).take(ROWS / 2);
        let mut shown: Vec<u32> = half.copied().collect();
        let rest: Vec<u32> = by_use
            .iter()
            .filter(|at| !shown.contains(at))
            .take(ROWS - shown.len())
            .copied()
            .collect();
        shown.extend(rest);
        let heat: Vec<HeatRow> = shown
            .iter()
            .map(|&destination| HeatRow {
                destination,
                group: scenario.destinations[affected.groups[destination as usize] as usize]
                    .name
                    .clone(),
                struck: is_affected(&destination),
                calls: vec![0; STEPS],
                failed: vec![0; STEPS],
            })
            .collect();
        Tally {
            totals: Totals::default(),
            series,
            traffic: traffic.collect(),
            causes: BTreeMap::new(),
            rows: shown
                .iter()
                .enumerate()
                .map(|(row, at)| (*at, row))
                .collect(),
            heat,
            affected: affected_destinations,
            width,
        }
    }

    pub fn step(&self, at: Ms) -> usize {
        ((at / self.width) as usize).min(STEPS - 1)
    }

    pub fn record_event(&mut self, scenario: &Scenario, client_event: &ClientEvent) {
        let payoff = scenario.traffic[client_event.traffic as usize].payoff;
        let step = self.step(client_event.first_at);
        self.totals.events += 1;
        self.totals.asked += payoff;
        self.series.asked[step] += payoff;
        let of = &mut self.traffic[client_event.traffic as usize];
        of.events += 1;
        of.asked += payoff;
    }

    pub fn delivered(&mut self, scenario: &Scenario, client_event: &ClientEvent, at: Ms) {
        let traffic = &scenario.traffic[client_event.traffic as usize];
        let paid = value_at(traffic, client_event.first_at, at);
        self.totals.delivered += 1;
        self.totals.paid += paid;
        let step = self.step(client_event.first_at);
        self.series.paid[step] += paid;
        if traffic.payoff > paid {
            *self.causes.entry(LossCause::Late).or_default() += traffic.payoff - paid;
        }
        let of = &mut self.traffic[client_event.traffic as usize];
        of.delivered += 1;
        of.paid += paid;
        of.time += at - client_event.first_at;
        of.times
            .saturating_record(((at - client_event.first_at) * 1000.0).max(1.0) as u64);
    }

    /// Records the loss of the event's value: the event can no longer be delivered, whatever its client
    /// does.
    pub fn record_loss(
        &mut self,
        scenario: &Scenario,
        client_event: &ClientEvent,
        cause: LossCause,
    ) {
        *self.causes.entry(cause).or_default() +=
            scenario.traffic[client_event.traffic as usize].payoff;
    }

    pub fn call(&mut self, destination: u32, at: Ms) {
        let step = self.step(at);
        self.series.calls[step] += 1;
        if let Some(row) = self.rows.get(&destination) {
            self.heat[*row].calls[step] += 1;
        }
    }

    pub fn call_failed(&mut self, destination: u32, at: Ms, refused: bool) {
        let step = self.step(at);
        if refused {
            self.totals.refused_calls += 1;
            self.series.refused[step] += 1;
        } else {
            self.totals.failed_calls += 1;
            self.series.failed[step] += 1;
        }
        if let Some(row) = self.rows.get(&destination) {
            self.heat[*row].failed[step] += 1;
        }
    }

    pub fn load(&mut self, destination: u32, at: Ms) {
        if self.affected.binary_search(&destination).is_ok() {
            let step = self.step(at);
            self.series.load[step] += 1.0;
        }
    }

    pub fn outcome(self, scenario: &Scenario, seed: u64, checker: &Checker) -> Outcome {
        let totals = self.totals;
        let shares = [0.5, 0.9, 0.95, 0.99, 0.999, 1.0];
        let traffic = scenario
            .traffic
            .iter()
            .zip(self.traffic)
            .map(|(of, tally)| TrafficOutcome {
                name: of.name.clone(),
                events: tally.events,
                delivered: tally.delivered,
                asked: tally.asked,
                paid: tally.paid,
                mean: tally.time / tally.delivered.max(1) as f64,
                times: shares
                    .iter()
                    .map(|&q| (q, tally.times.value_at_quantile(q) as f64 / 1000.0))
                    .collect(),
                spread: tally
                    .times
                    .iter_log(500, 1.3)
                    .filter(|step| step.count_since_last_iteration() > 0)
                    .map(|step| {
                        (
                            step.value_iterated_to() as f64 / 1000.0,
                            step.count_since_last_iteration(),
                        )
                    })
                    .collect(),
            });
        let shades = scenario.faults.iter().map(|fault| FaultInterval {
            fault: format!("{:?}", fault.kind),
            start: fault.start,
            end: (fault.start + fault.length).min(scenario.length),
        });
        let decisions = Decider::ALL
            .iter()
            .find(|(_, kind)| *kind == scenario.forwarders.decisions);
        Outcome {
            about: scenario.about.clone(),
            seed,
            decisions: decisions.expect("all are listed").0.to_owned(),
            length: scenario.length,
            payoff: if totals.asked > 0.0 {
                totals.paid / totals.asked
            } else {
                1.0
            },
            totals,
            causes: self.causes,
            traffic: traffic.collect(),
            series: self.series,
            heat: self.heat,
            fault_intervals: shades.collect(),
            rules: Invariant::ALL
                .iter()
                .map(|rule| RuleCount {
                    rule: rule.name().to_owned(),
                    broken: checker.violation_count(*rule),
                })
                .collect(),
            breaches: checker
                .violations()
                .iter()
                .take(20)
                .map(|breach| {
                    format!(
                        "{:.3} ms: {}: {}",
                        breach.at,
                        breach.invariant.name(),
                        breach.description
                    )
                })
                .collect(),
        }
    }
}
