//! What an owner waits for.

use plankhill_event_log::EventTable;
use plankhill_hot_restart::Verdict;
use plankhill_raft_groups::{GroupEvent, GroupRequest, InstanceName, Purpose};

use super::held::HeldTarget;
use super::*;

/// A forwarder that leads its own empty group.
fn leading() -> (Story, EventTable) {
    let story = Story::new(|_| ());
    story.ordered(|order| {
        matches!(
            order,
            GroupRequest::Create {
                purpose: Purpose::EventLog
            }
        )
    });
    story.takes();
    (story, EventTable::default())
}

#[test]
fn the_answer_and_the_first_byte_leave_once_take_and_send_are_committed_and_the_end_is_marked() {
    let (story, mut keeper) = leading();
    let verdict = story.hands_in("a", JOB);
    let number = story.proposed(own(1), &mut keeper);
    let owed = keeper.pending_events();
    assert_eq!(
        (owed.len(), owed[0].attempts, owed[0].timeout.is_some()),
        (1, 1, true),
        "one proposal for both"
    );
    story.no_call();
    assert!(
        verdict.is_empty(),
        "nobody is told what a majority does not have"
    );
    story.hears(GroupEvent::Committed {
        group: own(1),
        number,
    });
    assert_eq!(story.verdict(&verdict), Some(Verdict::TakenOn));
    let call = story.call();
    assert_eq!(call.id(), "a");
    call.answer(OK);
    story.proposed(own(1), &mut keeper);
    assert!(keeper.is_empty(), "its keepers know of its end");
}

#[test]
fn rounds_go_on_while_others_wait_and_leave_in_order() {
    let (story, mut keeper) = leading();
    let first = story.hands_in("a", JOB);
    let one = story.proposed(own(1), &mut keeper);
    let second = story.hands_in("b", JOB);
    let two = story.proposed(own(1), &mut keeper);
    story.hears(GroupEvent::Committed {
        group: own(1),
        number: two,
    });
    story.goes_on();
    assert!(second.is_empty(), "the round before is not decided");
    story.hears(GroupEvent::Committed {
        group: own(1),
        number: one,
    });
    assert_eq!(story.verdict(&first), Some(Verdict::TakenOn));
    assert_eq!(story.verdict(&second), Some(Verdict::TakenOn));
}

#[test]
fn a_take_that_surely_never_counts_is_refused_and_never_sent() {
    let (story, mut keeper) = leading();
    let verdict = story.hands_in("a", CHARGE);
    let number = story.proposed(own(1), &mut keeper);
    story.hears(GroupEvent::Deposed { group: own(1) });
    story.goes_on();
    assert!(verdict.is_empty(), "it may count yet");
    story.hears(GroupEvent::Discarded {
        group: own(1),
        number,
    });
    assert_eq!(story.verdict(&verdict), Some(Verdict::Refused(None)));
    story.no_call();
}

#[test]
fn a_take_that_counts_though_its_owner_was_deposed_is_answered_and_left_to_the_heir() {
    let (story, mut keeper) = leading();
    let verdict = story.hands_in("a", CHARGE);
    let number = story.proposed(own(1), &mut keeper);
    story.hears(GroupEvent::Deposed { group: own(1) });
    story.hears(GroupEvent::Committed {
        group: own(1),
        number,
    });
    assert_eq!(story.verdict(&verdict), Some(Verdict::TakenOn));
    story.no_call();
    story.ordered(|order| matches!(order, GroupRequest::Create { .. }));
    assert_eq!(keeper.len(), 1, "it is owed by whoever leads the group");
}

#[test]
fn who_leads_nothing_or_is_cut_off_takes_nothing_and_sends_nothing() {
    let (story, mut keeper) = leading();
    story.fleet.holds.set(false);
    assert_eq!(
        story.verdict(&story.hands_in("a", JOB)),
        Some(Verdict::Refused(None))
    );
    assert!(
        !story.common.is_ready(),
        "told at once, with no round between"
    );
    story.fleet.holds.set(true);
    let verdict = story.hands_in("b", JOB);
    let number = story.proposed(own(1), &mut keeper);
    story.fleet.holds.set(false);
    story.hears(GroupEvent::Committed {
        group: own(1),
        number,
    });
    assert_eq!(story.verdict(&verdict), Some(Verdict::TakenOn));
    story.no_call();
    story.hears(GroupEvent::Deposed { group: own(1) });
    story.fleet.holds.set(true);
    story.no_call();
    assert_eq!(
        story.verdict(&story.hands_in("c", JOB)),
        Some(Verdict::Refused(None))
    );
}

