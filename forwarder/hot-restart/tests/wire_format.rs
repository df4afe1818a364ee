//! The encoding of every message between the two processes of a hot restart, as the deployed version
//! writes it: `wire_format/messages.txt` has a line with a name and the bytes in hexadecimal for each
//! value. A process of another version must read the same bytes, so a difference is a change of the
//! protocol.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{IoSlice, Read};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

use async_io::{block_on, Async};
use plankhill_admin::{AdminCommand, AdminReply};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EventId, OrderKey, TargetId, TrafficTypeId,
};
use plankhill_hot_restart::{
    EventHeader, Message, MessageSender, ProcessState, SubmitResponse, SubmittedEvent,
    PROTOCOL_VERSION,
};
use rstest::rstest;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};

const PINNED: &str = include_str!("wire_format/messages.txt");

/// The name of a message in the fixture. The match has no wildcard, so that a new variant has to be
/// pinned.
fn name(message: &Message) -> String {
    match message {
        Message::Hello { .. } => "Hello".into(),
        Message::Prepared => "Prepared".into(),
        Message::Activated => "Begun".into(),
        Message::SubmitAnswered { response, .. } => format!("Verdict.{}", response_name(response)),
        Message::AdminReplied { reply, .. } => format!("Reply.{}", reply_name(*reply)),
        Message::CancelUnsent(_) => "TakeBack".into(),
        Message::Declined { .. } => "No".into(),
        Message::State(_) => "State".into(),
        Message::Ownership => "Yours".into(),
        Message::ClientConnection { .. } => "Client".into(),
        Message::IdleConnection { .. } => "Idle".into(),
        Message::EventSubmitted(submitted) => match submitted.event.fingerprint {
            Some(_) => "Event.full".into(),
            None => "Event.bare".into(),
        },
        Message::EventWithdrawn { .. } => "Withdrawn".into(),
        Message::AttemptEnded(_, ended) => format!("SendEnded.{}", outcome_name(ended.outcome)),
        Message::HealthCheckEnded { outcome, .. } => {
            format!("PingEnded.{}", outcome_name(*outcome))
        }
        Message::AdminCommand { command, .. } => format!("Operator.{}", command_name(command)),
        Message::OpenDescriptors(_) => "Holds".into(),
    }
}

fn response_name(response: &SubmitResponse) -> &'static str {
    match response {
        SubmitResponse::Accepted => "TakenOn",
        SubmitResponse::Rejected(None) => "Refused",
        SubmitResponse::Rejected(Some(_)) => "Refused.wait",
        SubmitResponse::Failed => "Failed",
    }
}

fn reply_name(reply: AdminReply) -> &'static str {
    match reply {
        AdminReply::Done => "Done",
        AdminReply::NeverListed => "NeverListed",
        AdminReply::NotRecorded => "NotRecorded",
    }
}

fn command_name(command: &AdminCommand) -> &'static str {
    match command {
        AdminCommand::DisableTarget(_) => "Disable",
        AdminCommand::EnableTarget(_) => "Enable",
        AdminCommand::Drain => "Drain",
        AdminCommand::Resume => "Resume",
    }
}

fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
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

