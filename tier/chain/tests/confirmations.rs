//! Confirmations that a member receives from the tail directly after its start, and heartbeats sent
//! ahead of the regular interval.

mod three_members;

use std::net::SocketAddr;

use plankhill_chain::timing::CONFIRMATION_TTL;
use plankhill_chain::{ChainMember, Echo, Effect, Heartbeat, Message, Millis, ViewNumber};
use plankhill_protocol::ids::Revision;
use three_members::{disk, member, start, EmptyMachine};

/// Age of the tail's confirmation, in ms. The confirmation predates the start of the process that
/// receives it.
const CONFIRMATION_AGE_MS: u64 = 400;
/// Time from the start of the process until the tail's heartbeat is received.
const HEARTBEAT_DELAY: Millis = 5;

fn heartbeat(from: u8, echoes: Vec<Echo>, confirmed_age_ms: Option<u64>) -> Message {
    Message::Heartbeat(Heartbeat {
        member: member(from),
        sequence: 40,
        echoes,
        view: ViewNumber(1),
        sealed: false,
        last_revision: Revision(0),
        committed: Revision(0),
        leaving: false,
        founder: false,
        confirmed_age_ms,
        sync_ms: None,
    })
}

/// Takes the member's pending effects and returns the heartbeats among them, with their
/// destinations.
fn take_heartbeats(member: &mut ChainMember<EmptyMachine>) -> Vec<(SocketAddr, Heartbeat)> {
    let sent = member
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

/// Returns whether a head started at clock time `started_at` is current after a heartbeat of the
/// tail that echoes the head's own heartbeat and reports a confirmation from before the start.
fn is_current_after_confirmation(started_at: Millis) -> bool {
    let mut head = start(1, &disk(), started_at);
    head.tick(started_at);
    let (_, own) = take_heartbeats(&mut head)
        .pop()
        .expect("a heartbeat at the start");
    let echo = Echo {
        identity: member(1).identity,
        sequence: own.sequence,
    };
    let now = started_at + HEARTBEAT_DELAY;
    head.receive(
        &member(3).identity,
        heartbeat(3, vec![echo], Some(CONFIRMATION_AGE_MS)),
        now,
    );
    head.is_current(now)
}

#[test]
fn a_confirmation_from_before_the_start_counts() {
    assert!(is_current_after_confirmation(CONFIRMATION_TTL));
    // A clock that starts at 0 cannot represent a time before the start, which is why a member's
    // clock starts later.
    assert!(!is_current_after_confirmation(0));
}

#[test]
fn a_first_heartbeat_is_answered_at_once_and_later_ones_are_not() {
    let mut head = start(1, &disk(), CONFIRMATION_TTL);
    head.tick(CONFIRMATION_TTL);
    take_heartbeats(&mut head);
    head.receive(
        &member(2).identity,
        heartbeat(2, Vec::new(), None),
        CONFIRMATION_TTL + 1,
    );
    let answered = take_heartbeats(&mut head);
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
        CONFIRMATION_TTL + 2,
    );
    assert!(take_heartbeats(&mut head).is_empty());
}

#[test]
fn a_newly_confirmed_tail_sends_heartbeats_to_all_members_at_once() {
    let mut tail = start(3, &disk(), CONFIRMATION_TTL);
    tail.tick(CONFIRMATION_TTL);
    let (_, own) = take_heartbeats(&mut tail)
        .pop()
        .expect("a heartbeat at the start");
    let echo = Echo {
        identity: member(3).identity,
        sequence: own.sequence,
    };
    tail.receive(
        &member(1).identity,
        heartbeat(1, vec![echo], None),
        CONFIRMATION_TTL + 1,
    );
    assert!(tail.is_current(CONFIRMATION_TTL + 1));
    let sent = take_heartbeats(&mut tail);
    assert!(
        sent.iter()
            .all(|(_, heartbeat)| heartbeat.confirmed_age_ms == Some(1)),
        "{sent:?}"
    );
    let receivers: Vec<SocketAddr> = sent.iter().map(|(to, _)| *to).collect();
    assert_eq!(receivers, [member(1).address, member(2).address]);
}
