//! Tests the failure detectors in a simulation.

mod simulation;

use std::time::Duration;

use simulation::{Health, Simulation};

/// The window within which two different machines must report a failed machine.
const AGREEMENT_WINDOW: Duration = Duration::from_secs(3);
const SEEDS: u64 = 200;
const MACHINES: usize = 8;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_failed_machine_is_suspected_in_time() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(MACHINES, seed);
        let failed = simulation.node(seed as usize % MACHINES);
        simulation.run_until(seconds(5));
        simulation.health.insert(failed.clone(), Health::Failed);
        simulation.run_until(seconds(12));
        if simulation.monitor_count(&failed) < 2 {
            continue;
        }
        let detected_at = simulation
            .detected_at(&failed, AGREEMENT_WINDOW)
            .unwrap_or_else(|| panic!("seed {seed}: not detected"));
        assert!(
            detected_at < seconds(5) + Duration::from_millis(2_600),
            "seed {seed}: after {detected_at:?}"
        );
        assert!(
            simulation
                .reports
                .iter()
                .all(|report| report.about == failed),
            "seed {seed}"
        );
    }
}

#[test]
fn packet_loss_causes_no_false_suspicion() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(MACHINES, seed);
        simulation.loss_per_mille = 20;
        simulation.run_until(seconds(120));
        for number in 0..MACHINES {
            assert_eq!(
                simulation.detected_at(&simulation.node(number), AGREEMENT_WINDOW),
                None,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn a_slow_machine_is_not_suspected() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(MACHINES, seed);
        simulation.loss_per_mille = 5;
        let slow = simulation.node(0);
        simulation.health.insert(slow.clone(), Health::Slow);
        simulation.run_until(seconds(60));
        for number in 0..MACHINES {
            assert_eq!(
                simulation.detected_at(&simulation.node(number), AGREEMENT_WINDOW),
                None,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn a_machine_that_resumes_after_a_freeze_suspects_nobody() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(MACHINES, seed);
        let frozen = simulation.node(0);
        simulation.run_until(seconds(5));
        simulation
            .health
            .insert(frozen.clone(), Health::Frozen(seconds(9)));
        simulation.run_until(seconds(20));
        assert!(
            simulation.reports.iter().all(|report| report.by != frozen),
            "seed {seed}"
        );
        assert!(
            simulation
                .reports
                .iter()
                .all(|report| report.about == frozen),
            "seed {seed}"
        );
        assert!(
            simulation
                .reports
                .iter()
                .all(|report| report.at < seconds(11)),
            "seed {seed}"
        );
    }
}

#[test]
fn an_isolated_machine_suspects_nobody() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(MACHINES, seed);
        simulation.run_until(seconds(5));
        for number in 1..MACHINES {
            simulation
                .health
                .insert(simulation.node(number), Health::Failed);
        }
        simulation.run_until(seconds(5) + Duration::from_millis(2_500));
        let before = simulation.reports.len();
        simulation.run_until(seconds(30));
        assert_eq!(simulation.reports.len(), before, "seed {seed}");
    }
}

/// Each machine sends two probes per second and answers as many: on average four datagrams per
/// second and machine.
#[test]
fn the_rate_of_datagrams_is_bounded() {
    let mut simulation = Simulation::new(MACHINES, 1);
    simulation.run_until(seconds(60));
    assert!(
        simulation.datagrams_sent <= 60 * 4 * MACHINES as u64,
        "{}",
        simulation.datagrams_sent
    );
}
