//! What a peer gets of an answer behind which it goes on sending.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{block_on, Async};

use super::{ends, turn_away, LEAVINGS};
use crate::exchange::Stream;

fn pair() -> (TcpStream, Stream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("listens");
    peer.set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a socket");
    let (ours, _) = listener.accept().expect("came");
    (peer, Async::new(ours).expect("a socket"))
}

#[test]
fn who_finds_no_place_gets_its_answer_over_what_it_sent() {
    let (mut peer, ours) = pair();
    peer.write_all(&[b'x'; 1000]).expect("is taken");
    block_on(ours.readable()).expect("has come");
    turn_away(&ours, b"no");
    drop(ours);
    let mut said = Vec::new();
    peer.read_to_end(&mut said)
        .expect("closed in order, not reset");
    assert_eq!(said, b"no");
}

#[test]
fn what_comes_behind_the_last_answer_is_read_until_the_peer_closes() {
    let (mut peer, ours) = pair();
    (&mut ours.get_ref()).write_all(b"no").expect("is taken");
    let peers = std::thread::spawn(move || {
        let mut said = Vec::new();
        peer.read_to_end(&mut said)
            .expect("the writing side is shut");
        peer.write_all(&[b'x'; 100_000]).expect("is read");
        said
    });
    block_on(ends(&ours));
    let rest = ours.get_ref().read(&mut [0]).expect("the peer has closed");
    assert_eq!(
        (rest, &peers.join().expect("no reset")[..]),
        (0, &b"no"[..])
    );
}

#[test]
fn who_sends_without_an_end_is_broken_off() {
    let (mut peer, ours) = pair();
    let sends = std::thread::spawn(move || while peer.write_all(&[b'x'; LEAVINGS]).is_ok() {});
    block_on(ends(&ours));
    drop(ours);
    sends.join().expect("ends with the connection");
}
