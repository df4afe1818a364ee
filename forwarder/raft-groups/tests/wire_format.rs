//! The wire format of all messages between instances.

use plankhill_raft_groups::replica::effects::Membership;
use plankhill_raft_groups::wire::frame::{
    decode_body, decode_header, encode_frame, HEADER_LEN, MAX_BODY_LEN,
};
use plankhill_raft_groups::wire::message::{
    Hello, HelloReply, PeerMessage, SnapshotChunk, Start, PROTOCOL_VERSION,
};
use plankhill_raft_groups::wire::raft_message::{Entry, MessageKind, RaftMessage, Snapshot};
use plankhill_raft_groups::{GroupId, Incarnation, InstanceName, Purpose};
use serde::{de::DeserializeOwned, Serialize};

const PINNED: &str = include_str!("wire_format/frames.txt");

fn pinned(name: &str) -> Vec<u8> {
    let line = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

/// Checks that the value is encoded as the pinned frame and that the pinned frame is decoded as the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, value: T) {
    let bytes = pinned(name);
    assert_eq!(encode_frame(&value), bytes, "{name}");
    let header = decode_header(bytes[..HEADER_LEN].try_into().unwrap(), MAX_BODY_LEN).unwrap();
    assert_eq!(header.length, bytes.len() - HEADER_LEN, "{name}");
    assert_eq!(
        decode_body::<T>(&bytes[HEADER_LEN..], header.checksum),
        Ok(value),
        "{name}"
    );
}

fn group() -> GroupId {
    GroupId {
        founder: Incarnation(0x0102_0304_0506_0708),
        number: 300,
    }
}

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        fleet: "fleet-a".into(),
        name: InstanceName("one".into()),
        to: InstanceName("two".into()),
        incarnation: Incarnation(0xfedc_ba98_7654_3210),
        start: Start {
            generation: 5,
            nonce: 0x1122_3344_5566_7788,
        },
        control: Some(group()),
    }
}

fn message(kind: MessageKind) -> RaftMessage {
    let voters = Membership {
        voters: vec![1, 200],
        learners: vec![3],
        outgoing_voters: vec![4, 5],
        next_learners: vec![6],
        auto_leave: true,
    };
    let state = Snapshot {
        index: 11,
        term: 12,
        members: voters,
        data: vec![1, 2, 3],
    };
    RaftMessage {
        kind,
        to: 21,
        from: 22,
        term: 23,
        log_term: 24,
        index: 25,
        entries: vec![
            Entry {
                is_membership_change: false,
                term: 23,
                index: 26,
                data: vec![4, 5],
                context: vec![6],
            },
            Entry {
                is_membership_change: true,
                term: 23,
                index: 27,
                data: vec![7],
                context: vec![8, 9],
            },
        ],
        commit: 28,
        commit_term: 29,
        snapshot: (kind == MessageKind::Snapshot).then_some(state),
        request_snapshot: 30,
        reject: true,
        reject_hint: 31,
        context: vec![10, 11],
        priority: -12,
    }
}

#[test]
fn the_first_frames_are_as_pinned() {
    check("Hello", hello());
    let mut without = hello();
    without.control = None;
    check("HelloWithoutControl", without);
    for reply in [
        HelloReply::Welcome(hello()),
        HelloReply::StaleFolder {
            known_generation: 300,
        },
    ] {
        let name = match &reply {
            HelloReply::Welcome(_) => "Welcome",
            HelloReply::StaleFolder { .. } => "OlderCopy",
        };
        check(name, reply);
    }
}

#[test]
fn every_message_is_as_pinned() {
    let purposes = [Purpose::EventLog, Purpose::Control];
    let mut all = vec![
        PeerMessage::Heartbeat {
            free_bytes: 1 << 40,
            control: Some(group()),
        },
        PeerMessage::Raft {
            group: group(),
            message: message(MessageKind::Append),
        },
        PeerMessage::SnapshotChunk {
            group: group(),
            chunk: SnapshotChunk {
                message: Some(message(MessageKind::Snapshot)),
                offset: 262_144,
                total: 262_147,
                bytes: vec![1, 2, 3],
            },
        },
        PeerMessage::ChunkReceived {
            group: group(),
            offset: 262_147,
        },
        PeerMessage::NotMember { group: group() },
        PeerMessage::GroupDissolved { group: group() },
        PeerMessage::Report {
            body: vec![9, 8, 7],
        },
    ];
    for purpose in purposes {
        let voters = vec![Incarnation(300), Incarnation(2)];
        all.push(PeerMessage::FoundGroup {
            group: group(),
            purpose,
            voters,
        });
        all.push(PeerMessage::JoinGroup {
            group: group(),
            purpose,
        });
    }
    for message in all {
        let of = |purpose: &Purpose| match purpose {
            Purpose::EventLog => "Record",
            Purpose::Control => "Control",
        };
        let name = match &message {
            PeerMessage::Heartbeat { .. } => "Beat".to_owned(),
            PeerMessage::Raft { .. } => "Raft".to_owned(),
            PeerMessage::SnapshotChunk { .. } => "Slice".to_owned(),
            PeerMessage::ChunkReceived { .. } => "Taken".to_owned(),
            PeerMessage::FoundGroup { purpose, .. } => format!("Found{}", of(purpose)),
            PeerMessage::JoinGroup { purpose, .. } => format!("Join{}", of(purpose)),
            PeerMessage::NotMember { .. } => "Gone".to_owned(),
            PeerMessage::GroupDissolved { .. } => "Dissolved".to_owned(),
            PeerMessage::Report { .. } => "Report".to_owned(),
        };
        check(&name, message);
    }
    let chunk = SnapshotChunk {
        message: None,
        offset: 3,
        total: 9,
        bytes: vec![4],
    };
    check(
        "LaterSlice",
        PeerMessage::SnapshotChunk {
            group: group(),
            chunk,
        },
    );
    check(
        "BeatWithoutControl",
        PeerMessage::Heartbeat {
            free_bytes: 0,
            control: None,
        },
    );
}

/// Each message is also converted to raft's own type and back.
#[test]
fn every_kind_of_rafts_messages_is_as_pinned() {
    let kinds = [
        MessageKind::Append,
        MessageKind::AppendResponse,
        MessageKind::RequestVote,
        MessageKind::RequestVoteResponse,
        MessageKind::Snapshot,
        MessageKind::Heartbeat,
        MessageKind::HeartbeatResponse,
        MessageKind::RequestPreVote,
        MessageKind::RequestPreVoteResponse,
    ];
    for kind in kinds {
        let name = match kind {
            MessageKind::Append => "Append",
            MessageKind::AppendResponse => "AppendResponse",
            MessageKind::RequestVote => "RequestVote",
            MessageKind::RequestVoteResponse => "RequestVoteResponse",
            MessageKind::Snapshot => "Snapshot",
            MessageKind::Heartbeat => "Heartbeat",
            MessageKind::HeartbeatResponse => "HeartbeatResponse",
            MessageKind::RequestPreVote => "RequestPreVote",
            MessageKind::RequestPreVoteResponse => "RequestPreVoteResponse",
        };
        check(
            &format!("Raft{name}"),
            PeerMessage::Raft {
                group: group(),
                message: message(kind),
            },
        );
        let raft = message(kind)
            .into_raft()
            .expect("the fields are consistent");
        assert_eq!(RaftMessage::from_raft(&raft), Some(message(kind)), "{name}");
    }
}
