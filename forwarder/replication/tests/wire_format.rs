//! The bytes of a record's commands and snapshots, as the group's log and the snapshots' receivers have them.

use plankhill_event_log::{Outcome, Promise, Record, Repeats, Taken};
use plankhill_raft_groups::{GroupId, Incarnation, Machine, Order, Term};
use plankhill_replication::machine::{command, read, read_command, KeptHere};
use plankhill_replication::Proposals;

const PINNED: &str = include_str!("wire_format/values.txt");

fn pinned(name: &str) -> Vec<u8> {
    let line = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

const GROUP: GroupId = GroupId {
    founder: Incarnation(0x0102_0304_0506_0708),
    number: 0x0a0b_0c0d,
};
const OWNER: Incarnation = Incarnation(0x1112_1314_1516_1718);

/// Every kind of record in one command.
fn frames() -> Vec<u8> {
    let mut record = Record::default();
    let taken = |id: &'static str| Taken {
        id: id.into(),
        destination: 7,
        traffic: "invoices".into(),
        patience_ends: 1_764_000_600_000.5,
        key: Some(9),
        fingerprint: Some("f".into()),
        body: b"body"[..].into(),
        promised: Some(Promise {
            repeats: Repeats::Known {
                window: 5.5,
                one_zone: true,
            },
            ordered: true,
        }),
    };
    record.taken(taken("a"));
    record.taken(taken("b"));
    record.taken(taken("c"));
    record.sent_for("a", 1_764_000_000_001.0, "zone-a", 8_000.0);
    record.unrun("a");
    record.ended("b", Outcome::WrittenOff, Some(750.0));
    record.over("c");
    record.note_cold("target", 1_764_000_000_002.0, 3.5);
    record.take_unwritten()
}

#[test]
fn a_command_is_written_and_read_as_pinned() {
    let bytes = command(GROUP, &frames());
    assert_eq!(bytes, pinned("Command"));
    assert_eq!(
        read_command(&pinned("Command")),
        Some((GROUP, &frames()[..]))
    );
    let mut proposals = Proposals::default();
    assert_eq!(proposals.propose(GROUP, &frames()), 1);
    proposals.offer(|order| {
        match order {
            Order::Propose {
                group,
                number,
                command,
            } => {
                assert_eq!((group, number, command), (GROUP, 1, pinned("Command")));
            }
            other => panic!("{other:?}"),
        }
        Ok(())
    });
}

#[test]
fn a_snapshot_is_written_and_read_as_pinned() {
    let mut machine = KeptHere::default().machine();
    assert_eq!(machine.snapshot(), pinned("EmptySnapshot"));
    machine.apply(OWNER, Term(3), &pinned("Command"));
    assert_eq!(machine.snapshot(), pinned("Snapshot"));

    let all = KeptHere::default();
    let mut restored = all.machine();
    restored.restore(&pinned("Snapshot")).unwrap();
    assert_eq!(restored.snapshot(), pinned("Snapshot"));
    assert!(all.any(9, |group, owner, holds| (group, owner, holds)
        == (GROUP, OWNER, true)));
    let record = read(&pinned("Snapshot")).unwrap();
    assert_eq!(record.ids().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(
        record.owed_of("b").unwrap().ended,
        Some((Outcome::WrittenOff, Some(750.0)))
    );
    assert_eq!(
        record.cold().collect::<Vec<_>>(),
        [("target", 1_764_000_000_002.0, 3.5)]
    );

    let empty = KeptHere::default();
    let mut restored = empty.machine();
    restored.restore(&pinned("EmptySnapshot")).unwrap();
    assert_eq!(restored.snapshot(), pinned("EmptySnapshot"));
    assert!(!empty.any(9, |_, _, _| true), "of no group yet");
}
