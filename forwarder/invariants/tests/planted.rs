//! A fault of every rule is planted in an otherwise clean run and must be found, and nothing else.

use plankhill_invariants::*;
use rstest::rstest;

const BINDING: Idempotency = Idempotency::NonIdempotent;
const FINGERPRINTED: Idempotency = Idempotency::Deduplicated {
    window: 1000.0,
    one_group: true,
};

fn bounds() -> Bounds {
    Bounds {
        key_rest: 300.0,
        ..Bounds::default()
    }
}

fn taken(event: u64, effect: Idempotency, key: Option<u64>) -> Observation {
    taken_until(10_000.0, event, effect, key)
}

fn taken_until(
    patience_ends: Ms,
    event: u64,
    effect: Idempotency,
    key: Option<u64>,
) -> Observation {
    Observation::Taken {
        forwarder: 1,
        event,
        origin: event,
        effect,
        key,
        patience_ends,
    }
}

fn sent(event: u64) -> Observation {
    sent_to(event, 1, 1)
}

fn sent_to(event: u64, target: u32, group: u32) -> Observation {
    Observation::Sent {
        forwarder: 1,
        event,
        target,
        group,
        lane: 1,
    }
}

fn sent_by(forwarder: u32, event: u64) -> Observation {
    Observation::Sent {
        forwarder,
        event,
        target: 1,
        group: 1,
        lane: 1,
    }
}

fn over(event: u64, cut: Cut) -> Observation {
    Observation::SendOver {
        forwarder: 1,
        event,
        cut,
    }
}

fn ended(event: u64, end: Completion) -> Observation {
    Observation::Ended {
        forwarder: 1,
        event,
        end,
        by_notice: false,
    }
}

/// What breaks when the facts are told in turn, 100 ms apart.
fn broken(facts: Vec<Observation>) -> Vec<Invariant> {
    let mut checker = Checker::new(bounds());
    for (at, fact) in facts.into_iter().enumerate() {
        checker.observe(100.0 * at as f64, fact);
    }
    checker
        .breaches()
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

#[rstest]
fn a_clean_run_breaks_nothing_and_leaves_nothing_behind() {
    let mut checker = Checker::new(Bounds {
        remembered: 1000.0,
        ..bounds()
    });
    for event in 0..50 {
        let at = 1000.0 * event as f64;
        checker.observe(
            at,
            taken_until(at + 900.0, event, FINGERPRINTED, Some(event % 3)),
        );
        checker.observe(at + 1.0, sent(event));
        checker.observe(at + 2.0, over(event, Cut::Short));
        checker.observe(at + 400.0, sent(event));
        checker.observe(
            at + 402.0,
            Observation::Applied {
                event,
                origin: event,
                effect: FINGERPRINTED,
            },
        );
        checker.observe(at + 403.0, over(event, Cut::Delivered));
        checker.observe(at + 403.0, ended(event, Completion::Completed));
    }
    checker.finish(100_000.0);
    assert_eq!(checker.breaches(), []);
    assert_eq!(checker.books(), (50, 50));
    assert!(checker.kept() <= 3, "{} things are kept", checker.kept());
}

#[rstest]
#[case::two_ends(vec![taken(1, BINDING, None), ended(1, Completion::Rejected), ended(1, Completion::Rejected)], Invariant::OneEnd)]
#[case::sent_after_its_end(vec![taken(1, BINDING, None), ended(1, Completion::Rejected), sent(1)], Invariant::OneEnd)]
#[case::taken_twice(vec![taken(1, BINDING, None), taken(1, BINDING, None)], Invariant::OneEnd)]
#[case::two_sends_out(vec![taken(1, BINDING, None), sent(1), sent(1)], Invariant::NoEffectTwice)]
#[case::binding_sent_again(vec![taken(1, BINDING, None), sent(1), over(1, Cut::Short), sent(1)], Invariant::NoEffectTwice)]
#[case::binding_dismissed(vec![taken(1, BINDING, None), sent(1), over(1, Cut::Error), ended(1, Completion::Rejected)], Invariant::NoEffectTwice)]
#[case::outside_its_group(vec![taken(1, FINGERPRINTED, None), sent(1), over(1, Cut::Short), sent_to(1, 2, 2)], Invariant::NoEffectTwice)]
#[case::effect_twice(vec![
    Observation::Applied { event: 1, origin: 7, effect: BINDING },
    Observation::Applied { event: 2, origin: 7, effect: BINDING },
], Invariant::NoEffectTwice)]
#[case::overtaken(vec![taken(1, BINDING, Some(5)), taken(2, BINDING, Some(5)), sent(2)], Invariant::KeyOrder)]
#[case::key_at_rest(vec![
    taken(1, BINDING, Some(5)), taken(2, BINDING, Some(5)), sent(1), over(1, Cut::Short), ended(1, Completion::Abandoned), sent(2),
], Invariant::KeyOrder)]
#[case::before_the_notice_was_heard(vec![
    taken(1, BINDING, Some(5)), taken(2, BINDING, Some(5)),
    Observation::Ended { forwarder: 1, event: 1, end: Completion::Rejected, by_notice: true }, sent(2),
], Invariant::KeyOrder)]
#[case::told_wait(vec![taken(1, BINDING, None), Observation::Wait { forwarder: 1, lane: 1, until: 900.0 }, sent(1)], Invariant::WaitsHeeded)]
#[case::ping_in_a_told_wait(vec![
    Observation::Wait { forwarder: 1, lane: 1, until: 900.0 }, Observation::Pinged { forwarder: 1, target: 1, lane: 1 },
], Invariant::WaitsHeeded)]
#[case::to_a_draining_target(vec![
    taken(1, BINDING, None), Observation::Listed { forwarder: 1, target: 1, leaves: true },
    taken(2, BINDING, None), taken(3, BINDING, None), sent(1),
], Invariant::DrainsKept)]
#[case::pushed_over(vec![
    Observation::OutageBegan { lane: 1 }, Observation::SawFailure { forwarder: 1, lane: 1 },
    Observation::Tipped { lane: 1, load: vec![(1, 8.0), (2, 2.0)] },
], Invariant::NotPushedOver)]
fn a_planted_fault_is_caught(#[case] facts: Vec<Observation>, #[case] rule: Invariant) {
    assert_eq!(broken(facts), [rule]);
}

