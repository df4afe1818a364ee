//! Lost, replaced, full and silent voters.

// Each test file uses only part of this module.
#[allow(dead_code)]
mod cluster;

use cluster::{leader, Cluster};
use plankhill_raft_groups::GroupId;

const TWO_REPLICAS_CONFIG: &str = "[copies]\nkeepers = 2\n";

#[test]
fn replicas_at_their_limit_stop_the_owner_from_accepting_but_not_from_completing() {
    let mut cluster = Cluster::new(3, "[copies]\nkeepers = 2\nmemory_mb = 1\n");
    let group = cluster.found_event_log(0);
    for round in 0..4u64 {
        let (mut accepted, from) = (0, 1000 * round);
        // Proposals that the replica may not have received when it sent its last heartbeat count against its free
        // bytes, so the owner may initially refuse too much.
        while accepted < 5 || cluster.instance(0).handle.has_capacity() {
            assert!(accepted < 100, "proposals are never refused");
            accepted += 1;
            cluster.wait_until("there is capacity", |cluster| {
                cluster.instance(0).handle.has_capacity()
            });
            cluster.commit(0, group, from + accepted, vec![1; 60_000]);
        }
        // Small records, and then the outcome that completes all events.
        for record in 0..20 {
            cluster.commit(0, group, from + 500 + record, vec![2; 100]);
        }
        cluster.commit(0, group, from + 900, b"end".to_vec());
        cluster.wait_until("there is capacity again", |cluster| {
            cluster.instance(0).handle.has_capacity()
        });
    }
}

fn has_log(cluster: &Cluster, at: usize, group: GroupId) -> bool {
    plankhill_raft_groups::disk::group_files::log_path(
        &cluster.folders[at].path().join("fleet"),
        group,
    )
    .exists()
}

#[test]
fn a_replaced_voter_that_returns_with_its_folder_is_added_again_when_needed() {
    let mut cluster = Cluster::new(4, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    cluster.wait_until("the group has three voters", |cluster| {
        cluster
            .instance(0)
            .log_count("event log voters changed voters=3")
            == 1
    });
    let replicas: Vec<usize> = (1..4).filter(|at| has_log(&cluster, *at, group)).collect();
    let [first, second] = replicas[..] else {
        panic!("expected two replicas: {replicas:?}")
    };
    cluster.stop(first);
    cluster.commit(0, group, 1, vec![1]);
    cluster.wait_until("the stopped voter is replaced", |cluster| {
        cluster
            .instance(0)
            .log_count("event log voters changed voters=3")
            == 2
    });
    cluster.start(first);
    cluster.commit(0, group, 2, vec![2]);
    cluster.stop(second);
    cluster.wait_until("the returned voter is added again", |cluster| {
        cluster
            .instance(0)
            .log_count("event log voters changed voters=3")
            == 3
    });
    cluster.commit(0, group, 3, vec![3]);
    cluster.stop(0);
    cluster.wait_until("a successor leads", |cluster| {
        leader(cluster, group).is_some()
    });
    let successor = leader(&mut cluster, group).unwrap();
    assert_eq!(
        cluster.instance(successor).observed.led_groups[&group].1,
        [1, 2, 3]
    );
}

#[test]
fn an_instance_that_accepts_connections_and_sends_nothing_delays_no_commit() {
    let mut cluster = Cluster::new(4, TWO_REPLICAS_CONFIG);
    cluster.stop(3);
    let address = cluster.fleet.instances[3].address;
    let silent = std::net::TcpListener::bind(address).unwrap();
    let group = cluster.found_event_log(0);
    for number in 1..=50 {
        cluster.commit(0, group, number, vec![0; 10_000]);
    }
    drop(silent);
}

#[test]
fn lost_replicas_are_replaced_between_two_losses() {
    let mut cluster = Cluster::new(4, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    cluster.commit(0, group, 1, vec![7; 3 << 20]);
    cluster.stop_and_lose_folder(0);
    cluster.wait_until("a successor leads", |cluster| {
        leader(cluster, group).is_some()
    });
    let successor = leader(&mut cluster, group).unwrap();
    cluster.wait_until("another replica is added", |cluster| {
        cluster
            .instance(successor)
            .log_count("event log voters changed")
            >= 1
    });
    cluster.stop_and_lose_folder(successor);
    cluster.wait_until("the second successor leads", |cluster| {
        leader(cluster, group).is_some()
    });
    let second = leader(&mut cluster, group).unwrap();
    assert_eq!(
        cluster.instance(second).observed.led_groups[&group].1.len(),
        3 << 20
    );
    cluster.commit(second, group, 1, vec![8]);
}
