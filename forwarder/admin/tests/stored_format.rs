//! The record of disabled targets as the deployed version writes it: `stored_format/bans.txt`.

use plankhill_admin::{DisabledTargets, RecordChange, TargetSwitch};
use plankhill_decisions::interface::{EndpointState, TargetId};
use rstest::rstest;

const PINNED: &str = include_str!("stored_format/bans.txt");
const IDS: [&str; 3] = ["a b", "target-1", "ä"];

#[rstest]
fn the_record_is_written_as_pinned() {
    let mut targets = DisabledTargets::default();
    let mut record = String::new();
    for id in &IDS {
        targets.on_listed(&TargetId((*id).into()), EndpointState::Running);
        match targets.plan(id, TargetSwitch::Disable) {
            RecordChange::Record(text) => record = text,
            other => panic!("{other:?}"),
        }
        targets.apply(id, TargetSwitch::Disable);
    }
    assert_eq!(record, PINNED);
}

#[rstest]
fn the_pinned_record_is_read() {
    let targets = DisabledTargets::parse(PINNED).expect("as written");
    assert_eq!(targets.iter().collect::<Vec<_>>(), IDS);
    // Enabling and disabling a target again gives the same record.
    let mut targets = targets;
    targets.on_listed(&TargetId("ä".into()), EndpointState::Draining);
    targets.apply("ä", TargetSwitch::Enable);
    assert_eq!(
        targets.plan("ä", TargetSwitch::Disable),
        RecordChange::Record(PINNED.to_owned())
    );
}
