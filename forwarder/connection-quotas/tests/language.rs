//! Stories of the policy language: what is written means what the reference says, reads back the same, and
//! each fault is told with its place, its key and a way out.

use plankhill_connection_quotas::language::{read, Facts, KnownNames, PoolId};
use plankhill_connection_quotas::policy;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const WHOLE: &str = r#"
language 1 edition 7  # the version of the language, and the number of this text
lease { lasts 10s renew 1s drift 2% }
member shop   { weight 3 floor 2 lends to audits }
member audits { weight 1 ceiling 6 }
budget each target of kind "webhook" {
  connections 20 reserve 1 standing 4
  over forwarders by zone
  member audits { weight 2 }
}
budget destination 4 { connections 40 standing 0 over forwarders evenly }
budget target "t-1" { connections 8 standing 0 reserve 1 }
rule "half while cold" for each target of kind "webhook" when cold and not zone is north { connections 50% }
rule "far" when (zone in ("south", "west") or draining) and kind is webhook { connections 12 }
"#;

fn facts(target: &str, destination: u64) -> Facts {
    Facts {
        target: target.into(),
        destination,
        kind: "webhook".into(),
        ..Facts::default()
    }
}

#[test]
fn the_narrowest_budget_holds_and_says_where_connections_are_counted() {
    let policy = policy("p", WHOLE, &KnownNames::default()).expect("is sound");
    assert_eq!(
        policy.pool(&facts("t-1", 4)),
        Some(PoolId::Target("t-1".into()))
    );
    assert_eq!(policy.pool(&facts("t-2", 4)), Some(PoolId::Destination(4)));
    assert_eq!(
        policy.pool(&facts("t-2", 5)),
        Some(PoolId::Target("t-2".into()))
    );
    let other_kind = Facts {
        kind: "mail".into(),
        ..facts("t-2", 5)
    };
    assert_eq!(
        policy.pool(&other_kind),
        None,
        "what no budget names has no bound"
    );
}

#[test]
fn rules_whose_conditions_hold_lower_a_budget_and_the_lowest_counts() {
    let policy = policy("p", WHOLE, &KnownNames::default()).expect("is sound");
    let connections = |facts: &Facts| policy.terms(facts).expect("has a budget").connections;
    let (warm, cold) = (
        facts("t", 9),
        Facts {
            cold: true,
            ..facts("t", 9)
        },
    );
    assert_eq!(connections(&warm), 20);
    assert_eq!(connections(&cold), 10);
    assert_eq!(
        connections(&Facts {
            zone: "north".into(),
            ..cold.clone()
        }),
        20
    );
    assert_eq!(
        connections(&Facts {
            zone: "west".into(),
            ..warm.clone()
        }),
        12
    );
    assert_eq!(
        connections(&Facts {
            zone: "west".into(),
            ..cold
        }),
        10
    );
    assert_eq!(policy.base(&warm).expect("has a budget").connections, 20);
}

#[test]
fn a_budget_inherits_the_terms_of_members_and_may_override_them() {
    let policy = policy("p", WHOLE, &KnownNames::default()).expect("is sound");
    let terms = policy.terms(&facts("t", 9)).expect("has a budget");
    let of = |name: &str| &terms.members[policy.member(name).0 as usize];
    assert_eq!((of("shop").weight, of("shop").floor), (3, 2));
    assert_eq!((of("audits").weight, of("audits").ceiling), (2, 6));
    assert_eq!(policy.member("nobody"), policy.member("others"));
}

