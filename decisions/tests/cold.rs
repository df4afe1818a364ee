//! Stories of destinations that come back, and of the budget that they are sent while cold.

mod host;

use host::*;
use plankhill_decisions::interface::*;
use rstest::rstest;

/// Met on amman-tyre-centres-later rough-1 once pings came every 2 s: 44 forwarders learnt of a return
/// within that, each sent a call at its ping's answer, and the destination fell over.
#[rstest]
fn a_fleet_that_learns_of_a_return_together_spreads_its_first_calls() {
    let at_once = (0..20_u64).filter(|&seed| {
        let mut host = Host::new(|terms| (terms.seed, terms.forwarder_count) = (seed, 44.0));
        host.runs_well(20_000.0);
        host.goes_offline(20_000.0);
        host.take(20_100.0, "held", RETRIABLE, 1, None);
        sends(&host.ping_ends(20_200.0, "t", AttemptOutcome::Delivered)) > 0
    });
    assert!(
        at_once.count() <= 5,
        "most send at the moment their ping is answered"
    );
}

/// Met on id69158: released by its first ping, a parked destination was sent all that had waited.
#[rstest]
fn whatever_was_parked_returns_cold() {
    let mut host = plain();
    host.runs_well(20_000.0);
    host.goes_offline(20_000.0);
    for at in 0..6 {
        host.take(
            20_100.0 + at as f64,
            &format!("held{at}"),
            RETRIABLE,
            1,
            None,
        );
    }
    assert!(sends(&host.ping_ends(20_200.0, "t", AttemptOutcome::Delivered)) <= 1);
}

/// The second case: what came again after dismissals swelled the measure of usual traffic (met on i5b8b0d).
#[rstest]
#[case(20)]
#[case(300)]
fn a_cold_destination_is_sent_its_budget_not_its_backlog(#[case] backlog: u32) {
    let mut host =
        Host::new(|terms| (terms.max_calls_in_flight, terms.event_capacity) = (400, 400));
    host.runs_well(20_000.0);
    host.goes_offline(20_000.0);
    host.ping_ends(20_050.0, "t", AttemptOutcome::TimedOut);
    for at in 0..backlog {
        host.take(
            20_100.0 + at as f64,
            &format!("held{at}"),
            RETRIABLE,
            1,
            None,
        );
    }
    host.idle(23_000.0);
    host.ping_ends(25_900.0, "t", AttemptOutcome::TimedOut);
    let mut sent = sends(&host.ping_ends(26_000.0, "t", AttemptOutcome::Delivered));
    for step in 1..=20 {
        sent += sends(&host.idle(26_000.0 + 100.0 * step as f64));
    }
    // Half a minute of 10 a second or so, cold at a fifth, tipping at twice that, half as warm again by then.
    assert!((1..=15).contains(&sent), "{sent} in two seconds");
}

#[rstest]
fn a_cold_destination_that_answers_as_usual_is_given_more() {
    let sent = |took: Ms| {
        let mut host =
            Host::new(|terms| (terms.max_calls_in_flight, terms.event_capacity) = (400, 400));
        host.runs_well(20_000.0);
        host.goes_offline(20_000.0);
        host.ping_ends(20_050.0, "t", AttemptOutcome::TimedOut);
        host.idle(23_000.0);
        host.ping_ends(23_100.0, "t", AttemptOutcome::Delivered);
        let (mut sent, mut out) = (0, Vec::new());
        for step in 0..80 {
            let now = 23_200.0 + 50.0 * step as f64;
            let told = host.take(now, &format!("e{step}"), RETRIABLE, 1, None);
            out.extend(
                told.iter()
                    .filter_map(|w| Some(w.strip_prefix("send ")?.split(' ').next()?.to_owned())),
            );
            sent += sends(&told);
            for name in std::mem::take(&mut out) {
                let told = host.at(now, |f| {
                    f.on_attempt_ended(
                        &event(&name),
                        AttemptReport {
                            elapsed: took,
                            ..AttemptReport::from_outcome(AttemptOutcome::Delivered)
                        },
                    )
                    .unwrap()
                });
                out.extend(
                    told.iter().filter_map(|w| {
                        Some(w.strip_prefix("send ")?.split(' ').next()?.to_owned())
                    }),
                );
                sent += sends(&told);
            }
        }
        sent
    };
    assert!(sent(100.0) > sent(900.0));
}

/// Met on sofia-main: a shut destination told all forwarders when it opens and was sent a burst that moment.
#[rstest]
fn a_destination_told_to_be_shut_for_long_returns_cold() {
    let mut host =
        Host::new(|terms| (terms.max_calls_in_flight, terms.event_capacity) = (400, 400));
    host.runs_well(20_000.0);
    host.take(20_000.0, "a", RETRIABLE, 1, None);
    host.ends_with(20_001.0, "a", AttemptOutcome::Rejected, 6000.0);
    for at in 0..20 {
        host.take(
            21_000.0 + at as f64,
            &format!("held{at}"),
            RETRIABLE,
            1,
            None,
        );
    }
    let sent: usize = (0..20)
        .map(|step| sends(&host.idle(26_002.0 + 50.0 * step as f64)))
        .sum();
    assert!((1..=6).contains(&sent), "{sent} in a second");
}

