//! The bytes of every message that two processes of a hot restart send each other, as the version in service
//! writes them: `wire_format/messages.txt` has a line with a name and the bytes in hexadecimal for each value.
//! A process of another version must read the same, so a difference here is a change of the protocol.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{IoSlice, Read};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

use async_io::{block_on, Async};
use plankhill_admin::{Order, Reply};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EventId, OrderKey, TargetId, TrafficTypeId,
};
use plankhill_hot_restart::{Event, Handed, Passage, State, Verdict, Word, VERSION};
use rstest::rstest;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};

const PINNED: &str = include_str!("wire_format/messages.txt");

/// The name of each message in the fixture; without a wildcard, so that a new variant has to be pinned.
fn name(message: &Word) -> String {
    match message {
        Word::Hello { .. } => "Hello".into(),
        Word::Prepared => "Prepared".into(),
        Word::Begun => "Begun".into(),
        Word::Verdict { verdict, .. } => format!("Verdict.{}", verdict_name(verdict)),
        Word::Reply { reply, .. } => format!("Reply.{}", reply_name(*reply)),
        Word::TakeBack(_) => "TakeBack".into(),
        Word::No { .. } => "No".into(),
        Word::State(_) => "State".into(),
        Word::Yours => "Yours".into(),
        Word::Client { .. } => "Client".into(),
        Word::Idle { .. } => "Idle".into(),
        Word::Event(handed) => match handed.event.fingerprint {
            Some(_) => "Event.full".into(),
            None => "Event.bare".into(),
        },
        Word::Withdrawn { .. } => "Withdrawn".into(),
        Word::SendEnded(_, ended) => format!("SendEnded.{}", fate_name(ended.outcome)),
        Word::PingEnded { fate, .. } => format!("PingEnded.{}", fate_name(*fate)),
        Word::Operator { order, .. } => format!("Operator.{}", order_name(order)),
        Word::Holds(_) => "Holds".into(),
    }
}

fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::TakenOn => "TakenOn",
        Verdict::Refused(None) => "Refused",
        Verdict::Refused(Some(_)) => "Refused.wait",
        Verdict::Failed => "Failed",
    }
}

fn reply_name(reply: Reply) -> &'static str {
    match reply {
        Reply::Done => "Done",
        Reply::NeverListed => "NeverListed",
        Reply::NotRecorded => "NotRecorded",
    }
}

fn order_name(order: &Order) -> &'static str {
    match order {
        Order::Disable(_) => "Disable",
        Order::Enable(_) => "Enable",
        Order::Drain => "Drain",
        Order::Resume => "Resume",
    }
}

fn fate_name(fate: AttemptOutcome) -> &'static str {
    match fate {
        AttemptOutcome::Delivered => "Delivered",
        AttemptOutcome::Error => "Error",
        AttemptOutcome::Rejected => "Full",
        AttemptOutcome::TimedOut => "TimedOut",
        AttemptOutcome::ConnectFailed => "NoConnection",
        AttemptOutcome::Reset => "Reset",
        AttemptOutcome::Cancelled => "Cancelled",
        AttemptOutcome::NotSent => "NotSent",
    }
}

