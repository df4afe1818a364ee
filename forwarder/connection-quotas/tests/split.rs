//! What the split promises, for policies and wants of any kind.

use std::collections::BTreeMap;

use plankhill_connection_quotas::language::tree::Over;
use plankhill_connection_quotas::language::{lending::reaches, MemberTerms, PoolTerms, Reach};
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
    let wants = (
        prop::collection::vec(0..12u32, MEMBERS),
        0..3u32,
        any::<bool>(),
    );
    let all = prop::collection::btree_map(0..40u16, wants, 0..12);
    (terms(), all).prop_map(|(terms, all)| {
        let stands = |place: usize| u32::from(place < terms.standing as usize);
        let wants = all
            .into_iter()
            .enumerate()
            .map(|(place, (id, (members, trials, near)))| {
                (
                    id,
                    ForwarderDemand {
                        members,
                        trials,
                        is_near: near,
                        standing: stands(place),
                    },
                )
            });
        let wants = wants.collect();
        (terms, wants)
    })
}

fn parts((terms, wants): &Case) -> BTreeMap<u16, Share> {
    split(terms, terms.standing, wants, &mut RoundingCarry::new())
}

fn of_member(parts: &BTreeMap<u16, Share>, member: usize) -> u32 {
    parts.values().map(|part| part.members[member]).sum()
}

fn wanted((_, wants): &Case, member: usize) -> u32 {
    wants.values().map(|wants| wants.members[member]).sum()
}

/// What is out or set aside: a forwarder counts with its part, or what it has for sure if that is more.
fn counted((terms, wants): &Case, parts: &BTreeMap<u16, Share>) -> u32 {
    let named: u32 = wants.values().map(|wants| wants.standing).sum();
    let sums = parts
        .iter()
        .map(|(id, part)| part.members.iter().sum::<u32>().max(wants[id].standing) + part.trials);
    sums.sum::<u32>() + terms.standing - named
}

/// The same cases each time.
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
    fn the_quota_is_never_passed_and_no_share_is_more_than_wanted(case in case()) {
        let parts = parts(&case);
        prop_assert!(counted(&case, &parts) <= case.0.connections);
        for (id, part) in &parts {
            let wants = &case.1[id];
            prop_assert!(part.trials <= wants.trials);
            prop_assert!(part.members.iter().zip(&wants.members).all(|(got, want)| got <= want));
        }
        prop_assert!(parts.values().map(|part| part.trials).sum::<u32>() <= case.0.reserve);
    }

    #[test]
    fn floors_of_members_and_of_forwarders_are_kept(case in case()) {
        let parts = parts(&case);
        for (at, member) in case.0.members.iter().enumerate() {
            prop_assert!(of_member(&parts, at) >= wanted(&case, at).min(member.floor));
        }
        for (id, wants) in &case.1 {
            let got: u32 = parts[id].members.iter().sum();
            prop_assert!(got >= wants.standing.min(wants.members.iter().sum()));
        }
    }

    #[test]
    fn no_connection_is_idle_that_a_member_wants_and_may_have(case in case()) {
        let parts = parts(&case);
        let terms = &case.0;
        let reaches = reaches(&terms.members);
        let free = terms.connections - terms.reserve - (counted(&case, &parts)
            - parts.values().map(|part| part.trials).sum::<u32>());
        let hungry = |at: &usize| {
            let got = of_member(&parts, *at);
            got < wanted(&case, *at) && got < terms.members[*at].ceiling
        };
        let everyone_lends = terms.members.iter().all(|member| member.lends == Reach::All);
        for at in (0..MEMBERS).filter(hungry) {
            // All others may lend to it: then nothing may be left.
            let lent_by_all = (0..MEMBERS).all(|other| other == at || reaches[other].contains(&at));
            prop_assert!(!(lent_by_all && everyone_lends) || free == 0, "{free} idle, {at} wants");
        }
    }

    #[test]
    fn a_member_that_asks_beyond_its_need_gains_nothing(case in case(), member in 0..MEMBERS, more in 1..50u32) {
        let (mut case, before) = (case.clone(), parts(&case));
        // Ways that follow the demand of forwarders believe what forwarders measure: members are the rivals.
        let Some(first) = case.1.keys().next().copied() else { return Ok(()) };
        let needed = wanted(&case, member);
        let standing = case.1.values().any(|wants| wants.standing > 0);
        case.1.get_mut(&first).expect("is there").members[member] += more;
        let after = parts(&case);
        if !standing {
            prop_assert!(of_member(&after, member).min(needed) <= of_member(&before, member));
        }
    }

    #[test]
    fn a_forwarder_that_asks_beyond_its_need_gains_nothing_where_demand_is_no_weight(
        case in case(), member in 0..MEMBERS, more in 1..50u32,
    ) {
        let mut case = case.clone();
        case.0.over = Over::Evenly;
        // One member alone: what the member gets more by it goes to all its forwarders.
        case.1.values_mut().for_each(|wants| wants.standing = 0);
        let before = parts(&case);
        let Some(first) = case.1.keys().next().copied() else { return Ok(()) };
        let (needed, total) = (case.1[&first].members[member], of_member(&before, member));
        case.1.get_mut(&first).expect("is there").members[member] += more;
        let after = parts(&case);
        if of_member(&after, member) == total {
            prop_assert!(after[&first].members[member].min(needed) <= before[&first].members[member]);
        }
    }

    #[test]
    fn one_connection_more_or_less_moves_no_member_by_more_than_two(case in case()) {
        let before = parts(&case);
        let mut more = case.clone();
        more.0.connections += 1;
        let after = parts(&more);
        for at in 0..MEMBERS {
            let (a, b) = (of_member(&before, at), of_member(&after, at));
            prop_assert!(a.abs_diff(b) <= 2, "member {at}: {a} and {b}");
        }
        // A remainder that changes hands can cost one who may not borrow its last one.
        let sum = |parts: &BTreeMap<u16, Share>| (0..MEMBERS).map(|at| of_member(parts, at)).sum::<u32>();
        prop_assert!(sum(&before) <= sum(&after) + 1 && sum(&after) <= sum(&before) + 2);
    }

    #[test]
    fn what_rounding_owes_evens_out_over_turns(forwarders in 2..20u16, connections in 1..10u32) {
        let member = MemberTerms { weight: 1, floor: 0, ceiling: u32::MAX, lends: Reach::All, borrows: true };
        let (reserve, standing, over, members) = (0, 0, Over::Evenly, vec![member]);
        let terms = PoolTerms { connections, reserve, standing, over, members };
        let wants = ForwarderDemand { members: vec![20], ..ForwarderDemand::default() };
        let wants: BTreeMap<u16, ForwarderDemand> = (0..forwarders).map(|id| (id, wants.clone())).collect();
        let (mut owed, mut got) = (RoundingCarry::new(), vec![0; usize::from(forwarders)]);
        for _ in 0..forwarders {
            for (id, part) in split(&terms, 0, &wants, &mut owed) {
                got[usize::from(id)] += part.total();
            }
        }
        prop_assert!(got.iter().all(|sum| sum.abs_diff(connections) <= 1), "{got:?}");
    }
}

