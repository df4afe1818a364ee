//! Random fault injection. `PLANKHILL_SEEDS=40` runs that many additional seeds; a failure prints its seed and steps.

use plankhill_process_tests::*;
use rstest::rstest;

const STEPS: usize = 14;
/// First of the additional seeds.
const FIRST_ADDITIONAL_SEED: u64 = 1_000;

fn run(mut cluster: Cluster, mut injector: FaultInjector, seed: u64) {
    let load = cluster.load(seed, 6);
    for _ in 0..STEPS {
        injector.step(&mut cluster);
        load.wait_for_accepted(10);
    }
    injector.revert_all(&mut cluster);
    load.wait_for_accepted(30);
    load.stop();
    cluster.check_invariants();
}

fn standalone(seed: u64) {
    run(
        Cluster::started(3),
        FaultInjector::new(seed, 3, 2, false),
        seed,
    );
}

#[rstest]
fn standalone_forwarders_violate_no_invariant_under_random_faults(#[values(1, 2, 3, 4)] seed: u64) {
    standalone(seed);
}

/// Allows one fault at a time, since the replicas do not tolerate the loss of two machines at once.
fn replicated(seed: u64) {
    run(
        Cluster::replicated(3),
        FaultInjector::new(seed, 3, 1, true),
        seed,
    );
}

#[rstest]
fn replicated_instances_violate_no_invariant_under_random_faults(#[values(1, 2, 3)] seed: u64) {
    replicated(seed);
}

#[rstest]
#[case(standalone)]
#[case(replicated)]
fn additional_seeds_violate_no_invariant(#[case] run_seed: fn(u64)) {
    let count =
        std::env::var("PLANKHILL_SEEDS").map_or(0, |number| number.parse().expect("a number"));
    (FIRST_ADDITIONAL_SEED..FIRST_ADDITIONAL_SEED + count).for_each(run_seed);
}
