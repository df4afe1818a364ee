//! Several standalone forwarders without replication: faults of their processes, links and disks must not violate an
//! invariant.

use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;
use rustix::process::Signal;

#[rstest]
fn forwarders_killed_and_restarted_under_load_lose_no_accepted_event() {
    let mut cluster = Cluster::started(3);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(20)));
    let load = cluster.load(1, 6);
    for instance in 0..3 {
        load.wait_for_accepted(60);
        cluster.kill(instance);
        cluster.start(instance);
    }
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
}

#[rstest]
fn a_non_idempotent_event_is_not_sent_again_after_a_kill_during_its_call() {
    let mut cluster = Cluster::started(3);
    cluster.set_target_behavior(TargetBehavior::Hang);
    cluster.submit_one_of_each_idempotency(0);
    cluster.kill(0);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::ZERO));
    cluster.start(0);
    cluster.check_resends_by_idempotency();
}

/// A call may have timed out while its process was suspended, which the process detects only when it resumes.
#[rstest]
fn each_event_is_completed_once_after_a_suspension_during_its_call() {
    let mut cluster = Cluster::started(3);
    let load = cluster.load(2, 6);
    for instance in 0..3 {
        cluster.set_target_behavior(TargetBehavior::Hang);
        let waiting = format!("waiting-{instance}");
        cluster.submit_accepted(
            instance,
            &EventRequest::new(&waiting, Idempotency::NonIdempotent),
        );
        cluster.wait_for_calls(&waiting, 1);
        cluster.suspend(instance);
        cluster.set_target_behavior(TargetBehavior::Respond(Duration::ZERO));
        load.wait_for_accepted(40);
        cluster.resume(instance);
        load.wait_for_accepted(40);
    }
    load.stop();
    cluster.check_invariants();
}

#[rstest]
#[case::reset_and_refused(|link: &Relay| link.reset_and_refuse())]
#[case::stalled(|link: &Relay| link.stall())]
#[case::back_stalled(|link: &Relay| link.set_delivery(Direction::Back, Delivery::Stalled))]
#[case::forward_stalled(|link: &Relay| link.set_delivery(Direction::Forward, Delivery::Stalled))]
#[case::delayed(|link: &Relay| link.delay(Duration::from_millis(40)))]
fn faults_on_links_to_targets_and_discovery_violate_no_invariant(#[case] fault: fn(&Relay)) {
    let mut cluster = Cluster::started(3);
    let load = cluster.load(3, 6);
    load.wait_for_accepted(40);
    cluster.inject_link_fault(0, |instance| instance.targets.iter().for_each(fault));
    cluster.inject_link_fault(1, |instance| fault(&instance.discovery));
    cluster.inject_link_fault(2, |instance| instance.links().for_each(fault));
    load.wait_for_accepted(20);
    (0..3).for_each(|instance| cluster.heal(instance));
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
}

/// Guards against accepting a truncated call or answer as complete.
#[rstest]
fn truncated_messages_violate_no_invariant() {
    let mut cluster = Cluster::started(3);
    let load = cluster.load(4, 6);
    for after in [1, 12, 60, 100] {
        for direction in [Direction::Forward, Direction::Back] {
            (0..3).for_each(|at| {
                cluster.inject_link_fault(at, |instance| {
                    instance
                        .links()
                        .for_each(|l| l.truncate_next(direction, after))
                })
            });
            load.wait_for_accepted(20);
            (0..3).for_each(|instance| cluster.heal(instance));
        }
    }
    load.wait_for_accepted(40);
    load.stop();
    cluster.check_invariants();
}

#[rstest]
fn a_forwarder_terminated_under_load_exits_cleanly_and_its_pending_events_survive() {
    let mut cluster = Cluster::started(3);
    let load = cluster.load(5, 6);
    for instance in 0..3 {
        load.wait_for_accepted(40);
        cluster.mark_impaired(instance);
        cluster.process(instance).signal(Signal::TERM);
        assert!(
            cluster.instances[instance].process.wait_for_exit(),
            "exits successfully"
        );
        cluster.start(instance);
    }
    load.wait_for_accepted(40);
    load.stop();
    cluster.check_invariants();
}

