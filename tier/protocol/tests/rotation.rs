//! Which feeder is tried next.

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
fn one_round_reaches_every_candidate_without_a_pause() {
    let candidates = candidates(5);
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    let mut seen = BTreeSet::new();
    for _ in 0..candidates.len() - 1 {
        seen.extend(rotation.next(&candidates));
        assert_eq!(rotation.useless(candidates.len()), Duration::ZERO);
    }
    seen.extend(rotation.next(&candidates));
    assert_eq!(seen.len(), candidates.len());
    assert!(rotation.useless(candidates.len()) > Duration::ZERO);
}

#[test]
fn pauses_stay_short_and_begin_anew_after_success() {
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    for _ in 0..1_000 {
        assert!(rotation.useless(3) <= Duration::from_millis(250));
    }
    rotation.useful();
    assert_eq!(rotation.useless(3), Duration::ZERO);
}

#[test]
fn candidates_that_cannot_be_reached_cost_one_pause_a_round() {
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    for _ in 0..100 {
        let pauses: Vec<Duration> = (0..3).map(|_| rotation.unreached(3)).collect();
        assert_eq!(
            pauses
                .iter()
                .filter(|pause| **pause > Duration::ZERO)
                .count(),
            1,
            "{pauses:?}"
        );
    }
}

#[test]
fn without_candidates_there_is_a_pause_and_no_choice() {
    let mut rotation = Rotation::new(&NodeId::from("edge-1"));
    assert_eq!(rotation.next(&[]), None);
    assert!(rotation.useless(0) > Duration::ZERO);
}

#[test]
fn first_choices_are_spread_over_the_candidates() {
    let candidates = candidates(3);
    let mut taken = [0_u32; 3];
    for number in 0..300 {
        let node = NodeId::from(format!("edge-{number}").as_str());
        let first = Rotation::new(&node).next(&candidates).unwrap();
        taken[usize::from(first.port() - 1_000)] += 1;
    }
    assert!(taken.iter().all(|count| *count > 60), "{taken:?}");
}
