//! The admin address under many simultaneous callers, and under callers that keep connections open
//! after their response.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use rstest::rstest;

use peers::*;

/// Several times the limit of admin connections.
const CALLERS: usize = 60;

#[rstest]
fn each_of_many_simultaneous_callers_gets_a_response() {
    let (forwarder, _calls, _notices, _) = start_with_stubs(0, |_| ());
    forwarder.wait_until_ready();
    forwarder.suspend();
    let call = |_| {
        let mut caller = TcpStream::connect(forwarder.mgmt).expect("the kernel accepts it");
        caller
            .write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("the kernel accepts it");
        caller
    };
    let callers: Vec<TcpStream> = (0..CALLERS).map(call).collect();
    forwarder.signal("-CONT");
    // No caller closes its connection before all have their response.
    for mut caller in &callers {
        let mut response = String::new();
        caller.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        caller
            .read_to_string(&mut response)
            .expect("closed cleanly, not reset");
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
}

/// Clients send endless bodies in chunks of one byte with long extensions, as fast as they can:
/// each connection is soon closed, however long the chunk extensions are, and admin callers keep
/// getting responses.
#[rstest]
fn endless_bodies_with_long_chunk_extensions_are_aborted_and_delay_no_caller() {
    let (forwarder, _calls, _notices, _) = start_with_stubs(0, |_| ());
    forwarder.wait_until_ready();
    let head = String::from_utf8(event_request("a", "job", "")).unwrap();
    let head = head.replace(
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    let chunks = format!("1;{}\r\nx\r\n", "y".repeat(4000)).repeat(100);
    let flood = || {
        let (mut stream, mut written) =
            (TcpStream::connect(forwarder.address).expect("connects"), 0);
        let _ = stream.write_all(head.as_bytes());
        while stream.write_all(chunks.as_bytes()).is_ok() {
            written += chunks.len();
        }
        written
    };
    thread::scope(|scope| {
        let floods: Vec<_> = (0..4).map(|_| scope.spawn(flood)).collect();
        for _ in 0..10 {
            assert_eq!(forwarder.call_admin("GET", "/-/ready"), 200);
        }
        // The bound includes the bytes in socket buffers. The limit on the bytes of a body alone
        // would allow 256 MiB.
        let written: Vec<usize> = floods
            .into_iter()
            .map(|flood| flood.join().expect("thread ends"))
            .collect();
        assert!(written.iter().all(|bytes| *bytes < 32 << 20), "{written:?}");
    });
}
