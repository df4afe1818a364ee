//! Tests that a peer receives its response although it continues to send.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{block_on, Async};

use super::{linger, reject, MAX_DRAINED_BYTES};
use crate::stream::Stream;

fn connected_pair() -> (TcpStream, Stream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("can bind");
    let peer = TcpStream::connect(listener.local_addr().expect("is bound")).expect("can connect");
    peer.set_read_timeout(Some(Duration::from_secs(30)))
        .expect("can set a timeout");
    let (stream, _) = listener.accept().expect("can accept");
    (peer, Async::new(stream).expect("can be non-blocking"))
}

#[test]
fn a_rejected_peer_that_has_sent_bytes_receives_its_response() {
    let (mut peer, stream) = connected_pair();
    peer.write_all(&[b'x'; 1000]).expect("is sent");
    block_on(stream.readable()).expect("has arrived");
    reject(&stream, b"no");
    drop(stream);
    let mut received = Vec::new();
    peer.read_to_end(&mut received).expect("closed, not reset");
    assert_eq!(received, b"no");
}

#[test]
fn bytes_after_the_last_response_are_read_until_the_peer_closes() {
    let (mut peer, stream) = connected_pair();
    (&mut stream.get_ref()).write_all(b"no").expect("is sent");
    let peer_thread = std::thread::spawn(move || {
        let mut received = Vec::new();
        peer.read_to_end(&mut received)
            .expect("the writing side is shut");
        peer.write_all(&[b'x'; 100_000]).expect("is read");
        received
    });
    block_on(linger(&stream));
    let rest = stream
        .get_ref()
        .read(&mut [0])
        .expect("the peer has closed");
    assert_eq!(
        (rest, &peer_thread.join().expect("no reset")[..]),
        (0, &b"no"[..])
    );
}

#[test]
fn a_peer_that_sends_without_end_is_reset() {
    let (mut peer, stream) = connected_pair();
    let sender =
        std::thread::spawn(move || while peer.write_all(&[b'x'; MAX_DRAINED_BYTES]).is_ok() {});
    block_on(linger(&stream));
    drop(stream);
    sender.join().expect("ends with the connection");
}