const OUTCOMES: [AttemptOutcome; 8] = [
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

fn state() -> ProcessState {
    ProcessState {
        clock_offset: -12.5,
        scheduler: vec![0x93, 0x01, 0xff, 0x00],
        request_numbers: vec![(event_id(), 41), (EventId("event-8".into()), u64::MAX)],
        next_request_number: 4_294_967_338,
        attempts_in_flight: vec![event_id()],
        health_checks_in_flight: vec![target_id()],
        recently_completed: vec![(1_700_000_000_123.25, EventId("event-6".into()))],
        formerly_listed: vec!["target-1".into(), "target-2".into()],
        drained: true,
    }
}

fn submitted(key: Option<OrderKey>, fingerprint: Option<&str>) -> SubmittedEvent {
    SubmittedEvent {
        number: 300,
        event: EventHeader {
            id: event_id(),
            destination: DestinationId(70_000),
            traffic_type: TrafficTypeId(2),
            timeout: 60_000.5,
            key,
            fingerprint: fingerprint.map(Into::into),
        },
        deadline: 1_700_000_060_000.75,
        body: vec![b'b', 0, 0xff],
    }
}

/// A value of every variant, without a field at its default.
fn messages() -> Vec<Message> {
    let names = [
        vec!["job".into(), "charge".into()],
        vec!["k".into()],
        vec!["z1".into(), "z2".into()],
    ];
    let mut messages = vec![
        Message::Hello {
            version: PROTOCOL_VERSION,
            names,
        },
        Message::Prepared,
        Message::Activated,
        Message::CancelUnsent(target_id()),
        Message::Declined {
            reason: "it is ending".into(),
        },
        Message::State(Box::new(state())),
        Message::Ownership,
        Message::ClientConnection {
            requests_served: 2,
            time_left: 1_250.5,
        },
        Message::IdleConnection {
            target: target_id(),
            idle_for: 333.25,
        },
        Message::EventSubmitted(submitted(Some(OrderKey(0xdead_beef)), Some("f-7"))),
        Message::EventSubmitted(submitted(None, None)),
        Message::EventWithdrawn {
            event: event_id(),
            number: 301,
        },
        Message::OpenDescriptors(513),
    ];
    for response in [
        SubmitResponse::Accepted,
        SubmitResponse::Rejected(None),
        SubmitResponse::Rejected(Some(750.5)),
        SubmitResponse::Failed,
    ] {
        messages.push(Message::SubmitAnswered {
            number: 302,
            response,
        });
    }
    for reply in [
        AdminReply::Done,
        AdminReply::NeverListed,
        AdminReply::NotRecorded,
    ] {
        messages.push(Message::AdminReplied { number: 303, reply });
    }
    for command in [
        AdminCommand::DisableTarget("target-3".into()),
        AdminCommand::EnableTarget("target-3".into()),
        AdminCommand::Drain,
        AdminCommand::Resume,
    ] {
        messages.push(Message::AdminCommand {
            number: 304,
            command,
        });
    }
    for outcome in OUTCOMES {
        let ended = AttemptReport {
            outcome,
            elapsed: 12.5,
            event_complete: true,
            retry_after: 250.25,
            limit_remaining: Some(0.75),
        };
        messages.push(Message::AttemptEnded(event_id(), ended));
        messages.push(Message::HealthCheckEnded {
            target: target_id(),
            outcome,
        });
    }
    messages
}

/// Whether the message is sent with a descriptor.
fn carries_descriptor(message: &Message) -> bool {
    matches!(
        message,
        Message::State(_)
            | Message::Ownership
            | Message::ClientConnection { .. }
            | Message::IdleConnection { .. }
    )
}

fn descriptor(message: &Message) -> Option<OwnedFd> {
    carries_descriptor(message).then(|| File::open("/dev/null").expect("there").into())
}

/// The bytes that are sent on the socket for a message, including its length.
fn sent(message: &Message) -> Vec<u8> {
    let (ours, mut theirs) = UnixStream::pair().expect("a pair");
    let sender = MessageSender::new(Async::new(ours).expect("a socket"));
    block_on(sender.send(message, descriptor(message))).expect("sent");
    drop(sender);
    let mut bytes = Vec::new();
    theirs.read_to_end(&mut bytes).expect("read");
    bytes
}

/// The message that the receiver decodes from pinned bytes.
fn received(bytes: &[u8], message: &Message) -> Message {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    let mut receiver = MessageSender::new(Async::new(theirs).expect("a socket")).receiver();
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
    block_on(receiver.receive()).expect("received").0
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
    assert_eq!(named.len(), lines.len(), "a name occurs twice");
    assert_eq!(named, valued.iter().map(String::as_str).collect());
}
