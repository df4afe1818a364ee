//! What a member that has just started makes of its tail's word, and how soon it speaks itself.

mod three_links;

use std::net::SocketAddr;

use plankhill_chain::timing::CURRENT;
use plankhill_chain::{ChainMember, Echo, Effect, Heartbeat, Message, Millis, ViewNumber};
use plankhill_protocol::ids::Revision;
use three_links::{disk, member, start, Nothing};

/// The tail's word is older than the process that hears it.
const AGE: u64 = 400;
/// From a start until the tail is heard.
const HEARD_AFTER: Millis = 5;

fn heartbeat(from: u8, echoes: Vec<Echo>, confirmed_age: Option<u64>) -> Message {
    Message::Heartbeat(Heartbeat {
        member: member(from),
        sequence: 40,
        echoes,
        view: ViewNumber(1),
        sealed: false,
        position: Revision(0),
        committed: Revision(0),
        leaving: false,
        founder: false,
        confirmed_age,
    })
}

/// The heartbeats that the member sends now, with their receivers.
fn heartbeats(link: &mut ChainMember<Nothing>) -> Vec<(SocketAddr, Heartbeat)> {
    let sent = link
        .take_effects()
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Send {
                to,
                message: Message::Heartbeat(heartbeat),
            } => Some((to, heartbeat)),
            _ => None,
        });
    sent.collect()
}

/// Whether a head whose clock began so is current once the tail, sure of its view before, has echoed it.
fn is_current_after_the_tails_word(began_at: Millis) -> bool {
    let mut head = start(1, &disk(), began_at);
    head.tick(began_at);
    let (_, own) = heartbeats(&mut head)
        .pop()
        .expect("a heartbeat at the start");
    let echo = Echo {
        identity: member(1).identity,
        sequence: own.sequence,
    };
    let now = began_at + HEARD_AFTER;
    head.receive(
        &member(3).identity,
        heartbeat(3, vec![echo], Some(AGE)),
        now,
    );
    head.is_current(now)
}

#[test]
fn what_the_tail_was_sure_of_before_the_member_started_counts() {
    assert!(is_current_after_the_tails_word(CURRENT));
    // That is why a member's clock does not begin at 0: there is no time before it.
    assert!(!is_current_after_the_tails_word(0));
}

#[test]
fn a_member_that_is_heard_anew_is_answered_at_once_and_only_then() {
    let mut head = start(1, &disk(), CURRENT);
    head.tick(CURRENT);
    heartbeats(&mut head);
    head.receive(
        &member(2).identity,
        heartbeat(2, Vec::new(), None),
        CURRENT + 1,
    );
    let answered = heartbeats(&mut head);
    let receivers: Vec<SocketAddr> = answered.iter().map(|(to, _)| *to).collect();
    assert_eq!(receivers, [member(2).address]);
    assert!(answered[0]
        .1
        .echoes
        .iter()
        .any(|echo| echo.identity == member(2).identity));
    head.receive(
        &member(2).identity,
        heartbeat(2, Vec::new(), None),
        CURRENT + 2,
    );
    assert!(heartbeats(&mut head).is_empty());
}

#[test]
fn a_tail_that_becomes_sure_of_its_view_tells_everyone_at_once() {
    let mut tail = start(3, &disk(), CURRENT);
    tail.tick(CURRENT);
    let (_, own) = heartbeats(&mut tail)
        .pop()
        .expect("a heartbeat at the start");
    let echo = Echo {
        identity: member(3).identity,
        sequence: own.sequence,
    };
    tail.receive(
        &member(1).identity,
        heartbeat(1, vec![echo], None),
        CURRENT + 1,
    );
    assert!(tail.is_current(CURRENT + 1));
    let told = heartbeats(&mut tail);
    assert!(
        told.iter()
            .all(|(_, heartbeat)| heartbeat.confirmed_age == Some(1)),
        "{told:?}"
    );
    let receivers: Vec<SocketAddr> = told.iter().map(|(to, _)| *to).collect();
    assert_eq!(receivers, [member(1).address, member(2).address]);
}
