//! Messages and descriptors over a Unix socket.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use async_io::{block_on, Async};
use futures_lite::future;
use plankhill_decisions::interface::{DestinationId, EventId, OrderKey, TrafficTypeId};
use plankhill_hot_restart::{EventHeader, Message, MessageSender, SubmittedEvent};
use rstest::rstest;

fn event(number: u64, length: usize) -> Message {
    Message::EventSubmitted(SubmittedEvent {
        number,
        event: EventHeader {
            id: EventId("e".into()),
            destination: DestinationId(7),
            traffic_type: TrafficTypeId(0),
            timeout: f64::INFINITY,
            key: Some(OrderKey(9)),
            fingerprint: None,
        },
        deadline: 1.5,
        body: vec![number as u8; length],
    })
}

/// Long messages, which take several writes, alternate with messages that carry a connection: each
/// connection arrives with its own message.
#[rstest]
fn each_descriptor_arrives_with_its_message() {
    let (one, other) = UnixStream::pair().expect("a pair");
    let [one, other] =
        [one, other].map(|side| MessageSender::new(Async::new(side).expect("a socket")));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let connected = || {
        let ours = TcpStream::connect(listener.local_addr().expect("bound")).expect("listens");
        (ours, listener.accept().expect("accepted").0)
    };
    let mut kept = Vec::new();
    let send_all = async {
        for number in 0..12u64 {
            one.send(&event(number, 300_000), None).await.expect("sent");
            let (mut ours, theirs) = connected();
            ours.write_all(&[number as u8]).expect("written");
            kept.push(ours);
            let client = Message::ClientConnection {
                requests_served: number,
                time_left: 1.0,
            };
            one.send(&client, Some(OwnedFd::from(theirs)))
                .await
                .expect("sent");
        }
    };
    let mut receiver = other.receiver();
    let receive_all = async {
        for expected in 0..12u64 {
            let (message, none) = receiver.receive().await.expect("received");
            let Message::EventSubmitted(submitted) = message else {
                panic!("an event came first")
            };
            assert_eq!(
                (submitted.number, submitted.body, none.is_none()),
                (expected, vec![expected as u8; 300_000], true)
            );
            let (message, descriptor) = receiver.receive().await.expect("received");
            assert!(
                matches!(message, Message::ClientConnection { requests_served, .. } if requests_served == expected)
            );
            let mut byte = [0];
            TcpStream::from(descriptor.expect("a descriptor"))
                .read_exact(&mut byte)
                .expect("an unread byte");
            assert_eq!(u64::from(byte[0]), expected);
        }
    };
    block_on(future::zip(send_all, receive_all));
    drop(one);
    assert!(
        block_on(receiver.receive()).is_err(),
        "the sender has closed the connection"
    );
}
