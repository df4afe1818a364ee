//! Tests with real connections whose peer acts while a call is being written.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::time::{Duration, Instant};

use async_io::block_on;
use futures_lite::future::poll_once;
use rstest::rstest;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};

use super::{write_call, WriteOutcome};
use crate::stream::{is_open_without_data, Stream};

const LONG: Duration = Duration::from_secs(30);
/// Larger than the two socket buffers together.
const CALL: usize = 4 << 20;

/// Both ends of a connection with small buffers: the local end, and the peer's.
fn pair() -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    set_socket_recv_buffer_size(&listener, 4096).expect("a socket");
    let ours = TcpStream::connect(listener.local_addr().expect("bound"))
        .expect("the connection is established");
    set_socket_send_buffer_size(&ours, 4096).expect("a socket");
    let (peer, _) = listener.accept().expect("a connection is accepted");
    (Stream::new(ours).expect("a socket"), peer)
}

/// Writes from the peer's end; returns once the bytes have arrived at the local end.
fn write_from_peer(peer: &mut TcpStream, bytes: &[u8], receiver: &Stream) {
    peer.write_all(bytes).expect("the connection is open");
    while is_open_without_data(receiver) {
        std::thread::yield_now();
    }
}

fn read_to_end(peer: &mut TcpStream) -> usize {
    let mut all = Vec::new();
    let _ = peer.read_to_end(&mut all);
    all.len()
}

/// If a connection has a partial line of an earlier response unread, or was closed by the peer,
/// nothing of the call is written.
#[rstest]
#[case::partial_line(b"HTTP/1.1 200 O")]
#[case::closed_by_peer(b"")]
fn nothing_is_written_to_a_connection_with_unread_bytes(#[case] bytes: &[u8]) {
    let (ours, mut peer) = pair();
    match bytes {
        b"" => drop(peer.shutdown(std::net::Shutdown::Write)),
        bytes => write_from_peer(&mut peer, bytes, &ours),
    }
    while is_open_without_data(&ours) {
        std::thread::yield_now();
    }
    let written = block_on(write_call(&ours, b"call", Instant::now() + LONG, || true));
    assert_eq!(written, WriteOutcome::Unusable);
    drop(ours);
    assert_eq!(read_to_end(&mut peer), 0);
}

/// Bytes that arrive before the call's last byte is written are not a response to the complete
/// call, and the call is not completed.
#[rstest]
fn a_call_that_is_answered_before_its_last_byte_is_not_completed() {
    let (ours, mut peer) = pair();
    let call = vec![b'x'; CALL];
    let reading = {
        let mut writing = pin!(write_call(&ours, &call, Instant::now() + LONG, || true));
        assert!(
            block_on(poll_once(writing.as_mut())).is_none(),
            "the buffers are full"
        );
        write_from_peer(&mut peer, b"HTTP/1.1 200 O", &ours);
        let reading = std::thread::spawn(move || read_to_end(&mut peer));
        assert_eq!(block_on(writing), WriteOutcome::Broken);
        reading
    };
    drop(ours);
    assert!(reading.join().expect("the reader ends") < CALL);
}

#[rstest]
#[case::reset(true)]
#[case::silent(false)]
fn a_call_that_the_peer_does_not_read_is_not_complete(#[case] resets: bool) {
    let (ours, peer) = pair();
    let call = vec![b'x'; CALL];
    let by = Instant::now()
        + if resets {
            LONG
        } else {
            Duration::from_millis(50)
        };
    let mut writing = pin!(write_call(&ours, &call, by, || true));
    assert!(
        block_on(poll_once(writing.as_mut())).is_none(),
        "the buffers are full"
    );
    let peer = (!resets).then_some(peer); // closing with unread bytes resets the connection
    assert_eq!(
        block_on(writing),
        if resets {
            WriteOutcome::Broken
        } else {
            WriteOutcome::TimedOut
        }
    );
    drop(peer);
}

#[rstest]
fn nothing_is_written_after_the_deadline() {
    let (ours, mut peer) = pair();
    assert_eq!(
        block_on(write_call(&ours, b"call", Instant::now(), || true)),
        WriteOutcome::Cancelled
    );
    drop(ours);
    assert_eq!(read_to_end(&mut peer), 0);
}

/// A call that may no longer be sent is not written to its end.
#[rstest]
#[case::from_the_start(0)]
#[case::after_a_part(CALL)]
fn nothing_more_is_written_of_a_cancelled_call(#[case] length: usize) {
    let (ours, mut peer) = pair();
    let (may_send, call) = (Cell::new(length > 0), vec![b'x'; length.max(4)]);
    let written = {
        let mut writing = pin!(write_call(&ours, &call, Instant::now() + LONG, || may_send.get()));
        match block_on(poll_once(writing.as_mut())) {
            Some(written) => written,
            None => {
                may_send.set(false);
                let mut reader = peer.try_clone().expect("a socket");
                std::thread::spawn(move || read_to_end(&mut reader));
                block_on(writing)
            }
        }
    };
    assert_eq!(written, WriteOutcome::Cancelled);
    drop(ours);
    let _ = read_to_end(&mut peer);
}
