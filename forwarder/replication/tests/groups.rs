//! The groups that an instance owns, and the state of its replicas.

use plankhill_event_log::{AcceptedEvent, EventTable};
use plankhill_raft_groups::{
    CorruptSnapshot, GroupId, GroupRequest, Incarnation, Purpose, StateMachine, Term,
};
use plankhill_replication::state_machine::encode_command;
use plankhill_replication::{GroupRoles, LeaderRole, LocalReplicas, ProposalQueue};
use rstest::rstest;

const ME: Incarnation = Incarnation(7);

fn group(founder: u64, number: u32) -> GroupId {
    GroupId {
        founder: Incarnation(founder),
        number,
    }
}

#[rstest]
fn a_deposed_owner_creates_a_new_group_and_only_completes_earlier_ones() {
    let mut roles = GroupRoles::new(ME);
    assert!(matches!(
        roles.create_own_group(),
        Some(GroupRequest::Create {
            purpose: Purpose::EventLog
        })
    ));
    assert!(roles.create_own_group().is_none(), "one request at a time");
    assert_eq!(roles.on_elected(group(7, 1)), LeaderRole::Own);
    assert_eq!(
        roles.on_elected(group(8, 1)),
        LeaderRole::Adopted,
        "founded by another instance"
    );
    assert!(roles.on_deposed(group(8, 1)).is_none());
    assert!(matches!(
        roles.on_deposed(group(7, 1)),
        Some(GroupRequest::Create { .. })
    ));
    assert_eq!(roles.own_group(), None, "it accepts no events");
    assert_eq!(roles.on_elected(group(7, 2)), LeaderRole::Own);
    assert_eq!(
        roles.on_elected(group(7, 1)),
        LeaderRole::Adopted,
        "elected again, it adds nothing to the old one"
    );
    assert_eq!(roles.own_group(), Some(group(7, 2)));
    assert!(
        matches!(roles.on_group_emptied(group(7, 1)), Some(GroupRequest::Dissolve { group: of }) if of == group(7, 1))
    );
    assert!(roles.on_group_emptied(group(7, 1)).is_none(), "once");
    assert!(
        roles.on_group_emptied(group(7, 2)).is_none(),
        "its own group stays"
    );
}

#[rstest]
fn a_new_incarnation_leads_its_earlier_groups_as_a_successor_does() {
    let mut roles = GroupRoles::new(ME);
    roles.create_own_group();
    assert_eq!(
        roles.on_elected(group(7, 4)),
        LeaderRole::Own,
        "until the new group is elected"
    );
    assert_eq!(roles.on_elected(group(7, 5)), LeaderRole::Own);
    assert_eq!(roles.led_groups().count(), 2);
    assert!(roles.on_group_emptied(group(7, 4)).is_some());
}

fn event(id: &str, body: usize) -> AcceptedEvent<'static> {
    AcceptedEvent {
        id: id.to_owned().into(),
        traffic_type: "t".into(),
        body: vec![5; body].into(),
        ..AcceptedEvent::default()
    }
}

#[rstest]
fn replicas_that_applied_the_commands_or_a_snapshot_keep_the_same_state() {
    let mut own = EventTable::default();
    let mut replica = LocalReplicas::default().new_state_machine();
    let mut restored = LocalReplicas::default().new_state_machine();
    own.accept(event("a", 10));
    own.accept(event("b", 10));
    replica.apply(
        ME,
        Term(2),
        &encode_command(group(7, 1), &own.take_unwritten_frames()),
    );
    own.record_attempt_with_timeout("a", 5.0, "z", 900.0);
    own.complete("b");
    replica.apply(
        ME,
        Term(2),
        &encode_command(group(7, 1), &own.take_unwritten_frames()),
    );
    replica.apply(ME, Term(2), b"");
    replica.apply(ME, Term(2), b"no frame");
    assert_eq!(restored.restore(&replica.snapshot()), Ok(()));
    assert_eq!(restored.snapshot(), replica.snapshot());
    assert_eq!(restored.size(), own.reserved_bytes());
    let decoded = plankhill_replication::state_machine::decode_snapshot(&restored.snapshot())
        .expect("a snapshot");
    let pending = decoded.pending_events();
    assert_eq!(
        (pending.len(), &*pending[0].event.id, pending[0].timeout),
        (1, "a", Some(900.0))
    );
}

