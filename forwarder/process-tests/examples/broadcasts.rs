//! Benchmark of broadcasts: three processes on loopback, two destinations that answer after 5 ms, and one client that
//! submits a broadcast every 50 ms (or the interval in the argument) to each instance in turn. Prints the time to the
//! 202 and the time from the 202 to the last delivery. `cargo run --release -p plankhill-process-tests --example broadcasts [ms]`

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use plankhill_process_tests::*;

const BROADCASTS: usize = 400;
/// Number of initial broadcasts that are not measured, while cohorts are assigned to instances.
const WARM_UP_BROADCASTS: usize = 100;

fn main() {
    let interval_ms = std::env::args()
        .nth(1)
        .map_or(50, |ms| ms.parse().expect("milliseconds"));
    let cluster = Cluster::broadcasting(3);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(5)));
    let mut accepted = HashMap::new();
    let mut answers =
        Histogram::<u64>::new_with_max(60_000_000, 3).expect("valid histogram bounds");
    for number in 0..WARM_UP_BROADCASTS + BROADCASTS {
        std::thread::sleep(Duration::from_millis(interval_ms));
        let (id, started_at) = (format!("m{number}"), cluster.trace.now());
        if cluster.broadcast(number % 3, "job", &id, None) == Answer::Accepted
            && number >= WARM_UP_BROADCASTS
        {
            answers.saturating_record(((cluster.trace.now() - started_at) * 1000.0) as u64);
            accepted.insert(id, cluster.trace.now());
        }
    }
    accepted
        .keys()
        .for_each(|id| cluster.wait_until_completed(id));
    let all = cluster.trace.records();
    let (ids, mut calls, mut last) = (cluster.trace.event_ids(), HashMap::new(), HashMap::new());
    for (at, record) in all {
        match record {
            TraceRecord::CallStarted { call, event, .. } => drop(calls.insert(call, event)),
            TraceRecord::CallAnswered { call, status: 200 } => {
                let broadcast = ids[&calls[&call]]
                    .split('~')
                    .next()
                    .unwrap_or_default()
                    .to_owned();
                last.insert(broadcast, at);
            }
            _ => (),
        }
    }
    let mut delivery_delays =
        Histogram::<u64>::new_with_max(60_000_000, 3).expect("valid histogram bounds");
    for (id, at) in &accepted {
        delivery_delays.saturating_record(((last[id] - at).max(0.0) * 1000.0) as u64);
    }
    for (name, all) in [
        ("to 202", answers),
        ("from 202 to the last delivery", delivery_delays),
    ] {
        let of = |share| all.value_at_quantile(share) as f64 / 1000.0;
        println!(
            "{name}: p50 {:.1} ms, p99 {:.1} ms, worst {:.1} ms, {} broadcasts",
            of(0.5),
            of(0.99),
            of(1.0),
            all.len()
        );
    }
}
