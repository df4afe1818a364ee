//! What a commit costs: proposals a second and the time from the order to `Committed`, on the loopback, every
//! instance in this process with a folder of its own under the temporary one. `cargo bench -p plankhill-raft-groups`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use plankhill_raft_groups::GroupRequest;

#[allow(dead_code)]
#[path = "../tests/cluster/mod.rs"]
mod cluster;

use cluster::Cluster;

const SPAN: Duration = Duration::from_secs(4);

fn main() {
    println!("voters  at once  bytes  a second  p50 ms  p99 ms  worst ms");
    for voters in [3, 5] {
        for (at_once, bytes) in [(1, 1000), (16, 1000), (256, 1000), (16, 64_000)] {
            measure(voters, at_once, bytes);
        }
    }
    heirs();
}

/// From the owner's end to the heir's lead, with the spans that a fleet file has by default.
fn heirs() {
    let mut times = Vec::new();
    for _ in 0..15 {
        let mut all = Cluster::timed(3, "", "[copies]\nkeepers = 2\n");
        let group = all.record(0);
        all.commit(0, group, 1, vec![1; 1000]);
        all.stop(0);
        let ended = Instant::now();
        all.until("an heir leads", |all| cluster::leader(all, group).is_some());
        times.push(ended.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    println!(
        "heir after, ms: least {:.0}, median {:.0}, most {:.0}",
        times[0], times[7], times[14]
    );
}

fn measure(voters: usize, at_once: usize, bytes: usize) {
    let copies = format!(
        "[copies]\nkeepers = {}\nmemory_mb = 100000\ndisk_mb = 100000\n",
        voters - 1
    );
    let mut all = Cluster::new(voters, &copies);
    let group = all.record(0);
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds in order");
    let mut out: BTreeMap<u64, Instant> = BTreeMap::new();
    let (mut number, begun) = (0, Instant::now());
    while begun.elapsed() < SPAN || !out.is_empty() {
        while out.len() < at_once && begun.elapsed() < SPAN {
            number += 1;
            // Ended now and then: what is kept stays small, as a record does.
            let command = if number % 64 == 0 {
                b"end".to_vec()
            } else {
                vec![1; bytes]
            };
            out.insert(number, Instant::now());
            assert!(all
                .at(0)
                .handle
                .try_request(GroupRequest::Propose {
                    group,
                    number,
                    command
                })
                .is_ok());
        }
        all.pump();
        for (_, number) in std::mem::take(&mut all.at(0).heard.committed) {
            if let Some(began) = out.remove(&number) {
                times.saturating_record(began.elapsed().as_micros() as u64);
            }
        }
        assert!(all.at(0).heard.void.is_empty(), "one was refused");
        std::thread::yield_now();
    }
    let ms = |micros: u64| micros as f64 / 1e3;
    println!(
        "{voters:6}  {at_once:7}  {bytes:5}  {:8.0}  {:6.2}  {:6.2}  {:8.1}",
        times.len() as f64 / SPAN.as_secs_f64(),
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        ms(times.max()),
    );
}
