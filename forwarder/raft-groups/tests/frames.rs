//! Frames from anyone: bounded, checked, closed on.

// Not all of it is used by each test.
#[allow(dead_code)]
mod together;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use plankhill_raft_groups::wire::frame::{body, frame, head, HEAD, LONGEST};
use plankhill_raft_groups::wire::mirror::{Entry, Kind, Message};
use plankhill_raft_groups::wire::said::{Hello, Said, StartOptions, VERSION};
use plankhill_raft_groups::{GroupId, Incarnation, InstanceName, Purpose};
use proptest::prelude::*;
use rstest::rstest;
use together::Together;

fn message() -> impl Strategy<Value = Message> {
    let entry = (
        any::<bool>(),
        any::<u64>(),
        any::<u64>(),
        any::<Vec<u8>>(),
        any::<Vec<u8>>(),
    );
    let entry = entry.prop_map(|(change, term, index, data, context)| Entry {
        change,
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
                Message {
                    kind: Kind::Append,
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
    fn a_frame_is_read_as_it_was_written_and_one_that_was_changed_is_not(
        message in message(),
        at in any::<prop::sample::Index>(),
        flip in 1u8..,
    ) {
        let said = Said::Raft { group: group(), message };
        let mut bytes = frame(&said);
        let (length, sum) = head(bytes[..HEAD].try_into().unwrap(), LONGEST).unwrap();
        prop_assert_eq!(length, bytes.len() - HEAD);
        prop_assert_eq!(body::<Said>(&bytes[HEAD..], sum), Ok(said));
        let at = HEAD + at.index(length);
        bytes[at] ^= flip;
        prop_assert!(body::<Said>(&bytes[HEAD..], sum).is_err());
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in any::<Vec<u8>>()) {
        let sum = crc32fast::hash(&bytes);
        let _ = body::<Said>(&bytes, sum);
        let _ = body::<Hello>(&bytes, sum);
    }
}

fn hello(version: u32, fleet: &str, name: &str) -> Vec<u8> {
    frame(&Hello {
        version,
        fleet: fleet.to_owned(),
        name: InstanceName(name.into()),
        to: InstanceName("i0".into()),
        incarnation: Incarnation(99),
        start: StartOptions {
            generation: 1,
            draw: 1,
        },
        control: None,
    })
}

fn cut(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.pop();
    bytes
}

/// Whatever one throws at it, the link is closed with a line, and the group goes on.
#[rstest]
#[case::unknown(hello(VERSION, "t", "nobody"), "an unknown instance")]
#[case::another_fleet(hello(VERSION, "u", "i1"), "another fleet")]
#[case::another_version(hello(VERSION + 1, "t", "i1"), "another version")]
#[case::oversized(vec![255; 64], "an oversized frame")]
#[case::torn(cut(hello(VERSION, "t", "i1")), "a torn frame")]
#[case::garbage([&frame(&Said::Join { group: group(), purpose: Purpose::EventLog })[..HEAD], &[3; 200]].concat(), "a torn frame")]
fn what_is_no_instance_s_frame_closes_the_link(#[case] bytes: Vec<u8>, #[case] told: &str) {
    let mut all = Together::new(3, "[copies]\nkeepers = 2\n");
    let group = all.record(0);
    let mut stream = TcpStream::connect(all.fleet.instances[0].address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    stream.write_all(&bytes).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let closing = std::thread::spawn(move || stream.read_to_end(&mut Vec::new()));
    all.until("it is told", |all| all.at(0).lines(told) == 1);
    // A close over bytes that were not read counts as one.
    let _ = closing.join().unwrap();
    all.commit(0, group, 1, vec![1]);
}
