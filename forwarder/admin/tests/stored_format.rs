//! The record of disabled targets as the version in service writes it: `stored_format/bans.txt`.

use plankhill_admin::{Bans, Change};
use plankhill_decisions::interface::{EndpointState, TargetId};
use rstest::rstest;

const PINNED: &str = include_str!("stored_format/bans.txt");
const IDS: [&str; 3] = ["a b", "target-1", "ä"];

#[rstest]
fn the_record_is_written_as_pinned() {
    let mut bans = Bans::default();
    let mut record = String::new();
    for id in &IDS {
        bans.listed(&TargetId((*id).into()), EndpointState::Running);
        match bans.change(id, true) {
            Change::Record(text) => record = text,
            other => panic!("{other:?}"),
        }
        bans.set(id, true);
    }
    assert_eq!(record, PINNED);
}

#[rstest]
fn the_pinned_record_is_read() {
    let bans = Bans::read(PINNED).expect("as written");
    assert_eq!(bans.iter().collect::<Vec<_>>(), IDS);
    // Lifted and set again, it is the same record.
    let mut bans = bans;
    bans.listed(&TargetId("ä".into()), EndpointState::Draining);
    bans.set("ä", false);
    assert_eq!(bans.change("ä", true), Change::Record(PINNED.to_owned()));
}