#[rstest]
fn a_terminating_forwarder_rejects_new_events() {
    let mut cluster = Cluster::started(2);
    // A call in flight keeps the forwarder from exiting at once.
    cluster.set_target_behavior(TargetBehavior::Hang);
    cluster.submit_accepted(0, &EventRequest::new("out", Idempotency::NonIdempotent));
    cluster.wait_for_calls("out", 1);
    cluster.mark_impaired(0);
    cluster.process(0).signal(Signal::TERM);
    cluster.process(0).wait_for_log("shutdown started", 0);
    for number in 0..10 {
        assert_eq!(
            cluster.submit(
                0,
                &EventRequest::new(&format!("late-{number}"), Idempotency::Idempotent)
            ),
            Answer::Rejected
        );
    }
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::ZERO));
    assert!(
        cluster.instances[0].process.wait_for_exit(),
        "exits successfully"
    );
    cluster.start(0);
    cluster.check_invariants();
    assert_eq!(cluster.trace.call_count("out"), 1);
}

/// Guards against accepting an event that could not be persisted.
#[rstest]
fn a_forwarder_with_a_full_disk_rejects_events_and_loses_none() {
    let mut cluster = Cluster::started(3);
    let load = cluster.load(6, 6);
    load.wait_for_accepted(40);
    let ledger = std::fs::metadata(cluster.process(0).state_directory().join("ledger"))
        .expect("there")
        .len();
    cluster.process(0).limit_file_size(Some(ledger + 2_000));
    // Until an event is rejected; earlier ones still fit.
    let mut number = 0;
    wait_until("n0 rejects an event", || {
        number += 1;
        let probe =
            EventRequest::new(&format!("probe-{number}"), Idempotency::Idempotent).body(1_000);
        cluster.submit(0, &probe) != Answer::Accepted
    });
    load.wait_for_accepted(40);
    cluster.process(0).limit_file_size(None);
    wait_until("n0 accepts events again", || {
        number += 1;
        cluster.submit(
            0,
            &EventRequest::new(&format!("probe-{number}"), Idempotency::NonIdempotent),
        ) == Answer::Accepted
    });
    load.stop();
    cluster.check_invariants();
}

#[rstest]
fn a_forwarder_at_its_disk_limit_rejects_events_and_loses_none() {
    let mut cluster = Cluster::new(
        2,
        &ClusterOptions {
            disk_mb: 0.25,
            ..ClusterOptions::default()
        },
    );
    cluster.start_all();
    cluster.set_target_behavior(TargetBehavior::Hang);
    let big = |number: usize| {
        EventRequest::new(&format!("big-{number}"), Idempotency::NonIdempotent).body(9_000)
    };
    let accepted = (0..40)
        .take_while(|number| cluster.submit(0, &big(*number)) == Answer::Accepted)
        .count();
    assert!((1..40).contains(&accepted), "{accepted} were accepted");
    cluster.kill(0);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::ZERO));
    cluster.start(0);
    cluster.check_invariants();
}

#[rstest]
fn forwarders_all_killed_at_once_and_restarted_lose_no_accepted_event() {
    let mut cluster = Cluster::started(5);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(20)));
    let load = cluster.load(7, 10);
    for _ in 0..2 {
        load.wait_for_accepted(100);
        (0..5).for_each(|instance| cluster.kill(instance));
        cluster.start_all();
    }
    load.wait_for_accepted(100);
    load.stop();
    cluster.check_invariants();
}

#[rstest]
fn events_of_one_key_keep_their_order_after_a_kill() {
    let mut cluster = Cluster::started(2);
    cluster.set_target_behavior(TargetBehavior::Fail);
    for number in 0..4 {
        cluster.submit_accepted(
            0,
            &EventRequest::new(&format!("k{number}"), Idempotency::Idempotent).key(5),
        );
    }
    cluster.wait_for_calls("k0", 1);
    cluster.kill(0);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::ZERO));
    cluster.start(0);
    cluster.wait_for_calls("k3", 1);
    cluster.check_invariants();
}

/// An instance must retain the draining state of a target after a suspension and after a restart of its process, even
/// if discovery is unreachable during the restart.
#[rstest]
fn no_new_call_goes_to_a_draining_target_after_a_kill_or_a_suspension() {
    let mut cluster = Cluster::started(3);
    let load = cluster.load(8, 6);
    load.wait_for_accepted(40);
    cluster.discovery.set_phase(0, "draining");
    wait_until("all instances have read the list", || {
        cluster.discovery.is_list_acknowledged()
    });
    cluster.kill(0);
    // The instance's discovery agent does not respond during the start.
    cluster.instances[0].discovery.stall();
    cluster.suspend(1);
    load.wait_for_accepted(20);
    cluster.start(0);
    cluster.resume(1);
    load.wait_for_accepted(60);
    cluster.heal(0);
    load.stop();
    cluster.check_invariants();
}
