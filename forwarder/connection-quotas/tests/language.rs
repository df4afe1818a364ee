//! Tests of the policy language: the meaning of policies, printing and reparsing, and errors with position, key and
//! suggested fix.

use plankhill_connection_quotas::language::{read, Facts, KnownNames, PoolId};
use plankhill_connection_quotas::policy;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const FULL_POLICY: &str = r#"
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
fn the_most_specific_budget_applies_and_determines_the_pool() {
    let policy = policy("p", FULL_POLICY, &KnownNames::default()).expect("is valid");
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
        "a target without a budget is unlimited"
    );
}

#[test]
fn rules_whose_conditions_hold_lower_a_budget_and_the_lowest_applies() {
    let policy = policy("p", FULL_POLICY, &KnownNames::default()).expect("is valid");
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
    let policy = policy("p", FULL_POLICY, &KnownNames::default()).expect("is valid");
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
#[case::percentage_without_base(
    "budget destination 1 { connections 50% }",
    "is a percentage without a base"
)]
#[case::floors_above(
    "member a { floor 3 }\nbudget destination 1 { connections 4 reserve 1 standing 1 }",
    "p:3:8: budget destination 1 / connections: floors 3, reserve 1 and standing 1 are 5, above the 4 \
     connections; reduce them by 1"
)]
#[case::floors_above_by_a_rule(
    "member a { floor 3 }\nbudget each target { connections 8 standing 0 }\nrule r when cold { connections 25% }",
    "p:4:6: budget each target / connections: floors 3, reserve 0 and standing 0 are 3, above the 2 connections \
     of 8 with rule r"
)]
#[case::cycle(
    "member a { lends to b }\nmember b { lends to c }\nmember c { lends to a }",
    "p:2:8: member a / lends: a lending cycle: a to b to c to a; remove one"
)]
#[case::self_cycle("member a { lends to a }", "a lending cycle: a to a")]
#[case::cycle_in_a_budget(
    "member a { lends to b }\nmember b {}\nbudget each target { connections 9 member b { lends to a } }",
    "p:4:43: budget each target / member b / lends: a lending cycle"
)]
#[case::lends_to_a_member_that_does_not_borrow(
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
#[case::member_twice("member a {}\nmember a {}", "p:3:8: member a: is given twice")]
#[case::rule_twice(
    "rule r when cold { reserve 1 }\nrule r when cold { reserve 1 }",
    "p:3:6: rule r: the name is used twice"
)]
#[case::budget_twice(
    "budget each target { connections 1 }\nbudget each target { connections 1 }",
    "line 2 applies to the same targets"
)]
#[case::same_targets(
    "budget destination 4 { connections 1 }\nbudget each target of destination 4 { connections 1 }",
    "applies to the same targets"
)]
#[case::key_twice(
    "member a { weight 1 weight 2 }",
    "p:2:28: member a / weight: is given twice"
)]
#[case::too_many_connections(
    "budget each target { connections 99999999999999999999 }",
    "is above 10000; 1 to 10000 are allowed"
)]
#[case::zero_connections("budget each target { connections 0 }", "is under 1")]
#[case::rule_without_keys("rule r when cold {}", "rule r: changes nothing")]
#[case::renewal_too_rare("lease { lasts 2s renew 1s }", "lease / renew: 1000ms is over a third")]
#[case::too_much_drift(
    "lease { drift 11% }",
    "lease / drift: is 11%; 0.01% to 10% are allowed"
)]
#[case::misspelt(
    "member a { weigth 3 }",
    "p:2:12: weigth: cannot stand here; did you mean `weight`?"
)]
#[case::missing_space(
    "member a { weight3 }",
    "weight3: cannot stand here; did you mean `weight`?"
)]
#[case::unterminated_block("member a { weight 3", "end of the file: cannot stand here; expected:")]
#[case::no_unit(
    "lease { lasts 10 }",
    "p:2:15: 10: cannot stand here; expected: a time as `10s` or `500ms`"
)]
fn an_error_has_a_position_a_key_and_a_suggestion(#[case] text: &str, #[case] expected: &str) {
    let (kinds, zones) = (["webhook".to_owned()], ["north".to_owned()]);
    let known = KnownNames {
        kinds: Some(&kinds),
        zones: Some(&zones),
        members: None,
    };
    let errors = policy("p", &format!("language 1 edition 1\n{text}"), &known)
        .expect_err("is invalid")
        .to_string();
    assert!(errors.contains(expected), "{errors}");
}

#[test]
fn all_errors_of_a_file_are_reported_at_once() {
    let text = "language 2 edition 1\nmember a { weight 5000 }\nbudget each target { reserve 1 }";
    let errors = policy("p", text, &KnownNames::default()).expect_err("is invalid");
    let keys: Vec<&str> = errors.0.iter().map(|error| error.key.as_str()).collect();
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
fn deeply_nested_conditions_are_refused_before_parsing() {
    for deep in [
        "(".repeat(100_000),
        "not ".repeat(50_000),
        "not\n".repeat(50_000),
    ] {
        let text = format!("language 1 edition 1\nrule r when {deep} cold {{ reserve 1 }}");
        let errors = read("p", &text).expect_err("is refused").to_string();
        assert!(errors.contains("in one condition"), "{errors}");
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
    #![proptest_config(seeded(256))]

    #[test]
    fn a_printed_tree_parses_into_the_same_tree(text in text()) {
        let tree = read("p", &text).expect("is in the grammar");
        let printed = tree.to_string();
        prop_assert_eq!(read("p", &printed).expect("is still in the grammar"), tree);
    }

    #[test]
    fn no_text_causes_a_panic(text in "[ -~\n]{0,80}", cut in 0..400usize) {
        let _ = policy("p", &text, &KnownNames::default());
        let truncated: String = FULL_POLICY.chars().take(cut).collect();
        let _ = policy("p", &(truncated + &text), &KnownNames::default());
    }
}
