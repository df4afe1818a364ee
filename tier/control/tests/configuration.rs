//! One order wins on each version, and an order that was taken is never refused.

mod common;

use common::{apply, put};
use plankhill_control::{ControlState, Outcome, TAKEN_KEPT};

#[test]
fn the_first_builds_on_version_zero() {
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
fn of_two_changes_on_the_same_version_one_is_taken() {
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
fn the_same_number_with_other_content_loses() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    apply(&mut state, &put(5, 7, "b"));
    assert_eq!(
        apply(&mut state, &put(5, 7, "c")),
        Outcome::Conflict { current: 7 }
    );
}

#[test]
fn a_repeated_order_is_acknowledged_again() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    assert_eq!(apply(&mut state, &put(0, 5, "a")), Outcome::Repeated);
}

#[test]
fn an_order_taken_before_others_is_not_refused_and_changes_nothing() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    apply(&mut state, &put(5, 7, "b"));
    apply(&mut state, &put(7, 9, "c"));
    assert_eq!(apply(&mut state, &put(0, 5, "a")), Outcome::Repeated);
    assert_eq!(apply(&mut state, &put(5, 7, "b")), Outcome::Repeated);
    assert_eq!(state.configuration_history().current_version(), 9);
}

#[test]
fn a_version_that_does_not_rise_is_invalid() {
    let mut state = ControlState::default();
    apply(&mut state, &put(0, 5, "a"));
    assert_eq!(
        apply(&mut state, &put(5, 5, "b")),
        Outcome::NotAbove { current: 5 }
    );
    assert_eq!(
        apply(&mut state, &put(5, 4, "b")),
        Outcome::NotAbove { current: 5 }
    );
}

#[test]
fn what_was_refused_once_is_never_taken_later() {
    arbtest::arbtest(|random| {
        let mut state = ControlState::default();
        let mut refused = Vec::new();
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
                // An order for a version that was still to come may be refused first.
                assert!(!refused.contains(&(order, true)));
            }
            if matches!(outcome, Outcome::Conflict { .. } | Outcome::NotAbove { .. }) {
                refused.push((order, expected <= current));
            }
        }
        Ok(())
    });
}

/// A repeat of what was taken is never refused, however many have been taken since: where nobody remembers, nothing is
/// settled. What was never taken is refused as long as that is known.
#[test]
fn an_order_that_is_forgotten_is_not_refused() {
    let mut state = ControlState::default();
    let kept = TAKEN_KEPT as u64;
    let last = kept + 10;
    for version in 1..=last {
        let document = format!("document {version}");
        assert_eq!(
            apply(&mut state, &put(version - 1, version, &document)),
            Outcome::Applied
        );
    }
    let oldest = last - kept + 1;
    for version in 1..=last {
        let document = format!("document {version}");
        let expected = if version < oldest {
            Outcome::Forgotten
        } else {
            Outcome::Repeated
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
