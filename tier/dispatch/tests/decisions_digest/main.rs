//! The decisions of the dispatcher, and of the decision module beneath it, as they were when the
//! digests in `digests.txt` were taken: which request went to which target at what time, and how it
//! ended.
//!
//! A line of the file is the name of a world, its seed, the number of lines of its transcript, and
//! their digest. Tables change by one target at a time: where several go at once the dispatcher
//! takes them in the order of a hash map, which differs from run to run.
//!
//! The worlds draw with a generator of their own. They use the logarithm and the power of two of
//! the platform's mathematics library, as the dispatcher does: another library may round a last
//! digit otherwise.

#[path = "../common/mod.rs"]
mod common;
mod faults;
#[path = "../fleet/world/mod.rs"]
mod fleet;
#[path = "../properties/world.rs"]
mod properties;

use arbtest::arbitrary::Unstructured;
use common::Transcript;
use fleet::Fleet;
use properties::Relisting;

const EXPECTED: &str = include_str!("digests.txt");

/// The digests that the file holds for one world must be those that come out now.
fn compare(world: &str, seeds: std::ops::Range<u64>, run: impl Fn(u64) -> Transcript) {
    let expected: Vec<&str> = EXPECTED
        .lines()
        .filter(|line| line.split(' ').next() == Some(world))
        .collect();
    let found: Vec<String> = seeds
        .map(|seed| format!("{world} {seed} {}", run(seed).summary()))
        .collect();
    for line in &found {
        println!("{line}");
    }
    assert_eq!(found, expected);
}

/// A step of splitmix64.
fn mixed(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn run_fleet(mut fleet: Fleet, seed: u64, rate: f64, seconds: f64) -> Transcript {
    fleet = fleet.seeded(mixed(seed));
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
        fleet.subjects = Some(6);
        run_fleet(fleet, seed, 200.0, 8.0)
    });
}

#[test]
fn prompts_with_shared_parts_at_many_proxies() {
    compare("many-proxies", 0..8, |seed| {
        let mut fleet = Fleet::new(77, 60, 24, 72, 300.0);
        fleet.subjects = Some(6);
        run_fleet(fleet, seed, 346.0, 6.0)
    });
}

#[test]
fn any_requests_and_ends() {
    compare("any", 0..200, |seed| {
        let bytes: Vec<u8> = (0..250u64)
            .flat_map(|at| mixed(mixed(seed) ^ at).to_le_bytes())
            .collect();
        let mut draws = Unstructured::new(&bytes);
        let mut world = properties::World::new();
        world.relisting = Relisting::OneByOne;
        world.proxy.transcript = Some(Transcript::new());
        for _ in 0..60 {
            world
                .step(&mut draws)
                .expect("bytes suffice, and where they do not, zeros follow");
        }
        world.finish();
        world.proxy.transcript.take().expect("set above")
    });
}

#[test]
fn targets_with_faults() {
    compare("faults", 0..40, faults::run);
}
