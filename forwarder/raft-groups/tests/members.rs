//! Voters that are lost, replaced, full or silent.

// Not all of it is used by each test.
#[allow(dead_code)]
mod cluster;

use cluster::{leader, Cluster};
use plankhill_raft_groups::GroupId;

const COPIES: &str = "[copies]\nkeepers = 2\n";

#[test]
fn replicas_at_their_limit_stop_the_owner_from_accepting_but_not_from_completing() {
    let mut all = Cluster::new(3, "[copies]\nkeepers = 2\nmemory_mb = 1\n");
    let group = all.record(0);
    for round in 0..4u64 {
        let (mut taken, from) = (0, 1000 * round);
        // What a beat told is counted against what it may not have heard of: early on it may refuse too much.
        while taken < 5 || all.at(0).handle.has_capacity() {
            assert!(taken < 100, "takes are never refused");
            taken += 1;
            all.until("there is room", |all| all.at(0).handle.has_capacity());
            all.commit(0, group, from + taken, vec![1; 60_000]);
        }
        // Marks, then the end of all of them.
        for mark in 0..20 {
            all.commit(0, group, from + 500 + mark, vec![2; 100]);
        }
        all.commit(0, group, from + 900, b"end".to_vec());
        all.until("there is room again", |all| all.at(0).handle.has_capacity());
    }
}

fn keeps(all: &Cluster, at: usize, group: GroupId) -> bool {
    plankhill_raft_groups::disk::group_files::log_path(&all.folders[at].path().join("fleet"), group)
        .exists()
}

#[test]
fn a_replaced_voter_that_returns_with_its_folder_is_added_again_when_needed() {
    let mut all = Cluster::new(4, COPIES);
    let group = all.record(0);
    all.until("three keep it", |all| {
        all.at(0).lines("event log voters changed voters=3") == 1
    });
    let keepers: Vec<usize> = (1..4).filter(|at| keeps(&all, *at, group)).collect();
    let [first, second] = keepers[..] else {
        panic!("two others keep it: {keepers:?}")
    };
    all.stop(first);
    all.commit(0, group, 1, vec![1]);
    all.until("it is replaced", |all| {
        all.at(0).lines("event log voters changed voters=3") == 2
    });
    all.start(first);
    all.commit(0, group, 2, vec![2]);
    all.stop(second);
    all.until("it is let in again", |all| {
        all.at(0).lines("event log voters changed voters=3") == 3
    });
    all.commit(0, group, 3, vec![3]);
    all.stop(0);
    all.until("an heir leads", |all| leader(all, group).is_some());
    let successor = leader(&mut all, group).unwrap();
    assert_eq!(all.at(successor).heard.leads[&group].1, [1, 2, 3]);
}

#[test]
fn an_instance_that_accepts_connections_and_sends_nothing_holds_nothing_up() {
    let mut all = Cluster::new(4, COPIES);
    all.stop(3);
    let address = all.fleet.instances[3].address;
    let silent = std::net::TcpListener::bind(address).unwrap();
    let group = all.record(0);
    for number in 1..=50 {
        all.commit(0, group, number, vec![0; 10_000]);
    }
    drop(silent);
}

#[test]
fn lost_replicas_are_replaced_between_two_losses() {
    let mut all = Cluster::new(4, COPIES);
    let group = all.record(0);
    all.commit(0, group, 1, vec![7; 3 << 20]);
    all.lose(0);
    all.until("an heir leads", |all| leader(all, group).is_some());
    let successor = leader(&mut all, group).unwrap();
    all.until("another keeps it too", |all| {
        all.at(successor).lines("event log voters changed") >= 1
    });
    all.lose(successor);
    all.until("the second heir leads", |all| leader(all, group).is_some());
    let second = leader(&mut all, group).unwrap();
    assert_eq!(all.at(second).heard.leads[&group].1.len(), 3 << 20);
    all.commit(second, group, 1, vec![8]);
}
