//! Parsing of operators' requests, and disabled targets under any order of list changes, switches
//! and restarts.

use std::collections::{HashMap, HashSet};

use plankhill_admin::{
    parse_request, AdminCommand, AdminRequest, DisabledTargets, RecordChange, RequestError,
    TargetSwitch,
};
use plankhill_decisions::interface::{EndpointState, TargetId};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("GET", "/-/ready", Ok(AdminRequest::Readiness))]
#[case("POST", "/-/drain", Ok(AdminRequest::Command(AdminCommand::Drain)))]
#[case("POST", "/-/resume", Ok(AdminRequest::Command(AdminCommand::Resume)))]
#[case("POST", "/-/targets/s-1/disable", Ok(AdminRequest::Command(AdminCommand::DisableTarget("s-1".into()))))]
#[case("POST", "/-/targets/a%2Fb/enable", Ok(AdminRequest::Command(AdminCommand::EnableTarget("a/b".into()))))]
#[case("GET", "/-/drain", Err(RequestError::MethodNotAllowed { allowed: "POST" }))]
#[case("POST", "/-/ready", Err(RequestError::MethodNotAllowed { allowed: "GET" }))]
#[case("POST", "/-/targets//disable", Err(RequestError::InvalidTargetId))]
#[case("POST", "/-/targets/a%0Ab/disable", Err(RequestError::InvalidTargetId))]
#[case("POST", "/-/targets/%ff/disable", Err(RequestError::InvalidTargetId))]
#[case("POST", "/-/targets/a/b/disable", Err(RequestError::UnknownPath))]
#[case("GET", "/up", Err(RequestError::UnknownPath))]
fn a_request_is_parsed(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Result<AdminRequest, RequestError>,
) {
    assert_eq!(parse_request(method, path), expected);
}

#[rstest]
#[case("", "no checksum")]
#[case("plankhill bans 1\ns\n", "no checksum")]
#[case("plankhill bans 1\na\n00000000\n", "checksum differs")]
fn a_corrupt_record_is_reported(#[case] record: &str, #[case] reason: &str) {
    let message = DisabledTargets::parse(record)
        .map(|_| ())
        .expect_err("damaged")
        .to_string();
    assert!(message.contains(reason), "{message}");
}

#[derive(Clone, Debug)]
enum Step {
    Listed(usize, bool),
    Removed(usize),
    Switch(usize, bool),
    /// The process ends, and the next one reads the record and the list.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..4usize;
    prop_oneof![
        (id.clone(), any::<bool>()).prop_map(|(id, runs)| Step::Listed(id, runs)),
        id.clone().prop_map(Step::Removed),
        (id, any::<bool>()).prop_map(|(id, disable)| Step::Switch(id, disable)),
        Just(Step::Restart),
    ]
}

fn switch_to(disable: bool) -> TargetSwitch {
    if disable {
        TargetSwitch::Disable
    } else {
        TargetSwitch::Enable
    }
}

proptest! {
    /// Compares with a simple model: a disabled target is never reported as running, an enabled one
    /// is reported as listed.
    #[test]
    fn a_target_stays_disabled_until_it_is_enabled(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut targets = DisabledTargets::default();
        let mut record = None;
        let (mut disabled, mut list, mut ever) = (HashSet::new(), HashMap::new(), HashSet::new());
        let id = |number: usize| TargetId(format!("t{number}").into());
        for step in steps {
            match step {
                Step::Listed(n, runs) => {
                    let state = if runs { EndpointState::Running } else { EndpointState::Draining };
                    let reported = targets.on_listed(&id(n), state);
                    let expected = runs && !disabled.contains(&n);
                    prop_assert_eq!(reported == EndpointState::Running, expected);
                    list.insert(n, state);
                    ever.insert(n);
                }
                Step::Removed(n) => {
                    targets.on_removed(&id(n));
                    list.remove(&n);
                }
                Step::Switch(n, disable) => match targets.plan(&id(n).0, switch_to(disable)) {
                    RecordChange::NeverListed => {
                        prop_assert!(!ever.contains(&n) && !disabled.contains(&n));
                    }
                    RecordChange::Unchanged => {
                        prop_assert_eq!(disabled.contains(&n), disable);
                    }
                    RecordChange::Record(text) => {
                        prop_assert!(ever.contains(&n) || disabled.contains(&n));
                        record = Some(text);
                        let reported = targets.apply(&id(n).0, switch_to(disable));
                        if disable { disabled.insert(n) } else { disabled.remove(&n) };
                        let listed = list.get(&n).copied();
                        prop_assert_eq!(reported.is_some(), listed.is_some());
                        let runs = listed == Some(EndpointState::Running) && !disable;
                        prop_assert_eq!(reported == Some(EndpointState::Running), runs);
                    }
                },
                Step::Restart => {
                    targets = match record.as_deref() {
                        Some(record) => DisabledTargets::parse(record).expect("as written"),
                        None => DisabledTargets::default(),
                    };
                    for (n, state) in &list {
                        targets.on_listed(&id(*n), *state);
                    }
                    ever = list.keys().copied().collect();
                }
            }
        }
    }
}
