//! Upgrades of several forwarders under load and faults.

use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;

#[rstest]
fn successors_take_over_under_load_with_failing_links() {
    let mut cluster = Cluster::started(3);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(20)));
    let load = cluster.load(31, 6);
    for instance in 0..3 {
        load.wait_for_accepted(40);
        cluster.inject_link_fault(instance, |faulty| {
            faulty
                .links()
                .for_each(|link| link.truncate_next(Direction::Back, 20))
        });
        let predecessor = cluster.instances[instance].process.start_successor();
        load.wait_for_accepted(20);
        predecessor.wait_for_exit();
        cluster.heal(instance);
        load.wait_for_accepted(20);
    }
    load.stop();
    cluster.check_invariants();
}

/// During a takeover, two processes have the same events; the loss of either of them must lose no event.
#[rstest]
#[case::predecessor(true)]
#[case::successor(false)]
fn no_event_is_lost_if_either_process_is_killed_during_a_takeover(#[case] kill_predecessor: bool) {
    let mut cluster = Cluster::started(3);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(20)));
    let load = cluster.load(32, 6);
    for instance in 0..3 {
        load.wait_for_accepted(40);
        cluster.mark_impaired(instance);
        let predecessor = cluster.instances[instance].process.start_successor();
        load.wait_for_accepted(instance * 10);
        if kill_predecessor {
            drop(predecessor);
        } else {
            cluster.instances[instance].process.kill();
            // The predecessor is killed as well, whether or not it has already handed over, so that the next process
            // starts alone from the directory.
            drop(predecessor);
            cluster.launch(instance);
        }
        cluster.wait_until_ready(instance);
    }
    load.wait_for_accepted(40);
    load.stop();
    cluster.check_invariants();
}
