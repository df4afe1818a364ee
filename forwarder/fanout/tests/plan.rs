//! The plan's bounds, over drawn fleets, lags and losses.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::*;
use plankhill_decisions::interface::DestinationId;
use plankhill_fanout::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
struct Day {
    subscribers: u64,
    cohorts: u32,
    slow_cohorts: u32,
    instances: u64,
    at_once: usize,
    a_minute: usize,
    slow: BTreeSet<u64>,
    /// At which round which instance goes away, and returns thirty later.
    lost: (u64, u64),
    /// Copies of movers end that many rounds late.
    lingers: u64,
}

fn days() -> impl Strategy<Value = Day> {
    let fleet = (4u64..40, 1u32..6, 1u32..3, 1u64..6);
    let bounds = (1usize..5, 1usize..8);
    let slow = prop::collection::btree_set(0u64..40, 0..12);
    (fleet, bounds, slow, (20u64..60, 0u64..6), 0u64..3).prop_map(
        |(fleet, bounds, slow, lost, lingers)| {
            let (subscribers, cohorts, slow_cohorts, instances) = fleet;
            let (at_once, a_minute) = bounds;
            Day {
                subscribers,
                cohorts,
                slow_cohorts,
                instances,
                at_once,
                a_minute,
                slow,
                lost,
                lingers,
            }
        },
    )
}

fn is_lost(day: &Day, number: u64, id: InstanceId) -> bool {
    day.instances > 1
        && id.0 == day.lost.1 % day.instances
        && (0..30).contains(&(number as i64 - day.lost.0 as i64))
}

fn start(day: &Day) -> FanoutState {
    let mut told = layout(day.subscribers, day.cohorts, day.slow_cohorts);
    (told.bounds.moves_at_once, told.bounds.moves_a_minute) = (day.at_once, day.a_minute);
    let mut fanout = FanoutState::default();
    fanout.apply(Command::Laid(told));
    (0..day.instances).for_each(|id| {
        drop(fanout.apply(Command::Started {
            by: InstanceId(id),
            process: 1,
        }))
    });
    fanout
}

/// Copies are taken, delivered by who has them, and the losses told.
fn play(fanout: &mut FanoutState, day: &Day, number: u64, late: &mut VecDeque<(u64, Command)>) {
    take(fanout, number);
    for by in (0..day.instances).map(InstanceId) {
        if is_lost(day, number, by) {
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
            if day.slow.contains(&s.0) {
                2000.0
            } else {
                30.0
            }
        };
        let ends = handed(&effects, by)
            .into_iter()
            .map(|copy| end(copy, own(copy.0)))
            .collect();
        late.push_back((
            number + day.lingers,
            Command::Ended {
                by,
                process: 1,
                ends,
            },
        ));
    }
    while late.front().is_some_and(|(at, _)| *at <= number) {
        late.pop_front().map(|(_, command)| fanout.apply(command));
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
    fn moves_are_few_and_go_where_they_may(day in days()) {
        let mut fanout = start(&day);
        let mut late = VecDeque::new();
        let mut begun: Vec<u64> = Vec::new();
        for number in 1..=120 {
            play(&mut fanout, &day, number, &mut late);
            let plan = fanout.plan();
            let moves: Vec<_> = plan.iter().filter(|c| matches!(c, Command::Moved { .. })).collect();
            prop_assert!(moves.len() + fanout.moving_count() <= day.at_once.max(fanout.moving_count()));
            let mut movers = BTreeSet::new();
            for command in &plan {
                if let Command::Moved { subscriber, from, to } = command {
                    prop_assert!(movers.insert(*subscriber), "one goes twice");
                    prop_assert_eq!(fanout.cohort(*subscriber), Some(*from));
                    let (by, slow) = fanout.serves(*to).unwrap();
                    prop_assert!(!is_lost(&day, number, by.unwrap()));
                    prop_assert!(!fanout.at_fault(by.unwrap()).unwrap().3);
                    prop_assert_eq!(slow, matches!(fanout.judged(*subscriber), Judged::Slow(_)));
                    prop_assert!(day.slow.contains(&subscriber.0), "one that keeps up goes");
                }
            }
            // Proposed twice by a leader that did not hear, they count once.
            for command in plan.iter().chain(&plan) {
                let before: Vec<_> = (0..day.subscribers).map(|s| fanout.cohort(DestinationId(s))).collect();
                fanout.apply(command.clone());
                let after = (0..day.subscribers).map(|s| fanout.cohort(DestinationId(s)));
                let changed = before.iter().zip(after).filter(|(b, a)| **b != *a).count();
                begun.extend(std::iter::repeat_n(number, changed));
            }
            prop_assert!(begun.iter().filter(|at| *at + 60 > number).count() <= day.a_minute);
        }
    }

    #[test]
    fn the_log_keeps_the_bounds_whatever_is_proposed(
        day in days(),
        proposed in prop::collection::vec((0u64..40, 0u32..8, 0u32..8), 1..200),
    ) {
        let mut fanout = start(&day);
        fanout.plan().into_iter().for_each(|command| drop(fanout.apply(command)));
        take(&mut fanout, 1);
        (0..day.instances).for_each(|by| {
            fanout.apply(Command::Spread { by: InstanceId(by), process: 1, ticket: 1 });
        });
        for (subscriber, from, to) in proposed {
            let subscriber = DestinationId(subscriber);
            let (from, to) = (Cohort(from), Cohort(to));
            fanout.apply(Command::Moved { subscriber, from, to });
            prop_assert!(fanout.moving_count() <= day.at_once);
            for s in (0..day.subscribers).map(DestinationId) {
                prop_assert!(fanout.server(s).is_some(), "{s:?} is served by nobody");
            }
        }
    }

    #[test]
    fn a_plan_that_is_carried_out_comes_to_rest(day in days()) {
        let mut fanout = start(&day);
        let mut planned = 0;
        for _ in 0..20 {
            let plan = fanout.plan();
            planned += plan.len();
            plan.into_iter().for_each(|command| drop(fanout.apply(command)));
        }
        prop_assert_eq!(fanout.plan(), []);
        prop_assert!(planned <= 2 * (day.cohorts + day.slow_cohorts) as usize);
    }
}
