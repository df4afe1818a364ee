//! Tests of the allocation: shared prefixes are allocated to targets by their share of the
//! requests, identically at all proxies.

use std::collections::HashMap;

use arbtest::arbtest;
use plankhill_dispatch::allocation::{Allocation, PrefixQuota};
use plankhill_dispatch::prefix_demand::{PrefixDemand, PrefixShare};
use plankhill_dispatch::rendezvous::target_hash;
use plankhill_protocol::ids::InstanceId;

fn hashes(count: usize) -> Vec<u64> {
    (0..count)
        .map(|at| target_hash(&InstanceId::from(format!("i-{at}").as_str())))
        .collect()
}

fn total(quotas: &[PrefixQuota]) -> f64 {
    quotas.iter().map(|quota| quota.share).sum()
}

#[test]
fn the_first_request_does_not_count_as_the_complete_demand() {
    let mut demand = PrefixDemand::default();
    demand.record(0.0, 7);
    assert!(demand.most_frequent(8)[0].share < 0.2);
}

#[test]
fn shares_follow_the_requests_of_the_last_seconds() {
    let mut demand = PrefixDemand::default();
    (0..300).for_each(|at| demand.record(f64::from(at) * 10.0, 1));
    (0..300).for_each(|at| demand.record(60_000.0 + f64::from(at) * 10.0, 2));
    let shares = demand.most_frequent(8);
    assert_eq!(shares[0].prefix, 2);
    assert!(shares[0].share > 0.85, "{shares:?}");
}

#[test]
fn counted_prefixes_are_bounded() {
    let mut demand = PrefixDemand::default();
    (0..100_000).for_each(|prefix| demand.record(1.0, prefix));
    assert!(demand.most_frequent(usize::MAX).len() <= 1_024);
}

#[test]
fn no_target_exceeds_its_capacity_and_all_demand_is_placed() {
    arbtest(|u| {
        let targets = hashes(u.int_in_range(1..=40)?);
        let weights: Vec<u8> = u.arbitrary()?;
        let sum: f64 = weights.iter().map(|weight| f64::from(*weight)).sum::<f64>() + 1.0;
        let share = |(prefix, weight): (usize, &u8)| PrefixShare {
            prefix: prefix as u64,
            share: f64::from(*weight) / sum,
        };
        let shares: Vec<PrefixShare> = weights.iter().enumerate().map(share).collect();
        let allocation = Allocation::new(shares.clone(), &targets);
        let mut allocated: HashMap<u64, f64> = HashMap::new();
        for share in &shares {
            let quotas = allocation.targets_of(share.prefix);
            // Small remainders of capacity may stay unused.
            assert!(total(quotas) <= share.share + 1e-9);
            assert!(total(quotas) >= share.share - 0.02 - 1e-9);
            for quota in quotas {
                *allocated.entry(quota.target).or_default() += quota.share;
            }
        }
        let capacity = 1.0 / targets.len() as f64;
        assert!(allocated.values().all(|share| *share <= capacity + 1e-9));
        Ok(())
    })
    .budget_ms(1_000);
}

/// Guards against prefixes that are allocated to other targets because of noise in the mix that
/// each proxy observes.
#[test]
fn proxies_that_see_about_the_same_mix_agree_on_most_targets() {
    let targets = hashes(60);
    let mix = |noise: f64| {
        let share = |prefix: u64| PrefixShare {
            prefix,
            share: if prefix.is_multiple_of(2) {
                0.15 + noise
            } else {
                0.15 - noise
            },
        };
        Allocation::new((0..6).map(share).collect(), &targets)
    };
    let (one, other) = (mix(0.0), mix(0.02));
    let (mut same, mut all) = (0, 0);
    for prefix in 0..6 {
        let quotas = one.targets_of(prefix);
        all += quotas.len();
        same += quotas
            .iter()
            .filter(|quota| {
                other
                    .targets_of(prefix)
                    .iter()
                    .any(|other_quota| other_quota.target == quota.target)
            })
            .count();
    }
    assert!(same * 3 >= all * 2, "{same} of {all}");
}

#[test]
fn a_removed_target_moves_few_quotas_of_others() {
    let targets = hashes(30);
    let shares: Vec<PrefixShare> = (0..6)
        .map(|prefix| PrefixShare {
            prefix,
            share: 0.15,
        })
        .collect();
    let before = Allocation::new(shares.clone(), &targets);
    let after = Allocation::new(shares, &targets[1..]);
    let quotas_of = |allocation: &Allocation| -> Vec<(u64, u64)> {
        let of = |prefix| {
            allocation
                .targets_of(prefix)
                .iter()
                .map(move |quota| (prefix, quota.target))
        };
        (0..6)
            .flat_map(|prefix| of(prefix).collect::<Vec<_>>())
            .collect()
    };
    let (before, after) = (quotas_of(&before), quotas_of(&after));
    let stayed = before.iter().filter(|pair| after.contains(pair)).count();
    assert!(
        stayed * 10 >= before.len() * 7,
        "{stayed} of {}",
        before.len()
    );
}