/// Met on days of upgrades: shut for 15 s from the second second on, it got a call in two seconds afterwards, as
/// hardly any had gone there meanwhile.
#[rstest]
fn what_went_there_before_a_long_told_wait_is_what_the_cold_budget_goes_by() {
    let mut host =
        Host::new(|terms| (terms.max_calls_in_flight, terms.event_capacity) = (400, 400));
    host.runs_well(1_500.0);
    host.take(1_510.0, "a", RETRIABLE, 1, None);
    host.ends_with(1_511.0, "a", AttemptOutcome::Rejected, 15_000.0);
    for at in 0..40 {
        host.take(
            14_000.0 + at as f64,
            &format!("held{at}"),
            RETRIABLE,
            1,
            None,
        );
    }
    let sent: usize = (0..80)
        .map(|step| sends(&host.idle(16_520.0 + 50.0 * step as f64)))
        .sum();
    assert!((5..=14).contains(&sent), "{sent} in four seconds");
}

/// Met on incident ia535d8: where a fifth of the calls is lost, a cold pace starves a destination that works.
#[rstest]
fn a_destination_that_loses_a_few_calls_is_not_held_to_a_cold_pace() {
    let mut host = plain();
    host.runs_well(20_000.0);
    for step in 0..10 {
        let (now, name) = (20_100.0 + 600.0 * step as f64, format!("lost{step}"));
        host.take(now, &name, BINDING, 1, Some(100 + step));
        host.ends(now, &name, AttemptOutcome::TimedOut);
        host.runs_well(now + 500.0);
    }
}

/// Met in a hunt on sofia-main: a call that timed out in a told wait of twenty seconds let the cold state end first.
#[rstest]
fn a_late_time_out_does_not_warm_a_destination_that_is_still_shut() {
    let mut host =
        Host::new(|terms| (terms.max_calls_in_flight, terms.event_capacity) = (400, 400));
    host.runs_well(20_000.0);
    for name in [
        "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r",
        "s",
    ] {
        host.take(30_001.0, name, RETRIABLE, 1, None);
    }
    host.ends_with(30_002.0, "a", AttemptOutcome::Rejected, 15_000.0);
    for name in [
        "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s",
    ] {
        host.ends(31_600.0, name, AttemptOutcome::TimedOut);
    }
    host.idle(45_003.0);
    let mut sent = sends(&host.ping_ends(45_010.0, "t", AttemptOutcome::Delivered));
    sent += (0..20)
        .map(|step| sends(&host.idle(45_050.0 + 50.0 * step as f64)))
        .sum::<usize>();
    assert!(sent <= 6, "{sent} in a second");
}

/// Met on nairobi-relay big-1 and big-2: at a limit that is used up, two refusals in a row passed for a shut
/// destination, and its events waited out a cold start that never was. A shut one reports most of it left.
#[rstest]
#[case::used_up(Some(0.1), false)]
#[case::much_left(Some(0.9), true)]
#[case::not_told(None, true)]
#[case::no_share(Some(-1.0), true)]
#[case::no_number(Some(f64::NAN), true)]
fn refusals_make_a_destination_cold_unless_they_report_a_limit_used_up(
    #[case] left: Option<f64>,
    #[case] cold: bool,
) {
    let mut host = plain();
    for (at, name) in [(1.0, "a"), (9000.0, "b")] {
        host.take(at, name, RETRIABLE, 1, None);
        host.ends_told(at + 1.0, name, AttemptOutcome::Rejected, 0.0, left);
        host.at(at + 2.0, |f| f.withdraw_event(&event(name)));
    }
    assert_eq!(!host.cold.is_empty(), cold);
}

/// Met on nairobi-relay big-1: a forwarder that sees one event in a minute counts next to nothing as usual, and
/// what waited at partners back from being shut ran out of patience. A wrong rate must not push them over.
#[rstest]
fn the_cold_budget_believes_the_told_rate_up_to_a_bound() {
    let sent = |rate: f64| {
        let mut host = Host::new(|terms| terms.forwarder_count = 10.0);
        host.at(0.0, |f| f.set_advertised_rate(DestinationId(1), rate));
        host.take(60_000.0, "before", RETRIABLE, 1, None);
        host.ends(60_001.0, "before", AttemptOutcome::Delivered);
        host.goes_offline(65_000.0);
        for n in 0..8 {
            host.take(65_010.0 + n as f64, &format!("held{n}"), RETRIABLE, 1, None);
        }
        host.ping_ends(65_100.0, "t", AttemptOutcome::Delivered);
        (0..90)
            .map(|step| sends(&host.idle(65_200.0 + 100.0 * step as f64)))
            .sum::<usize>()
    };
    let (untold, told, wrong) = (sent(0.0), sent(4.0), sent(4000.0));
    assert!(untold < told, "{untold} untold, {told} told");
    assert!(
        wrong <= 5,
        "{wrong} of eight at once at a rate that was never true"
    );
}
