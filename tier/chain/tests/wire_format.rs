//! Encoded bytes of every message between members, as recorded in `tests/wire_format/messages.txt`.
//! Members of different versions exchange messages: a recorded line changes only together with the
//! protocol version.

use std::net::SocketAddr;
use std::sync::Arc;

use plankhill_chain::{
    Ballot, Echo, Entry, Heartbeat, Identity, Member, Message, RequestNumber, Snapshot, View,
    ViewNumber,
};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};

const RECORDED: &str = include_str!("wire_format/messages.txt");

fn member(number: u8) -> Member {
    let node = NodeId::from(format!("core-{number}").as_str());
    let identity = Identity {
        node,
        incarnation: Incarnation(0x0102_0304_0506_0700 + u64::from(number)),
    };
    Member {
        identity,
        address: SocketAddr::from(([10, 0, 0, number], 7_000 + u16::from(number))),
    }
}

fn member_on_ipv6() -> Member {
    let address = SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, 7], 7_009));
    Member {
        address,
        ..member(9)
    }
}

fn view() -> View {
    View {
        number: ViewNumber(300),
        voters: vec![member(1), member(2), member_on_ipv6()],
        chain: vec![NodeId::from("core-2"), NodeId::from("core-1")],
        base: Revision(70_000),
    }
}

fn ballot() -> Ballot {
    Ballot {
        round: 129,
        proposer: NodeId::from("core-2"),
    }
}

fn entry(number: u8) -> Entry {
    Entry {
        request: RequestNumber(u128::MAX - u128::from(number)),
        origin: NodeId::from("core-3"),
        operation: Arc::from([number, 0, 255]),
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        revision: Revision(512),
        machine: Arc::from([7, 8, 9]),
        outcomes: vec![
            (RequestNumber(5), Arc::from([1])),
            (RequestNumber(1 << 100), Arc::from([2, 3])),
        ],
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        member: member(1),
        sequence: u64::MAX,
        echoes: vec![
            Echo {
                identity: member(2).identity,
                sequence: 17,
            },
            Echo {
                identity: member(9).identity,
                sequence: 1 << 40,
            },
        ],
        view: ViewNumber(300),
        sealed: true,
        last_revision: Revision(70_001),
        committed: Revision(70_000),
        leaving: true,
        founder: true,
        confirmed_age_ms: Some(250),
        sync_ms: Some(350),
    }
}

/// Returns the message that follows `previous` in a sequence with one message of each variant, in
/// the order of the variants. The match is exhaustive: a new variant does not compile until it is
/// added here, and so to the recorded bytes.
fn message_after(previous: Option<&Message>) -> Option<Message> {
    let (view_number, revision) = (ViewNumber(300), Revision(70_000));
    let next = match previous {
        None => Message::Heartbeat(heartbeat()),
        Some(Message::Heartbeat(_)) => Message::Decided(view()),
        Some(Message::Decided(_)) => Message::Prepare {
            instance: ViewNumber(301),
            ballot: ballot(),
        },
        Some(Message::Prepare {
            instance: _,
            ballot: _,
        }) => Message::Promise {
            instance: ViewNumber(301),
            ballot: ballot(),
            accepted: Some((
                Ballot {
                    round: 128,
                    proposer: NodeId::from("core-1"),
                },
                view(),
            )),
            last_revision: Revision(70_001),
        },
        Some(Message::Promise {
            instance: _,
            ballot: _,
            accepted: _,
            last_revision: _,
        }) => Message::Refuse {
            instance: ViewNumber(301),
            promised: ballot(),
        },
        Some(Message::Refuse {
            instance: _,
            promised: _,
        }) => Message::Accept {
            ballot: ballot(),
            view: view(),
        },
        Some(Message::Accept { ballot: _, view: _ }) => Message::Accepted {
            instance: ViewNumber(301),
            ballot: ballot(),
        },
        Some(Message::Accepted {
            instance: _,
            ballot: _,
        }) => Message::Forward {
            view: view_number,
            entry: entry(1),
        },
        Some(Message::Forward { view: _, entry: _ }) => Message::Append {
            view: view_number,
            previous: revision,
            entries: vec![entry(1), entry(2)],
        },
        Some(Message::Append {
            view: _,
            previous: _,
            entries: _,
        }) => Message::Committed {
            view: view_number,
            revision,
        },
        Some(Message::Committed {
            view: _,
            revision: _,
        }) => Message::Outcome {
            request: RequestNumber(1 << 99),
            outcome: Arc::from([4, 5, 6]),
        },
        Some(Message::Outcome {
            request: _,
            outcome: _,
        }) => Message::Fetch {
            view: view_number,
            after: revision,
        },
        Some(Message::Fetch { view: _, after: _ }) => Message::Fetched {
            view: view_number,
            after: revision,
            entries: vec![entry(3)],
            committed: Revision(69_999),
        },
        Some(Message::Fetched {
            view: _,
            after: _,
            entries: _,
            committed: _,
        }) => Message::Install {
            view: view_number,
            snapshot: snapshot(),
        },
        Some(Message::Install {
            view: _,
            snapshot: _,
        }) => Message::Read {
            view: view_number,
            read_id: 1 << 63,
        },
        Some(Message::Read {
            view: _,
            read_id: _,
        }) => Message::ReadAt {
            read_id: 1 << 63,
            revision,
        },
        Some(Message::ReadAt {
            read_id: _,
            revision: _,
        }) => Message::Confirm {
            view: view_number,
            confirmation_id: 1 << 62,
        },
        Some(Message::Confirm {
            view: _,
            confirmation_id: _,
        }) => Message::Confirmed {
            view: view_number,
            confirmation_id: 1 << 62,
        },
        Some(Message::Confirmed {
            view: _,
            confirmation_id: _,
        }) => return None,
    };
    Some(next)
}

