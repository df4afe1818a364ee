//! Measures the cost of a commit: proposals per second and the time from the request to `Committed`, over loopback,
//! with all instances in this process, each with its own temporary folder. Run with `cargo bench -p
//! plankhill-raft-groups`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use plankhill_raft_groups::GroupRequest;

#[allow(dead_code)]
#[path = "../tests/cluster/mod.rs"]
mod cluster;

use cluster::Cluster;

const DURATION: Duration = Duration::from_secs(4);

fn main() {
    println!("voters  at once  bytes   per sec  p50 ms  p99 ms    max ms");
    for voters in [3, 5] {
        for (concurrency, bytes) in [(1, 1000), (16, 1000), (256, 1000), (16, 64_000)] {
            measure(voters, concurrency, bytes);
        }
    }
    failover();
}

/// Measures the time from the owner's stop to the successor's election, with the default timing of a fleet file.
fn failover() {
    let mut times = Vec::new();
    for _ in 0..15 {
        let mut cluster = Cluster::with_timing(3, "", "[copies]\nkeepers = 2\n");
        let group = cluster.found_event_log(0);
        cluster.commit(0, group, 1, vec![1; 1000]);
        cluster.stop(0);
        let ended = Instant::now();
        cluster.wait_until("a successor leads", |cluster| {
            cluster::leader(cluster, group).is_some()
        });
        times.push(ended.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    println!(
        "failover, ms: min {:.0}, median {:.0}, max {:.0}",
        times[0], times[7], times[14]
    );
}

fn measure(voters: usize, concurrency: usize, bytes: usize) {
    let replication = format!(
        "[copies]\nkeepers = {}\nmemory_mb = 100000\ndisk_mb = 100000\n",
        voters - 1
    );
    let mut cluster = Cluster::new(voters, &replication);
    let group = cluster.found_event_log(0);
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds in order");
    let mut in_flight: BTreeMap<u64, Instant> = BTreeMap::new();
    let (mut number, started_at) = (0, Instant::now());
    while started_at.elapsed() < DURATION || !in_flight.is_empty() {
        while in_flight.len() < concurrency && started_at.elapsed() < DURATION {
            number += 1;
            // The data is cleared regularly, so that the state stays small, as in a real event log.
            let command = if number % 64 == 0 {
                b"end".to_vec()
            } else {
                vec![1; bytes]
            };
            in_flight.insert(number, Instant::now());
            assert!(cluster
                .instance(0)
                .handle
                .try_request(GroupRequest::Propose {
                    group,
                    number,
                    command
                })
                .is_ok());
        }
        cluster.receive_events();
        for (_, number) in std::mem::take(&mut cluster.instance(0).observed.committed) {
            if let Some(proposed_at) = in_flight.remove(&number) {
                times.saturating_record(proposed_at.elapsed().as_micros() as u64);
            }
        }
        assert!(
            cluster.instance(0).observed.discarded.is_empty(),
            "a proposal was discarded"
        );
        std::thread::yield_now();
    }
    let ms = |micros: u64| micros as f64 / 1e3;
    println!(
        "{voters:6}  {concurrency:7}  {bytes:5}  {:8.0}  {:6.2}  {:6.2}  {:8.1}",
        times.len() as f64 / DURATION.as_secs_f64(),
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        ms(times.max()),
    );
}
