//! Which groups an instance owns, and what its keepers keep of them.

use plankhill_event_log::{Record, Taken};
use plankhill_raft_groups::*;
use plankhill_replication::machine::command;
use plankhill_replication::*;
use rstest::rstest;

const ME: Incarnation = Incarnation(7);

fn group(founder: u64, number: u32) -> GroupId {
    GroupId {
        founder: Incarnation(founder),
        number,
    }
}

#[rstest]
fn a_deposed_owner_founds_anew_and_what_it_led_ends_where_it_is() {
    let mut roles = Roles::new(ME);
    assert!(matches!(
        roles.starts(),
        Some(Order::Found {
            purpose: Purpose::Record
        })
    ));
    assert!(roles.starts().is_none(), "one at a time");
    assert_eq!(roles.leads(group(7, 1)), Leads::Own);
    assert_eq!(roles.leads(group(8, 1)), Leads::Adopted, "another's");
    assert!(roles.deposed(group(8, 1)).is_none());
    assert!(matches!(
        roles.deposed(group(7, 1)),
        Some(Order::Found { .. })
    ));
    assert_eq!(roles.own(), None, "it takes nothing");
    assert_eq!(roles.leads(group(7, 2)), Leads::Own);
    assert_eq!(
        roles.leads(group(7, 1)),
        Leads::Adopted,
        "elected again, it adds nothing to the old one"
    );
    assert_eq!(roles.own(), Some(group(7, 2)));
    assert!(
        matches!(roles.emptied(group(7, 1)), Some(Order::Dissolve { group: of }) if of == group(7, 1))
    );
    assert!(roles.emptied(group(7, 1)).is_none(), "once");
    assert!(roles.emptied(group(7, 2)).is_none(), "its own stays");
}

#[rstest]
fn a_new_life_leads_its_earlier_groups_as_an_heir_does() {
    let mut roles = Roles::new(ME);
    roles.starts();
    assert_eq!(
        roles.leads(group(7, 4)),
        Leads::Own,
        "until the new one is there"
    );
    assert_eq!(roles.leads(group(7, 5)), Leads::Own);
    assert_eq!(roles.led().count(), 2);
    assert!(roles.emptied(group(7, 4)).is_some());
}

fn event(id: &str, body: usize) -> Taken<'static> {
    Taken {
        id: id.to_owned().into(),
        traffic: "t".into(),
        body: vec![5; body].into(),
        ..Taken::default()
    }
}

#[rstest]
fn keepers_that_heard_the_commands_or_a_snapshot_keep_the_same_record() {
    let (mut own, mut keeper, mut late) = (
        Record::default(),
        KeptHere::default().machine(),
        KeptHere::default().machine(),
    );
    own.taken(event("a", 10));
    own.taken(event("b", 10));
    keeper.apply(ME, Term(2), &command(group(7, 1), &own.take_unwritten()));
    own.sent_for("a", 5.0, "z", 900.0);
    own.over("b");
    keeper.apply(ME, Term(2), &command(group(7, 1), &own.take_unwritten()));
    keeper.apply(ME, Term(2), b"");
    keeper.apply(ME, Term(2), b"no frame");
    assert_eq!(late.restore(&keeper.snapshot()), Ok(()));
    assert_eq!(late.snapshot(), keeper.snapshot());
    assert_eq!(late.size(), own.live());
    let found = plankhill_replication::machine::read(&late.snapshot()).expect("a snapshot");
    let owed = found.owed();
    assert_eq!(
        (owed.len(), &*owed[0].taken.id, owed[0].time_out),
        (1, "a", Some(900.0))
    );
}

#[rstest]
fn a_torn_snapshot_is_refused_and_what_was_kept_stays() {
    let (mut own, mut keeper) = (Record::default(), KeptHere::default().machine());
    own.taken(event("a", 10));
    keeper.apply(ME, Term(2), &command(group(7, 1), &own.take_unwritten()));
    let (size, whole) = (keeper.size(), keeper.snapshot());
    for torn in [&b""[..], b"no snapshot", &whole[..whole.len() - 1]] {
        assert_eq!(keeper.restore(torn), Err(Torn));
    }
    assert_eq!(keeper.size(), size);
}

#[rstest]
fn commands_are_cut_at_frames_and_wait_in_order_while_the_ring_is_full() {
    let mut own = Record::default();
    (0..100).for_each(|n| own.taken(event(&format!("e{n}"), 60_000)));
    let all = own.take_unwritten();
    let mut proposals = Proposals::default();
    assert_eq!(proposals.propose_cut(group(7, 1), &all), [1, 2]);
    assert_eq!(proposals.propose(group(7, 1), b"x"), 3);
    assert_eq!(proposals.propose(group(8, 1), b"y"), 1);
    let (mut room, mut keeper, mut numbers) = (0, KeptHere::default().machine(), Vec::new());
    let mut hand = |room: &mut i32, order: Order| match order {
        Order::Propose {
            number, command, ..
        } if *room > 0 => {
            *room -= 1;
            numbers.push(number);
            keeper.apply(ME, Term(2), &command);
            Ok(())
        }
        order => Err(order),
    };
    assert!(
        !proposals.offer(|order| hand(&mut room, order)),
        "the ring is full"
    );
    room = 1;
    assert!(!proposals.offer(|order| hand(&mut room, order)));
    assert_eq!(
        proposals.withdraw(group(8, 1)),
        [1],
        "it never left, and never will"
    );
    room = 9;
    assert!(proposals.offer(|order| hand(&mut room, order)));
    assert_eq!(numbers, [1, 2, 3]);
    assert_eq!(keeper.size(), own.live(), "no frame is lost at a cut");
}

#[rstest]
fn what_a_group_holds_goes_before_from_the_loss_of_its_first_owner_until_it_is_led_here() {
    let (other, heir) = (Incarnation(8), Incarnation(9));
    let mut roles = Roles::new(ME);
    assert!(
        roles.goes_before(group(8, 1), other, true),
        "its founder was never heard"
    );
    roles.peer(other, true);
    assert!(!roles.goes_before(group(8, 1), other, true));
    assert!(roles.goes_before(group(8, 1), heir, true), "an heir has it");
    roles.peer(other, false);
    assert!(
        roles.goes_before(group(8, 1), other, true),
        "an heir will have it"
    );
    assert!(!roles.goes_before(group(8, 1), other, false), "other keys");
    roles.leads(group(8, 1));
    assert!(
        !roles.goes_before(group(8, 1), other, true),
        "here the module keeps the order"
    );
    assert!(
        roles.goes_before(group(7, 1), ME, false),
        "its own and lost: it may hold what is not known here"
    );
    assert!(
        !roles.goes_before(group(7, 1), heir, false),
        "an heir has gone on: all is known"
    );
    assert!(roles.goes_before(group(7, 1), heir, true));
}