#[rstest]
fn a_torn_snapshot_is_rejected_and_the_state_is_unchanged() {
    let mut own = EventTable::default();
    let mut replica = LocalReplicas::default().new_state_machine();
    own.accept(event("a", 10));
    replica.apply(
        ME,
        Term(2),
        &encode_command(group(7, 1), &own.take_unwritten_frames()),
    );
    let size = replica.size();
    let snapshot = replica.snapshot();
    for torn in [&b""[..], b"no snapshot", &snapshot[..snapshot.len() - 1]] {
        assert_eq!(replica.restore(torn), Err(CorruptSnapshot));
    }
    assert_eq!(replica.size(), size);
}

#[rstest]
fn commands_are_split_at_frames_and_wait_in_order_while_the_ring_is_full() {
    let mut own = EventTable::default();
    (0..100).for_each(|n| own.accept(event(&format!("e{n}"), 60_000)));
    let all = own.take_unwritten_frames();
    let mut proposals = ProposalQueue::default();
    assert_eq!(proposals.propose_split(group(7, 1), &all), [1, 2]);
    assert_eq!(proposals.propose(group(7, 1), b"x"), 3);
    assert_eq!(proposals.propose(group(8, 1), b"y"), 1);
    let (mut room, mut replica, mut numbers) =
        (0, LocalReplicas::default().new_state_machine(), Vec::new());
    let mut send = |room: &mut i32, request: GroupRequest| match request {
        GroupRequest::Propose {
            number, command, ..
        } if *room > 0 => {
            *room -= 1;
            numbers.push(number);
            replica.apply(ME, Term(2), &command);
            Ok(())
        }
        request => Err(request),
    };
    assert!(
        !proposals.submit(|request| send(&mut room, request)),
        "the ring is full"
    );
    room = 1;
    assert!(!proposals.submit(|request| send(&mut room, request)));
    assert_eq!(
        proposals.withdraw(group(8, 1)),
        [1],
        "not submitted, and never will be"
    );
    room = 9;
    assert!(proposals.submit(|request| send(&mut room, request)));
    assert_eq!(numbers, [1, 2, 3]);
    assert_eq!(
        replica.size(),
        own.reserved_bytes(),
        "no frame is lost where commands are split"
    );
}

#[rstest]
fn a_group_blocks_its_order_keys_from_the_loss_of_its_first_owner_until_it_is_led_here() {
    let (other, successor) = (Incarnation(8), Incarnation(9));
    let mut roles = GroupRoles::new(ME);
    assert!(
        roles.blocks_order_key(group(8, 1), other, true),
        "its founder was never reachable"
    );
    roles.set_peer_reachable(other, true);
    assert!(!roles.blocks_order_key(group(8, 1), other, true));
    assert!(
        roles.blocks_order_key(group(8, 1), successor, true),
        "a successor owns it"
    );
    roles.set_peer_reachable(other, false);
    assert!(
        roles.blocks_order_key(group(8, 1), other, true),
        "a successor will own it"
    );
    assert!(
        !roles.blocks_order_key(group(8, 1), other, false),
        "other keys"
    );
    roles.on_elected(group(8, 1));
    assert!(
        !roles.blocks_order_key(group(8, 1), other, true),
        "the decision module here keeps the order"
    );
    assert!(
        roles.blocks_order_key(group(7, 1), ME, false),
        "its own and lost: it may have events that are not known here"
    );
    assert!(
        !roles.blocks_order_key(group(7, 1), successor, false),
        "a successor has proposed: all events are known"
    );
    assert!(roles.blocks_order_key(group(7, 1), successor, true));
}
