//! Calls of operators as they are read, and bans under any order of list changes, bans and returns.

use std::collections::{HashMap, HashSet};

use plankhill_admin::*;
use plankhill_decisions::interface::{EndpointState, TargetId};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("GET", "/-/ready", Ok(Asked::Ready))]
#[case("POST", "/-/drain", Ok(Asked::Order(Order::Drain)))]
#[case("POST", "/-/resume", Ok(Asked::Order(Order::Resume)))]
#[case("POST", "/-/targets/s-1/disable", Ok(Asked::Order(Order::Disable("s-1".into()))))]
#[case("POST", "/-/targets/a%2Fb/enable", Ok(Asked::Order(Order::Enable("a/b".into()))))]
#[case("GET", "/-/drain", Err(Refused::OnlyMethod("POST")))]
#[case("POST", "/-/ready", Err(Refused::OnlyMethod("GET")))]
#[case("POST", "/-/targets//disable", Err(Refused::Id))]
#[case("POST", "/-/targets/a%0Ab/disable", Err(Refused::Id))]
#[case("POST", "/-/targets/%ff/disable", Err(Refused::Id))]
#[case("POST", "/-/targets/a/b/disable", Err(Refused::NoSuchPath))]
#[case("GET", "/up", Err(Refused::NoSuchPath))]
fn a_call_is_read(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Result<Asked, Refused>,
) {
    assert_eq!(asked(method, path), expected);
}

#[rstest]
#[case("", "no checksum")]
#[case("plankhill bans 1\ns\n", "no checksum")]
#[case("plankhill bans 1\na\n00000000\n", "checksum differs")]
fn a_damaged_record_is_said_to_be_so(#[case] record: &str, #[case] why: &str) {
    let said = Bans::read(record)
        .map(|_| ())
        .expect_err("damaged")
        .to_string();
    assert!(said.contains(why), "{said}");
}

#[derive(Clone, Debug)]
enum Step {
    Listed(usize, bool),
    Left(usize),
    Set(usize, bool),
    /// The process ends, and the next one reads the record and the list.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..4usize;
    prop_oneof![
        (id.clone(), any::<bool>()).prop_map(|(id, runs)| Step::Listed(id, runs)),
        id.clone().prop_map(Step::Left),
        (id, any::<bool>()).prop_map(|(id, ban)| Step::Set(id, ban)),
        Just(Step::Restart),
    ]
}

proptest! {
    /// Held against the plainest model: a banned target is never told as running, an unbanned one as listed.
    #[test]
    fn a_ban_lasts_until_it_is_lifted(steps in proptest::collection::vec(step(), 1..60)) {
        let mut bans = Bans::default();
        let mut record = None;
        let (mut banned, mut list, mut ever) = (HashSet::new(), HashMap::new(), HashSet::new());
        let id = |number: usize| TargetId(format!("t{number}").into());
        for step in steps {
            match step {
                Step::Listed(n, runs) => {
                    let listing = if runs { EndpointState::Running } else { EndpointState::Draining };
                    let told = bans.listed(&id(n), listing);
                    prop_assert_eq!(told == EndpointState::Running, runs && !banned.contains(&n));
                    list.insert(n, listing);
                    ever.insert(n);
                }
                Step::Left(n) => {
                    bans.left(&id(n));
                    list.remove(&n);
                }
                Step::Set(n, ban) => match bans.change(&id(n).0, ban) {
                    Change::NeverListed => prop_assert!(!ever.contains(&n) && !banned.contains(&n)),
                    Change::Nothing => prop_assert_eq!(banned.contains(&n), ban),
                    Change::Record(text) => {
                        prop_assert!(ever.contains(&n) || banned.contains(&n));
                        record = Some(text);
                        let told = bans.set(&id(n).0, ban);
                        if ban { banned.insert(n) } else { banned.remove(&n) };
                        let listed = list.get(&n).copied();
                        prop_assert_eq!(told.is_some(), listed.is_some());
                        let runs = listed == Some(EndpointState::Running) && !ban;
                        prop_assert_eq!(told == Some(EndpointState::Running), runs);
                    }
                },
                Step::Restart => {
                    bans = record.as_deref().map_or(Ok(Bans::default()), Bans::read).expect("as written");
                    list.iter().for_each(|(n, listing)| {
                        bans.listed(&id(*n), *listing);
                    });
                    ever = list.keys().copied().collect();
                }
            }
        }
    }
}
