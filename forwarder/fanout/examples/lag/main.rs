//! Lag of broadcasts, simulated: the decision module and the stations as they are, in virtual time, with
//! subscribers of which some turn slow after a minute. `docs/fanout.md` has the tables.
//!
//!     cargo run --release -p plankhill-fanout --example lag [0|2|10|40|stalls]
//!
//! A number of slow ones alone, or the day on which forwarders stall; all of it takes half an hour of a core.

mod instance;
mod plan;
mod simulation;

use hdrhistogram::Histogram;
use plan::{Plan, Result, Way};
use simulation::play;

const LENGTH: f64 = 240_000.0;

fn ms(of: &Histogram<u64>, share: f64) -> f64 {
    of.value_at_quantile(share) as f64 / 10.0
}

fn line(name: &str, slow: u64, results: &[Result]) {
    let mut all = results[0].healthy.0.clone();
    let mut settled = results[0].settled.0.clone();
    for result in &results[1..] {
        all.add(&result.healthy.0).expect("the same bounds");
        settled.add(&result.settled.0).expect("the same bounds");
    }
    let sum = |of: fn(&Result) -> u64| results.iter().map(of).sum::<u64>();
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
    let way = |cohorts, slow_cohorts, window, slow_window| Way {
        cohorts,
        slow_cohorts,
        window,
        slow_window,
    };
    let ways = [
        ("all at once", way(4, 0, 64, 64)),
        ("window of 2", way(4, 0, 2, 2)),
        ("regrouped, shared, 2 and 8", way(4, 1, 2, 8)),
        ("regrouped, apart, 2 and 8", way(3, 1, 2, 8)),
        ("regrouped, apart, all at once", way(3, 1, 64, 64)),
    ];
    println!("| slow | way | p50 | p99 | settled p50 | settled p99 | healthy not completed | slow completed | found | median, last | moves | false verdicts | false moves | cohorts |");
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let asked = std::env::args().nth(1);
    let plays = |what: &str| asked.as_deref().is_none_or(|asked| asked == what);
    for slow in [0, 2, 10, 40]
        .into_iter()
        .filter(|slow| plays(&slow.to_string()))
    {
        for (name, way) in &ways {
            let day = |seed| {
                play(Plan {
                    seed,
                    length: LENGTH,
                    slow,
                    stalls: false,
                    way: way.clone(),
                })
            };
            line(name, slow, &[day(1), day(2)]);
        }
    }
    for (name, way) in [&ways[1], &ways[2], &ways[3]]
        .into_iter()
        .filter(|_| plays("stalls"))
    {
        let day = |seed| {
            play(Plan {
                seed,
                length: 2.0 * LENGTH,
                slow: 0,
                stalls: true,
                way: way.clone(),
            })
        };
        line(
            &format!("{name}, forwarders stall"),
            0,
            &[day(1), day(2), day(3)],
        );
    }
}