#[rstest]
#[case::no_number(
    "budget destination 1 { reserve 1 }",
    "p:2:8: budget destination 1 / connections: is missing"
)]
#[case::of_nothing("budget destination 1 { connections 50% }", "is a part of nothing")]
#[case::floors_above(
    "member a { floor 3 }\nbudget destination 1 { connections 4 reserve 1 standing 1 }",
    "p:3:8: budget destination 1 / connections: floors 3, reserve 1 and standing 1 are 5, above the 4 \
     connections; take 1 off them"
)]
#[case::floors_above_by_a_rule(
    "member a { floor 3 }\nbudget each target { connections 8 standing 0 }\nrule r when cold { connections 25% }",
    "p:4:6: budget each target / connections: floors 3, reserve 0 and standing 0 are 3, above the 2 connections \
     of 8 with rule r"
)]
#[case::circle(
    "member a { lends to b }\nmember b { lends to c }\nmember c { lends to a }",
    "p:2:8: member a / lends: a circle of lending: a to b to c to a; take one"
)]
#[case::own_circle("member a { lends to a }", "a circle of lending: a to a")]
#[case::circle_in_a_budget(
    "member a { lends to b }\nmember b {}\nbudget each target { connections 9 member b { lends to a } }",
    "p:4:43: budget each target / member b / lends: a circle of lending"
)]
#[case::lends_to_one_that_may_not(
    "member a { lends to b }\nmember b { borrows no }",
    "member a / lends: lends to b, which does not borrow"
)]
#[case::no_such_member(
    "member a { lends to bee }\nmember beee {}",
    "p:2:21: member a / lends / member bee: no such member; did you mean `beee`?"
)]
#[case::no_member_to_change(
    "budget each target { connections 9 member x { weight 2 } }",
    "budget each target / member x: no such member"
)]
#[case::no_such_kind(
    "budget each target of kind webhok { connections 9 }",
    "kind webhok: no such kind; did you mean `webhook`?"
)]
#[case::no_such_zone(
    "rule r when zone is nort { connections 9 }",
    "p:2:21: rule r / zone nort: no such zone; did you mean `north`?"
)]
#[case::ceiling_under_floor(
    "member a { floor 3 ceiling 2 }",
    "p:2:8: member a / ceiling: the ceiling 2 is under the floor 3"
)]
#[case::ceiling_under_floor_in_a_rule(
    "member a { floor 3 }\nbudget each target { connections 9 }\nrule r when cold { member a { ceiling 1 } }",
    "rule r / member a / ceiling: the ceiling 1 is under the floor 3"
)]
#[case::member_twice("member a {}\nmember a {}", "p:3:8: member a: is told twice")]
#[case::rule_twice(
    "rule r when cold { reserve 1 }\nrule r when cold { reserve 1 }",
    "p:3:6: rule r: the name is told twice"
)]
#[case::budget_twice(
    "budget each target { connections 1 }\nbudget each target { connections 1 }",
    "line 2 holds for the same"
)]
#[case::same_ground(
    "budget destination 4 { connections 1 }\nbudget each target of destination 4 { connections 1 }",
    "holds for the same"
)]
#[case::key_twice(
    "member a { weight 1 weight 2 }",
    "p:2:28: member a / weight: is told twice"
)]
#[case::too_much(
    "budget each target { connections 99999999999999999999 }",
    "is above 10000; 1 to 10000 are allowed"
)]
#[case::nothing("budget each target { connections 0 }", "is under 1")]
#[case::idle_rule("rule r when cold {}", "rule r: changes nothing")]
#[case::renewed_too_late("lease { lasts 2s renew 1s }", "lease / renew: 1000ms is over a third")]
#[case::wild_clocks(
    "lease { drift 11% }",
    "lease / drift: is 11%; 0.01% to 10% are allowed"
)]
#[case::misspelt(
    "member a { weigth 3 }",
    "p:2:12: weigth: cannot stand here; did you mean `weight`?"
)]
#[case::run_together(
    "member a { weight3 }",
    "weight3: cannot stand here; did you mean `weight`?"
)]
#[case::unended(
    "member a { weight 3",
    "end of the file: cannot stand here; here may stand:"
)]
#[case::no_unit(
    "lease { lasts 10 }",
    "p:2:15: 10: cannot stand here; here may stand: a time as `10s` or `500ms`"
)]
fn an_error_has_its_position_its_key_and_a_way_out(#[case] text: &str, #[case] said: &str) {
    let (kinds, zones) = (["webhook".to_owned()], ["north".to_owned()]);
    let known = KnownNames {
        kinds: Some(&kinds),
        zones: Some(&zones),
        members: None,
    };
    let faults = policy("p", &format!("language 1 edition 1\n{text}"), &known)
        .expect_err("is faulty")
        .to_string();
    assert!(faults.contains(said), "{faults}");
}

