//! Compares the decisions of the dispatcher, and of the decision module that it uses, with those
//! recorded as digests in `digests.txt`: which request is sent to which target at what time, and
//! how it ends.
//!
//! A line of the file consists of the name of a simulation, its seed, the number of lines of its
//! transcript, and their digest. Tables change by one target at a time: if several targets are
//! removed at once, the dispatcher processes them in the order of a hash map, which differs from
//! run to run.
//!
//! The simulations use their own random number generators. Like the dispatcher, they use the
//! logarithm and the power of two of the platform's mathematics library: another library may round
//! the last digit differently.

#[path = "../common/mod.rs"]
mod common;
mod faults;
#[path = "../fleet/simulation/mod.rs"]
mod fleet;
#[path = "../properties/model.rs"]
mod properties;

use arbtest::arbitrary::Unstructured;
use common::Transcript;
use fleet::Fleet;
use properties::Relisting;

const EXPECTED: &str = include_str!("digests.txt");

/// Checks that the digests of one simulation are those in the file.
fn compare(simulation: &str, seeds: std::ops::Range<u64>, run: impl Fn(u64) -> Transcript) {
    let expected: Vec<&str> = EXPECTED
        .lines()
        .filter(|line| line.split(' ').next() == Some(simulation))
        .collect();
    let actual: Vec<String> = seeds
        .map(|seed| format!("{simulation} {seed} {}", run(seed).summary()))
        .collect();
    for line in &actual {
        println!("{line}");
    }
    assert_eq!(actual, expected);
}

/// A step of splitmix64.
fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn run_fleet(mut fleet: Fleet, seed: u64, rate: f64, seconds: f64) -> Transcript {
    fleet = fleet.with_seed(splitmix64(seed));
    fleet.transcript = Some(Transcript::new());
    fleet.run(rate, seconds);
    fleet.transcript.expect("set above")
}

#[test]
fn services_below_their_capacity() {
    compare("plain", 0..40, |seed| {
        run_fleet(Fleet::new(6, 11, 6, 24, 60.0), seed, 660.0, 4.0)
    });
}

#[test]
fn services_beyond_their_capacity() {
    compare("overload", 0..40, |seed| {
        run_fleet(Fleet::new(6, 11, 6, 24, 60.0), seed, 1_650.0, 0.5)
    });
}

#[test]
fn prompts_with_shared_parts() {
    compare("prompts", 0..40, |seed| {
        let mut fleet = Fleet::new(6, 18, 32, 96, 300.0);
        fleet.shared_prefix_count = Some(6);
        run_fleet(fleet, seed, 200.0, 8.0)
    });
}

#[test]
fn prompts_with_shared_parts_at_many_proxies() {
    compare("many-proxies", 0..8, |seed| {
        let mut fleet = Fleet::new(77, 60, 24, 72, 300.0);
        fleet.shared_prefix_count = Some(6);
        run_fleet(fleet, seed, 346.0, 6.0)
    });
}

#[test]
fn random_requests_and_outcomes() {
    compare("any", 0..200, |seed| {
        let bytes: Vec<u8> = (0..250u64)
            .flat_map(|at| splitmix64(splitmix64(seed) ^ at).to_le_bytes())
            .collect();
        let mut input = Unstructured::new(&bytes);
        let mut model = properties::Model::new();
        model.relisting = Relisting::OneByOne;
        model.proxy.transcript = Some(Transcript::new());
        for _ in 0..60 {
            model
                .step(&mut input)
                .expect("reads beyond the last byte return zeros");
        }
        model.finish();
        model.proxy.transcript.take().expect("set above")
    });
}

#[test]
fn targets_with_faults() {
    compare("faults", 0..40, faults::run);
}