/// The same as a fault above, but for the one thing that makes it allowed.
#[rstest]
#[case::a_wait_for_another_lane(vec![taken(1, BINDING, None), Observation::Wait { forwarder: 1, lane: 2, until: 900.0 }, sent(1)])]
#[case::a_wait_of_another_forwarder(vec![taken(1, BINDING, None), Observation::Wait { forwarder: 2, lane: 1, until: 900.0 }, sent(1)])]
#[case::within_the_grace(vec![taken(1, BINDING, None), Observation::Listed { forwarder: 1, target: 1, leaves: true }, sent(1)])]
#[case::surely_not_run(vec![taken(1, BINDING, None), sent(1), over(1, Cut::NotRun), sent(1)])]
#[case::its_own_next_send(vec![taken(1, FINGERPRINTED, Some(5)), sent(1), over(1, Cut::Short), sent(1)])]
#[case::pushed_over_by_strangers(vec![
    Observation::OutageBegan { lane: 1 }, Observation::SawFailure { forwarder: 1, lane: 1 },
    Observation::Tipped { lane: 1, load: vec![(1, 2.0), (2, 8.0)] },
])]
fn what_is_allowed_is_no_fault(#[case] facts: Vec<Observation>) {
    assert_eq!(broken(facts), []);
}

#[rstest]
#[case::after_the_window(FINGERPRINTED, 1200.0, 1)]
#[case::inside_the_window(FINGERPRINTED, 900.0, 0)]
#[case::without_a_window(Idempotency::Idempotent, 5000.0, 0)]
fn a_fingerprint_holds_for_its_window(
    #[case] effect: Idempotency,
    #[case] again: Ms,
    #[case] breaches: usize,
) {
    let mut checker = Checker::new(bounds());
    checker.observe(0.0, taken(1, effect, None));
    checker.observe(0.0, sent(1));
    checker.observe(100.0, over(1, Cut::Short));
    checker.observe(again, sent(1));
    assert_eq!(checker.breaches().len(), breaches);
}

#[rstest]
#[case::nobody_stopped_it(vec![], 1)]
#[case::it_was_halted(vec![(9_000.0, Observation::Halted { forwarder: 1 })], 0)]
#[case::another_was_halted(vec![(9_000.0, Observation::Halted { forwarder: 2 })], 1)]
#[case::it_had_time_since(vec![
    (9_000.0, Observation::Halted { forwarder: 1 }), (11_000.0, Observation::Resumed { forwarder: 1, anew: true }),
], 1)]
fn an_event_without_an_end_is_found(
    #[case] facts: Vec<(Ms, Observation)>,
    #[case] breaches: usize,
) {
    let mut checker = Checker::new(bounds());
    checker.observe(0.0, taken(1, Idempotency::Idempotent, None));
    facts
        .into_iter()
        .for_each(|(at, fact)| checker.observe(at, fact));
    checker.finish(14_000.0);
    assert_eq!(checker.breaches().len(), breaches);
}

#[rstest]
#[case::two_forwarders_send_at_once(vec![taken(1, FINGERPRINTED, None), sent_by(1, 1), sent_by(2, 1)], Invariant::NoEffectTwice)]
#[case::the_heir_sends_a_binding_event_again(
    vec![taken(1, BINDING, None), sent_by(1, 1), over(1, Cut::Short), sent_by(2, 1)], Invariant::NoEffectTwice)]
