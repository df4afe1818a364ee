//! Shared texts are spread over targets by their share of the requests, the same at all proxies.

use std::collections::HashMap;

use arbtest::arbtest;
use plankhill_dispatch::affinity::target_hash;
use plankhill_dispatch::allocation::{Allocation, Quota};
use plankhill_dispatch::demand::{Demand, TextShare};
use plankhill_protocol::ids::InstanceId;

fn hashes(count: usize) -> Vec<u64> {
    (0..count)
        .map(|at| target_hash(&InstanceId::from(format!("i-{at}").as_str())))
        .collect()
}

fn total(quotas: &[Quota]) -> f64 {
    quotas.iter().map(|quota| quota.share).sum()
}

#[test]
fn the_first_request_does_not_count_as_all_there_is() {
    let mut demand = Demand::default();
    demand.note(0.0, 7);
    assert!(demand.most_asked(8)[0].share < 0.2);
}

#[test]
fn shares_follow_the_requests_of_the_last_seconds() {
    let mut demand = Demand::default();
    (0..300).for_each(|at| demand.note(f64::from(at) * 10.0, 1));
    (0..300).for_each(|at| demand.note(60_000.0 + f64::from(at) * 10.0, 2));
    let shares = demand.most_asked(8);
    assert_eq!(shares[0].text, 2);
    assert!(shares[0].share > 0.85, "{shares:?}");
}

#[test]
fn what_is_counted_is_bounded() {
    let mut demand = Demand::default();
    (0..100_000).for_each(|text| demand.note(1.0, text));
    assert!(demand.most_asked(usize::MAX).len() <= 1_024);
}

#[test]
fn no_target_is_given_more_than_its_part_and_all_that_is_asked_for_finds_room() {
    arbtest(|u| {
        let targets = hashes(u.int_in_range(1..=40)?);
        let weights: Vec<u8> = u.arbitrary()?;
        let sum: f64 = weights.iter().map(|weight| f64::from(*weight)).sum::<f64>() + 1.0;
        let share = |(text, weight): (usize, &u8)| TextShare {
            text: text as u64,
            share: f64::from(*weight) / sum,
        };
        let shares: Vec<TextShare> = weights.iter().enumerate().map(share).collect();
        let allocation = Allocation::of(shares.clone(), &targets);
        let mut given: HashMap<u64, f64> = HashMap::new();
        for share in &shares {
            let quotas = allocation.keepers(share.text);
            // Crumbs of room are left.
            assert!(total(quotas) <= share.share + 1e-9);
            assert!(total(quotas) >= share.share - 0.02 - 1e-9);
            quotas
                .iter()
                .for_each(|quota| *given.entry(quota.target).or_default() += quota.share);
        }
        let each = 1.0 / targets.len() as f64;
        assert!(given.values().all(|share| *share <= each + 1e-9));
        Ok(())
    })
    .budget_ms(1_000);
}

/// Guards against texts that move about with the noise in what each proxy sees.
#[test]
fn proxies_that_see_about_the_same_mix_agree_on_most_targets() {
    let targets = hashes(60);
    let mix = |noise: f64| {
        let share = |text: u64| TextShare {
            text,
            share: if text.is_multiple_of(2) {
                0.15 + noise
            } else {
                0.15 - noise
            },
        };
        Allocation::of((0..6).map(share).collect(), &targets)
    };
    let (one, other) = (mix(0.0), mix(0.02));
    let (mut same, mut all) = (0, 0);
    for text in 0..6 {
        let kept = one.keepers(text);
        all += kept.len();
        same += kept
            .iter()
            .filter(|quota| {
                other
                    .keepers(text)
                    .iter()
                    .any(|it| it.target == quota.target)
            })
            .count();
    }
    assert!(same * 3 >= all * 2, "{same} of {all}");
}

#[test]
fn a_target_that_leaves_moves_little_else() {
    let targets = hashes(30);
    let shares: Vec<TextShare> = (0..6).map(|text| TextShare { text, share: 0.15 }).collect();
    let before = Allocation::of(shares.clone(), &targets);
    let after = Allocation::of(shares, &targets[1..]);
    let kept = |allocation: &Allocation| -> Vec<(u64, u64)> {
        let of = |text| {
            allocation
                .keepers(text)
                .iter()
                .map(move |quota| (text, quota.target))
        };
        (0..6)
            .flat_map(|text| of(text).collect::<Vec<_>>())
            .collect()
    };
    let (before, after) = (kept(&before), kept(&after));
    let stayed = before.iter().filter(|pair| after.contains(pair)).count();
    assert!(
        stayed * 10 >= before.len() * 7,
        "{stayed} of {}",
        before.len()
    );
}
