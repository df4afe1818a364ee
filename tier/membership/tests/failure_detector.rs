//! Failure detectors in a simulated world.

mod world;

use std::time::Duration;

use world::{Health, World};

/// Two different machines have to report within this time.
const WINDOW: Duration = Duration::from_secs(3);
const SEEDS: u64 = 200;
const MACHINES: usize = 8;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_failed_machine_is_suspected_in_time() {
    for seed in 0..SEEDS {
        let mut world = World::new(MACHINES, seed);
        let gone = world.node(seed as usize % MACHINES);
        world.run_until(seconds(5));
        world.health.insert(gone.clone(), Health::Failed);
        world.run_until(seconds(12));
        if world.detectors_of(&gone) < 2 {
            continue;
        }
        let found = world
            .found(&gone, WINDOW)
            .unwrap_or_else(|| panic!("seed {seed}: not found"));
        assert!(
            found < seconds(5) + Duration::from_millis(2_600),
            "seed {seed}: after {found:?}"
        );
        assert!(
            world.reports.iter().all(|report| report.about == gone),
            "seed {seed}"
        );
    }
}

#[test]
fn packet_loss_causes_no_false_suspicion() {
    for seed in 0..SEEDS {
        let mut world = World::new(MACHINES, seed);
        world.loss = 20;
        world.run_until(seconds(120));
        for number in 0..MACHINES {
            assert_eq!(
                world.found(&world.node(number), WINDOW),
                None,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn a_slow_machine_is_not_suspected() {
    for seed in 0..SEEDS {
        let mut world = World::new(MACHINES, seed);
        world.loss = 5;
        let slow = world.node(0);
        world.health.insert(slow.clone(), Health::Slow);
        world.run_until(seconds(60));
        for number in 0..MACHINES {
            assert_eq!(
                world.found(&world.node(number), WINDOW),
                None,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn a_machine_that_resumes_after_a_freeze_suspects_nobody() {
    for seed in 0..SEEDS {
        let mut world = World::new(MACHINES, seed);
        let frozen = world.node(0);
        world.run_until(seconds(5));
        world
            .health
            .insert(frozen.clone(), Health::Frozen(seconds(9)));
        world.run_until(seconds(20));
        assert!(
            world.reports.iter().all(|report| report.by != frozen),
            "seed {seed}"
        );
        assert!(
            world.reports.iter().all(|report| report.about == frozen),
            "seed {seed}"
        );
        assert!(
            world.reports.iter().all(|report| report.at < seconds(11)),
            "seed {seed}"
        );
    }
}

#[test]
fn an_isolated_machine_suspects_nobody() {
    for seed in 0..SEEDS {
        let mut world = World::new(MACHINES, seed);
        world.run_until(seconds(5));
        for number in 1..MACHINES {
            world.health.insert(world.node(number), Health::Failed);
        }
        world.run_until(seconds(5) + Duration::from_millis(2_500));
        let before = world.reports.len();
        world.run_until(seconds(30));
        assert_eq!(world.reports.len(), before, "seed {seed}");
    }
}

/// Probes and answers together: two datagrams a period and machine.
#[test]
fn the_rate_of_datagrams_is_bounded() {
    let mut world = World::new(MACHINES, 1);
    world.run_until(seconds(60));
    assert!(world.sent <= 60 * 4 * MACHINES as u64, "{}", world.sent);
}
