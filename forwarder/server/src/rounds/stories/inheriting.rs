//! What an heir does with a record.

use plankhill_event_log::{EventTable, Outcome};
use plankhill_hot_restart::Verdict;
use plankhill_raft_groups::{GroupEvent, GroupRequest};

use super::*;

fn record(marks: impl FnOnce(&mut EventTable)) -> EventTable {
    let mut record = EventTable::default();
    marks(&mut record);
    record.take_unwritten_frames();
    record
}

#[test]
fn an_heir_sends_what_was_not_out_once_it_is_marked_and_dissolves_the_group_when_it_is_empty() {
    let story = Story::new(|_| ());
    let mut keeper = record(|book| book.accept(taken("a", "job")));
    story.leads(others(1), &keeper);
    let number = story.proposed(others(1), &mut keeper);
    story.no_call();
    story.hears(GroupEvent::Committed {
        group: others(1),
        number,
    });
    let call = story.call();
    assert_eq!(call.id(), "a");
    call.answer(OK);
    story.commits(others(1), &mut keeper);
    assert!(keeper.is_empty());
    // The next round sees that nothing is left and nothing undecided.
    story.hears(GroupEvent::Deposed { group: others(9) });
    story.ordered(|order| matches!(order, GroupRequest::Dissolve { group } if *group == others(1)));
}

#[test]
fn a_binding_event_whose_send_is_marked_is_written_off_and_never_sent_by_the_heir() {
    let story = Story::new(|_| ());
    let mut keeper = record(|book| {
        book.accept(taken("a", "charge"));
        book.record_attempt_with_timeout("a", 1.0, "z", 100.0);
    });
    story.leads(others(1), &keeper);
    let number = story.proposed(others(1), &mut keeper);
    assert_eq!(
        keeper.pending_events()[0].outcome,
        Some((Outcome::Abandoned, None))
    );
    assert!(
        story.notices.is_empty(),
        "its end is not told before it is committed"
    );
    story.hears(GroupEvent::Committed {
        group: others(1),
        number,
    });
    let notice = story.until("a notice", || story.notices.try_recv().ok());
    assert_eq!(
        (&*notice.event.0, notice.outcome),
        ("a", Outcome::Abandoned)
    );
    story.no_call();
}

#[test]
fn an_event_out_at_the_old_owner_and_the_next_of_its_key_wait_until_that_call_has_surely_ended() {
    let story = Story::new(|_| ());
    let mut keeper = record(|book| {
        book.accept(taken("a", "job"));
        book.record_attempt_with_timeout("a", 1.0, "z", 200.0);
        book.accept(taken("b", "job"));
    });
    let adopted = story.clock.now();
    story.leads(others(1), &keeper);
    story.commits(others(1), &mut keeper);
    let call = story.call();
    assert_eq!(call.id(), "a");
    assert!(story.clock.now() - adopted >= 200.0 + 2.0 * STALL);
    call.answer(OK);
    story.commits(others(1), &mut keeper);
    let call = story.call();
    assert_eq!(call.id(), "b");
}

#[test]
fn an_end_found_in_a_record_is_told_again_and_goes_once_it_is_heard() {
    let story = Story::new(|_| ());
    let mut keeper = record(|book| {
        book.accept(taken("a", "job"));
        book.record_outcome("a", Outcome::Rejected, Some(500.0));
    });
    story.leads(others(1), &keeper);
    let notice = story.until("a notice", || story.notices.try_recv().ok());
    assert_eq!(
        (notice.outcome, notice.come_back_after),
        (Outcome::Rejected, Some(500.0))
    );
    story.tell(CameIn::Heard(vec![notice.event]));
    story.proposed(others(1), &mut keeper);
    assert!(keeper.is_empty());
}

#[test]
fn an_id_held_here_and_in_an_adopted_record_is_one_event_with_one_end() {
    let story = Story::new(|_| ());
    story.takes();
    let (mut here, mut there) = (
        EventTable::default(),
        record(|book| book.accept(taken("a", "job"))),
    );
    let verdict = story.hands_in("a", JOB);
    story.commits(own(1), &mut here);
    assert_eq!(story.verdict(&verdict), Some(Verdict::TakenOn));
    let call = story.call();
    story.leads(others(1), &there);
    story.goes_on();
    call.answer(OK);
    story.proposed(own(1), &mut here);
    story.proposed(others(1), &mut there);
    assert!(
        here.is_empty() && there.is_empty(),
        "its end is marked in both"
    );
    story.no_call();
}

#[test]
fn an_id_that_was_delivered_here_is_over_in_an_adopted_record() {
    let story = Story::new(|_| ());
    story.takes();
    let (mut here, mut there) = (
        EventTable::default(),
        record(|book| book.accept(taken("a", "charge"))),
    );
    story.hands_in("a", CHARGE);
    story.commits(own(1), &mut here);
    story.call().answer(OK);
    story.commits(own(1), &mut here);
    story.leads(others(1), &there);
    story.proposed(others(1), &mut there);
    assert!(there.is_empty());
    story.no_call();
}

#[test]
fn what_the_folder_owes_is_copied_before_the_file_is_emptied_and_goes_on() {
    let story = Story::new(|ledger| ledger.accept(taken("old", "job")));
    let length = || {
        std::fs::metadata(story.folder.path().join("ledger"))
            .expect("there")
            .len()
    };
    let before = length();
    let mut keeper = EventTable::default();
    story.leads(own(1), &EventTable::default());
    let number = story.proposed(own(1), &mut keeper);
    assert_eq!(keeper.event_ids().collect::<Vec<_>>(), ["old"]);
    assert_eq!(length(), before, "it is not on a majority yet");
    story.hears(GroupEvent::Committed {
        group: own(1),
        number,
    });
    story.commits(own(1), &mut keeper);
    assert_eq!(story.call().id(), "old");
    assert!(length() < before);
}
