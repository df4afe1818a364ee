use super::*;

fn ms(pause: Duration) -> Ms {
    pause.as_secs_f64() * 1000.0
}

#[test]
fn alone_it_starts_short_grows_to_its_bound_and_starts_short_again_once_answered() {
    let mut pause = Pause::new(7, "n1", 1.0);
    let first = ms(pause.next());
    let later: Vec<Ms> = (0..12).map(|_| ms(pause.next())).collect();
    assert!((FIRST.0 / 2.0..=FIRST.0).contains(&first), "{first}");
    assert!(later.iter().all(|&p| p <= LONGEST.0), "{later:?}");
    assert!(later[10] >= LONGEST.0 / 2.0, "{later:?}");
    pause.answered();
    assert!(ms(pause.next()) <= FIRST.0);
}

/// Tries of a hundred forwarders refused at one moment, over their first `span` ms.
fn fleet(seed: u64, span: Ms) -> Vec<Ms> {
    let mut tries = Vec::new();
    for node in 0..100 {
        let mut pause = Pause::new(seed, &format!("n{node}"), 100.0);
        let mut at = 0.0;
        while at < span {
            at += ms(pause.next());
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
fn a_refusal_is_followed_by_the_whole_pause_however_late_it_came_a_silent_watch_by_none() {
    let (asked, slow) = (Instant::now(), Duration::from_secs(2));
    let pause = || Pause::new(7, "n1", 300.0);
    assert!(pause().over_at(asked, asked + slow, false) >= asked + slow + Duration::from_secs(1));
    let mut after_many = pause();
    for _ in 0..20 {
        after_many.next();
    }
    let silent = Duration::from_millis(20_500);
    assert!(after_many.over_at(asked, asked + silent, true) <= asked + silent);
}

/// Guards the time by which news counts as told: whatever failed, and after however many failures.
#[test]
fn whatever_failed_the_next_ask_leaves_its_answer_a_second_of_the_six() {
    // Silent or refused, at once, as late as an ask after a failure may be, or a watch that stood for long.
    for forwarders in [1.0, 20.0, 100.0, 300.0] {
        for (late, silent) in [(0, false), (2_500, false), (1_000, true), (2_500, true)] {
            let mut pause = Pause::new(7, "n1", forwarders);
            for _ in 0..40 {
                let asked = Instant::now();
                let failed = asked + Duration::from_millis(late);
                let again = pause.over_at(asked, failed, silent);
                assert!(
                    again <= asked + Duration::from_millis(5_000),
                    "{forwarders} {late} {silent}"
                );
            }
        }
        let stood = Instant::now();
        let broke = stood + Duration::from_secs(20);
        assert!(
            Pause::new(7, "n1", forwarders).over_at(stood, broke, false)
                <= broke + Duration::from_secs(2)
        );
    }
}
