//! Prompts go to targets that cache their parts, within a bound on load, and all proxies select the
//! same target for new ones.

mod common;

use std::collections::HashSet;

use arbtest::arbtest;
use common::{healthy, settings, turn, Proxy};
use plankhill_dispatch::affinity::rank_costs;
use plankhill_dispatch::allocation::Allocation;
use plankhill_dispatch::prefix_cache::PrefixCache;
use plankhill_dispatch::prefix_chain::PrefixChain;
use plankhill_dispatch::prefix_demand::PrefixShare;
use plankhill_dispatch::rendezvous::target_hash;
use plankhill_dispatch::{
    AttemptOutcome, DispatchSettings, Dispatcher, Ms, NewRequest, PrefixPart,
};
use plankhill_protocol::ids::InstanceId;

fn parts(parts: &[(u64, u32)]) -> Vec<PrefixPart> {
    parts
        .iter()
        .map(|&(id, tokens)| PrefixPart { id, tokens })
        .collect()
}

fn chain(list: &[(u64, u32)]) -> PrefixChain {
    PrefixChain::from_parts(&parts(list))
}

fn prompt(key: u64, now: Ms, session: u64, list: &[(u64, u32)]) -> NewRequest {
    NewRequest {
        prefix: parts(list),
        ..turn(key, now, session)
    }
}

#[test]
fn a_part_is_cached_only_behind_all_parts_before_it() {
    let mut cache = PrefixCache::default();
    cache.record(&chain(&[(1, 100), (2, 10)]));
    assert_eq!(cache.missing_tokens(&chain(&[(1, 100), (2, 10)]), false), 0);
    assert_eq!(
        cache.missing_tokens(&chain(&[(1, 100), (3, 10)]), false),
        10
    );
    assert_eq!(
        cache.missing_tokens(&chain(&[(3, 100), (2, 10)]), false),
        110
    );
}

#[test]
fn only_the_added_tokens_of_a_part_that_has_grown_are_missing() {
    let mut cache = PrefixCache::default();
    cache.record(&chain(&[(1, 100), (2, 10)]));
    assert_eq!(
        cache.missing_tokens(&chain(&[(1, 100), (2, 25)]), false),
        15
    );
}

#[test]
fn least_recently_used_parts_are_evicted_first() {
    let mut cache = PrefixCache::default();
    let shared = (1, 1_000);
    for session in 10..5_000 {
        cache.record(&chain(&[shared, (session, 10)]));
    }
    assert_eq!(
        cache.missing_tokens(&chain(&[shared, (4_999, 10)]), false),
        0
    );
    assert_eq!(
        cache.missing_tokens(&chain(&[shared, (10, 10)]), false),
        10,
        "the shared part was used by every request"
    );
}

#[test]
fn the_turns_of_a_session_are_sent_to_the_target_of_the_first_turn() {
    let mut proxy = Proxy::with_targets(&["a", "b", "c", "d"]);
    let mut now = 0.0;
    for session in 0..20u64 {
        let mut targets = HashSet::new();
        for turn in 0..4 {
            let (key, tokens) = (10 * session + turn, 500 + 100 * turn as u32);
            now += 10.0;
            let target = proxy
                .enqueue(now, prompt(key, now, session, &[(session, tokens)]))
                .expect("sent");
            now += 10.0;
            proxy.end_attempt(now, key, &target, AttemptOutcome::Delivered);
            targets.insert(target);
        }
        assert_eq!(targets.len(), 1);
    }
}

