//! What a peer gets of a response behind which it goes on sending.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{block_on, Async};

use super::{linger, reject, MAX_DRAINED_BYTES};
use crate::stream::Stream;

fn pair() -> (TcpStream, Stream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("listens");
    peer.set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a socket");
    let (ours, _) = listener.accept().expect("came");
    (peer, Async::new(ours).expect("a socket"))
}

#[test]
fn a_rejected_peer_gets_its_response_over_what_it_sent() {
    let (mut peer, ours) = pair();
    peer.write_all(&[b'x'; 1000]).expect("is taken");
    block_on(ours.readable()).expect("has come");
    reject(&ours, b"no");
    drop(ours);
    let mut said = Vec::new();
    peer.read_to_end(&mut said)
        .expect("closed in order, not reset");
    assert_eq!(said, b"no");
}

#[test]
fn bytes_behind_the_last_response_are_read_until_the_peer_closes() {
    let (mut peer, ours) = pair();
    (&mut ours.get_ref()).write_all(b"no").expect("is taken");
    let peers = std::thread::spawn(move || {
        let mut said = Vec::new();
        peer.read_to_end(&mut said)
            .expect("the writing side is shut");
        peer.write_all(&[b'x'; 100_000]).expect("is read");
        said
    });
    block_on(linger(&ours));
    let rest = ours.get_ref().read(&mut [0]).expect("the peer has closed");
    assert_eq!(
        (rest, &peers.join().expect("no reset")[..]),
        (0, &b"no"[..])
    );
}

#[test]
fn a_peer_that_sends_without_an_end_is_reset() {
    let (mut peer, ours) = pair();
    let sends =
        std::thread::spawn(move || while peer.write_all(&[b'x'; MAX_DRAINED_BYTES]).is_ok() {});
    block_on(linger(&ours));
    drop(ours);
    sends.join().expect("ends with the connection");
}
