//! Tests rendezvous hashing and the selection of monitored peers and homes.

use std::collections::BTreeMap;

use plankhill_membership::homes::{home_of, home_to_follow};
use plankhill_membership::peers::{monitored_peers, MONITORED_PEERS};
use plankhill_membership::rendezvous::{first, top};
use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::tables::Edge;

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|number| NodeId::from(format!("edge-{number}").as_str()))
        .collect()
}

fn edge(number: usize, zone: &str) -> Edge {
    Edge {
        node: NodeId::from(format!("edge-{number}").as_str()),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from(zone),
    }
}

#[test]
fn order_of_members_does_not_matter() {
    arbtest::arbtest(|random| {
        let members = nodes(random.int_in_range(0..=9)?);
        let (key, count) = (random.arbitrary::<String>()?, random.int_in_range(0..=4)?);
        let forward = top(&key, members.iter(), count);
        assert_eq!(forward, top(&key, members.iter().rev(), count));
        assert_eq!(forward.len(), count.min(members.len()));
        assert_eq!(
            forward.first().copied(),
            first(&key, members.iter()).filter(|_| count > 0)
        );
        Ok(())
    });
}

#[test]
fn removing_a_member_moves_only_its_keys() {
    arbtest::arbtest(|random| {
        let members = nodes(random.int_in_range(2..=9)?);
        let key: String = random.arbitrary()?;
        let removed = random.choose(&members)?;
        let before = top(&key, members.iter(), members.len());
        let after = top(
            &key,
            members.iter().filter(|member| *member != removed),
            members.len(),
        );
        let remaining: Vec<_> = before
            .into_iter()
            .filter(|member| *member != removed)
            .collect();
        assert_eq!(remaining, after);
        Ok(())
    });
}

#[test]
fn keys_are_spread() {
    let members = nodes(4);
    let mut key_counts: BTreeMap<&NodeId, u32> = BTreeMap::new();
    for key in 0..4_000 {
        *key_counts
            .entry(first(&format!("key-{key}"), members.iter()).unwrap())
            .or_default() += 1;
    }
    assert!(
        key_counts
            .values()
            .all(|count| (900..1_100).contains(count)),
        "{key_counts:?}"
    );
}

#[test]
fn members_are_monitored_by_several_others_and_not_by_themselves() {
    let members = nodes(30);
    let mut monitor_counts: BTreeMap<&NodeId, usize> = BTreeMap::new();
    for member in &members {
        let peers = monitored_peers(member, members.iter());
        assert_eq!(peers.len(), MONITORED_PEERS);
        assert!(!peers.contains(&member));
        for peer in peers {
            *monitor_counts.entry(peer).or_default() += 1;
        }
    }
    // The hash may leave a few machines without a monitor; controllers detect the failure of those
    // by the timeout of their subscriptions.
    assert!(
        monitor_counts.len() > members.len() * 8 / 10,
        "{monitor_counts:?}"
    );
}

#[test]
fn a_home_is_in_its_zone_and_the_next_takes_over() {
    let edges: Vec<Edge> = (0..6)
        .map(|number| edge(number, ["west", "east"][number % 2]))
        .collect();
    let zone = ZoneName::from("west");
    let home = home_of(&zone, &edges).unwrap().clone();
    assert_eq!(home.zone, zone);
    let remaining: Vec<Edge> = edges.into_iter().filter(|edge| *edge != home).collect();
    let next = home_of(&zone, &remaining).unwrap();
    assert_eq!(next.zone, zone);
    assert_ne!(next.node, home.node);
    assert_eq!(home_of(&ZoneName::from("north"), &remaining), None);
}

#[test]
fn all_but_the_home_follow_it() {
    let edges: Vec<Edge> = (0..4).map(|number| edge(number, "west")).collect();
    let home = home_of(&ZoneName::from("west"), &edges).unwrap();
    for own_edge in &edges {
        assert_eq!(
            home_to_follow(own_edge, &edges),
            Some(home).filter(|home| *home != own_edge)
        );
    }
}
