//! The replicated state, driven by direct calls.

mod common;

use common::*;
use plankhill_decisions::interface::DestinationId;
use plankhill_fanout::*;
use rstest::rstest;

fn outcomes(effects: &[Effect]) -> Option<[u32; 3]> {
    effects.iter().find_map(|n| match n {
        Effect::BroadcastCompleted { outcomes, .. } => Some(*outcomes),
        _ => None,
    })
}

#[test]
fn each_subscriber_is_assigned_one_copy_however_often_commands_are_applied() {
    let mut fanout = fleet(9, 3);
    let taken = submit_broadcast(&mut fanout, 1);
    assert!(matches!(
        taken[..],
        [Effect::Accepted {
            position: Position(1),
            ..
        }]
    ));
    assert!(matches!(
        submit_broadcast(&mut fanout, 1)[..],
        [Effect::Rejected {
            reason: Rejection::Known,
            ..
        }]
    ));
    let mut all = Vec::new();
    for by in (0..4).map(InstanceId) {
        for ticket in [1, 1, 2] {
            all.extend(
                copies_to_deliver(
                    &fanout.apply(Command::Spread {
                        by,
                        process: 1,
                        ticket,
                    }),
                    by,
                )
                .into_iter()
                .map(|c| (by, c)),
            );
        }
    }
    assert_eq!(all.len(), 9);
    let (by, copy) = all.remove(0);
    let repeated = Command::Ended {
        by,
        process: 1,
        ends: vec![end(copy, 5.0), end(copy, 5.0)],
    };
    assert_eq!(fanout.apply(repeated), []);
    for (by, copy) in all.clone() {
        // From an instance that does not have the copy, the end does not count.
        fanout.apply(Command::Ended {
            by: InstanceId(99),
            process: 1,
            ends: vec![end(copy, 5.0)],
        });
        let effects = fanout.apply(Command::Ended {
            by,
            process: 1,
            ends: vec![end(copy, 5.0)],
        });
        assert_eq!(outcomes(&effects).is_some(), copy == all[7].1);
    }
    assert_eq!(fanout.broadcasts().count(), 0);
    assert!(matches!(
        submit_broadcast(&mut fanout, 1)[..],
        [Effect::Rejected { .. }]
    ));
}

#[test]
fn a_submission_counts_once_and_a_barred_one_never() {
    let mut fanout = fleet(4, 1);
    let (by, process) = (InstanceId(1), 1);
    let taken = |number, of| Command::Taken {
        by,
        process,
        number,
        broadcast: broadcast(of),
    };
    assert!(matches!(
        fanout.apply(taken(1, 1))[..],
        [Effect::Accepted { number: 1, .. }]
    ));
    assert_eq!(fanout.apply(taken(1, 1)), [], "already decided");
    let barred = Command::Barred {
        by,
        process,
        number: 1,
    };
    assert_eq!(fanout.apply(barred), [], "already accepted");
    let barred = fanout.apply(Command::Barred {
        by,
        process,
        number: 2,
    });
    assert!(matches!(
        barred[..],
        [Effect::Rejected {
            number: 2,
            reason: Rejection::Late,
            ..
        }]
    ));
    assert_eq!(
        fanout.apply(taken(2, 2)),
        [],
        "its client was told that it is rejected"
    );
    // The next submission with the same id counts.
    assert!(matches!(
        fanout.apply(taken(3, 2))[..],
        [Effect::Accepted { number: 3, .. }]
    ));
    fanout.apply(Command::Started { by, process: 2 });
    assert_eq!(fanout.apply(taken(4, 3)), [], "from an earlier process");
    assert_eq!(fanout.broadcasts().count(), 2);
}

#[test]
fn copy_ids_are_derived_from_broadcast_and_subscriber() {
    let id = BroadcastId("a~7".into());
    let event = copy_id(&id, DestinationId(12));
    assert_eq!(&*event.0, "a~7~12");
    assert_eq!(copy_of(&event), Some((id, DestinationId(12))));
    for other in ["a", "a~", "a~x", "a~07", "a~+7"] {
        assert_eq!(
            copy_of(&plankhill_decisions::interface::EventId(other.into())),
            None,
            "{other}"
        );
    }
}

