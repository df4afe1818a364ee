//! Properties of the split, for generated policies and demands.

use std::collections::BTreeMap;

use plankhill_connection_quotas::language::tree::Over;
use plankhill_connection_quotas::language::{
    lending::reachable_borrowers, MemberTerms, PoolTerms, Reach,
};
use plankhill_connection_quotas::split::{split, ForwarderDemand, RoundingCarry, Share};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MEMBERS: usize = 4;

fn member() -> impl Strategy<Value = MemberTerms> {
    let only = prop::collection::btree_set(0..MEMBERS, 0..MEMBERS);
    let lends = prop_oneof![
        2 => Just(Reach::All),
        1 => only.prop_map(|to| Reach::Only(to.into_iter().collect())),
    ];
    let ceiling = prop_oneof![Just(u32::MAX), 4..30u32];
    (0..6u32, 0..4u32, ceiling, lends, any::<bool>()).prop_map(
        |(weight, floor, ceiling, lends, borrows)| MemberTerms {
            weight,
            floor,
            ceiling,
            lends,
            borrows,
        },
    )
}

fn terms() -> impl Strategy<Value = PoolTerms> {
    let over = prop_oneof![Just(Over::Evenly), Just(Over::ByDemand), Just(Over::ByZone)];
    (
        prop::collection::vec(member(), MEMBERS),
        0..60u32,
        0..4u32,
        0..8u32,
        over,
    )
        .prop_map(|(members, more, reserve, standing, over)| {
            let floors: u32 = members.iter().map(|member| member.floor).sum();
            let connections = floors + reserve + standing + more;
            PoolTerms {
                connections,
                reserve,
                standing,
                over,
                members,
            }
        })
}

type Case = (PoolTerms, BTreeMap<u16, ForwarderDemand>);

fn case() -> impl Strategy<Value = Case> {
    let demands = (
        prop::collection::vec(0..12u32, MEMBERS),
        0..3u32,
        any::<bool>(),
    );
    let all = prop::collection::btree_map(0..40u16, demands, 0..12);
    (terms(), all).prop_map(|(terms, all)| {
        let standing_of = |place: usize| u32::from(place < terms.standing as usize);
        let demands = all
            .into_iter()
            .enumerate()
            .map(|(place, (id, (members, trials, near)))| {
                (
                    id,
                    ForwarderDemand {
                        members,
                        trials,
                        is_near: near,
                        standing: standing_of(place),
                    },
                )
            });
        let demands = demands.collect();
        (terms, demands)
    })
}

fn shares((terms, demands): &Case) -> BTreeMap<u16, Share> {
    split(terms, terms.standing, demands, &mut RoundingCarry::new())
}

fn member_total(shares: &BTreeMap<u16, Share>, member: usize) -> u32 {
    shares.values().map(|share| share.members[member]).sum()
}

fn wanted((_, demands): &Case, member: usize) -> u32 {
    demands.values().map(|demand| demand.members[member]).sum()
}

/// The connections that count towards the quota: of each forwarder the larger of its share and its standing share, and
/// the standing shares of forwarders without demands.
fn counted_connections((terms, demands): &Case, shares: &BTreeMap<u16, Share>) -> u32 {
    let named: u32 = demands.values().map(|demand| demand.standing).sum();
    let sums = shares.iter().map(|(id, share)| {
        share.members.iter().sum::<u32>().max(demands[id].standing) + share.trials
    });
    sums.sum::<u32>() + terms.standing - named
}