#[case::the_heir_sends_after_the_end(vec![taken(1, BINDING, None), ended(1, Completion::Abandoned), sent_by(2, 1)], Invariant::OneEnd)]
#[case::a_second_end_from_the_heir(vec![
    taken(1, BINDING, None), ended(1, Completion::Abandoned),
    Observation::Ended { forwarder: 2, event: 1, end: Completion::Abandoned, by_notice: true },
], Invariant::OneEnd)]
#[case::overtaken_at_the_heir(vec![taken(1, BINDING, Some(5)), taken(2, BINDING, Some(5)), sent_by(2, 2)], Invariant::KeyOrder)]
#[case::the_heir_sends_while_the_key_rests(vec![
    taken(1, BINDING, Some(5)), taken(2, BINDING, Some(5)), sent_by(1, 1), over(1, Cut::Short),
    ended(1, Completion::Abandoned), sent_by(2, 2),
], Invariant::KeyOrder)]
#[case::an_unpromised_binding_event_twice(vec![
    taken(1, BINDING, None), Observation::Unpromised { event: 1 }, sent_by(1, 1), over(1, Cut::Short), sent_by(2, 1),
], Invariant::NoEffectTwice)]
#[case::above_the_budget(vec![
    Observation::Budget { target: 1, most: 2 }, Observation::Opened { forwarder: 1, target: 1 },
    Observation::Opened { forwarder: 2, target: 1 }, Observation::Opened { forwarder: 3, target: 1 },
], Invariant::WithinBudget)]
#[case::two_servers(vec![
    Observation::Serves { forwarder: 1, subscriber: 4 }, Observation::Serves { forwarder: 2, subscriber: 4 },
], Invariant::OneServer)]
#[case::a_stranger_stops(vec![
    Observation::Serves { forwarder: 1, subscriber: 4 }, Observation::ServesNoMore { forwarder: 2, subscriber: 4 },
], Invariant::OneServer)]
fn a_fault_between_forwarders_is_caught(#[case] facts: Vec<Observation>, #[case] rule: Invariant) {
    assert_eq!(broken(facts), [rule]);
}

#[rstest]
#[case::the_heir_goes_on_in_order(vec![
    taken(1, FINGERPRINTED, Some(5)), taken(2, BINDING, Some(5)), sent_by(1, 1), over(1, Cut::Error),
    sent_by(2, 1), over(1, Cut::Delivered), ended(1, Completion::Completed), sent_by(2, 2),
])]
#[case::an_unpromised_event_holds_back_no_other(vec![
    taken(1, BINDING, Some(5)), Observation::Unpromised { event: 1 }, taken(2, BINDING, Some(5)), sent_by(1, 2),
])]
#[case::a_part_that_moved(vec![
    Observation::Budget { target: 1, most: 1 }, Observation::Opened { forwarder: 1, target: 1 },
    Observation::Closed { forwarder: 1, target: 1 }, Observation::Opened { forwarder: 2, target: 1 },
])]
#[case::a_subscriber_that_moved(vec![
    Observation::Serves { forwarder: 1, subscriber: 4 }, Observation::ServesNoMore { forwarder: 1, subscriber: 4 },
    Observation::Serves { forwarder: 2, subscriber: 4 },
])]
fn what_is_allowed_between_forwarders_is_no_fault(#[case] facts: Vec<Observation>) {
    assert_eq!(broken(facts), []);
}

#[rstest]
#[case::promised_and_not_ended(vec![taken(1, BINDING, None)], &[Invariant::NothingLost])]
#[case::ended(vec![taken(1, BINDING, None), ended(1, Completion::Rejected)], &[])]
#[case::never_promised(vec![taken(1, BINDING, None), Observation::Unpromised { event: 1 }], &[])]
#[case::served_by_nobody(vec![
    Observation::Serves { forwarder: 1, subscriber: 4 }, Observation::ServesNoMore { forwarder: 1, subscriber: 4 },
], &[Invariant::OneServer])]
fn once_all_works_again_all_that_was_promised_has_its_end(
    #[case] facts: Vec<Observation>,
    #[case] broken: &[Invariant],
) {
    let mut checker = Checker::new(bounds());
    facts
        .into_iter()
        .for_each(|fact| checker.observe(0.0, fact));
    checker.all_over(100.0);
    let rules: Vec<Invariant> = checker
        .breaches()
        .iter()
        .map(|breach| breach.rule)
        .collect();
    assert_eq!(rules, broken);
}

/// With copies a machine that stays gone is no excuse: an heir has what it owed.
#[rstest]
#[case::the_heir_has_had_its_time(Some(2_000.0), 13_000.0, 1)]
#[case::the_heir_has_some_time_left(Some(2_000.0), 11_500.0, 0)]
#[case::there_are_no_copies(None, 13_000.0, 0)]
fn a_halted_forwarder_excuses_until_its_heir_has_its_events(
    #[case] heir_within: Option<Ms>,
    #[case] ends: Ms,
    #[case] breaches: usize,
) {
    let mut checker = Checker::new(Bounds {
        heir_within,
        ..bounds()
    });
    checker.observe(0.0, taken(1, Idempotency::Idempotent, None));
    checker.observe(9_500.0, Observation::Halted { forwarder: 1 });
    checker.observe(ends, ended(1, Completion::Abandoned));
    assert_eq!(checker.breaches().len(), breaches);
}