#[test]
fn a_slow_subscriber_loses_its_oldest_queued_copies_and_delays_no_other() {
    let mut fanout = fleet(4, 1);
    let by = InstanceId(0);
    let slow = DestinationId(2);
    let mut given_up = Vec::new();
    for number in 1..=20 {
        let effects = submit_broadcast(&mut fanout, number);
        given_up.extend(outcomes_to_report(&effects, by));
        let effects = fanout.apply(Command::Spread {
            by,
            process: 1,
            ticket: number,
        });
        let ends: Vec<_> = copies_to_deliver(&effects, by)
            .into_iter()
            .filter(|(s, _)| *s != slow)
            .collect();
        assert_eq!(ends.len(), 3, "the others get each broadcast at once");
        fanout.apply(Command::Ended {
            by,
            process: 1,
            ends: ends.into_iter().map(|c| end(c, 5.0)).collect(),
        });
    }
    // Two copies are in flight and four are queued.
    let lost: Vec<u64> = given_up.iter().map(|(_, position, _)| position.0).collect();
    assert_eq!(lost, (3..=16).collect::<Vec<u64>>());
    assert!(given_up
        .iter()
        .all(|(s, _, outcome)| *s == slow && *outcome == Outcome::Rejected));
    // A broadcast is kept until the outcome of each of its copies is reported.
    assert_eq!(fanout.broadcasts().count(), 20);
    let ends = given_up
        .iter()
        .map(|(s, p, _)| end((*s, *p), 0.0))
        .collect();
    let effects = fanout.apply(Command::Ended {
        by,
        process: 1,
        ends,
    });
    assert_eq!(outcomes(&effects), Some([3, 1, 0]));
    assert_eq!(fanout.broadcasts().count(), 6);
}

#[test]
fn queued_copies_are_rejected_when_their_time_is_up() {
    let mut fanout = fleet(2, 1);
    let by = InstanceId(0);
    submit_broadcast(&mut fanout, 1);
    fanout.apply(Command::Spread {
        by,
        process: 1,
        ticket: 1,
    });
    submit_broadcast(&mut fanout, 2);
    let effects = fanout.apply(Command::TimeUp(vec![Position(1), Position(2)]));
    let second = [0, 1].map(|s| (DestinationId(s), Position(2), Outcome::Rejected));
    assert_eq!(outcomes_to_report(&effects, by), second);
    assert_eq!(
        copies_to_deliver(
            &fanout.apply(Command::Spread {
                by,
                process: 1,
                ticket: 2
            }),
            by
        ),
        []
    );
}

#[test]
fn a_move_waits_for_copies_in_flight_and_continues_after_them() {
    let mut fanout = fleet(4, 2);
    let subscriber = DestinationId(0);
    let old = fanout.server(subscriber).unwrap();
    let from = fanout.cohort(subscriber).unwrap();
    let to = Cohort(2);
    let new = fanout.cohort_server(to).unwrap().0.unwrap();
    submit_broadcast(&mut fanout, 1);
    fanout.apply(Command::Spread {
        by: old,
        process: 1,
        ticket: 1,
    });
    submit_broadcast(&mut fanout, 2);
    let command = Command::Moved {
        subscriber,
        from,
        to,
    };
    assert_eq!(fanout.apply(command.clone()), []);
    assert_eq!(fanout.apply(command), [], "a repeated move has no effect");
    let of =
        |copies: Vec<(Subscriber, Position)>| copies.iter().filter(|c| c.0 == subscriber).count();
    for by in [old, new] {
        assert_eq!(
            of(copies_to_deliver(
                &fanout.apply(Command::Spread {
                    by,
                    process: 1,
                    ticket: 2
                }),
                by
            )),
            0
        );
    }
    let ends = vec![end((subscriber, Position(1)), 5.0)];
    let effects = fanout.apply(Command::Ended {
        by: old,
        process: 1,
        ends,
    });
    assert_eq!(
        effects,
        [Effect::MoveCompleted {
            subscriber,
            by: new
        }]
    );
    assert_eq!(
        of(copies_to_deliver(
            &fanout.apply(Command::Spread {
                by: old,
                process: 1,
                ticket: 3
            }),
            old
        )),
        0
    );
    let effects = fanout.apply(Command::Spread {
        by: new,
        process: 1,
        ticket: 3,
    });
    assert_eq!(
        copies_to_deliver(&effects, new),
        [(subscriber, Position(2))]
    );
}