/// A fixed seed, so that each run has the same cases. `POOLS_SEED` and `POOLS_CASES` override the seed and the number
/// of cases.
fn seeded(cases: u32) -> ProptestConfig {
    let seed = std::env::var("POOLS_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(32);
    let cases = std::env::var("POOLS_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(cases);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(seeded(512))]

    #[test]
    fn the_quota_is_never_exceeded_and_no_share_exceeds_the_demand(case in case()) {
        let shares = shares(&case);
        prop_assert!(counted_connections(&case, &shares) <= case.0.connections);
        for (id, share) in &shares {
            let demand = &case.1[id];
            prop_assert!(share.trials <= demand.trials);
            prop_assert!(share.members.iter().zip(&demand.members).all(|(granted, wanted)| granted <= wanted));
        }
        prop_assert!(shares.values().map(|share| share.trials).sum::<u32>() <= case.0.reserve);
    }

    #[test]
    fn floors_of_members_and_standing_shares_of_forwarders_are_kept(case in case()) {
        let shares = shares(&case);
        for (at, member) in case.0.members.iter().enumerate() {
            prop_assert!(member_total(&shares, at) >= wanted(&case, at).min(member.floor));
        }
        for (id, demand) in &case.1 {
            let granted: u32 = shares[id].members.iter().sum();
            prop_assert!(granted >= demand.standing.min(demand.members.iter().sum()));
        }
    }

    #[test]
    fn no_connection_stays_unused_that_a_member_wants_and_may_borrow(case in case()) {
        let shares = shares(&case);
        let terms = &case.0;
        let reachable_borrowers = reachable_borrowers(&terms.members);
        let free = terms.connections - terms.reserve - (counted_connections(&case, &shares)
            - shares.values().map(|share| share.trials).sum::<u32>());
        let unsatisfied = |at: &usize| {
            let granted = member_total(&shares, *at);
            granted < wanted(&case, *at) && granted < terms.members[*at].ceiling
        };
        let all_lend = terms.members.iter().all(|member| member.lends == Reach::All);
        for at in (0..MEMBERS).filter(unsatisfied) {
            // If all others may lend to this member, no connection may be left.
            let lent_by_all = (0..MEMBERS).all(|other| other == at || reachable_borrowers[other].contains(&at));
            prop_assert!(!(lent_by_all && all_lend) || free == 0, "{free} idle, {at} wants");
        }
    }

    #[test]
    fn a_member_gains_nothing_by_an_excessive_demand(case in case(), member in 0..MEMBERS, more in 1..50u32) {
        let (mut case, before) = (case.clone(), shares(&case));
        // The split by demand trusts the demands of forwarders. This property is about competing members.
        let Some(first) = case.1.keys().next().copied() else { return Ok(()) };
        let needed = wanted(&case, member);
        let standing = case.1.values().any(|demand| demand.standing > 0);
        case.1.get_mut(&first).expect("is there").members[member] += more;
        let after = shares(&case);
        if !standing {
            prop_assert!(member_total(&after, member).min(needed) <= member_total(&before, member));
        }
    }

    #[test]
    fn a_forwarder_gains_nothing_by_an_excessive_demand_in_an_even_split(
        case in case(), member in 0..MEMBERS, more in 1..50u32,
    ) {
        let mut case = case.clone();
        case.0.over = Over::Evenly;
        // Only checked if the member's total stays the same: a larger total is divided over all forwarders.
        case.1.values_mut().for_each(|demand| demand.standing = 0);
        let before = shares(&case);
        let Some(first) = case.1.keys().next().copied() else { return Ok(()) };
        let (needed, total) = (case.1[&first].members[member], member_total(&before, member));
        case.1.get_mut(&first).expect("is there").members[member] += more;
        let after = shares(&case);
        if member_total(&after, member) == total {
            prop_assert!(after[&first].members[member].min(needed) <= before[&first].members[member]);
        }
    }

    #[test]
    fn one_more_connection_changes_no_member_by_more_than_two(case in case()) {
        let before = shares(&case);
        let mut more = case.clone();
        more.0.connections += 1;
        let after = shares(&more);
        for at in 0..MEMBERS {
            let (a, b) = (member_total(&before, at), member_total(&after, at));
            prop_assert!(a.abs_diff(b) <= 2, "member {at}: {a} and {b}");
        }
        // If a remainder goes to another member, a member that may not borrow can lose its last connection.
        let sum = |shares: &BTreeMap<u16, Share>| (0..MEMBERS).map(|at| member_total(shares, at)).sum::<u32>();
        prop_assert!(sum(&before) <= sum(&after) + 1 && sum(&after) <= sum(&before) + 2);
    }

    #[test]
    fn rounding_errors_even_out_over_repeated_splits(forwarders in 2..20u16, connections in 1..10u32) {
        let member = MemberTerms { weight: 1, floor: 0, ceiling: u32::MAX, lends: Reach::All, borrows: true };
        let (reserve, standing, over, members) = (0, 0, Over::Evenly, vec![member]);
        let terms = PoolTerms { connections, reserve, standing, over, members };
        let demand = ForwarderDemand { members: vec![20], ..ForwarderDemand::default() };
        let demands: BTreeMap<u16, ForwarderDemand> = (0..forwarders).map(|id| (id, demand.clone())).collect();
        let (mut carry, mut granted) = (RoundingCarry::new(), vec![0; usize::from(forwarders)]);
        for _ in 0..forwarders {
            for (id, share) in split(&terms, 0, &demands, &mut carry) {
                granted[usize::from(id)] += share.total();
            }
        }
        prop_assert!(granted.iter().all(|sum| sum.abs_diff(connections) <= 1), "{granted:?}");
    }
}

fn split_for_one_forwarder(
    members: Vec<MemberTerms>,
    connections: u32,
    demands: &[u32],
) -> Vec<u32> {
    let (reserve, standing, over) = (0, 0, Over::ByDemand);
    let terms = PoolTerms {
        connections,
        reserve,
        standing,
        over,
        members,
    };
    let demands = BTreeMap::from([(
        7,
        ForwarderDemand {
            members: demands.to_vec(),
            ..ForwarderDemand::default()
        },
    )]);
    split(&terms, 0, &demands, &mut RoundingCarry::new())[&7]
        .members
        .clone()
}

fn member_terms(weight: u32, lends: Reach, borrows: bool) -> MemberTerms {
    MemberTerms {
        weight,
        floor: 0,
        ceiling: u32::MAX,
        lends,
        borrows,
    }
}

#[test]
fn an_unused_share_is_only_lent_to_the_named_members() {
    let members = |lends| {
        vec![
            member_terms(1, lends, true),
            member_terms(1, Reach::All, true),
            member_terms(1, Reach::All, true),
        ]
    };
    assert_eq!(
        split_for_one_forwarder(members(Reach::All), 30, &[0, 30, 30]),
        [0, 15, 15]
    );
    assert_eq!(
        split_for_one_forwarder(members(Reach::Only(vec![2])), 30, &[0, 30, 30]),
        [0, 10, 20]
    );
    assert_eq!(
        split_for_one_forwarder(members(Reach::Only(vec![])), 30, &[0, 30, 30]),
        [0, 10, 10]
    );
}

#[test]
fn connections_lent_by_name_are_lent_further_but_not_to_members_that_do_not_borrow() {
    let chain = |middle| {
        let lends = [Reach::Only(vec![1]), Reach::Only(vec![2]), Reach::All];
        let [first, second, third] = lends;
        vec![
            member_terms(1, first, true),
            member_terms(1, second, middle),
            member_terms(1, third, true),
        ]
    };
    assert_eq!(
        split_for_one_forwarder(chain(true), 30, &[0, 0, 30]),
        [0, 0, 30]
    );
    assert_eq!(
        split_for_one_forwarder(chain(false), 30, &[0, 30, 10]),
        [0, 10, 10]
    );
}

#[test]
fn a_loan_is_reassigned_to_another_lender_if_that_satisfies_more_members() {
    // The first member lends to both members with demand, the second only to the last: each gets one connection.
    let members = vec![
        member_terms(1, Reach::Only(vec![2, 3]), true),
        member_terms(1, Reach::Only(vec![3]), true),
        member_terms(0, Reach::All, true),
        member_terms(0, Reach::All, true),
    ];
    assert_eq!(
        split_for_one_forwarder(members, 2, &[0, 0, 1, 1]),
        [0, 0, 1, 1]
    );
}

#[test]
fn weights_divide_contended_connections_and_by_zone_prefers_near_forwarders() {
    let members = vec![
        member_terms(3, Reach::All, true),
        member_terms(1, Reach::All, true),
    ];
    assert_eq!(
        split_for_one_forwarder(members.clone(), 20, &[50, 50]),
        [15, 5]
    );
    let (reserve, standing, over) = (0, 0, Over::ByZone);
    let terms = PoolTerms {
        connections: 10,
        reserve,
        standing,
        over,
        members,
    };
    let demand = |near| ForwarderDemand {
        members: vec![8, 0],
        is_near: near,
        ..ForwarderDemand::default()
    };
    let shares = split(
        &terms,
        0,
        &BTreeMap::from([(1, demand(false)), (2, demand(true))]),
        &mut RoundingCarry::new(),
    );
    assert_eq!((shares[&1].total(), shares[&2].total()), (2, 8));
}
