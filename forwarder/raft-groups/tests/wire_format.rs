//! The bytes of all that instances send to each other.

use plankhill_raft_groups::core::effects::Voters;
use plankhill_raft_groups::wire::frame::{body, frame, head, HEAD, LONGEST};
use plankhill_raft_groups::wire::mirror::{Entry, Kind, Message, State};
use plankhill_raft_groups::wire::said::{Answer, Hello, Said, Slice, StartOptions, VERSION};
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

/// The value's frame is the pinned one, and the pinned one is read as the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, value: T) {
    let bytes = pinned(name);
    assert_eq!(frame(&value), bytes, "{name}");
    let (length, sum) = head(bytes[..HEAD].try_into().unwrap(), LONGEST).unwrap();
    assert_eq!(length, bytes.len() - HEAD, "{name}");
    assert_eq!(body::<T>(&bytes[HEAD..], sum), Ok(value), "{name}");
}

fn group() -> GroupId {
    GroupId {
        founder: Incarnation(0x0102_0304_0506_0708),
        number: 300,
    }
}

fn hello() -> Hello {
    Hello {
        version: VERSION,
        fleet: "fleet-a".into(),
        name: InstanceName("one".into()),
        to: InstanceName("two".into()),
        incarnation: Incarnation(0xfedc_ba98_7654_3210),
        start: StartOptions {
            generation: 5,
            draw: 0x1122_3344_5566_7788,
        },
        control: Some(group()),
    }
}

fn message(kind: Kind) -> Message {
    let voters = Voters {
        voters: vec![1, 200],
        learners: vec![3],
        outgoing: vec![4, 5],
        learners_next: vec![6],
        auto_leave: true,
    };
    let state = State {
        index: 11,
        term: 12,
        voters,
        data: vec![1, 2, 3],
    };
    Message {
        kind,
        to: 21,
        from: 22,
        term: 23,
        log_term: 24,
        index: 25,
        entries: vec![
            Entry {
                change: false,
                term: 23,
                index: 26,
                data: vec![4, 5],
                context: vec![6],
            },
            Entry {
                change: true,
                term: 23,
                index: 27,
                data: vec![7],
                context: vec![8, 9],
            },
        ],
        commit: 28,
        commit_term: 29,
        snapshot: (kind == Kind::Snapshot).then_some(state),
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
    for answer in [Answer::Welcome(hello()), Answer::OlderCopy { known: 300 }] {
        let name = match &answer {
            Answer::Welcome(_) => "Welcome",
            Answer::OlderCopy { .. } => "OlderCopy",
        };
        check(name, answer);
    }
}

#[test]
fn every_message_is_as_pinned() {
    let purposes = [Purpose::EventLog, Purpose::Control];
    let mut all = vec![
        Said::Beat {
            left: 1 << 40,
            control: Some(group()),
        },
        Said::Raft {
            group: group(),
            message: message(Kind::Append),
        },
        Said::Slice {
            group: group(),
            slice: Slice {
                message: Some(message(Kind::Snapshot)),
                offset: 262_144,
                total: 262_147,
                bytes: vec![1, 2, 3],
            },
        },
        Said::Taken {
            group: group(),
            offset: 262_147,
        },
        Said::Gone { group: group() },
        Said::Dissolved { group: group() },
        Said::Report {
            body: vec![9, 8, 7],
        },
    ];
    for purpose in purposes {
        let voters = vec![Incarnation(300), Incarnation(2)];
        all.push(Said::Found {
            group: group(),
            purpose,
            voters,
        });
        all.push(Said::Join {
            group: group(),
            purpose,
        });
    }
    for said in all {
        let of = |purpose: &Purpose| match purpose {
            Purpose::EventLog => "Record",
            Purpose::Control => "Control",
        };
        let name = match &said {
            Said::Beat { .. } => "Beat".to_owned(),
            Said::Raft { .. } => "Raft".to_owned(),
            Said::Slice { .. } => "Slice".to_owned(),
            Said::Taken { .. } => "Taken".to_owned(),
            Said::Found { purpose, .. } => format!("Found{}", of(purpose)),
            Said::Join { purpose, .. } => format!("Join{}", of(purpose)),
            Said::Gone { .. } => "Gone".to_owned(),
            Said::Dissolved { .. } => "Dissolved".to_owned(),
            Said::Report { .. } => "Report".to_owned(),
        };
        check(&name, said);
    }
    let slice = Slice {
        message: None,
        offset: 3,
        total: 9,
        bytes: vec![4],
    };
    check(
        "LaterSlice",
        Said::Slice {
            group: group(),
            slice,
        },
    );
    check(
        "BeatWithoutControl",
        Said::Beat {
            left: 0,
            control: None,
        },
    );
}

/// Each also goes to raft's own form and back.
#[test]
fn every_kind_of_rafts_messages_is_as_pinned() {
    let kinds = [
        Kind::Append,
        Kind::AppendResponse,
        Kind::RequestVote,
        Kind::RequestVoteResponse,
        Kind::Snapshot,
        Kind::Heartbeat,
        Kind::HeartbeatResponse,
        Kind::RequestPreVote,
        Kind::RequestPreVoteResponse,
    ];
    for kind in kinds {
        let name = match kind {
            Kind::Append => "Append",
            Kind::AppendResponse => "AppendResponse",
            Kind::RequestVote => "RequestVote",
            Kind::RequestVoteResponse => "RequestVoteResponse",
            Kind::Snapshot => "Snapshot",
            Kind::Heartbeat => "Heartbeat",
            Kind::HeartbeatResponse => "HeartbeatResponse",
            Kind::RequestPreVote => "RequestPreVote",
            Kind::RequestPreVoteResponse => "RequestPreVoteResponse",
        };
        check(
            &format!("Raft{name}"),
            Said::Raft {
                group: group(),
                message: message(kind),
            },
        );
        let raft = message(kind)
            .into_raft()
            .expect("nothing in it contradicts the rest");
        assert_eq!(Message::of(&raft), Some(message(kind)), "{name}");
    }
}
