//! Detection of slow subscribers, and the figures of the verdicts.

mod common;

use common::*;
use plankhill_decisions::interface::DestinationId;
use plankhill_fanout::*;

const HEALTHY: f64 = 40.0;

fn one_slow(slow: u64, own: f64) -> impl Fn(Subscriber, InstanceId) -> f64 {
    move |s, _| if s.0 == slow { own } else { HEALTHY }
}

fn rounds(
    fanout: &mut FanoutState,
    from: u64,
    count: u64,
    own: impl Fn(Subscriber, InstanceId) -> f64,
) -> u64 {
    (from..from + count).for_each(|n| round(fanout, n, &own));
    from + count
}

/// Applies the plan as the leader does; returns the number of moves.
fn apply_plan(fanout: &mut FanoutState) -> usize {
    let moves = fanout.plan();
    let count = moves
        .iter()
        .filter(|c| matches!(c, Command::Moved { .. }))
        .count();
    moves.into_iter().for_each(|c| drop(fanout.apply(c)));
    count
}

#[test]
fn a_lagging_subscriber_is_found_and_the_verdict_has_its_figures() {
    let mut fanout = fleet(24, 3);
    let next = rounds(&mut fanout, 1, 30, one_slow(4, HEALTHY));
    assert_eq!(fanout.verdicts().count(), 0);
    let mut found = 0;
    while fanout.judged(DestinationId(4)) == Judged::KeepsUp && found < 60 {
        rounds(&mut fanout, next + found, 1, one_slow(4, 1200.0));
        found += 1;
    }
    assert!((8..=14).contains(&found), "{found} copies");
    let Judged::Slow(figures) = fanout.judged(DestinationId(4)) else {
        panic!("not slow")
    };
    assert_eq!(figures.at, fanout.server(DestinationId(4)).unwrap());
    assert!(figures.votes >= 8.0 && figures.late >= 0.5 && figures.own > 500.0);
    assert!((figures.cohort.unwrap() - HEALTHY).abs() < 1.0);
    assert!((figures.others.unwrap() - HEALTHY).abs() < 1.0);
    assert_eq!(fanout.verdicts().count(), 1);
}

#[test]
fn between_the_two_thresholds_a_verdict_does_not_change() {
    let mut fanout = fleet(24, 3);
    let mut next = rounds(
        &mut fanout,
        1,
        200,
        |s, _| if s.0 == 4 { 0.0 } else { HEALTHY },
    );
    // Late in three of ten rounds.
    let turns = |n: u64| if n % 10 < 3 { 1200.0 } else { HEALTHY };
    for _ in 0..100 {
        next = rounds(&mut fanout, next, 1, one_slow(4, turns(next)));
        assert_eq!(fanout.judged(DestinationId(4)), Judged::KeepsUp);
    }
    next = rounds(&mut fanout, next, 20, one_slow(4, 1200.0));
    assert!(matches!(fanout.judged(DestinationId(4)), Judged::Slow(_)));
    for _ in 0..100 {
        next = rounds(&mut fanout, next, 1, one_slow(4, turns(next)));
        assert!(matches!(fanout.judged(DestinationId(4)), Judged::Slow(_)));
    }
}

#[test]
fn a_stalled_forwarder_is_at_fault_and_no_subscriber_is_judged_slow() {
    let mut fanout = fleet(24, 3);
    let stalled = InstanceId(1);
    let mut next = rounds(&mut fanout, 1, 30, one_slow(99, HEALTHY));
    next = rounds(&mut fanout, next, 30, |_, at| {
        if at == stalled {
            3000.0
        } else {
            HEALTHY
        }
    });
    assert_eq!(fanout.verdicts().count(), 0);
    let (votes, late, _, at_fault) = fanout.at_fault(stalled).unwrap();
    assert!(at_fault && late >= 0.5 && votes >= 3.0);
    assert!(!fanout.at_fault(InstanceId(0)).unwrap().3);
    assert_eq!(apply_plan(&mut fanout), 0);
    rounds(&mut fanout, next, 60, one_slow(99, HEALTHY));
    assert!(
        !fanout.at_fault(stalled).unwrap().3,
        "the verdict is lifted again"
    );
}

#[test]
fn short_stalls_that_hit_few_copies_lead_to_no_verdict() {
    let mut fanout = fleet(24, 3);
    // In every second round the forwarder stalls with some of its copies in flight, two of eight.
    for number in 1..=300 {
        round(&mut fanout, number, |s, at| {
            let hit = number % 2 == 0 && at == InstanceId(1) && (s.0 / 3 + number / 2) % 4 == 0;
            if hit {
                5000.0
            } else {
                HEALTHY
            }
        });
        assert_eq!(fanout.verdicts().count(), 0, "round {number}");
    }
}

#[test]
fn a_parked_or_cold_subscriber_is_not_judged_slow() {
    let mut fanout = fleet(24, 3);
    let subscriber = DestinationId(4);
    let by = fanout.server(subscriber).unwrap();
    fanout.apply(Command::Rests {
        by,
        subscriber,
        rests: true,
    });
    let next = rounds(&mut fanout, 1, 60, one_slow(4, 9000.0));
    assert_eq!(fanout.judged(subscriber), Judged::KeepsUp);
    fanout.apply(Command::Rests {
        by,
        subscriber,
        rests: false,
    });
    // Samples of that time do not count against the subscriber later.
    let next = rounds(&mut fanout, next, 4, one_slow(4, HEALTHY));
    assert_eq!(fanout.judged(subscriber), Judged::KeepsUp);
    rounds(&mut fanout, next, 20, one_slow(4, 9000.0));
    assert!(matches!(fanout.judged(subscriber), Judged::Slow(_)));
}

