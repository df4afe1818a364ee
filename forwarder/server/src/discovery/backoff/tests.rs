//! Backoff of a single forwarder and of a fleet.

use std::time::{Duration, Instant};

use plankhill_decisions::interface::Ms;

use super::{Backoff, FIRST_BACKOFF, MAX_BACKOFF};

fn ms(backoff: Duration) -> Ms {
    backoff.as_secs_f64() * 1000.0
}

#[test]
fn a_single_forwarders_backoff_grows_from_the_first_to_the_longest_bound_until_a_reset() {
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

/// Times of the retries of a hundred forwarders that are refused at once, over the first `span` ms.
fn fleet_retries(seed: u64, span: Ms) -> Vec<Ms> {
    let mut retries = Vec::new();
    for node in 0..100 {
        let mut backoff = Backoff::for_fleet(seed, &format!("n{node}"), 100.0);
        let mut at = 0.0;
        while at < span {
            at += ms(backoff.next_backoff());
            retries.push(at);
        }
    }
    retries
}

/// With a fixed interval of 50 ms the fleet would send two thousand requests per second, all at the
/// same time.
#[test]
fn forwarders_that_are_refused_at_once_spread_their_retries() {
    for seed in [1_u64, 0x8c1f_30d2_7a5b_e964, 99] {
        let retries = fleet_retries(seed, 20_000.0);
        let in_second = |s: Ms| {
            retries
                .iter()
                .filter(|&&at| (s * 1000.0..(s + 1.0) * 1000.0).contains(&at))
                .count()
        };
        assert!(
            in_second(0.0) == 0,
            "seed {seed}: {} retries in the first second",
            in_second(0.0)
        );
        // After the first retries. For comparison: an overloaded discovery answered some eighteen
        // requests per second.
        let most = (5..20).map(|s| in_second(s as f64)).max().unwrap_or(0);
        assert!(most <= 40, "seed {seed}: {most} retries in one second");
        let most_per_tenth = (10..200)
            .map(|tenth| {
                retries
                    .iter()
                    .filter(|&&at| (at / 100.0) as u32 == tenth)
                    .count()
            })
            .max()
            .unwrap_or(0);
        assert!(
            most_per_tenth <= 25,
            "seed {seed}: {most_per_tenth} retries in a tenth of a second"
        );
    }
}

#[test]
fn a_late_refusal_is_followed_by_the_full_backoff_and_a_timed_out_watch_by_none() {
    let (requested, slow) = (Instant::now(), Duration::from_secs(2));
    let backoff = || Backoff::for_fleet(7, "n1", 300.0);
    assert!(
        backoff().retry_at(requested, requested + slow, false)
            >= requested + slow + Duration::from_secs(1)
    );
    let mut after_many = backoff();
    for _ in 0..20 {
        after_many.next_backoff();
    }
    let watch_time = Duration::from_millis(20_500);
    assert!(after_many.retry_at(requested, requested + watch_time, true) <= requested + watch_time);
}

/// Guards the time limit after which a change counts as reported, 6 s, for every kind of failure
/// and after any number of failures: the next request has to leave one second for its response.
#[test]
fn after_any_failure_the_next_request_follows_within_five_seconds() {
    // A timeout or a refusal: immediately, or as late as a request after a failure may fail;
    // then a watch that was open for long.
    for forwarders in [1.0, 20.0, 100.0, 300.0] {
        for (delay_ms, timed_out) in [(0, false), (2_500, false), (1_000, true), (2_500, true)] {
            let mut backoff = Backoff::for_fleet(7, "n1", forwarders);
            for _ in 0..40 {
                let requested = Instant::now();
                let failed = requested + Duration::from_millis(delay_ms);
                let retry_at = backoff.retry_at(requested, failed, timed_out);
                assert!(
                    retry_at <= requested + Duration::from_millis(5_000),
                    "{forwarders} {delay_ms} {timed_out}"
                );
            }
        }
        let requested = Instant::now();
        let failed = requested + Duration::from_secs(20);
        assert!(
            Backoff::for_fleet(7, "n1", forwarders).retry_at(requested, failed, false)
                <= failed + Duration::from_secs(2)
        );
    }
}
