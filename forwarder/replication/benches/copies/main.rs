//! What copies cost, on loopback, side by side: events a second, how long a 202 takes, bytes for each event,
//! and the time from SIGKILL to the heir's first send. Built forwarders are started as processes:
//! `cargo build --release && cargo bench -p plankhill-replication -- [seconds] [clients of each] [forwarders ...]`.

mod fleet;
mod load;
mod target;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Fleet;

/// Forwarders that serve, and keepers of each record; none: copies off.
const CASES: [Option<usize>; 3] = [None, Some(2), Some(4)];

fn main() {
    let mut numbers = std::env::args().filter_map(|word| word.parse::<usize>().ok());
    let seconds = numbers.next().unwrap_or(5) as u64;
    // Each has one event under way.
    let clients = numbers.next().unwrap_or(32);
    let mut sizes: Vec<usize> = numbers.collect();
    if sizes.is_empty() {
        sizes = vec![1, 10];
    }
    println!("| forwarders | clients of each | copies | events/s | 202 p50 ms | p99 ms | worst ms | at the target p50 ms | p99 ms | bytes/event on loopback | packets/event | refused | CPU us/event, all processes |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for serving in sizes {
        // Off and on in turn, so that what else the machine does meets both.
        for _ in 0..2 {
            for keepers in CASES {
                costs(serving, clients, keepers, Duration::from_secs(seconds));
            }
        }
    }
    println!(
        "\n| keepers | from SIGKILL to the heir's first send, ms, five times |\n| --- | --- |"
    );
    for keepers in [2, 4] {
        let times: Vec<String> = (0..5)
            .map(|_| format!("{:.0}", inherits(keepers)))
            .collect();
        println!("| {keepers} | {} |", times.join(", "));
    }
}

fn costs(serving: usize, clients: usize, keepers: Option<usize>, span: Duration) {
    let target = target::Target::start(Duration::ZERO);
    // Keepers that serve nobody make up a fleet too small for its groups.
    let all = serving.max(keepers.map_or(0, |keepers| keepers + 1));
    let fleet = Fleet::start(all, keepers, target.address, 64);
    let addresses: Vec<_> = fleet.addresses().take(serving).collect();
    load::run(
        &addresses,
        clients,
        Duration::from_millis(500),
        "warm",
        &target.came,
    );
    let refused = load::REFUSED.load(Ordering::Relaxed);
    let worked = fleet.worked();
    let before = loopback();
    let done = load::run(&addresses, clients, span, "e", &target.came);
    let (after, worked) = (loopback(), fleet.worked() - worked);
    let events = done.came.len() as f64;
    let ms = |value: u64| value as f64 / 1000.0;
    println!(
        "| {serving} | {clients} | {} | {:.0} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.0} | {:.1} | {} | {:.0} |",
        keepers.map_or("off".to_owned(), |keepers| format!("groups of {}", keepers + 1)),
        events / span.as_secs_f64(),
        ms(done.taken.value_at_quantile(0.5)),
        ms(done.taken.value_at_quantile(0.99)),
        ms(done.taken.max()),
        ms(done.came.value_at_quantile(0.5)),
        ms(done.came.value_at_quantile(0.99)),
        (after.0 - before.0) as f64 / events,
        (after.1 - before.1) as f64 / events,
        load::REFUSED.load(Ordering::Relaxed) - refused,
        worked / events,
    );
}

/// Bytes and packets that went over loopback so far: of all that the machine does.
fn loopback() -> (u64, u64) {
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

/// An owner with a backlog is killed; when does the target see one of it from another?
fn inherits(keepers: usize) -> f64 {
    let target = target::Target::start(Duration::from_millis(150));
    let mut fleet = Fleet::start(keepers + 1, Some(keepers), target.address, 4);
    let owner = fleet.addresses().next().expect("some");
    load::hand_in(owner, 200, "owed");
    let dead = fleet.kill(0);
    // What its calls still bring is of the old owner; the heir's come on connections made after.
    target.first_call_on_a_connection_after(dead).as_secs_f64() * 1000.0
}
