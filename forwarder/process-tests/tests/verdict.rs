//! What stand-ins might see, with a fault planted in it: the verdict has to find it, and nothing else.

use plankhill_invariants::Invariant;
use plankhill_process_tests::*;
use rstest::rstest;

const ASKED: Seen = Seen::Asked {
    instance: 0,
    event: 0,
    origin: 0,
    effect: Effect::Binding,
    key: None,
    patience: 60_000.0,
};
const TAKEN: Seen = Seen::Answered {
    event: 0,
    status: 202,
};

fn began(call: u64, instance: usize) -> Seen {
    Seen::Began {
        call,
        instance,
        event: 0,
        target: 0,
        time_out: 30_000.0,
    }
}

/// A call that was answered so.
fn called(call: u64, instance: usize, status: u16) -> Vec<Seen> {
    vec![
        began(call, instance),
        Seen::Whole { call },
        Seen::Replied { call, status },
    ]
}

fn given_up() -> Vec<Seen> {
    vec![Seen::Notice {
        event: 0,
        given_up: true,
    }]
}

fn hindered() -> Vec<Seen> {
    vec![Seen::Hindered { instance: 0 }]
}

#[rstest]
#[case::delivered(vec![called(1, 0, 200)], &[])]
#[case::lost(vec![], &[Invariant::NoAcceptedEventLost])]
#[case::two_ends(vec![called(1, 0, 200), given_up()], &[Invariant::CompletedOnce])]
#[case::an_answer_that_was_never_read(vec![called(1, 0, 200), hindered(), given_up()], &[])]
#[case::given_up_as_it_was_answered(vec![called(1, 0, 200), vec![Seen::Gone { call: 1 }], given_up()], &[])]
#[case::told_twice(vec![called(1, 0, 500), given_up(), given_up()], &[])]
#[case::by_the_heir_again(vec![called(1, 0, 500), called(2, 1, 200)], &[Invariant::NoDuplicateEffect, Invariant::NoDuplicateEffect])]
#[case::turned_away_first(vec![called(1, 0, 503), called(2, 1, 200)], &[])]
#[case::after_its_end(vec![called(1, 0, 500), given_up(), called(2, 1, 503)], &[Invariant::CompletedOnce, Invariant::CompletedOnce])]
#[case::while_one_is_out(vec![vec![began(1, 0), Seen::Whole { call: 1 }], called(2, 1, 503)],
    &[Invariant::NoDuplicateEffect, Invariant::NoAcceptedEventLost])]
fn a_planted_fault_is_caught(#[case] after: Vec<Vec<Seen>>, #[case] rules: &[Invariant]) {
    let book = Book::default();
    let all = [ASKED, TAKEN]
        .into_iter()
        .chain(after.into_iter().flatten());
    all.enumerate()
        .for_each(|(at, seen)| book.note_at(at as f64, seen));
    let broken: Vec<Invariant> = breaches(&book, None)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(broken, rules);
}

/// Guards a resend whose call is out when the verdict is read: the answer before it may never have been read, so
/// that the event is not over before its last call is.
#[rstest]
#[case::still_out(vec![began(2, 0), Seen::Whole { call: 2 }], &[])]
#[case::delivered(called(2, 0, 200), &[])]
#[case::failed(called(2, 0, 500), &[Invariant::NoAcceptedEventLost])]
fn an_event_is_sent_again_whose_answer_was_never_read(
    #[case] after: Vec<Seen>,
    #[case] rules: &[Invariant],
) {
    let book = Book::default();
    let asked = Seen::Asked {
        instance: 0,
        event: 0,
        origin: 0,
        effect: Effect::Retriable,
        key: None,
        patience: 60_000.0,
    };
    let before = [asked, TAKEN]
        .into_iter()
        .chain(called(1, 0, 200))
        .chain(hindered());
    before
        .chain(after)
        .enumerate()
        .for_each(|(at, seen)| book.note_at(at as f64, seen));
    let broken: Vec<Invariant> = breaches(&book, None)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(broken, rules);
}

/// With copies off, a lost disk loses what was promised: the verdict over real processes says so.
#[rstest]
fn a_folder_lost_without_copies_is_found() {
    let mut world = World::started(1);
    world.set_targets(Manner::Hangs);
    world.take(0, &Handed::new("a", Effect::Retriable));
    world.until_sent("a", 1);
    world.kill(0);
    world.instances[0].process.lose_folder();
    world.start(0);
    let broken = breaches(&world.book, None);
    assert_eq!(
        broken
            .iter()
            .map(|violation| violation.invariant)
            .collect::<Vec<_>>(),
        [Invariant::NoAcceptedEventLost]
    );
}

#[rstest]
#[case::within_the_grace(200.0, &[])]
#[case::long_after(2_000.0, &[Invariant::DrainsRespected])]
fn a_call_to_a_target_that_leaves_is_found(#[case] at: f64, #[case] rules: &[Invariant]) {
    let book = Book::default();
    let listed = Seen::Listed {
        instance: 0,
        target: 0,
        leaves: true,
    };
    [(0.0, listed), (0.0, ASKED), (0.0, TAKEN)]
        .into_iter()
        .for_each(|(at, seen)| book.note_at(at, seen));
    called(1, 0, 200)
        .into_iter()
        .for_each(|seen| book.note_at(at, seen));
    let broken: Vec<Invariant> = breaches(&book, None)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(broken, rules);
}
