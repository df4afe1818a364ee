//! Broadcasts on sockets: three processes on loopback, two destinations that answer after 5 ms, one client that
//! hands in a broadcast each 50 ms or as many milliseconds as it is told, at each instance in turn. Tells the time to the 202 and from it to the
//! last delivery. `cargo run --release -p plankhill-process-tests --example broadcasts [ms]`

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use plankhill_process_tests::*;

const BROADCASTS: usize = 400;
/// Those of the first seconds, in which cohorts are given to instances, do not count.
const FIRST: usize = 100;

fn main() {
    let each = std::env::args()
        .nth(1)
        .map_or(50, |ms| ms.parse().expect("milliseconds"));
    let world = World::broadcasting(3);
    world.set_targets(Manner::Answers(Duration::from_millis(5)));
    let mut taken = HashMap::new();
    let mut answers = Histogram::<u64>::new_with_max(60_000_000, 3).expect("bounds of a histogram");
    for number in 0..FIRST + BROADCASTS {
        std::thread::sleep(Duration::from_millis(each));
        let (id, before) = (format!("m{number}"), world.book.now());
        if world.broadcast(number % 3, "job", &id, None) == Answer::Taken && number >= FIRST {
            answers.saturating_record(((world.book.now() - before) * 1000.0) as u64);
            taken.insert(id, world.book.now());
        }
    }
    taken.keys().for_each(|id| world.until_ended(id));
    let all = world.book.all();
    let (ids, mut calls, mut last) = (world.book.ids(), HashMap::new(), HashMap::new());
    for (at, seen) in all {
        match seen {
            Seen::Began { call, event, .. } => drop(calls.insert(call, event)),
            Seen::Replied { call, status: 200 } => {
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
    let mut lags = Histogram::<u64>::new_with_max(60_000_000, 3).expect("bounds of a histogram");
    for (id, at) in &taken {
        lags.saturating_record(((last[id] - at).max(0.0) * 1000.0) as u64);
    }
    for (name, all) in [("to 202", answers), ("from 202 to the last delivery", lags)] {
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