/// Labels of the recorded lines: the variants in order, then the messages whose optional fields are
/// empty.
const LABELS: [&str; 20] = [
    "Heartbeat",
    "Decided",
    "Prepare",
    "Promise",
    "Refuse",
    "Accept",
    "Accepted",
    "Forward",
    "Append",
    "Committed",
    "Outcome",
    "Fetch",
    "Fetched",
    "Install",
    "Read",
    "ReadAt",
    "Confirm",
    "Confirmed",
    "Heartbeat-unconfirmed",
    "Promise-unbound",
];

/// One message of each variant, then the messages whose optional fields are empty.
fn messages() -> Vec<(&'static str, Message)> {
    let mut messages = Vec::new();
    let mut next = message_after(None);
    while let Some(message) = next {
        next = message_after(Some(&message));
        messages.push(message);
    }
    messages.push(Message::Heartbeat(Heartbeat {
        confirmed_age_ms: None,
        sync_ms: None,
        ..heartbeat()
    }));
    messages.push(Message::Promise {
        instance: ViewNumber(301),
        ballot: ballot(),
        accepted: None,
        last_revision: Revision(70_001),
    });
    assert_eq!(messages.len(), LABELS.len());
    LABELS.into_iter().zip(messages).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

#[test]
fn every_message_is_encoded_as_recorded() {
    let encoded: Vec<String> = messages()
        .iter()
        .map(|(name, message)| {
            format!(
                "{name} {}",
                encode_hex(&postcard::to_allocvec(message).unwrap())
            )
        })
        .collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(encoded, recorded);
}

#[test]
fn every_recorded_message_is_decoded() {
    assert_eq!(RECORDED.lines().count(), messages().len());
    for ((name, message), line) in messages().iter().zip(RECORDED.lines()) {
        let (recorded_name, recorded) = line.split_once(' ').unwrap();
        assert_eq!(*name, recorded_name);
        let decoded: Message = postcard::from_bytes(&decode_hex(recorded)).unwrap();
        assert_eq!(decoded, *message, "{name}");
    }
}

/// Heartbeats as encoded by members of a version without the field `sync_ms`.
const HEARTBEATS_WITHOUT_SYNC_TIME: &str =
    include_str!("wire_format/heartbeats_without_sync_time.txt");

#[test]
fn a_heartbeat_without_sync_time_is_decoded() {
    let mut decoded_count = 0;
    for line in HEARTBEATS_WITHOUT_SYNC_TIME.lines() {
        let (recorded_name, recorded) = line.split_once(' ').unwrap();
        let (_, message) = messages()
            .into_iter()
            .find(|(name, _)| *name == recorded_name)
            .unwrap();
        let Message::Heartbeat(heartbeat) = message else {
            panic!("{recorded_name} is not a heartbeat");
        };
        let expected = Message::Heartbeat(Heartbeat {
            sync_ms: None,
            ..heartbeat
        });
        let decoded: Message = postcard::from_bytes(&decode_hex(recorded)).unwrap();
        assert_eq!(decoded, expected, "{recorded_name}");
        decoded_count += 1;
    }
    assert_eq!(decoded_count, 2);
}

/// A member of a version without the field decodes the fields before it and ignores the remaining
/// bytes.
#[test]
fn the_sync_time_follows_all_fields_that_earlier_versions_decode() {
    for line in HEARTBEATS_WITHOUT_SYNC_TIME.lines() {
        let (recorded_name, earlier) = line.split_once(' ').unwrap();
        let present = RECORDED
            .lines()
            .find_map(|line| line.strip_prefix(&format!("{recorded_name} ")))
            .unwrap();
        assert!(present.starts_with(earlier), "{recorded_name}");
    }
}