fn one_forwarder(members: Vec<MemberTerms>, connections: u32, wants: &[u32]) -> Vec<u32> {
    let (reserve, standing, over) = (0, 0, Over::ByDemand);
    let terms = PoolTerms {
        connections,
        reserve,
        standing,
        over,
        members,
    };
    let wants = BTreeMap::from([(
        7,
        ForwarderDemand {
            members: wants.to_vec(),
            ..ForwarderDemand::default()
        },
    )]);
    split(&terms, 0, &wants, &mut RoundingCarry::new())[&7]
        .members
        .clone()
}

fn lender(weight: u32, lends: Reach, borrows: bool) -> MemberTerms {
    MemberTerms {
        weight,
        floor: 0,
        ceiling: u32::MAX,
        lends,
        borrows,
    }
}

#[test]
fn an_unused_share_goes_only_where_it_is_lent() {
    let members = |lends| {
        vec![
            lender(1, lends, true),
            lender(1, Reach::All, true),
            lender(1, Reach::All, true),
        ]
    };
    assert_eq!(
        one_forwarder(members(Reach::All), 30, &[0, 30, 30]),
        [0, 15, 15]
    );
    assert_eq!(
        one_forwarder(members(Reach::Only(vec![2])), 30, &[0, 30, 30]),
        [0, 10, 20]
    );
    assert_eq!(
        one_forwarder(members(Reach::Only(vec![])), 30, &[0, 30, 30]),
        [0, 10, 10]
    );
}

#[test]
fn connections_lent_by_name_go_on_along_the_lists_and_not_to_members_that_do_not_borrow() {
    let chain = |middle| {
        let reaches = [Reach::Only(vec![1]), Reach::Only(vec![2]), Reach::All];
        let [first, second, third] = reaches;
        vec![
            lender(1, first, true),
            lender(1, second, middle),
            lender(1, third, true),
        ]
    };
    assert_eq!(one_forwarder(chain(true), 30, &[0, 0, 30]), [0, 0, 30]);
    assert_eq!(one_forwarder(chain(false), 30, &[0, 30, 10]), [0, 10, 10]);
}

#[test]
fn a_member_that_could_have_borrowed_from_another_makes_way() {
    // The first lends to both that want, the second to the last alone: each gets one.
    let members = vec![
        lender(1, Reach::Only(vec![2, 3]), true),
        lender(1, Reach::Only(vec![3]), true),
        lender(0, Reach::All, true),
        lender(0, Reach::All, true),
    ];
    assert_eq!(one_forwarder(members, 2, &[0, 0, 1, 1]), [0, 0, 1, 1]);
}

#[test]
fn weights_decide_where_all_want_more_and_zones_where_a_policy_says_so() {
    let members = vec![lender(3, Reach::All, true), lender(1, Reach::All, true)];
    assert_eq!(one_forwarder(members.clone(), 20, &[50, 50]), [15, 5]);
    let (reserve, standing, over) = (0, 0, Over::ByZone);
    let terms = PoolTerms {
        connections: 10,
        reserve,
        standing,
        over,
        members,
    };
    let wants = |near| ForwarderDemand {
        members: vec![8, 0],
        is_near: near,
        ..ForwarderDemand::default()
    };
    let parts = split(
        &terms,
        0,
        &BTreeMap::from([(1, wants(false)), (2, wants(true))]),
        &mut RoundingCarry::new(),
    );
    assert_eq!((parts[&1].total(), parts[&2].total()), (2, 8));
}