#[test]
fn a_committed_send_waits_for_a_lease_that_lapsed_and_leaves_when_it_is_back() {
    let (story, mut keeper) = leading();
    story.hands_in("a", CHARGE);
    let number = story.proposed(own(1), &mut keeper);
    story.fleet.holds.set(false);
    story.hears(GroupEvent::Committed {
        group: own(1),
        number,
    });
    story.no_call();
    story.fleet.holds.set(true);
    assert_eq!(story.call().id(), "a");
}

#[test]
fn keepers_without_room_and_rounds_past_their_bound_refuse_what_is_new() {
    let (story, mut keeper) = leading();
    story.fleet.has_room.set(false);
    assert_eq!(
        story.verdict(&story.hands_in("a", JOB)),
        Some(Verdict::Refused(None))
    );
    story.fleet.has_room.set(true);
    let kept = story.hands_in("b", JOB);
    story.commits(own(1), &mut keeper);
    assert_eq!(story.verdict(&kept), Some(Verdict::TakenOn));
}

#[test]
fn elected_again_a_forwarder_waits_for_its_own_call_and_marks_what_came_of_it() {
    let (story, mut keeper) = leading();
    let verdict = story.hands_in("a", CHARGE);
    story.commits(own(1), &mut keeper);
    assert_eq!(story.verdict(&verdict), Some(Verdict::TakenOn));
    let call = story.call();
    story.hears(GroupEvent::Deposed { group: own(1) });
    story.leads(own(1), &keeper);
    story.no_call();
    assert!(
        story.notices.is_empty(),
        "a binding event whose call is out here has its end yet to come"
    );
    call.answer(OK);
    story.proposed(own(1), &mut keeper);
    assert!(keeper.is_empty());
}

/// Guards the order of a key whose clients go on here while the heir of its first owner still has events of it.
#[test]
fn an_event_of_a_key_that_a_lost_owner_holds_is_not_taken_before_that_has_ended() {
    let (story, mut keeper) = leading();
    let other = Incarnation(8);
    let peer = |up| GroupEvent::PeerChanged {
        name: InstanceName("b".into()),
        incarnation: other,
        reachable: up,
    };
    story.hears(peer(true));
    let (mut machine, mut record) = (story.kept.new_state_machine(), EventTable::default());
    record.accept(taken("there", "job"));
    machine.apply(
        other,
        Term(2),
        &encode_command(others(1), &record.take_unwritten_frames()),
    );
    let verdict = story.hands_in("a", JOB);
    story.commits(own(1), &mut keeper);
    assert_eq!(
        story.verdict(&verdict),
        Some(Verdict::TakenOn),
        "its owner is there and ends what it holds"
    );
    story.hears(peer(false));
    assert_eq!(
        story.verdict(&story.hands_in("b", JOB)),
        Some(Verdict::Refused(None))
    );
    // Its heir is another; that the first is back changes nothing.
    record.record_attempt("there", 1.0, "z");
    machine.apply(
        Incarnation(9),
        Term(3),
        &encode_command(others(1), &record.take_unwritten_frames()),
    );
    story.hears(peer(true));
    assert_eq!(
        story.verdict(&story.hands_in("c", JOB)),
        Some(Verdict::Refused(None))
    );
    record.complete("there");
    machine.apply(
        Incarnation(9),
        Term(3),
        &encode_command(others(1), &record.take_unwritten_frames()),
    );
    story.call().answer(OK);
    story.commits(own(1), &mut keeper);
    let verdict = story.hands_in("d", JOB);
    story.commits(own(1), &mut keeper);
    assert_eq!(story.verdict(&verdict), Some(Verdict::TakenOn));
}

/// A call taken back is one less: that waits for no majority, while another round's marks may wait for long.
#[test]
fn a_call_is_taken_back_while_a_round_waits_for_its_keepers() {
    let mut target = HeldTarget::new();
    target.hold();
    let story = Story::calling(target.address(), std::sync::mpsc::channel().1, |_| ());
    story.ordered(|order| matches!(order, GroupRequest::Create { .. }));
    story.takes();
    let mut keeper = EventTable::default();
    story.hands_in("a", CHARGE);
    story.commits(own(1), &mut keeper);
    story.until("dials", || target.dialled().then_some(()));
    story.hands_in("b", JOB);
    story.proposed(own(1), &mut keeper);
    let mut page = config::config(target.address()).1;
    page["members"][0]["phase"] = "draining".into();
    story.tell(CameIn::List(page));
    story.goes_on();
    assert!(!target.dialled(), "its target leaves");
}