/// Guards against turns that move to another target when the mix of prompts changes: the session's
/// earlier turns would be prefilled again.
#[test]
fn a_session_stays_at_its_target_while_the_share_of_its_prefix_grows() {
    let mut proxy = Proxy::with_targets(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    let mut now = 0.0;
    for session in 0..10u64 {
        let mut targets = HashSet::new();
        for turn in 0..6 {
            let (key, tokens) = (10 * session + turn, 300 + 10 * turn as u32);
            now += 100.0;
            let new = prompt(key, now, session, &[(7, 2_000), (100 + session, tokens)]);
            let target = proxy.enqueue(now, new).expect("sent");
            now += 100.0;
            proxy.end_attempt(now, key, &target, AttemptOutcome::Delivered);
            targets.insert(target);
        }
        assert_eq!(targets.len(), 1, "session {session}");
    }
}

#[test]
fn proxies_without_history_select_the_same_target() {
    let names = ["a", "b", "c", "d", "e", "f"];
    for shared_prefix in 0..50 {
        let selected: HashSet<String> = (0..6)
            .map(|seed| {
                let mut proxy = Proxy::with_targets(&[]);
                let settings = DispatchSettings { seed, ..settings() };
                proxy.dispatcher = Dispatcher::new(settings, 0.0);
                let listed: Vec<_> = names.iter().map(|id| healthy(id)).collect();
                proxy.dispatcher.set_targets(&listed);
                let new = prompt(1, 1.0, 1, &[(shared_prefix, 2_000), (seed, 100)]);
                proxy.enqueue(1.0, new).expect("sent")
            })
            .collect();
        assert_eq!(selected.len(), 1);
    }
}

#[test]
fn a_popular_prompt_does_not_overload_its_target() {
    let mut proxy = Proxy::with_targets(&["a", "b", "c", "d"]);
    let mut request_counts = std::collections::HashMap::<String, usize>::new();
    for key in 0..40 {
        let target = proxy
            .enqueue(1.0, prompt(key, 1.0, key, &[(7, 4_000), (key + 100, 10)]))
            .expect("sent");
        *request_counts.entry(target).or_default() += 1;
    }
    let (most, least) = (
        request_counts.values().max().copied(),
        request_counts.values().min().copied(),
    );
    assert_eq!(request_counts.len(), 4);
    let bound = least.map(|least| 1.25 * least as f64 + 7.0);
    assert!(most.map(|most| most as f64) <= bound, "{request_counts:?}");
}

#[test]
fn a_new_target_at_the_address_of_another_caches_nothing() {
    let mut proxy = Proxy::with_targets(&["a"]);
    proxy.enqueue(1.0, prompt(1, 1.0, 1, &[(7, 4_000), (8, 10)]));
    proxy.end_attempt(2.0, 1, "a", AttemptOutcome::Delivered);
    proxy.dispatcher.set_targets(&[healthy("a2")]);
    assert_eq!(
        proxy
            .enqueue(3.0, prompt(2, 3.0, 1, &[(7, 4_000), (8, 20)]))
            .as_deref(),
        Some("a2")
    );
}

#[test]
fn a_prefix_cached_for_other_proxies_is_not_missing() {
    let mut cache = PrefixCache::default();
    assert_eq!(cache.missing_tokens(&chain(&[(1, 100), (2, 10)]), true), 10);
    cache.record(&chain(&[(1, 100), (2, 10)]));
    assert_eq!(cache.missing_tokens(&chain(&[(1, 100), (2, 25)]), true), 15);
}

#[test]
fn ranks_are_a_permutation_whatever_the_order_of_the_targets() {
    arbtest(|u| {
        let count: usize = u.int_in_range(1..=12)?;
        let names: Vec<String> = (0..count).map(|at| format!("i-{at}")).collect();
        let hashes: Vec<u64> = names
            .iter()
            .map(|name| target_hash(&InstanceId::from(name.as_str())))
            .collect();
        let prompt = chain(&[(u.arbitrary()?, 10), (u.arbitrary()?, 10)]);
        let prefix = prompt.shared_prefix().expect("two parts");
        let shares = vec![PrefixShare {
            prefix,
            share: u.int_in_range(1..=100)? as f64 / 100.0,
        }];
        let allocation = Allocation::new(shares, &hashes);
        let quotas = allocation.targets_of(prefix);
        let costs = rank_costs(&prompt, &hashes, quotas);
        let reversed: Vec<u64> = hashes.iter().rev().copied().collect();
        let mut reversed_costs = rank_costs(&prompt, &reversed, quotas);
        reversed_costs.reverse();
        assert_eq!(costs, reversed_costs);
        assert_eq!(costs.iter().filter(|rank| rank.cost == 0.0).count(), 1);
        assert_eq!(
            costs.iter().filter(|rank| rank.has_shared_prefix).count(),
            quotas.len()
        );
        let highest_cost_of_quotas = costs
            .iter()
            .filter(|rank| rank.has_shared_prefix)
            .map(|rank| rank.cost)
            .fold(0.0, f64::max);
        assert!(costs
            .iter()
            .all(|rank| rank.has_shared_prefix || rank.cost > highest_cost_of_quotas));
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn missing_tokens_never_exceed_the_prompt() {
    arbtest(|u| {
        let mut cache = PrefixCache::default();
        for _ in 0..u.int_in_range(0..=20)? {
            let list: Vec<(u64, u32)> = u.arbitrary()?;
            let prompt = chain(&list);
            let all = list
                .iter()
                .take(64)
                .fold(0u32, |sum, part| sum.saturating_add(part.1));
            assert!(cache.missing_tokens(&prompt, false) <= all);
            cache.record(&prompt);
        }
        Ok(())
    })
    .budget_ms(500);
}