#[test]
fn all_errors_of_a_file_are_reported_at_once() {
    let text = "language 2 edition 1\nmember a { weight 5000 }\nbudget each target { reserve 1 }";
    let faults = policy("p", text, &KnownNames::default()).expect_err("is faulty");
    let keys: Vec<&str> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "language",
            "member a / weight",
            "budget each target / connections"
        ]
    );
}

#[test]
fn conditions_nested_without_end_are_refused_before_they_are_parsed() {
    for deep in [
        "(".repeat(100_000),
        "not ".repeat(50_000),
        "not\n".repeat(50_000),
    ] {
        let text = format!("language 1 edition 1\nrule r when {deep} cold {{ reserve 1 }}");
        let faults = read("p", &text).expect_err("is refused").to_string();
        assert!(faults.contains("in one condition"), "{faults}");
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9_-]{0,6}"
}

fn condition() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("cold".to_owned()),
        Just("draining".to_owned()),
        name().prop_map(|zone| format!("zone is \"{zone}\"")),
        (name(), name()).prop_map(|(a, b)| format!("kind in ({a}, {b})")),
        any::<u32>().prop_map(|number| format!("destination is {number}")),
    ];
    leaf.prop_recursive(4, 16, 3, |inner| {
        prop_oneof![
            inner.clone().prop_map(|one| format!("not ({one})")),
            (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("({a}) or ({b})")),
            (inner.clone(), inner).prop_map(|(a, b)| format!("({a}) and ({b})")),
        ]
    })
}

fn member() -> impl Strategy<Value = String> {
    let lends = prop_oneof![
        Just("all".to_owned()),
        Just("nothing".to_owned()),
        name().prop_map(|to| format!("to {to}")),
    ];
    (name(), 0..9u32, lends).prop_map(|(name, weight, lends)| {
        format!("member {name} {{ weight {weight} lends {lends} borrows no }}")
    })
}

fn text() -> impl Strategy<Value = String> {
    let scope = prop_oneof![
        name().prop_map(|name| format!("target {name}")),
        any::<u16>().prop_map(|number| format!("destination {number}")),
        Just("each destination".to_owned()),
        name().prop_map(|kind| format!("each target of kind {kind}")),
    ];
    let member_list = prop::collection::vec(member(), 0..3);
    let budget = (scope, 0..50u32, member_list).prop_map(|(scope, connections, members)| {
        format!(
            "budget {scope} {{ connections {connections} over forwarders by zone {} }}",
            members.join(" ")
        )
    });
    let rule = (name(), condition(), 0..100u32).prop_map(|(name, when, part)| {
        format!("rule {name} for destination 3 when {when} {{ connections {part}.25% reserve 3 }}")
    });
    let parts = prop::collection::vec(prop_oneof![member(), budget, rule], 0..6);
    parts.prop_map(|parts| {
        format!(
            "language 1 edition 3\nlease {{ lasts 7s renew 250ms drift 0.5% }}\n{}",
            parts.join("\n")
        )
    })
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
    #![proptest_config(seeded(256))]

    #[test]
    fn a_printed_tree_reads_into_the_same_tree(text in text()) {
        let tree = read("p", &text).expect("is in the grammar");
        let again = tree.to_string();
        prop_assert_eq!(read("p", &again).expect("is in the grammar still"), tree);
    }

    #[test]
    fn no_text_makes_it_panic(text in "[ -~\n]{0,80}", cut in 0..400usize) {
        let _ = policy("p", &text, &KnownNames::default());
        let whole: String = WHOLE.chars().take(cut).collect();
        let _ = policy("p", &(whole + &text), &KnownNames::default());
    }
}
