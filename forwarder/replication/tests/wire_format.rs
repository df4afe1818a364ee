//! Pins the encoding of an event log's commands and snapshots, as they are in the group's log and sent to
//! other replicas.

use plankhill_event_log::{AcceptedEvent, DeliveryGuarantee, EventTable, Outcome, RepeatSafety};
use plankhill_raft_groups::{GroupId, GroupRequest, Incarnation, StateMachine, Term};
use plankhill_replication::state_machine::{
    decode_command, decode_snapshot, encode_command, LocalReplicas,
};
use plankhill_replication::ProposalQueue;

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
    let mut table = EventTable::default();
    let accepted = |id: &'static str| AcceptedEvent {
        id: id.into(),
        destination: 7,
        traffic_type: "invoices".into(),
        deadline: 1_764_000_600_000.5,
        key: Some(9),
        fingerprint: Some("f".into()),
        body: b"body"[..].into(),
        guarantee: Some(DeliveryGuarantee {
            repeat_safety: RepeatSafety::Deduplicated {
                window: 5.5,
                per_zone: true,
            },
            ordered: true,
        }),
    };
    table.accept(accepted("a"));
    table.accept(accepted("b"));
    table.accept(accepted("c"));
    table.record_attempt_with_timeout("a", 1_764_000_000_001.0, "zone-a", 8_000.0);
    table.record_attempt_not_executed("a");
    table.record_outcome("b", Outcome::Abandoned, Some(750.0));
    table.complete("c");
    table.record_warm_up("target", 1_764_000_000_002.0, 3.5);
    table.take_unwritten_frames()
}

#[test]
fn a_command_is_written_and_read_as_pinned() {
    let bytes = encode_command(GROUP, &frames());
    assert_eq!(bytes, pinned("Command"));
    assert_eq!(
        decode_command(&pinned("Command")),
        Some((GROUP, &frames()[..]))
    );
    let mut proposals = ProposalQueue::default();
    assert_eq!(proposals.propose(GROUP, &frames()), 1);
    proposals.submit(|request| {
        match request {
            GroupRequest::Propose {
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
    let mut machine = LocalReplicas::default().new_state_machine();
    assert_eq!(machine.snapshot(), pinned("EmptySnapshot"));
    machine.apply(OWNER, Term(3), &pinned("Command"));
    assert_eq!(machine.snapshot(), pinned("Snapshot"));

    let all = LocalReplicas::default();
    let mut restored = all.new_state_machine();
    restored.restore(&pinned("Snapshot")).unwrap();
    assert_eq!(restored.snapshot(), pinned("Snapshot"));
    assert!(all.any(9, |group, owner, has_key| (group, owner, has_key)
        == (GROUP, OWNER, true)));
    let table = decode_snapshot(&pinned("Snapshot")).unwrap();
    assert_eq!(table.event_ids().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(
        table.pending_event("b").unwrap().outcome,
        Some((Outcome::Abandoned, Some(750.0)))
    );
    assert_eq!(
        table.warming_up_targets().collect::<Vec<_>>(),
        [("target", 1_764_000_000_002.0, 3.5)]
    );

    let empty = LocalReplicas::default();
    let mut restored = empty.new_state_machine();
    restored.restore(&pinned("EmptySnapshot")).unwrap();
    assert_eq!(restored.snapshot(), pinned("EmptySnapshot"));
    assert!(!empty.any(9, |_, _, _| true), "no group yet");
}
