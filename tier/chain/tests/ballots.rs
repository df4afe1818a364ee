//! Tests that a proposer never uses a ballot for a second view, even after a crash.

mod three_members;

use plankhill_chain::{
    Ballot, ChainMember, Effect, Heartbeat, Identity, Message, Millis, Ticket, ViewNumber, Write,
};
use plankhill_protocol::ids::Revision;
use three_members::{disk, member, start, EmptyMachine};

/// Heartbeat of the second member. No heartbeat of the third member is received, so that the third
/// member counts as failed.
fn heartbeat(sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        member: member(2),
        sequence,
        echoes: Vec::new(),
        view: ViewNumber(1),
        sealed: false,
        last_revision: Revision(0),
        committed: Revision(0),
        leaving: false,
        founder: false,
        confirmed_age_ms: None,
        sync_ms: None,
    })
}

fn promise(from: u8, ballot: &Ballot) -> (Identity, Message) {
    let (instance, last_revision) = (ViewNumber(2), Revision(0));
    let promise = Message::Promise {
        instance,
        ballot: ballot.clone(),
        accepted: None,
        last_revision,
    };
    (member(from).identity, promise)
}

/// Advances the clock until the proposer sends `Prepare`. Returns the ballot, the batches submitted
/// by then, and the time.
fn run_until_prepare(
    proposer: &mut ChainMember<EmptyMachine>,
    from: Millis,
) -> (Ballot, Vec<(Ticket, Vec<Write>)>, Millis) {
    let mut batches = Vec::new();
    for step in 0..200 {
        let now = from + step * 50;
        proposer.receive(&member(2).identity, heartbeat(step), now);
        proposer.tick(now);
        for effect in proposer.take_effects() {
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
    panic!("the proposer sent no Prepare");
}

fn sends_accept(proposer: &mut ChainMember<EmptyMachine>) -> bool {
    let accepts = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send {
                message: Message::Accept { .. },
                ..
            }
        )
    };
    proposer.take_effects().iter().any(accepts)
}

/// Guards against the reuse of a ballot. A proposer whose disk was slower than those of the other
/// members sent `Accept` on their promises alone, was killed before its own promise was on disk,
/// and proposed another view with the same ballot after its restart. Two views with the same number
/// could be decided.
#[test]
fn a_proposer_sends_accept_only_after_its_own_promise_is_on_disk() {
    let mut proposer = start(1, &disk(), 0);
    let (ballot, batches, now) = run_until_prepare(&mut proposer, 0);
    for from in [2, 3] {
        let (identity, promise) = promise(from, &ballot);
        proposer.receive(&identity, promise, now);
    }
    proposer.tick(now + 250);
    assert!(
        !sends_accept(&mut proposer),
        "the proposer's own promise is not on disk yet"
    );
    let (ticket, _) = batches
        .last()
        .expect("the batch with the proposer's own promise");
    proposer.on_persisted(*ticket, now + 260);
    proposer.tick(now + 300);
    assert!(sends_accept(&mut proposer));
}

/// If its promise is on disk, a proposer uses a higher ballot after a restart.
#[test]
fn a_restarted_proposer_uses_a_higher_ballot() {
    let mut disk = disk();
    let mut proposer = start(1, &disk, 0);
    let (first, batches, now) = run_until_prepare(&mut proposer, 0);
    for write in batches.iter().flat_map(|(_, writes)| writes) {
        disk.apply(write);
    }
    drop(proposer);
    let mut restarted = start(1, &disk, now);
    let (second, ..) = run_until_prepare(&mut restarted, now);
    assert!(second > first, "{first:?} {second:?}");
}
