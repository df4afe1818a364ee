//! Instances with their threads, disks and links.

// Each test file uses only part of this module.
#[allow(dead_code)]
mod cluster;

use std::time::{Duration, Instant};

use cluster::{leader, Cluster};
use plankhill_raft_groups::{GroupRequest, Purpose};

const TWO_REPLICAS_CONFIG: &str = "[copies]\nkeepers = 2\n";

#[test]
fn an_event_log_survives_the_loss_of_its_owner_and_its_folder() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    for number in 1..=20 {
        cluster.commit(0, group, number, vec![number as u8]);
    }
    cluster.wait_until("the owner holds the lease", |cluster| {
        cluster.instance(0).handle.holds_lease(group)
    });
    assert!(!cluster.instance(1).handle.holds_lease(group));
    cluster.stop_and_lose_folder(0);
    cluster.wait_until("a successor leads", |cluster| {
        (1..3).any(|at| {
            cluster
                .instance(at)
                .observed
                .led_groups
                .contains_key(&group)
        })
    });
    let successor = (1..3)
        .find(|at| {
            cluster
                .instance(*at)
                .observed
                .led_groups
                .contains_key(&group)
        })
        .unwrap();
    let expected: Vec<u8> = (1..=20).collect();
    assert_eq!(
        cluster.instance(successor).observed.led_groups[&group].1,
        expected
    );
    cluster.wait_until("the successor holds the lease", |cluster| {
        cluster.instance(successor).handle.holds_lease(group)
    });
}

#[test]
fn all_instances_receive_the_control_groups_log_and_its_leader_receives_reports() {
    let mut cluster = Cluster::new(4, "[control]\nvoters = [\"i0\", \"i1\", \"i2\"]\n");
    let control = |cluster: &mut Cluster| {
        let leads = |at: &usize| {
            !cluster.running[*at]
                .as_ref()
                .unwrap()
                .observed
                .led_groups
                .is_empty()
        };
        (0..4).find(leads)
    };
    cluster.wait_until("the control group has a leader", |cluster| {
        control(cluster).is_some()
    });
    let first = control(&mut cluster).unwrap();
    let group = *cluster
        .instance(first)
        .observed
        .led_groups
        .keys()
        .next()
        .unwrap();
    cluster.commit(first, group, 1, vec![5]);
    let has_received = |cluster: &mut Cluster, at: usize, command: u8| {
        let observed = &cluster.instance(at).observed;
        observed.applied.contains(&vec![command])
            || observed
                .snapshot
                .as_ref()
                .is_some_and(|s| s.contains(&command))
    };
    cluster.wait_until("all instances receive the command", |cluster| {
        (0..4).all(|at| has_received(cluster, at, 5))
    });
    cluster.wait_until("the group has three voters", |cluster| {
        cluster
            .instance(first)
            .log_count("control group voters changed voters=3")
            >= 1
    });
    let report = GroupRequest::Report { body: vec![9] };
    cluster.instance(3).handle.try_request(report).unwrap();
    cluster.wait_until("the leader receives the report", |cluster| {
        cluster.instance(first).observed.reports.contains(&vec![9])
    });
    // A voter that restarts without its folder is added again, and the group survives the loss of its first leader.
    cluster.stop_and_lose_folder(first);
    cluster.start(first);
    cluster.wait_until("another instance leads", |cluster| {
        (0..4).any(|at| at != first && !cluster.instance(at).observed.led_groups.is_empty())
    });
    let second = control(&mut cluster).unwrap();
    cluster.commit(second, group, 1, vec![6]);
    cluster.wait_until("the new incarnation receives all commands", |cluster| {
        has_received(cluster, first, 5) && has_received(cluster, first, 6)
    });
}

#[test]
fn a_restarted_fleet_has_all_committed_commands() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    for number in 1..=5 {
        cluster.commit(0, group, number, vec![number as u8]);
    }
    for at in 0..3 {
        cluster.stop(at);
    }
    for at in 0..3 {
        cluster.start(at);
    }
    cluster.wait_until("an instance leads", |cluster| {
        leader(cluster, group).is_some()
    });
    let at = leader(&mut cluster, group).unwrap();
    assert_eq!(
        cluster.instance(at).observed.led_groups[&group].1,
        [1, 2, 3, 4, 5]
    );
    cluster.commit(at, group, 1, vec![6]);
}

