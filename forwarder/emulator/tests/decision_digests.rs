//! Compares the outcome of a shortened day of every shipped scenario, for two seeds each, with the
//! digests of an earlier version. The example `decision_digests` simulates the full days, in release
//! mode.

#[path = "helpers/digest.rs"]
mod digest;

use rstest::rstest;

const DIGESTS: &str = include_str!("decision_digests/short.txt");

/// The length of a shortened day, relative to the full one; the faults are scaled alike.
const PART: f64 = 0.1;

fn pinned(decisions: &str) -> Vec<&'static str> {
    let decides = |line: &&str| line.split(' ').nth(2) == Some(decisions);
    DIGESTS.lines().filter(decides).collect()
}

#[rstest]
fn short_days_of_every_scenario_have_the_pinned_outcome() {
    let days = digest::SCENARIOS
        .iter()
        .flat_map(|&name| digest::SEEDS.map(|seed| (name, seed)));
    let lines: Vec<String> = days
        .map(|(name, seed)| digest::line(name, seed, PART))
        .collect();
    assert_eq!(
        lines,
        pinned("module"),
        "scenario, seed, who decides, payoff, digest"
    );
}

#[rstest]
fn short_days_of_every_baseline_have_the_pinned_outcome() {
    for decisions in digest::BASELINES {
        let line = digest::line_with("all-together", 1, PART, decisions);
        assert_eq!(
            [line.as_str()],
            pinned(decisions)[..],
            "scenario, seed, who decides, payoff, digest"
        );
    }
}