#[test]
fn copies_of_a_lost_instance_are_abandoned_by_its_successor_and_never_sent_again() {
    let mut fanout = fleet(4, 2);
    let (old, subscriber) = (InstanceId(0), DestinationId(0));
    assert_eq!(fanout.server(subscriber), Some(old));
    submit_broadcast(&mut fanout, 1);
    let assigned = copies_to_deliver(
        &fanout.apply(Command::Spread {
            by: old,
            process: 1,
            ticket: 1,
        }),
        old,
    );
    fanout.apply(Command::Lost(old));
    fanout
        .plan()
        .into_iter()
        .for_each(|command| drop(fanout.apply(command)));
    let successor = fanout.server(subscriber).unwrap();
    assert_ne!(successor, old);
    // A call may still be running there: the successor waits.
    submit_broadcast(&mut fanout, 2);
    let before = copies_to_deliver(
        &fanout.apply(Command::Spread {
            by: successor,
            process: 1,
            ticket: 1,
        }),
        successor,
    );
    assert!(before
        .iter()
        .all(|(s, _)| assigned.iter().all(|(other, _)| other != s)));
    assert_eq!(
        fanout.apply(Command::GivenUp {
            instance: old,
            time: 0
        }),
        [],
        "of another loss"
    );
    let effects = fanout.apply(Command::GivenUp {
        instance: old,
        time: 1,
    });
    let written_off: Vec<_> = assigned
        .iter()
        .map(|(s, p)| (*s, *p, Outcome::Abandoned))
        .collect();
    assert_eq!(outcomes_to_report(&effects, successor), written_off);
    let late = Command::Ended {
        by: old,
        process: 1,
        ends: vec![end(assigned[0], 5.0)],
    };
    assert_eq!(fanout.apply(late), [], "its report is too late");
    let after = copies_to_deliver(
        &fanout.apply(Command::Spread {
            by: successor,
            process: 1,
            ticket: 2,
        }),
        successor,
    );
    assert!(after.contains(&(subscriber, Position(2))));
}

#[test]
fn an_instance_that_returns_in_time_keeps_its_copies() {
    let mut fanout = fleet(4, 2);
    let old = InstanceId(0);
    submit_broadcast(&mut fanout, 1);
    let assigned = copies_to_deliver(
        &fanout.apply(Command::Spread {
            by: old,
            process: 1,
            ticket: 1,
        }),
        old,
    );
    fanout.apply(Command::Lost(old));
    fanout.apply(Command::Joined(old));
    assert_eq!(
        fanout.apply(Command::GivenUp {
            instance: old,
            time: 1
        }),
        []
    );
    assert_eq!(fanout.assigned_copies(old).len(), assigned.len());
}

#[rstest]
#[case::broadcasts(|b: &mut Bounds| b.broadcasts = 3)]
#[case::copies(|b: &mut Bounds| b.kept_in_all = 12)]
#[case::bytes(|b: &mut Bounds| b.body_bytes = 6)]
fn at_a_bound_a_broadcast_is_rejected_and_nothing_is_dropped(#[case] narrow: fn(&mut Bounds)) {
    let mut fanout = fleet(4, 2);
    let mut narrowed = layout(4, 2, 1);
    narrow(&mut narrowed.bounds);
    fanout.apply(Command::Laid(narrowed));
    for number in 1..=3 {
        assert!(matches!(
            submit_broadcast(&mut fanout, number)[..],
            [Effect::Accepted { .. }]
        ));
    }
    let full = submit_broadcast(&mut fanout, 4);
    assert!(matches!(
        full[..],
        [Effect::Rejected {
            reason: Rejection::Full,
            ..
        }]
    ));
    assert_eq!(fanout.broadcasts().count(), 3);
}

#[test]
fn a_restored_snapshot_behaves_like_the_original_state() {
    let mut fanout = fleet(30, 3);
    (1..=20).for_each(|n| round(&mut fanout, n, |s, _| if s.0 == 3 { 2000.0 } else { 20.0 }));
    let mut copy = FanoutState::from_bytes(&fanout.to_bytes()).unwrap();
    for number in 21..=60 {
        round(&mut fanout, number, |s, _| s.0 as f64 * 30.0);
        round(&mut copy, number, |s, _| s.0 as f64 * 30.0);
        assert_eq!(fanout.plan(), copy.plan());
        fanout
            .plan()
            .into_iter()
            .for_each(|c| drop((fanout.apply(c.clone()), copy.apply(c))));
    }
    assert_eq!(fanout.to_bytes(), copy.to_bytes());
}

#[test]
fn invalid_bytes_do_not_decode_to_a_command() {
    let command = Command::Taken {
        by: InstanceId(1),
        process: 1,
        number: 1,
        broadcast: broadcast(1),
    };
    let bytes = command.to_bytes();
    assert_eq!(Command::from_bytes(&bytes), Some(command));
    for torn in 0..bytes.len() {
        assert_eq!(Command::from_bytes(&bytes[..torn]), None);
    }
    assert_eq!(Command::from_bytes(&[255; 9]), None);
}
