//! Fault injection on controllers that run as processes on loopback, with relays between them:
//! partitions, suspended and killed processes, removed disks and connection resets while two
//! operators change the configuration.
//!
//! After each fault, all machines are in service again, no acknowledged change is lost, the history
//! of requests is linearizable, and all machines return the same configuration.

mod cluster;
#[path = "../../../controller/tests/common/documents.rs"]
mod documents;
mod http;
mod operators;
#[path = "../../../controller/tests/register/mod.rs"]
mod register;

use std::thread::sleep;
use std::time::{Duration, Instant};

use cluster::{Cluster, MACHINES};
use operators::Operators;

/// Time for which the operators run before a fault.
const BEFORE_FAULT: Duration = Duration::from_millis(1_500);
/// Time for which the operators continue after recovery.
const AFTER_FAULT: Duration = Duration::from_millis(1_500);
/// Duration of the partition: far longer than any timeout of the chain.
const PARTITION: Duration = Duration::from_secs(20);
/// Base duration of the other faults; the faults use all of it or a fraction.
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Number of large changes that exceed the size up to which a log is kept beside its snapshot
/// (4 MiB), so that the log is trimmed.
const CHANGES_UNTIL_TRIM: u64 = 35;

fn others(index: usize) -> Vec<usize> {
    (0..MACHINES).filter(|other| *other != index).collect()
}

/// Injects a fault while two operators run, and checks the cluster and the history afterwards.
fn run_with_fault(large: bool, fault: impl FnOnce(&mut Cluster, &Operators)) {
    let mut cluster = Cluster::bootstrap();
    let operators = Operators::start(&cluster, large);
    sleep(BEFORE_FAULT);
    fault(&mut cluster, &operators);
    cluster.wait_for_chain(MACHINES);
    sleep(AFTER_FAULT);
    operators.stop_and_check(&cluster);
}

#[test]
fn a_controller_partitioned_for_twenty_seconds() {
    run_with_fault(false, |cluster, operators| {
        let head = cluster.head();
        cluster.partition(head);
        cluster.wait_for_chain_seen_by(others(head)[0], MACHINES - 1);
        cluster.wait_until_not_current(head);
        let acknowledged = operators.acknowledged();
        sleep(PARTITION);
        let meanwhile = operators.acknowledged() - acknowledged;
        assert!(meanwhile > 10, "{meanwhile} changes during the partition");
        cluster.heal();
    });
}

#[test]
fn a_head_suspended_between_accepting_and_answering() {
    run_with_fault(false, |cluster, operators| {
        for delay_ms in [0, 1, 2, 4, 8] {
            let head = cluster.head();
            // A change has just been sent to the head, and may be at any stage of processing.
            operators.wait_for_request_at(head);
            sleep(Duration::from_millis(delay_ms));
            cluster.suspend(head);
            cluster.wait_for_chain_seen_by(others(head)[0], MACHINES - 1);
            sleep(FAULT_DURATION / 3);
            cluster.resume(head);
            cluster.wait_for_chain(MACHINES);
        }
    });
}

#[test]
fn the_donor_killed_during_a_snapshot_transfer() {
    run_with_fault(true, |cluster, operators| {
        // The log has been trimmed by then, so that a member without data needs a snapshot.
        operators.wait_for_acknowledged(CHANGES_UNTIL_TRIM);
        for delay_ms in [60, 150, 300] {
            let empty = others(cluster.head())[0];
            cluster.kill(empty);
            cluster.wait_for_chain_seen_by(others(empty)[0], MACHINES - 1);
            cluster.remove_disk(empty);
            cluster.start(empty);
            sleep(Duration::from_millis(delay_ms));
            // The head's heartbeats usually arrive first, so the empty member requests the snapshot
            // from the head.
            let donor = cluster.head_seen_by(others(empty)[0]);
            cluster.kill(donor);
            sleep(FAULT_DURATION / 6);
            cluster.start(donor);
            cluster.wait_for_chain(MACHINES);
        }
    });
}

#[test]
fn each_disk_removed_between_two_incarnations() {
    run_with_fault(false, |cluster, _| {
        for index in 0..MACHINES {
            cluster.kill(index);
            cluster.remove_disk(index);
            cluster.start(index);
            cluster.wait_for_chain(MACHINES);
        }
    });
}

#[test]
fn every_connection_reset_under_load() {
    run_with_fault(false, |cluster, _| {
        let began = Instant::now();
        while began.elapsed() < FAULT_DURATION {
            sleep(Duration::from_millis(150));
            cluster.reset_all();
        }
    });
}

#[test]
fn all_controllers_killed_at_once() {
    run_with_fault(false, |cluster, _| {
        for _ in 0..3 {
            for index in 0..MACHINES {
                cluster.kill(index);
            }
            for index in 0..MACHINES {
                cluster.start(index);
            }
            cluster.wait_for_chain(MACHINES);
        }
    });
}
