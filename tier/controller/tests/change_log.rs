//! Updates for subscribers: changes where the log reaches back, snapshots otherwise.

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
                    log.control().configuration_history().current_version(),
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
