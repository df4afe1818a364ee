//! Frames from arbitrary senders: their size is limited, their contents are checked, and an invalid frame closes the
//! link.

// Each test file uses only part of this module.
#[allow(dead_code)]
mod cluster;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use cluster::Cluster;
use plankhill_raft_groups::wire::frame::{
    decode_body, decode_header, encode_frame, FrameHeader, HEADER_LEN, MAX_BODY_LEN,
};
use plankhill_raft_groups::wire::message::{Hello, PeerMessage, Start, PROTOCOL_VERSION};
use plankhill_raft_groups::wire::raft_message::{Entry, MessageKind, RaftMessage};
use plankhill_raft_groups::{GroupId, Incarnation, InstanceName, Purpose};
use proptest::prelude::*;
use rstest::rstest;

fn message() -> impl Strategy<Value = RaftMessage> {
    let entry = (
        any::<bool>(),
        any::<u64>(),
        any::<u64>(),
        any::<Vec<u8>>(),
        any::<Vec<u8>>(),
    );
    let entry = entry.prop_map(|(is_membership_change, term, index, data, context)| Entry {
        is_membership_change,
        term,
        index,
        data,
        context,
    });
    let numbers = any::<[u64; 8]>();
    (
        numbers,
        prop::collection::vec(entry, 0..4),
        any::<Vec<u8>>(),
        any::<bool>(),
    )
        .prop_map(
            |(
                [to, from, term, log_term, index, commit, commit_term, reject_hint],
                entries,
                context,
                reject,
            )| {
                RaftMessage {
                    kind: MessageKind::Append,
                    to,
                    from,
                    term,
                    log_term,
                    index,
                    entries,
                    commit,
                    commit_term,
                    snapshot: None,
                    request_snapshot: 0,
                    reject,
                    reject_hint,
                    context,
                    priority: 0,
                }
            },
        )
}

fn group() -> GroupId {
    GroupId {
        founder: Incarnation(7),
        number: 1,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_frame_is_decoded_as_it_was_encoded_and_a_changed_one_is_refused(
        message in message(),
        at in any::<prop::sample::Index>(),
        flip in 1u8..,
    ) {
        let said = PeerMessage::Raft { group: group(), message };
        let mut bytes = encode_frame(&said);
        let FrameHeader { length, checksum } = decode_header(bytes[..HEADER_LEN].try_into().unwrap(), MAX_BODY_LEN).unwrap();
        prop_assert_eq!(length, bytes.len() - HEADER_LEN);
        prop_assert_eq!(decode_body::<PeerMessage>(&bytes[HEADER_LEN..], checksum), Ok(said));
        let at = HEADER_LEN + at.index(length);
        bytes[at] ^= flip;
        prop_assert!(decode_body::<PeerMessage>(&bytes[HEADER_LEN..], checksum).is_err());
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in any::<Vec<u8>>()) {
        let checksum = crc32fast::hash(&bytes);
        let _ = decode_body::<PeerMessage>(&bytes, checksum);
        let _ = decode_body::<Hello>(&bytes, checksum);
    }
}

fn hello(version: u32, fleet: &str, name: &str) -> Vec<u8> {
    encode_frame(&Hello {
        version,
        fleet: fleet.to_owned(),
        name: InstanceName(name.into()),
        to: InstanceName("i0".into()),
        incarnation: Incarnation(99),
        start: Start {
            generation: 1,
            nonce: 1,
        },
        control: None,
    })
}

fn truncate(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.pop();
    bytes
}

/// Whatever bytes a sender writes, the link is closed with a log line, and the group continues.
#[rstest]
#[case::unknown(hello(PROTOCOL_VERSION, "t", "nobody"), "an unknown instance")]
#[case::another_fleet(hello(PROTOCOL_VERSION, "u", "i1"), "another fleet")]
#[case::another_version(hello(PROTOCOL_VERSION + 1, "t", "i1"), "another version")]
#[case::oversized(vec![255; 64], "an oversized frame")]
#[case::torn(truncate(hello(PROTOCOL_VERSION, "t", "i1")), "a torn frame")]
#[case::garbage([&encode_frame(&PeerMessage::JoinGroup { group: group(), purpose: Purpose::EventLog })[..HEADER_LEN], &[3; 200]].concat(), "a torn frame")]
fn an_invalid_first_frame_closes_the_connection(
    #[case] bytes: Vec<u8>,
    #[case] expected_error: &str,
) {
    let mut cluster = Cluster::new(3, "[copies]\nkeepers = 2\n");
    let group = cluster.found_event_log(0);
    let mut stream = TcpStream::connect(cluster.fleet.instances[0].address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    stream.write_all(&bytes).unwrap();
    // The instance may have rejected the bytes and reset the connection already.
    if let Err(error) = stream.shutdown(std::net::Shutdown::Write) {
        assert_eq!(error.kind(), std::io::ErrorKind::NotConnected);
    }
    let closing = std::thread::spawn(move || stream.read_to_end(&mut Vec::new()));
    cluster.wait_until("the error is logged", |cluster| {
        cluster.instance(0).log_count(expected_error) == 1
    });
    // Closing a socket with unread data may reset the connection, so an error counts as a close.
    let _ = closing.join().unwrap();
    cluster.commit(0, group, 1, vec![1]);
}
