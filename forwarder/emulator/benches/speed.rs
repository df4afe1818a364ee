//! Events per second of one thread, by the number of destinations and of forwarders, and the queue of
//! future steps compared with the standard library's heap. `docs/emulator.md` has the results.

#![allow(missing_docs)] // `criterion_group` generates an undocumented public function

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use plankhill_emulator::play;
use plankhill_emulator::queue::Queue;
use plankhill_emulator::random::{exponential, stream, RandomStream};
use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;

fn day(destinations: usize, forwarders: usize, decisions: &str) -> Scenario {
    let text = format!(
        r#"
about = "speed"
length = 20000.0
memory_mb = 20000.0
[forwarders]
count = {forwarders}
slots = 400
decisions = "{decisions}"
[clients]
rate = 2000.0
keys = 10000
[[traffic]]
name = "status"
effect = "retriable"
soft_limit = 1000.0
patience = 10000.0
payoff = 1.0
share = 0.7
[[traffic]]
name = "charge"
effect = "binding"
ordered = true
soft_limit = 2000.0
patience = 20000.0
payoff = 4.0
share = 0.3
[[destinations]]
name = "partners"
count = {destinations}
targets = 3
servers = 200
answer = {{ mean = 100.0 }}
"#
    );
    Scenario::read(&Text::parse("speed".into(), text).expect("TOML")).expect("right")
}

fn days(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("events of clients");
    group.sample_size(10);
    for (destinations, forwarders) in [
        (100, 3),
        (1000, 3),
        (10_000, 3),
        (100, 30),
        (1000, 30),
        (10_000, 30),
        (1000, 300),
        (10_000, 300),
    ] {
        let day = day(destinations, forwarders, "module");
        group.throughput(Throughput::Elements(play(&day).totals.events));
        let name = BenchmarkId::new(
            format!("{forwarders} forwarders"),
            format!("{destinations} destinations"),
        );
        group.bench_with_input(name, &day, |bencher, day| bencher.iter(|| play(day)));
    }
    group.finish();
}

/// The model alone: its steps with a decider that does hardly any work.
fn steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("steps of the model");
    group.sample_size(10);
    let day = day(1000, 3, "one_try");
    group.throughput(Throughput::Elements(play(&day).totals.steps));
    group.bench_function("one try", |bencher| bencher.iter(|| play(&day)));
    group.finish();
}

/// Keeps the queue at a constant length: each entry that is removed adds a new one, mostly due soon, some
/// due after a timeout.
fn queues(criterion: &mut Criterion) {
    const ROUNDS: u64 = 100_000;
    let mut group = criterion.benchmark_group("queue");
    group.throughput(Throughput::Elements(ROUNDS));
    for len in [100, 10_000, 1_000_000] {
        let mut rng = stream(1, RandomStream::Network);
        let gaps: Vec<f64> = (0..4096)
            .map(|at| {
                if at % 5 == 0 {
                    2000.0
                } else {
                    exponential(&mut rng, 50.0)
                }
            })
            .collect();
        group.bench_with_input(
            BenchmarkId::new("radix heap", len),
            &len,
            |bencher, &len| {
                let mut queue = Queue::default();
                (0..len).for_each(|at| queue.put(gaps[at % 4096], at as u64));
                bencher.iter(|| {
                    for round in 0..ROUNDS {
                        let (at, entry) = queue.pop().expect("never empty");
                        queue.put(at + gaps[(round % 4096) as usize], entry);
                    }
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("binary heap", len),
            &len,
            |bencher, &len| {
                let mut heap = BinaryHeap::new();
                let mut order = 0u64;
                for at in 0..len {
                    heap.push(Reverse((gaps[at % 4096].to_bits(), order, at as u64)));
                    order += 1;
                }
                bencher.iter(|| {
                    for round in 0..ROUNDS {
                        let Reverse((at, _, entry)) = heap.pop().expect("never empty");
                        heap.push(Reverse((
                            (f64::from_bits(at) + gaps[(round % 4096) as usize]).to_bits(),
                            order,
                            entry,
                        )));
                        order += 1;
                    }
                });
            },
        );
    }
    group.finish();
}

criterion_group!(benches, queues, steps, days);
criterion_main!(benches);