#[test]
fn an_owner_without_a_majority_commits_nothing_and_discards_only_decided_proposals() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    cluster.commit(0, group, 1, vec![1]);
    cluster.stop(1);
    cluster.stop(2);
    cluster.propose(0, group, 2, vec![2]);
    cluster.wait_until("the lease expires", |cluster| {
        !cluster.instance(0).handle.holds_lease(group)
    });
    cluster.wait_until("the owner is deposed", |cluster| {
        !cluster.instance(0).observed.led_groups.contains_key(&group)
    });
    cluster.propose(0, group, 3, vec![3]);
    // The proposal is stored only on the owner. It remains open, together with the proposal refused after it, as long
    // as it may still be committed.
    let open = |cluster: &mut Cluster| {
        cluster.instance(0).observed.committed.len() == 1
            && cluster.instance(0).observed.discarded.is_empty()
    };
    assert!(open(&mut cluster));
    cluster.start(1);
    cluster.wait_until("both proposals are answered", |cluster| {
        cluster.instance(0).observed.committed.len() + cluster.instance(0).observed.discarded.len()
            == 3
    });
    cluster.wait_until("an instance leads", |cluster| {
        leader(cluster, group).is_some()
    });
    let at = leader(&mut cluster, group).unwrap();
    let is_committed = cluster.instance(0).observed.committed.contains(&(group, 2));
    assert_eq!(
        cluster.instance(at).observed.led_groups[&group].1,
        if is_committed { vec![1, 2] } else { vec![1] }
    );
    assert!(cluster.instance(0).observed.discarded.contains(&(group, 3)));
}

#[test]
fn a_dissolved_group_is_removed_everywhere_and_not_recreated() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    cluster.commit(0, group, 1, vec![1]);
    cluster
        .instance(0)
        .handle
        .try_request(GroupRequest::Dissolve { group })
        .unwrap();
    let files = |cluster: &Cluster, at: usize, kind: &str| {
        let groups = std::fs::read_dir(cluster.folders[at].path().join("fleet/groups")).unwrap();
        groups
            .filter(|f| f.as_ref().unwrap().path().extension().unwrap() == kind)
            .count()
    };
    cluster.wait_until("no log remains", |cluster| {
        (0..3).all(|at| files(cluster, at, "log") == 0 && files(cluster, at, "gone") == 1)
    });
}

#[test]
fn a_full_ring_returns_the_request_and_accepted_requests_are_answered() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    // No events are received, so that the full rings eventually prevent further requests.
    let mut accepted = 0;
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        let request = GroupRequest::Propose {
            group,
            number: accepted + 1,
            command: vec![0; 10],
        };
        match cluster.instance(0).handle.try_request(request) {
            Ok(()) => accepted += 1,
            Err(GroupRequest::Propose { number, .. }) if number > 8000 => break,
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
        assert!(Instant::now() < end, "{accepted} requests were accepted");
    }
    cluster.wait_until("all proposals are answered", |cluster| {
        let observed = &cluster.instance(0).observed;
        (observed.committed.len() + observed.discarded.len()) as u64 == accepted
    });
    let numbers: Vec<u64> = cluster
        .instance(0)
        .observed
        .committed
        .iter()
        .map(|(_, number)| *number)
        .collect();
    assert!(numbers.is_sorted());
}

#[test]
fn nine_instances_replicate_each_others_event_logs_and_follow_one_control_group() {
    let mut cluster = Cluster::new(
        9,
        "[copies]\nkeepers = 2\n[control]\nvoters = [\"i0\", \"i1\", \"i2\"]\n",
    );
    for at in 0..9 {
        cluster
            .instance(at)
            .handle
            .try_request(GroupRequest::Create {
                purpose: Purpose::EventLog,
            })
            .unwrap();
    }
    let own = |cluster: &mut Cluster, at: usize| {
        let me = cluster.instance(at).handle.incarnation();
        let mut leads = cluster.instance(at).observed.led_groups.iter();
        leads
            .find(|(group, (purpose, _))| group.founder == me && *purpose == Purpose::EventLog)
            .map(|(g, _)| *g)
    };
    let event_log_leader_count =
        |cluster: &mut Cluster| (0..9).filter(|at| own(cluster, *at).is_some()).count();
    // The first instance also founds the control group.
    cluster.wait_until("each instance leads its event log", |cluster| {
        event_log_leader_count(cluster) == 9
    });
    let control = |cluster: &mut Cluster| {
        let purpose = |at: usize, cluster: &mut Cluster| {
            let mut leads = cluster.instance(at).observed.led_groups.iter();
            leads
                .find(|(_, (purpose, _))| *purpose == Purpose::Control)
                .map(|(g, _)| (at, *g))
        };
        (0..9).find_map(|at| purpose(at, cluster))
    };
    cluster.wait_until("an instance leads the control group", |cluster| {
        control(cluster).is_some()
    });
    let (at, group) = control(&mut cluster).unwrap();
    cluster.commit(at, group, 1, vec![4]);
    let has_received = |cluster: &mut Cluster, at: usize| {
        let observed = &cluster.instance(at).observed;
        observed.applied.contains(&vec![4])
            || observed
                .snapshot
                .as_ref()
                .is_some_and(|state| state.contains(&4))
    };
    cluster.wait_until("all instances receive the command", |cluster| {
        (0..9).all(|at| has_received(cluster, at))
    });
}
