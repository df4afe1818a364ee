//! Broadcasts with several instances: a broadcast takes effect once, whichever instance it is submitted to, and each of
//! its copies is completed once.

use std::time::Duration;

use plankhill_process_tests::*;

/// Log text of the control group's leader once the third voter has joined.
const ALL_VOTERS: &str = "control group voters changed, voters: 3";

const DELIVERED_ONCE: CopyOutcome = CopyOutcome {
    calls: 1,
    delivered: 1,
    notified: 0,
};

#[test]
fn a_broadcast_reaches_each_destination_once_from_any_instance() {
    let cluster = Cluster::broadcasting(3);
    for instance in 0..3 {
        let id = format!("from-{instance}");
        assert_eq!(
            cluster.broadcast(instance, "charge", &id, None),
            Answer::Accepted
        );
        cluster.wait_until_completed(&id);
        // Another instance rejects a broadcast with the same id.
        assert_eq!(
            cluster.broadcast((instance + 1) % 3, "charge", &id, None),
            Answer::Rejected
        );
        assert_eq!(cluster.copy_outcomes(&id), [DELIVERED_ONCE; 2]);
    }
}

#[test]
fn invalid_broadcast_requests_are_rejected_and_without_lists_the_path_is_unknown() {
    let cluster = Cluster::broadcasting(3);
    assert_eq!(
        cluster.request_broadcast(0, "none/job", "a", None),
        Some(404)
    );
    assert_eq!(
        cluster.request_broadcast(0, "all/none", "a", None),
        Some(404)
    );
    assert_eq!(cluster.request_broadcast(0, "all", "a", None), Some(404));
    assert_eq!(
        cluster.request_broadcast(0, "all/job", &"a".repeat(108), None),
        Some(400)
    );
    let without = Cluster::started(1);
    assert_eq!(
        without.request_broadcast(0, "all/job", "a", None),
        Some(404)
    );
}

/// Submits broadcasts one after another until one of them is delivered exactly once to each subscriber.
fn wait_for_delivery_to_all(cluster: &Cluster, part: &str, by: impl Fn(usize) -> usize) {
    let mut number = 0;
    wait_until("a broadcast is delivered to all subscribers", || {
        number += 1;
        let id = format!("{part}-{number}");
        if cluster.broadcast(by(number), "job", &id, None) != Answer::Accepted {
            return false;
        }
        cluster.wait_until_completed(&id);
        cluster.copy_outcomes(&id) == [DELIVERED_ONCE; 2]
    });
}

#[test]
fn after_kills_and_restarts_no_copy_is_missing_and_no_non_idempotent_one_is_repeated() {
    let mut cluster = Cluster::broadcasting(3);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(20)));
    let mut accepted = Vec::new();
    for round in 0..3 {
        let submit_batch = |cluster: &Cluster, accepted: &mut Vec<String>, part: &str| {
            for number in 0..10 {
                let id = format!("{part}-{round}-{number}");
                let by = (round + 1 + number % 2) % 3;
                if cluster.broadcast(by, "charge-in-order", &id, Some(7)) == Answer::Accepted {
                    accepted.push(id);
                }
            }
        };
        submit_batch(&cluster, &mut accepted, "before");
        cluster.kill(round);
        submit_batch(&cluster, &mut accepted, "meanwhile");
        cluster.start(round);
        cluster.wait_until_broadcasting(round);
        submit_batch(&cluster, &mut accepted, "after");
    }
    assert!(accepted.len() > 30, "{} accepted", accepted.len());
    for id in &accepted {
        cluster.wait_until_completed(id);
        for copy in cluster.copy_outcomes(id) {
            assert!(copy.calls <= 1, "{id}: {copy:?}");
        }
    }
    // The number of delivered broadcasts depends on the duration of each start; the two checks
    // below do not depend on it.
    assert!(
        accepted
            .iter()
            .any(|id| cluster.copy_outcomes(id) == [DELIVERED_ONCE; 2]),
        "none of {} delivered",
        accepted.len()
    );
    wait_for_delivery_to_all(&cluster, "at-last", |number| number % 3);
}

#[test]
fn other_instances_serve_the_subscribers_of_a_lost_instance() {
    let mut cluster = Cluster::broadcasting(3);
    // With only two voters in the control group, the loss of one would leave no majority.
    wait_until("the control group has three voters", || {
        (0..3).any(|instance| cluster.process(instance).log_count(ALL_VOTERS) > 0)
    });
    cluster.kill(0);
    wait_for_delivery_to_all(&cluster, "without", |number| 1 + number % 2);
}
