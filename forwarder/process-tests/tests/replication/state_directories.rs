//! Data directories that are empty, outdated or full.

use plankhill_process_tests::*;
use rstest::rstest;

#[rstest]
fn an_instance_restarted_without_state_is_new_and_accepts_events() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(21, 6);
    load.wait_for_accepted(60);
    let before = cluster.adoption_counts();
    cluster.lose_machine(0);
    cluster.wait_for_successor(0, &before);
    cluster.start(0);
    cluster.wait_until_accepting(0);
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
}

/// An older copy of the state lacks votes and records that the instance has acknowledged since.
#[rstest]
fn an_older_copy_of_the_state_fails_the_start_with_one_log_line() {
    let mut cluster = Cluster::replicated(3);
    cluster.kill(0);
    let older = cluster.process(0).copy_state();
    cluster.start(0);
    cluster.wait_until_accepting(0);
    cluster.set_target_behavior(TargetBehavior::Hang);
    for number in 0..6 {
        cluster.submit_accepted(
            0,
            &EventRequest::new(&format!("e{number}"), Idempotency::NonIdempotent),
        );
    }
    let before = cluster.adoption_counts();
    cluster.kill(0);
    cluster.instances[0].process.restore_state(&older);
    cluster.launch(0);
    assert!(
        !cluster.instances[0].process.wait_for_exit(),
        "the process exits with a failure"
    );
    // A separate thread collects the log.
    cluster.process(0).wait_for_log("plankhill-forwarder: ", 0);
    assert_eq!(
        cluster.process(0).log_count("plankhill-forwarder: "),
        1,
        "one line of output"
    );
    cluster.wait_for_successor(0, &before);
    cluster.set_target_behavior(crate::IMMEDIATE);
    cluster.instances[0].process.delete_state();
    cluster.start(0);
    cluster.wait_until_accepting(0);
    cluster.check_invariants();
}

#[rstest]
fn no_event_is_lost_with_the_disk_of_a_replica_full() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(22, 6);
    load.wait_for_accepted(60);
    cluster.mark_impaired(1);
    cluster.process(1).limit_file_size(Some(2_048));
    load.wait_for_accepted(60);
    if cluster.instances[1].process.has_exited() {
        cluster.start(1);
    } else {
        cluster.process(1).limit_file_size(None);
        cluster.mark_recovered(1, false);
    }
    cluster.wait_until_accepting(1);
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
}

/// At the limit of the space for replicas, further records are rejected and no stored one is dropped.
#[rstest]
fn at_the_limit_of_replica_space_events_are_rejected_and_none_is_lost() {
    let mut cluster = Cluster::new(
        3,
        &ClusterOptions {
            replica_mb: 1.0,
            ..ClusterOptions::with_replication()
        },
    );
    cluster.start_all();
    (0..3).for_each(|instance| cluster.wait_until_accepting(instance));
    cluster.set_target_behavior(TargetBehavior::Hang);
    let big = |number: usize| {
        EventRequest::new(&format!("big-{number}"), Idempotency::Idempotent).body(60_000)
    };
    let accepted = (0..60)
        .take_while(|number| cluster.submit(0, &big(*number)) == Answer::Accepted)
        .count();
    assert!((1..60).contains(&accepted), "{accepted} were accepted");
    cluster.set_target_behavior(crate::IMMEDIATE);
    cluster.check_invariants();
}