/// Guards against a false recovery: copies of a slow subscriber that are rejected unsent took none of its
/// time, and would count as fast.
#[test]
fn copies_rejected_before_any_call_are_no_sign_of_recovery() {
    let mut fanout = fleet(24, 3);
    let subscriber = DestinationId(4);
    let next = rounds(&mut fanout, 1, 30, one_slow(4, 1500.0));
    assert_eq!(apply_plan(&mut fanout), 1);
    for number in next..next + 200 {
        submit_broadcast(&mut fanout, number);
        for by in (0..4).map(InstanceId) {
            let effects = fanout.apply(Command::Spread {
                by,
                process: 1,
                ticket: number,
            });
            let given_up = |copy| CopyEnd {
                outcome: Outcome::Rejected,
                ..end(copy, 0.0)
            };
            let ends = copies_to_deliver(&effects, by).into_iter();
            let ends = ends
                .map(|c| {
                    if c.0 == subscriber {
                        given_up(c)
                    } else {
                        end(c, HEALTHY)
                    }
                })
                .collect();
            fanout.apply(Command::Ended {
                by,
                process: 1,
                ends,
            });
        }
        fanout.apply(Command::Tick);
    }
    assert!(matches!(fanout.judged(subscriber), Judged::Slow(_)));
    assert_eq!(apply_plan(&mut fanout), 0);
}

#[test]
fn a_hanging_subscriber_is_found_while_its_copies_are_in_flight() {
    let mut fanout = fleet(24, 3);
    let subscriber = DestinationId(4);
    let by = fanout.server(subscriber).unwrap();
    for number in 1..=40 {
        submit_broadcast(&mut fanout, number);
        for by in (0..4).map(InstanceId) {
            let effects = fanout.apply(Command::Spread {
                by,
                process: 1,
                ticket: number,
            });
            let (hung, ended): (Vec<_>, Vec<_>) = copies_to_deliver(&effects, by)
                .into_iter()
                .partition(|(s, _)| *s == subscriber);
            let out = hung
                .iter()
                .map(|(s, p)| (*s, *p, 1000.0))
                .collect::<Vec<_>>();
            fanout.apply(Command::StillOut {
                by,
                process: 1,
                copies: [out.clone(), out].concat(),
            });
            // The copy then ends, which is not a second vote.
            let all = ended
                .into_iter()
                .chain(hung)
                .map(|c| end(c, HEALTHY))
                .collect();
            fanout.apply(Command::Ended {
                by,
                process: 1,
                ends: all,
            });
        }
        fanout.apply(Command::Tick);
    }
    let Judged::Slow(figures) = fanout.judged(subscriber) else {
        panic!("not judged slow")
    };
    assert_eq!((figures.at, figures.late), (by, 1.0));
}

#[test]
fn slowness_at_one_forwarder_only_is_a_verdict_on_the_route() {
    let mut fanout = fleet(24, 3);
    let subscriber = DestinationId(4);
    let bad = fanout.server(subscriber).unwrap();
    let lag = move |s: Subscriber, at| {
        if s == subscriber && at == bad {
            1500.0
        } else {
            HEALTHY
        }
    };
    let mut next = rounds(&mut fanout, 1, 20, lag);
    assert_eq!(apply_plan(&mut fanout), 1);
    assert_ne!(fanout.server(subscriber), Some(bad));
    next = rounds(&mut fanout, next, 12, lag);
    let Judged::Route(figures) = fanout.judged(subscriber) else {
        panic!("no verdict on the route")
    };
    assert_eq!(figures.at, bad);
    // The subscriber returns to a cohort that keeps up, but not at that instance.
    assert_eq!(apply_plan(&mut fanout), 1);
    let cohort = fanout.cohort(subscriber).unwrap();
    assert!(!fanout.cohort_server(cohort).unwrap().1 && fanout.server(subscriber) != Some(bad));
    rounds(&mut fanout, next, 100, lag);
    assert_eq!(apply_plan(&mut fanout), 0);
}

#[test]
fn a_subscriber_returns_after_a_lasting_recovery_and_later_each_time() {
    let mut fanout = fleet(24, 3);
    let subscriber = DestinationId(4);
    let mut next = 1;
    let mut waits = Vec::new();
    for _ in 0..3 {
        next = rounds(&mut fanout, next, 40, one_slow(4, 1500.0));
        assert_eq!(apply_plan(&mut fanout), 1, "to the slow cohort");
        next = rounds(&mut fanout, next, 40, one_slow(4, 1500.0));
        let began = next;
        while apply_plan(&mut fanout) == 0 && next < began + 900 {
            next = rounds(&mut fanout, next, 1, one_slow(4, HEALTHY));
        }
        waits.push(next - began);
        assert!(
            !fanout
                .cohort_server(fanout.cohort(subscriber).unwrap())
                .unwrap()
                .1
        );
        next = rounds(&mut fanout, next, 60, one_slow(4, HEALTHY));
    }
    assert!(
        waits[0] >= 60 && waits[1] >= 120 && waits[2] >= 240,
        "{waits:?}"
    );
}