const FATES: [AttemptOutcome; 8] = [
    AttemptOutcome::Delivered,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

fn event_id() -> EventId {
    EventId("event-7".into())
}

fn target_id() -> TargetId {
    TargetId("target-3".into())
}

fn state() -> State {
    State {
        ahead: -12.5,
        module: vec![0x93, 0x01, 0xff, 0x00],
        numbers: vec![(event_id(), 41), (EventId("event-8".into()), u64::MAX)],
        next_number: 4_294_967_338,
        out: vec![event_id()],
        pings: vec![target_id()],
        past: vec![(1_700_000_000_123.25, EventId("event-6".into()))],
        once_listed: vec!["target-1".into(), "target-2".into()],
        drained: true,
    }
}

fn handed(key: Option<OrderKey>, fingerprint: Option<&str>) -> Handed {
    Handed {
        number: 300,
        event: Event {
            id: event_id(),
            destination: DestinationId(70_000),
            traffic: TrafficTypeId(2),
            patience: 60_000.5,
            key,
            fingerprint: fingerprint.map(Into::into),
        },
        patience_ends: 1_700_000_060_000.75,
        body: vec![b'b', 0, 0xff],
    }
}

/// One value of every variant, no field at its default.
fn messages() -> Vec<Word> {
    let names = [
        vec!["job".into(), "charge".into()],
        vec!["k".into()],
        vec!["z1".into(), "z2".into()],
    ];
    let mut messages = vec![
        Word::Hello {
            version: VERSION,
            names,
        },
        Word::Prepared,
        Word::Begun,
        Word::TakeBack(target_id()),
        Word::No {
            why: "it is ending".into(),
        },
        Word::State(Box::new(state())),
        Word::Yours,
        Word::Client {
            asked: 2,
            left: 1_250.5,
        },
        Word::Idle {
            target: target_id(),
            age: 333.25,
        },
        Word::Event(handed(Some(OrderKey(0xdead_beef)), Some("f-7"))),
        Word::Event(handed(None, None)),
        Word::Withdrawn {
            event: event_id(),
            number: 301,
        },
        Word::Holds(513),
    ];
    for verdict in [
        Verdict::TakenOn,
        Verdict::Refused(None),
        Verdict::Refused(Some(750.5)),
        Verdict::Failed,
    ] {
        messages.push(Word::Verdict {
            number: 302,
            verdict,
        });
    }
    for reply in [Reply::Done, Reply::NeverListed, Reply::NotRecorded] {
        messages.push(Word::Reply { number: 303, reply });
    }
    for order in [
        Order::Disable("target-3".into()),
        Order::Enable("target-3".into()),
        Order::Drain,
        Order::Resume,
    ] {
        messages.push(Word::Operator { number: 304, order });
    }
    for fate in FATES {
        let ended = AttemptReport {
            outcome: fate,
            elapsed: 12.5,
            event_complete: true,
            retry_after: 250.25,
            limit_remaining: Some(0.75),
        };
        messages.push(Word::SendEnded(event_id(), ended));
        messages.push(Word::PingEnded {
            target: target_id(),
            fate,
        });
    }
    messages
}

/// Messages that come with a descriptor.
fn carries_descriptor(message: &Word) -> bool {
    matches!(
        message,
        Word::State(_) | Word::Yours | Word::Client { .. } | Word::Idle { .. }
    )
}

fn descriptor(message: &Word) -> Option<OwnedFd> {
    carries_descriptor(message).then(|| File::open("/dev/null").expect("there").into())
}

/// All bytes that one message puts on the socket, its length included.
fn sent(message: &Word) -> Vec<u8> {
    let (ours, mut theirs) = UnixStream::pair().expect("a pair");
    let passage = Passage::new(Async::new(ours).expect("a socket"));
    block_on(passage.tell(message, descriptor(message))).expect("sent");
    drop(passage);
    let mut bytes = Vec::new();
    theirs.read_to_end(&mut bytes).expect("read");
    bytes
}

/// What the receiving side makes of pinned bytes.
fn received(bytes: &[u8], message: &Word) -> Word {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    let mut ears = Passage::new(Async::new(theirs).expect("a socket")).ears();
    let descriptor = descriptor(message);
    let descriptors = descriptor.as_ref().map(|descriptor| [descriptor.as_fd()]);
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if let Some(descriptors) = &descriptors {
        ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
    }
    let written = sendmsg(
        &ours,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    );
    assert_eq!(written.expect("written"), bytes.len());
    block_on(ears.next()).expect("received").0
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(digit).collect()
}

fn pinned(name: &str) -> Vec<u8> {
    let line = PINNED
        .lines()
        .find(|line| line.split(' ').next() == Some(name));
    let line = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    unhex(line.split(' ').nth(1).expect("a name and its bytes"))
}

#[rstest]
fn every_message_is_sent_as_pinned() {
    for message in messages() {
        assert_eq!(
            hex(&sent(&message)),
            hex(&pinned(&name(&message))),
            "{}",
            name(&message)
        );
    }
}

#[rstest]
fn every_pinned_message_is_received_and_sent_again_as_pinned() {
    for message in messages() {
        let bytes = pinned(&name(&message));
        let read = received(&bytes, &message);
        assert_eq!(name(&read), name(&message));
        assert_eq!(hex(&sent(&read)), hex(&bytes), "{}", name(&message));
    }
}

#[rstest]
fn every_pinned_message_has_a_value() {
    let lines: Vec<&str> = PINNED
        .lines()
        .map(|line| line.split(' ').next().expect("a name"))
        .collect();
    let named: BTreeSet<&str> = lines.iter().copied().collect();
    let valued: BTreeSet<String> = messages().iter().map(name).collect();
    assert_eq!(named.len(), lines.len(), "a name stands twice");
    assert_eq!(named, valued.iter().map(String::as_str).collect());
}
