//! Words and descriptors over a Unix socket.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use async_io::{block_on, Async};
use futures_lite::future;
use plankhill_decisions::interface::*;
use plankhill_hot_restart::{Event, Handed, Passage, Word};
use rstest::rstest;

fn event(number: u64, length: usize) -> Word {
    Word::Event(Handed {
        number,
        event: Event {
            id: EventId("e".into()),
            destination: DestinationId(7),
            traffic: TrafficTypeId(0),
            patience: f64::INFINITY,
            key: Some(OrderKey(9)),
            fingerprint: None,
        },
        patience_ends: 1.5,
        body: vec![number as u8; length],
    })
}

/// Long words, which go in pieces, between words with connections: each connection comes with its own word.
#[rstest]
fn each_descriptor_comes_with_its_word() {
    let (one, other) = UnixStream::pair().expect("a pair");
    let [one, other] = [one, other].map(|side| Passage::new(Async::new(side).expect("a socket")));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let connected = || {
        let ours = TcpStream::connect(listener.local_addr().expect("bound")).expect("listens");
        (ours, listener.accept().expect("came").0)
    };
    let mut kept = Vec::new();
    let tells = async {
        for number in 0..12u64 {
            one.tell(&event(number, 300_000), None).await.expect("told");
            let (mut ours, theirs) = connected();
            ours.write_all(&[number as u8]).expect("takes it");
            kept.push(ours);
            let client = Word::Client {
                asked: number,
                left: 1.0,
            };
            one.tell(&client, Some(OwnedFd::from(theirs)))
                .await
                .expect("told");
        }
    };
    let mut ears = other.ears();
    let hears = async {
        for expected in 0..12u64 {
            let (word, none) = ears.next().await.expect("heard");
            let Word::Event(handed) = word else {
                panic!("an event came first")
            };
            assert_eq!(
                (handed.number, handed.body, none.is_none()),
                (expected, vec![expected as u8; 300_000], true)
            );
            let (word, descriptor) = ears.next().await.expect("heard");
            assert!(matches!(word, Word::Client { asked, .. } if asked == expected));
            let mut byte = [0];
            TcpStream::from(descriptor.expect("with it"))
                .read_exact(&mut byte)
                .expect("lay unread in it");
            assert_eq!(u64::from(byte[0]), expected);
        }
    };
    block_on(future::zip(tells, hears));
    drop(one);
    assert!(block_on(ears.next()).is_err(), "the other has gone");
}
