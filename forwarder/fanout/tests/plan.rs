//! The plan's bounds, for random fleets, lags and losses.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::*;
use plankhill_decisions::interface::DestinationId;
use plankhill_fanout::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
struct Scenario {
    subscribers: u64,
    cohorts: u32,
    slow_cohorts: u32,
    instances: u64,
    at_once: usize,
    a_minute: usize,
    slow: BTreeSet<u64>,
    /// The round at which an instance is lost, for 30 rounds, and the index of that instance.
    lost: (u64, u64),
    /// The number of rounds by which reports of ends are delayed.
    report_delay: u64,
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let fleet = (4u64..40, 1u32..6, 1u32..3, 1u64..6);
    let bounds = (1usize..5, 1usize..8);
    let slow = prop::collection::btree_set(0u64..40, 0..12);
    (fleet, bounds, slow, (20u64..60, 0u64..6), 0u64..3).prop_map(
        |(fleet, bounds, slow, lost, report_delay)| {
            let (subscribers, cohorts, slow_cohorts, instances) = fleet;
            let (at_once, a_minute) = bounds;
            Scenario {
                subscribers,
                cohorts,
                slow_cohorts,
                instances,
                at_once,
                a_minute,
                slow,
                lost,
                report_delay,
            }
        },
    )
}

fn is_lost(scenario: &Scenario, number: u64, id: InstanceId) -> bool {
    scenario.instances > 1
        && id.0 == scenario.lost.1 % scenario.instances
        && (0..30).contains(&(number as i64 - scenario.lost.0 as i64))
}

fn start(scenario: &Scenario) -> FanoutState {
    let mut layout_with_bounds = layout(
        scenario.subscribers,
        scenario.cohorts,
        scenario.slow_cohorts,
    );
    (
        layout_with_bounds.bounds.moves_at_once,
        layout_with_bounds.bounds.moves_a_minute,
    ) = (scenario.at_once, scenario.a_minute);
    let mut fanout = FanoutState::default();
    fanout.apply(Command::Laid(layout_with_bounds));
    (0..scenario.instances).for_each(|id| {
        drop(fanout.apply(Command::Started {
            by: InstanceId(id),
            process: 1,
        }))
    });
    fanout
}

/// Plays one round: a broadcast is accepted, its copies are delivered by the instances that have them, and
/// losses are reported.
fn play_round(
    fanout: &mut FanoutState,
    scenario: &Scenario,
    number: u64,
    delayed: &mut VecDeque<(u64, Command)>,
) {
    submit_broadcast(fanout, number);
    for by in (0..scenario.instances).map(InstanceId) {
        if is_lost(scenario, number, by) {
            fanout.apply(Command::Lost(by));
            continue;
        }
        fanout.apply(Command::Joined(by));
        let effects = fanout.apply(Command::Spread {
            by,
            process: 1,
            ticket: number,
        });
        let own = |s: Subscriber| {
            if scenario.slow.contains(&s.0) {
                2000.0
            } else {
                30.0
            }
        };
        let ends = copies_to_deliver(&effects, by)
            .into_iter()
            .map(|copy| end(copy, own(copy.0)))
            .collect();
        delayed.push_back((
            number + scenario.report_delay,
            Command::Ended {
                by,
                process: 1,
                ends,
            },
        ));
    }
    while delayed.front().is_some_and(|(at, _)| *at <= number) {
        delayed
            .pop_front()
            .map(|(_, command)| fanout.apply(command));
    }
    fanout.apply(Command::Tick);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn moves_stay_within_bounds_and_go_to_permitted_cohorts(scenario in scenarios()) {
        let mut fanout = start(&scenario);
        let mut delayed = VecDeque::new();
        let mut begun: Vec<u64> = Vec::new();
        for number in 1..=120 {
            play_round(&mut fanout, &scenario, number, &mut delayed);
            let plan = fanout.plan();
            let moves: Vec<_> = plan.iter().filter(|c| matches!(c, Command::Moved { .. })).collect();
            prop_assert!(moves.len() + fanout.moving_count() <= scenario.at_once.max(fanout.moving_count()));
            let mut moved = BTreeSet::new();
            for command in &plan {
                if let Command::Moved { subscriber, from, to } = command {
                    prop_assert!(moved.insert(*subscriber), "a subscriber moves twice");
                    prop_assert_eq!(fanout.cohort(*subscriber), Some(*from));
                    let (by, slow) = fanout.cohort_server(*to).unwrap();
                    prop_assert!(!is_lost(&scenario, number, by.unwrap()));
                    prop_assert!(!fanout.at_fault(by.unwrap()).unwrap().3);
                    prop_assert_eq!(slow, matches!(fanout.judged(*subscriber), Judged::Slow(_)));
                    prop_assert!(scenario.slow.contains(&subscriber.0), "a subscriber that keeps up moves");
                }
            }
            // Proposed twice, by a leader that did not see the first proposal applied, the commands count
            // once.
            for command in plan.iter().chain(&plan) {
                let before: Vec<_> = (0..scenario.subscribers).map(|s| fanout.cohort(DestinationId(s))).collect();
                fanout.apply(command.clone());
                let after = (0..scenario.subscribers).map(|s| fanout.cohort(DestinationId(s)));
                let changed = before.iter().zip(after).filter(|(b, a)| **b != *a).count();
                begun.extend(std::iter::repeat_n(number, changed));
            }
            prop_assert!(begun.iter().filter(|at| *at + 60 > number).count() <= scenario.a_minute);
        }
    }

    #[test]
    fn the_log_keeps_the_bounds_whatever_is_proposed(
        scenario in scenarios(),
        proposed in prop::collection::vec((0u64..40, 0u32..8, 0u32..8), 1..200),
    ) {
        let mut fanout = start(&scenario);
        fanout.plan().into_iter().for_each(|command| drop(fanout.apply(command)));
        submit_broadcast(&mut fanout, 1);
        (0..scenario.instances).for_each(|by| {
            fanout.apply(Command::Spread { by: InstanceId(by), process: 1, ticket: 1 });
        });
        for (subscriber, from, to) in proposed {
            let subscriber = DestinationId(subscriber);
            let (from, to) = (Cohort(from), Cohort(to));
            fanout.apply(Command::Moved { subscriber, from, to });
            prop_assert!(fanout.moving_count() <= scenario.at_once);
            for s in (0..scenario.subscribers).map(DestinationId) {
                prop_assert!(fanout.server(s).is_some(), "{s:?} has no server");
            }
        }
    }

    #[test]
    fn an_applied_plan_converges(scenario in scenarios()) {
        let mut fanout = start(&scenario);
        let mut planned = 0;
        for _ in 0..20 {
            let plan = fanout.plan();
            planned += plan.len();
            plan.into_iter().for_each(|command| drop(fanout.apply(command)));
        }
        prop_assert_eq!(fanout.plan(), []);
        prop_assert!(planned <= 2 * (scenario.cohorts + scenario.slow_cohorts) as usize);
    }
}
