//! Selection of the next feeder, and the backoff before it.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use plankhill_protocol::ids::NodeId;
use plankhill_protocol::subscription::Rotation;

fn candidates(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + port)))
        .collect()
}

#[test]
fn one_pass_over_the_candidates_has_no_backoff() {
    let candidates = candidates(5);
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    let mut seen = BTreeSet::new();
    for _ in 0..candidates.len() - 1 {
        seen.extend(rotation.next_candidate(&candidates));
        assert_eq!(rotation.record_failure(candidates.len()), Duration::ZERO);
    }
    seen.extend(rotation.next_candidate(&candidates));
    assert_eq!(seen.len(), candidates.len());
    assert!(rotation.record_failure(candidates.len()) > Duration::ZERO);
}

#[test]
fn backoff_is_bounded_and_reset_by_success() {
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    for _ in 0..1_000 {
        assert!(rotation.record_failure(3) <= Duration::from_millis(250));
    }
    rotation.record_success();
    assert_eq!(rotation.record_failure(3), Duration::ZERO);
}

#[test]
fn unreachable_candidates_cost_one_backoff_a_pass() {
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    for _ in 0..100 {
        let backoffs: Vec<Duration> = (0..3).map(|_| rotation.record_unreachable(3)).collect();
        assert_eq!(
            backoffs
                .iter()
                .filter(|backoff| **backoff > Duration::ZERO)
                .count(),
            1,
            "{backoffs:?}"
        );
    }
}

#[test]
fn without_candidates_there_is_a_backoff_and_no_selection() {
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    assert_eq!(rotation.next_candidate(&[]), None);
    assert!(rotation.record_failure(0) > Duration::ZERO);
}

#[test]
fn first_selections_are_spread_over_the_candidates() {
    let candidates = candidates(3);
    let mut selected = [0_u32; 3];
    for number in 0..300 {
        let node = NodeId::from(format!("edge-{number}").as_str());
        let first = Rotation::new(&node).next_candidate(&candidates).unwrap();
        selected[usize::from(first.port() - 1_000)] += 1;
    }
    assert!(selected.iter().all(|count| *count > 60), "{selected:?}");
}
