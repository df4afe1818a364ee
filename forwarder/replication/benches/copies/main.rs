//! The cost of replication, on loopback, for several numbers of replicas side by side: events per second, the
//! time to a 202, bytes for each event, and the time from SIGKILL to the successor's first send. Built
//! forwarders are started as processes:
//! `cargo build --release && cargo bench -p plankhill-replication -- [seconds] [clients of each] [forwarders ...]`.

mod fleet;
mod load;
mod target;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Fleet;

/// Instances that keep each record besides its owner; `None`: replication is off.
const CASES: [Option<usize>; 3] = [None, Some(2), Some(4)];

fn main() {
    let mut numbers = std::env::args().filter_map(|word| word.parse::<usize>().ok());
    let seconds = numbers.next().unwrap_or(5) as u64;
    // Each client has one event in flight.
    let clients = numbers.next().unwrap_or(32);
    let mut sizes: Vec<usize> = numbers.collect();
    if sizes.is_empty() {
        sizes = vec![1, 10];
    }
    println!("| forwarders | clients of each | copies | events/s | 202 p50 ms | p99 ms | worst ms | at the target p50 ms | p99 ms | bytes/event on loopback | packets/event | refused | CPU us/event, all processes |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for serving in sizes {
        // Off and on alternate, so that other load on the machine affects both.
        for _ in 0..2 {
            for keepers in CASES {
                measure_cost(serving, clients, keepers, Duration::from_secs(seconds));
            }
        }
    }
    println!(
        "\n| keepers | from SIGKILL to the successor's first send, ms, five times |\n| --- | --- |"
    );
    for keepers in [2, 4] {
        let times: Vec<String> = (0..5)
            .map(|_| format!("{:.0}", measure_takeover(keepers)))
            .collect();
        println!("| {keepers} | {} |", times.join(", "));
    }
}

fn measure_cost(serving: usize, clients: usize, keepers: Option<usize>, duration: Duration) {
    let target = target::Target::start(Duration::ZERO);
    // Further instances without clients, where the fleet would be too small for its groups.
    let all = serving.max(keepers.map_or(0, |keepers| keepers + 1));
    let fleet = Fleet::start(all, keepers, target.address, 64);
    let addresses: Vec<_> = fleet.addresses().take(serving).collect();
    load::run(
        &addresses,
        clients,
        Duration::from_millis(500),
        "warm",
        &target.arrivals,
    );
    let rejected = load::REJECTED.load(Ordering::Relaxed);
    let cpu_time = fleet.cpu_time();
    let before = loopback_counters();
    let latencies = load::run(&addresses, clients, duration, "e", &target.arrivals);
    let (after, cpu_time) = (loopback_counters(), fleet.cpu_time() - cpu_time);
    let events = latencies.arrivals.len() as f64;
    let ms = |value: u64| value as f64 / 1000.0;
    println!(
        "| {serving} | {clients} | {} | {:.0} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.0} | {:.1} | {} | {:.0} |",
        keepers.map_or("off".to_owned(), |keepers| format!("groups of {}", keepers + 1)),
        events / duration.as_secs_f64(),
        ms(latencies.accepted.value_at_quantile(0.5)),
        ms(latencies.accepted.value_at_quantile(0.99)),
        ms(latencies.accepted.max()),
        ms(latencies.arrivals.value_at_quantile(0.5)),
        ms(latencies.arrivals.value_at_quantile(0.99)),
        (after.0 - before.0) as f64 / events,
        (after.1 - before.1) as f64 / events,
        load::REJECTED.load(Ordering::Relaxed) - rejected,
        cpu_time / events,
    );
}

/// Bytes and packets that the machine has sent over loopback so far, of all its processes.
fn loopback_counters() -> (u64, u64) {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .unwrap_or_default();
    let mut fields = line
        .split_whitespace()
        .filter_map(|field| field.parse().ok());
    (fields.next().unwrap_or(0), fields.next().unwrap_or(0))
}

/// Kills an owner with a backlog and returns the time until the target gets a call from another instance, in
/// ms.
fn measure_takeover(keepers: usize) -> f64 {
    let target = target::Target::start(Duration::from_millis(150));
    let mut fleet = Fleet::start(keepers + 1, Some(keepers), target.address, 4);
    let owner = fleet.addresses().next().expect("some");
    load::submit_all(owner, 200, "owed");
    let killed_at = fleet.kill(0);
    // Calls of the old owner may still arrive; those of the successor arrive on connections that were
    // accepted later.
    target
        .first_call_on_new_connection_after(killed_at)
        .as_secs_f64()
        * 1000.0
}
