//! Votes during a slow disk sync: each vote is written once, and none is sent before its sync.

mod three_members;

use plankhill_chain::{
    Ballot, ChainMember, Effect, Message, Millis, Ticket, View, ViewNumber, Write,
};
use plankhill_protocol::ids::NodeId;
use three_members::{disk, member, start, EmptyMachine};

/// Interval at which a proposer repeats a request.
const RETRY_INTERVAL: Millis = 100;

fn ballot() -> Ballot {
    Ballot {
        round: 1,
        proposer: NodeId::from("core-1"),
    }
}

fn prepare() -> Message {
    Message::Prepare {
        instance: ViewNumber(2),
        ballot: ballot(),
    }
}

fn accept() -> Message {
    let view = View {
        number: ViewNumber(2),
        ..disk().view
    };
    Message::Accept {
        ballot: ballot(),
        view,
    }
}

fn is_vote(message: &Message) -> bool {
    matches!(message, Message::Promise { .. } | Message::Accepted { .. })
}

/// The voter's response to one request: the batches that change its acceptor, and the number of
/// votes sent.
struct Response {
    writes: Vec<Ticket>,
    votes: usize,
}

fn take_response(voter: &mut ChainMember<EmptyMachine>) -> Response {
    let mut response = Response {
        writes: Vec::new(),
        votes: 0,
    };
    for effect in voter.take_effects() {
        match effect {
            Effect::Persist { ticket, writes } if matches!(writes[..], [Write::Acceptor(_)]) => {
                response.writes.push(ticket);
            }
            Effect::Send { message, .. } if is_vote(&message) => response.votes += 1,
            _ => {}
        }
    }
    response
}

/// Repeats a request until the vote is on disk, and once more after that.
fn repeat_request_during_slow_sync(
    voter: &mut ChainMember<EmptyMachine>,
    request: Message,
    from: Millis,
) {
    let proposer = member(1).identity;
    voter.receive(&proposer, request.clone(), from);
    let first = take_response(voter);
    assert_eq!(first.writes.len(), 1, "the vote is written");
    assert_eq!(first.votes, 0, "the vote is not on disk yet");
    for repetition in 1..=3 {
        voter.receive(
            &proposer,
            request.clone(),
            from + repetition * RETRY_INTERVAL,
        );
        let repeated = take_response(voter);
        assert!(repeated.writes.is_empty(), "repetition {repetition}");
        assert_eq!(repeated.votes, 0, "repetition {repetition}");
    }
    voter.on_persisted(first.writes[0], from + 350);
    let synced = take_response(voter);
    assert!(synced.writes.is_empty());
    assert_eq!(synced.votes, 1, "the vote is sent after its sync");
    voter.receive(&proposer, request, from + 400);
    let repeated = take_response(voter);
    assert!(repeated.writes.is_empty(), "the vote is on disk already");
    assert_eq!(repeated.votes, 1, "the vote is sent at once");
}

#[test]
fn repeated_requests_cause_one_write_each() {
    let mut voter = start(2, &disk(), 0);
    voter.take_effects();
    repeat_request_during_slow_sync(&mut voter, prepare(), 10);
    repeat_request_during_slow_sync(&mut voter, accept(), 1_000);
}

/// A promise that a voter loads from its disk at the start counts as synced.
#[test]
fn a_restarted_voter_repeats_its_promise_without_a_write() {
    let mut found = disk();
    let mut voter = start(2, &found, 0);
    voter.receive(&member(1).identity, prepare(), 10);
    for effect in voter.take_effects() {
        if let Effect::Persist { writes, .. } = effect {
            for write in &writes {
                found.apply(write);
            }
        }
    }
    let mut restarted = start(2, &found, 0);
    restarted.take_effects();
    restarted.receive(&member(1).identity, prepare(), 10);
    let response = take_response(&mut restarted);
    assert!(response.writes.is_empty());
    assert_eq!(response.votes, 1);
}

/// A higher ballot requires another promise, which has to be on disk before it is sent.
#[test]
fn a_higher_ballot_is_written_and_waits_for_its_own_sync() {
    let mut voter = start(2, &disk(), 0);
    let proposer = member(1).identity;
    voter.receive(&proposer, prepare(), 10);
    let first = take_response(&mut voter);
    let later = Message::Prepare {
        instance: ViewNumber(2),
        ballot: Ballot {
            round: 2,
            ..ballot()
        },
    };
    voter.receive(&proposer, later, 20);
    let second = take_response(&mut voter);
    assert_eq!((second.writes.len(), second.votes), (1, 0));
    voter.on_persisted(first.writes[0], 30);
    assert_eq!(
        take_response(&mut voter).votes,
        1,
        "only the first promise is synced"
    );
    voter.on_persisted(second.writes[0], 40);
    assert_eq!(take_response(&mut voter).votes, 1);
}
