//! Backoffs of one forwarder and of a fleet.

use std::time::{Duration, Instant};

use plankhill_decisions::interface::Ms;

use super::{Backoff, FIRST_BACKOFF, MAX_BACKOFF};

fn ms(backoff: Duration) -> Ms {
    backoff.as_secs_f64() * 1000.0
}

#[test]
fn a_single_forwarders_backoff_starts_short_grows_to_its_bound_and_is_reset_by_a_response() {
    let mut backoff = Backoff::for_fleet(7, "n1", 1.0);
    let first = ms(backoff.next_backoff());
    let later: Vec<Ms> = (0..12).map(|_| ms(backoff.next_backoff())).collect();
    assert!(
        (FIRST_BACKOFF.min / 2.0..=FIRST_BACKOFF.min).contains(&first),
        "{first}"
    );
    assert!(later.iter().all(|&p| p <= MAX_BACKOFF.min), "{later:?}");
    assert!(later[10] >= MAX_BACKOFF.min / 2.0, "{later:?}");
    backoff.reset();
    assert!(ms(backoff.next_backoff()) <= FIRST_BACKOFF.min);
}

/// Tries of a hundred forwarders refused at one moment, over their first `span` ms.
fn fleet(seed: u64, span: Ms) -> Vec<Ms> {
    let mut tries = Vec::new();
    for node in 0..100 {
        let mut backoff = Backoff::for_fleet(seed, &format!("n{node}"), 100.0);
        let mut at = 0.0;
        while at < span {
            at += ms(backoff.next_backoff());
            tries.push(at);
        }
    }
    tries
}

/// With a fixed pause of 50 ms they would ask two thousand times a second, all in step.
#[test]
fn a_fleet_refused_together_does_not_come_back_together() {
    for seed in [1_u64, 0x8c1f_30d2_7a5b_e964, 99] {
        let tries = fleet(seed, 20_000.0);
        let in_second = |s: Ms| {
            tries
                .iter()
                .filter(|&&at| (s * 1000.0..(s + 1.0) * 1000.0).contains(&at))
                .count()
        };
        assert!(
            in_second(0.0) == 0,
            "seed {seed}: {} tries in the first second",
            in_second(0.0)
        );
        // After the first tries, fewer than what an overbooked discovery answered, some eighteen a second.
        let most = (5..20).map(|s| in_second(s as f64)).max().unwrap_or(0);
        assert!(most <= 40, "seed {seed}: {most} tries in one second");
        let crowd = (10..200)
            .map(|tenth| {
                tries
                    .iter()
                    .filter(|&&at| (at / 100.0) as u32 == tenth)
                    .count()
            })
            .max()
            .unwrap_or(0);
        assert!(
            crowd <= 25,
            "seed {seed}: {crowd} tries in a tenth of a second"
        );
    }
}

#[test]
fn a_refusal_is_followed_by_the_whole_backoff_however_late_it_came_and_a_timed_out_watch_by_none() {
    let (asked, slow) = (Instant::now(), Duration::from_secs(2));
    let backoff = || Backoff::for_fleet(7, "n1", 300.0);
    assert!(
        backoff().retry_at(asked, asked + slow, false) >= asked + slow + Duration::from_secs(1)
    );
    let mut after_many = backoff();
    for _ in 0..20 {
        after_many.next_backoff();
    }
    let silent = Duration::from_millis(20_500);
    assert!(after_many.retry_at(asked, asked + silent, true) <= asked + silent);
}

/// Guards the time by which news counts as told: whatever failed, and after however many failures.
#[test]
fn whatever_failed_the_next_request_leaves_its_response_one_of_the_six_seconds() {
    // Silent or refused, at once, as late as an ask after a failure may be, or a watch that stood for long.
    for forwarders in [1.0, 20.0, 100.0, 300.0] {
        for (late, silent) in [(0, false), (2_500, false), (1_000, true), (2_500, true)] {
            let mut backoff = Backoff::for_fleet(7, "n1", forwarders);
            for _ in 0..40 {
                let asked = Instant::now();
                let failed = asked + Duration::from_millis(late);
                let again = backoff.retry_at(asked, failed, silent);
                assert!(
                    again <= asked + Duration::from_millis(5_000),
                    "{forwarders} {late} {silent}"
                );
            }
        }
        let stood = Instant::now();
        let broke = stood + Duration::from_secs(20);
        assert!(
            Backoff::for_fleet(7, "n1", forwarders).retry_at(stood, broke, false)
                <= broke + Duration::from_secs(2)
        );
    }
}
