//! Compares the waiting times of a single queue with queueing theory, within confidence intervals over
//! seeds.

mod helpers;

use helpers::station;
use plankhill_emulator::play;
use rstest::rstest;

/// The mean time to delivery over some seeds, and the half width of its 99.9% interval.
fn sojourn(set: &[(&str, &str)]) -> (f64, f64) {
    let means: Vec<f64> = (0..10)
        .map(|seed| {
            let seed = seed.to_string();
            let mut set = set.to_vec();
            set.push(("seed", &seed));
            let outcome = play(&station(&set));
            assert_eq!(outcome.totals.delivered, outcome.totals.events);
            outcome.traffic[0].mean
        })
        .collect();
    let mean = means.iter().sum::<f64>() / means.len() as f64;
    let variance = means.iter().map(|m| (m - mean).powi(2)).sum::<f64>() / (means.len() - 1) as f64;
    // Student's t with nine degrees of freedom.
    (mean, 4.78 * (variance / means.len() as f64).sqrt())
}

/// The probability of waiting at `servers` servers, each busy for `load` of its time (Erlang C).
fn erlang_c(servers: u32, load: f64) -> f64 {
    let offered = load * servers as f64;
    let mut term = 1.0;
    let mut sum = 1.0;
    for n in 1..servers {
        term *= offered / n as f64;
        sum += term;
    }
    let last = term * offered / servers as f64 / (1.0 - load);
    last / (sum + last)
}

#[rstest]
#[case::m_m_1(&[("clients.rate", "7.0")], 100.0 / (1.0 - 0.7))]
#[case::m_m_4(
    &[("clients.rate", "32.0"), ("destinations.0.servers", "4"), ("length", "1000000.0")],
    100.0 + erlang_c(4, 0.8) * 100.0 / (4.0 * (1.0 - 0.8))
)]
#[case::m_d_1(
    &[("clients.rate", "7.0"), ("destinations.0.answer.shape", "fixed")],
    100.0 + 0.7 * 100.0 / (2.0 * (1.0 - 0.7))
)]
fn waiting_times_match_queueing_theory(#[case] set: &[(&str, &str)], #[case] theory: f64) {
    let (mean, within) = sojourn(set);
    assert!(
        (mean - theory).abs() < within,
        "measured {mean:.2} ± {within:.2} ms, theory {theory:.2} ms"
    );
    assert!(
        within < 0.15 * theory,
        "the interval of ± {within:.2} ms is too wide to be conclusive"
    );
}
