//! Lag of broadcasts, simulated: the unmodified decision module and local instances, in virtual time, with
//! subscribers of which some turn slow after a minute. `docs/fanout.md` has the tables.
//!
//!     cargo run --release -p plankhill-fanout --example lag [0|2|10|40|stalls]
//!
//! The argument selects one number of slow subscribers, or the simulation in which forwarders stall; all of
//! them take half an hour on one core.

mod instance;
mod plan;
mod simulation;

use hdrhistogram::Histogram;
use plan::{Measurements, Plan, Strategy};
use simulation::run;

const LENGTH: f64 = 240_000.0;

fn ms(of: &Histogram<u64>, share: f64) -> f64 {
    of.value_at_quantile(share) as f64 / 10.0
}

fn line(name: &str, slow: u64, results: &[Measurements]) {
    let mut all = results[0].healthy.0.clone();
    let mut settled = results[0].settled.0.clone();
    for result in &results[1..] {
        all.add(&result.healthy.0).expect("the same bounds");
        settled.add(&result.settled.0).expect("the same bounds");
    }
    let sum = |of: fn(&Measurements) -> u64| results.iter().map(of).sum::<u64>();
    let mut found: Vec<f64> = results.iter().flat_map(|r| r.found.clone()).collect();
    found.sort_by(f64::total_cmp);
    let times = match found.as_slice() {
        [] => "-".to_owned(),
        all => format!(
            "{:.0} s, {:.0} s",
            all[all.len() / 2] / 1000.0,
            all[all.len() - 1] / 1000.0
        ),
    };
    let (done, not) = (sum(|r| r.slow.0), sum(|r| r.slow.1));
    let served = if done + not > 0 {
        format!("{:.2}", done as f64 / (done + not) as f64)
    } else {
        "-".into()
    };
    println!(
        "| {slow} | {name} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {served} | {} of {} | {times} | {} | {} | {} | {} |",
        ms(&all, 0.5),
        ms(&all, 0.99),
        ms(&settled, 0.5),
        ms(&settled, 0.99),
        sum(|r| r.healthy_lost),
        found.len(),
        slow * results.len() as u64,
        sum(|r| r.moves),
        sum(|r| r.false_verdicts),
        sum(|r| r.false_moves),
        sum(|r| r.cohort_moves),
    );
}

fn main() {
    let strategy = |cohorts, slow_cohorts, window, slow_window| Strategy {
        cohorts,
        slow_cohorts,
        window,
        slow_window,
    };
    let strategies = [
        ("all at once", strategy(4, 0, 64, 64)),
        ("window of 2", strategy(4, 0, 2, 2)),
        ("regrouped, shared, 2 and 8", strategy(4, 1, 2, 8)),
        ("regrouped, apart, 2 and 8", strategy(3, 1, 2, 8)),
        ("regrouped, apart, all at once", strategy(3, 1, 64, 64)),
    ];
    println!("| slow | way | p50 | p99 | settled p50 | settled p99 | healthy not completed | slow completed | found | median, last | moves | false verdicts | false moves | cohorts |");
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let selected = std::env::args().nth(1);
    let is_selected = |name: &str| selected.as_deref().is_none_or(|selected| selected == name);
    for slow in [0, 2, 10, 40]
        .into_iter()
        .filter(|slow| is_selected(&slow.to_string()))
    {
        for (name, strategy) in &strategies {
            let simulate = |seed| {
                run(Plan {
                    seed,
                    length: LENGTH,
                    slow,
                    stalls: false,
                    strategy: strategy.clone(),
                })
            };
            line(name, slow, &[simulate(1), simulate(2)]);
        }
    }
    for (name, strategy) in [&strategies[1], &strategies[2], &strategies[3]]
        .into_iter()
        .filter(|_| is_selected("stalls"))
    {
        let simulate = |seed| {
            run(Plan {
                seed,
                length: 2.0 * LENGTH,
                slow: 0,
                stalls: true,
                strategy: strategy.clone(),
            })
        };
        line(
            &format!("{name}, forwarders stall"),
            0,
            &[simulate(1), simulate(2), simulate(3)],
        );
    }
}
