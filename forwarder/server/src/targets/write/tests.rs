//! Real connections whose peer acts between the pieces of a call.

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
use crate::stream::{is_quiet, Stream};

const LONG: Duration = Duration::from_secs(30);
/// More than the two buffers take.
const CALL: usize = 4 << 20;

/// Our end, and the peer's, with small buffers.
fn pair() -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    set_socket_recv_buffer_size(&listener, 4096).expect("a socket");
    let ours = TcpStream::connect(listener.local_addr().expect("bound")).expect("comes up");
    set_socket_send_buffer_size(&ours, 4096).expect("a socket");
    let (peer, _) = listener.accept().expect("comes");
    (Stream::new(ours).expect("a socket"), peer)
}

/// The peer's end holds what it said once this returns.
fn says(peer: &mut TcpStream, what: &[u8], to: &Stream) {
    peer.write_all(what).expect("stands");
    while is_quiet(to) {
        std::thread::yield_now();
    }
}

fn read_to_end(peer: &mut TcpStream) -> usize {
    let mut all = Vec::new();
    let _ = peer.read_to_end(&mut all);
    all.len()
}

/// Half a line of an older answer, or the peer's end, stands before the call: none of it leaves.
#[rstest]
#[case::half_a_line(b"HTTP/1.1 200 O")]
#[case::its_end(b"")]
fn nothing_is_written_to_a_connection_with_unread_bytes(#[case] said: &[u8]) {
    let (ours, mut peer) = pair();
    match said {
        b"" => drop(peer.shutdown(std::net::Shutdown::Write)),
        said => says(&mut peer, said, &ours),
    }
    while is_quiet(&ours) {
        std::thread::yield_now();
    }
    let written = block_on(write_call(&ours, b"call", Instant::now() + LONG, || true));
    assert_eq!(written, WriteOutcome::Unusable);
    drop(ours);
    assert_eq!(read_to_end(&mut peer), 0);
}

/// What comes before the last byte is written answers no whole call, and the call is not completed.
#[rstest]
fn a_call_that_is_answered_before_its_last_byte_is_not_completed() {
    let (ours, mut peer) = pair();
    let call = vec![b'x'; CALL];
    let reading = {
        let mut writing = pin!(write_call(&ours, &call, Instant::now() + LONG, || true));
        assert!(
            block_on(poll_once(writing.as_mut())).is_none(),
            "the peer takes no more"
        );
        says(&mut peer, b"HTTP/1.1 200 O", &ours);
        let reading = std::thread::spawn(move || read_to_end(&mut peer));
        assert_eq!(block_on(writing), WriteOutcome::Broken);
        reading
    };
    drop(ours);
    assert!(reading.join().expect("reads") < CALL);
}

#[rstest]
#[case::broken(true)]
#[case::silent(false)]
fn a_call_that_the_peer_does_not_read_is_not_complete(#[case] breaks: bool) {
    let (ours, peer) = pair();
    let call = vec![b'x'; CALL];
    let by = Instant::now()
        + if breaks {
            LONG
        } else {
            Duration::from_millis(50)
        };
    let mut writing = pin!(write_call(&ours, &call, by, || true));
    assert!(
        block_on(poll_once(writing.as_mut())).is_none(),
        "the peer takes no more"
    );
    let peer = (!breaks).then_some(peer); // a close over unread bytes resets the connection
    assert_eq!(
        block_on(writing),
        if breaks {
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

/// A call that may not leave any more is not written to its end.
#[rstest]
#[case::from_the_start(0)]
#[case::after_a_part(CALL)]
fn nothing_more_is_written_of_a_cancelled_call(#[case] length: usize) {
    let (ours, mut peer) = pair();
    let (wanted, call) = (Cell::new(length > 0), vec![b'x'; length.max(4)]);
    let written = {
        let mut writing = pin!(write_call(&ours, &call, Instant::now() + LONG, || wanted.get()));
        match block_on(poll_once(writing.as_mut())) {
            Some(written) => written,
            None => {
                wanted.set(false);
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
