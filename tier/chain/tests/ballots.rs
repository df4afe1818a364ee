//! A ballot is used for one view only, over crashes of its proposer.

mod three_links;

use plankhill_chain::{
    Ballot, ChainMember, Effect, Heartbeat, Identity, Message, Millis, Ticket, ViewNumber, Write,
};
use plankhill_protocol::ids::Revision;
use three_links::{disk, member, start, Nothing};

/// A heartbeat of the second link, which goes on; nothing is heard of the third.
fn heartbeat(sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        member: member(2),
        sequence,
        echoes: Vec::new(),
        view: ViewNumber(1),
        sealed: false,
        position: Revision(0),
        committed: Revision(0),
        leaving: false,
        founder: false,
        confirmed_age: None,
    })
}

fn promise(from: u8, ballot: &Ballot) -> (Identity, Message) {
    let (instance, position) = (ViewNumber(2), Revision(0));
    let promise = Message::Promise {
        instance,
        ballot: ballot.clone(),
        accepted: None,
        position,
    };
    (member(from).identity, promise)
}

/// Lets time pass until the member asks for promises; its ballot, and the batches that it hands to its disk.
fn until_it_asks(
    link: &mut ChainMember<Nothing>,
    from: Millis,
) -> (Ballot, Vec<(Ticket, Vec<Write>)>, Millis) {
    let mut batches = Vec::new();
    for step in 0..200 {
        let now = from + step * 50;
        link.receive(&member(2).identity, heartbeat(step), now);
        link.tick(now);
        for effect in link.take_effects() {
            match effect {
                Effect::Persist { ticket, writes } => batches.push((ticket, writes)),
                Effect::Send {
                    message: Message::Prepare { ballot, .. },
                    ..
                } => return (ballot, batches, now),
                _ => {}
            }
        }
    }
    panic!("no attempt");
}

fn asks_for_a_view(link: &mut ChainMember<Nothing>) -> bool {
    let accepts = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send {
                message: Message::Accept { .. },
                ..
            }
        )
    };
    link.take_effects().iter().any(accepts)
}

/// Guards a proposer whose disk is slower than those of the others: with their promises alone it asked for a view, was killed
/// before its own promise was on disk, and its next life used the same ballot for another view. Two views of one number
/// could follow.
#[test]
fn a_proposer_asks_for_a_view_only_once_its_own_promise_is_on_disk() {
    let mut link = start(1, &disk(), 0);
    let (ballot, batches, now) = until_it_asks(&mut link, 0);
    for from in [2, 3] {
        let (identity, promise) = promise(from, &ballot);
        link.receive(&identity, promise, now);
    }
    link.tick(now + 250);
    assert!(
        !asks_for_a_view(&mut link),
        "its own promise is not on disk yet"
    );
    let (ticket, _) = batches.last().expect("a promise of its own");
    link.persisted(*ticket, now + 260);
    link.tick(now + 300);
    assert!(asks_for_a_view(&mut link));
}

/// With its promise on disk, the next life's ballot is a later one.
#[test]
fn the_next_life_uses_another_ballot() {
    let mut disk = disk();
    let mut link = start(1, &disk, 0);
    let (first, batches, now) = until_it_asks(&mut link, 0);
    batches
        .iter()
        .flat_map(|(_, writes)| writes)
        .for_each(|write| disk.apply(write));
    drop(link);
    let mut next_life = start(1, &disk, now);
    let (second, ..) = until_it_asks(&mut next_life, now);
    assert!(second > first, "{first:?} {second:?}");
}
