//! Tests the updates for subscribers: changes if the log reaches back to the subscriber's revision,
//! otherwise a snapshot.

mod common;

use std::sync::Arc;

use common::{edge, put, MemoryLog};
use plankhill_control::{build_tables, Operation};
use plankhill_controller::change_log::ChangeLog;
use plankhill_controller::ControlLog;
use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::{Tables, TablesChange, TablesUpdate};

fn newest(log: &MemoryLog) -> Arc<plankhill_controller::CommittedControlState> {
    log.state().borrow().clone()
}

#[test]
fn a_subscriber_at_the_newest_revision_is_sent_nothing() {
    let log = MemoryLog::new();
    let mut changes = ChangeLog::new(newest(&log));
    log.commit(&put(0, 1));
    changes.advance(newest(&log));
    assert_eq!(changes.update_since(Revision(1)), None);
    assert_eq!(changes.update_since(Revision(9)), None);
}

#[test]
fn updates_bring_every_revision_to_the_newest() {
    arbtest::arbtest(|random| {
        let log = MemoryLog::new();
        let mut changes = ChangeLog::new(newest(&log));
        let mut subscribers = vec![Tables::default()];
        for step in 1..=random.int_in_range(1..=30)? {
            let operation = if random.arbitrary()? {
                Operation::RegisterEdge(edge(["e1", "e2"][random.int_in_range(0..=1)?], step))
            } else {
                put(
                    log.control_state()
                        .configuration_history()
                        .current_version(),
                    step,
                )
            };
            log.commit(&operation);
            if random.arbitrary()? {
                changes.advance(newest(&log));
                let state = changes.newest().clone();
                subscribers.push(build_tables(&state.state, state.revision));
            }
        }
        let end = changes.newest().clone();
        for mut subscriber in subscribers {
            if let Some(update) = changes.update_since(subscriber.revision) {
                assert_eq!(subscriber.apply(update), Ok(()));
            }
            assert_eq!(subscriber, build_tables(&end.state, end.revision));
        }
        Ok(())
    });
}

#[test]
fn a_revision_between_two_steps_gets_a_snapshot() {
    let log = MemoryLog::new();
    let mut changes = ChangeLog::new(newest(&log));
    log.commit(&put(0, 1));
    log.commit(&put(1, 2));
    changes.advance(newest(&log));
    assert!(matches!(
        changes.update_since(Revision(1)),
        Some(TablesUpdate::Snapshot(_))
    ));
}

#[test]
fn only_the_newest_configuration_is_sent() {
    let log = MemoryLog::new();
    let mut changes = ChangeLog::new(newest(&log));
    for version in 1..=3 {
        log.commit(&put(version - 1, version));
        changes.advance(newest(&log));
    }
    let Some(TablesUpdate::Changes { changes, .. }) = changes.update_since(Revision(0)) else {
        panic!()
    };
    assert!(matches!(&changes[..], [TablesChange::Configuration(text)] if text.version == 3));
}

#[test]
fn steps_are_bounded() {
    let log = MemoryLog::new();
    let mut changes = ChangeLog::new(newest(&log));
    for step in 1..=600 {
        log.commit(&Operation::RegisterEdge(edge("e", step)));
        changes.advance(newest(&log));
    }
    assert!(matches!(
        changes.update_since(Revision(0)),
        Some(TablesUpdate::Snapshot(_))
    ));
    assert!(matches!(
        changes.update_since(Revision(590)),
        Some(TablesUpdate::Changes { .. })
    ));
}

/// The number of changes in the test, and the lag of the slowest subscriber in changes.
const MANY_CHANGES: u64 = 5_000;
const LARGEST_LAG: u64 = 600;

fn encoded_bytes(update: &TablesUpdate) -> usize {
    postcard::to_allocvec(update).unwrap().len()
}

/// Guards against updates of unbounded size. Over 5,000 changes, subscribers lag one step, 100
/// steps and more than the 512 steps of the log; each update is at most as large as a snapshot
/// plus 64 bytes per change.
#[test]
fn the_bytes_for_a_subscriber_are_bounded_over_thousands_of_changes() {
    let log = MemoryLog::new();
    let mut changes = ChangeLog::new(newest(&log));
    let lags = [1, 100, LARGEST_LAG];
    let mut subscribers = vec![(Tables::default(), 0_usize, 0_usize); lags.len()];
    for step in 1..=MANY_CHANGES {
        let name = format!("e{}", step % 40);
        log.commit(&Operation::RegisterEdge(edge(&name, step)));
        changes.advance(newest(&log));
        for (lag, (tables, total, largest)) in lags.iter().zip(&mut subscribers) {
            if step % lag != 0 {
                continue;
            }
            let update = changes
                .update_since(tables.revision)
                .expect("the subscriber lags");
            let bytes = encoded_bytes(&update);
            *total += bytes;
            *largest = bytes.max(*largest);
            assert_eq!(tables.apply(update), Ok(()));
        }
    }
    let end = changes.newest().clone();
    let snapshot_bytes = encoded_bytes(&changes.snapshot());
    for (lag, (tables, total, largest)) in lags.iter().zip(subscribers) {
        println!("every {lag} changes: {total} bytes in all, {largest} at most; all tables {snapshot_bytes}");
        // Changes that are superseded by a later change to the same edge are also sent.
        let bound = snapshot_bytes + usize::try_from(*lag).unwrap_or(usize::MAX).min(512) * 64;
        assert!(largest <= bound, "{largest} of {bound}");
        if MANY_CHANGES.is_multiple_of(*lag) {
            assert_eq!(tables, build_tables(&end.state, end.revision));
        }
    }
}
