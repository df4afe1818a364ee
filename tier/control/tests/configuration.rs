//! Tests that at most one put is applied per expected version, and that an applied put is never
//! rejected afterwards.

mod common;

use common::{apply, put};
use plankhill_control::{ControlState, Outcome, MAX_ACCEPTED_REMEMBERED};

#[test]
fn the_first_configuration_builds_on_version_zero() {
    let mut state = ControlState::default();
    assert_eq!(
        apply(&mut state, &put(3, 5, "a")),
        Outcome::Conflict { current: 0 }
    );
    assert_eq!(apply(&mut state, &put(0, 5, "a")), Outcome::Applied);
    assert_eq!(
        state.configuration().map(|current| current.version),
        Some(5)
    );
}

#[test]
fn one_of_two_changes_on_the_same_version_is_applied() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    assert_eq!(apply(&mut state, &put(5, 7, "b")), Outcome::Applied);
    assert_eq!(
        apply(&mut state, &put(5, 8, "c")),
        Outcome::Conflict { current: 7 }
    );
    assert_eq!(&*state.configuration().unwrap().document, b"b");
}

#[test]
fn another_document_with_the_same_version_conflicts() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    apply(&mut state, &put(5, 7, "b"));
    assert_eq!(
        apply(&mut state, &put(5, 7, "c")),
        Outcome::Conflict { current: 7 }
    );
}

#[test]
fn a_repeated_put_is_a_duplicate() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    assert_eq!(apply(&mut state, &put(0, 5, "a")), Outcome::Duplicate);
}

#[test]
fn a_put_repeated_after_later_ones_is_a_duplicate_and_changes_nothing() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    apply(&mut state, &put(5, 7, "b"));
    apply(&mut state, &put(7, 9, "c"));
    assert_eq!(apply(&mut state, &put(0, 5, "a")), Outcome::Duplicate);
    assert_eq!(apply(&mut state, &put(5, 7, "b")), Outcome::Duplicate);
    assert_eq!(state.configuration_history().current_version(), 9);
}

#[test]
fn a_version_that_does_not_increase_is_rejected() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    assert_eq!(
        apply(&mut state, &put(5, 5, "b")),
        Outcome::VersionNotIncreasing { current: 5 }
    );
    assert_eq!(
        apply(&mut state, &put(5, 4, "b")),
        Outcome::VersionNotIncreasing { current: 5 }
    );
}

#[test]
fn a_rejected_put_is_never_applied_later() {
    arbtest::arbtest(|random| {
        let mut state = ControlState::default();
        let mut rejected = Vec::new();
        for _ in 0..random.int_in_range(1..=40)? {
            let expected = random.int_in_range(0..=8)?;
            let version = random.int_in_range(1..=8)?;
            let document = ["a", "b", "c"][random.int_in_range(0..=2)?];
            let order = (expected, version, document);
            let current = state.configuration_history().current_version();
            let outcome = apply(&mut state, &put(expected, version, document));
            if outcome == Outcome::Applied {
                assert_eq!(expected, current);
                assert!(version > current);
                // A put whose expected version was in the future may be rejected first and applied
                // later.
                assert!(!rejected.contains(&(order, true)));
            }
            if matches!(
                outcome,
                Outcome::Conflict { .. } | Outcome::VersionNotIncreasing { .. }
            ) {
                rejected.push((order, expected <= current));
            }
        }
        Ok(())
    });
}

/// A repeated put is never rejected, however many others were applied since: once it was trimmed from
/// the history, its outcome is `HistoryTrimmed`. A put that was never applied is rejected as long as
/// the history covers its version.
#[test]
fn a_put_older_than_the_history_is_not_rejected() {
    let mut state = ControlState::default();
    let remembered = MAX_ACCEPTED_REMEMBERED as u64;
    let last = remembered + 10;
    for version in 1..=last {
        let document = format!("document {version}");
        assert_eq!(
            apply(&mut state, &put(version - 1, version, &document)),
            Outcome::Applied
        );
    }
    let oldest = last - remembered + 1;
    for version in 1..=last {
        let document = format!("document {version}");
        let expected = if version < oldest {
            Outcome::HistoryTrimmed
        } else {
            Outcome::Duplicate
        };
        assert_eq!(
            apply(&mut state, &put(version - 1, version, &document)),
            expected,
            "{version}"
        );
    }
    assert_eq!(
        apply(&mut state, &put(oldest - 1, oldest, "other")),
        Outcome::Conflict { current: last }
    );
    assert_eq!(state.configuration_history().current_version(), last);
}
