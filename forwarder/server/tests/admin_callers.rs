//! The operators' address under callers that come all at once or hold on to their answered
//! connections.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use rstest::rstest;

use peers::*;

/// More than there are places, several times over.
const MANY: usize = 60;

#[rstest]
fn each_of_many_callers_that_come_at_once_gets_an_answer() {
    let (forwarder, _calls, _notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.wait_until_ready();
    forwarder.suspend();
    let call = |_| {
        let mut caller = TcpStream::connect(forwarder.mgmt).expect("the kernel accepts it");
        caller
            .write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("the kernel accepts it");
        caller
    };
    let callers: Vec<TcpStream> = (0..MANY).map(call).collect();
    forwarder.signal("-CONT");
    // None of them closes before all have their answer.
    for mut caller in &callers {
        let mut said = String::new();
        caller.set_read_timeout(Some(LONG)).expect("a socket");
        caller
            .read_to_string(&mut said)
            .expect("closed cleanly, not reset");
        assert!(said.starts_with("HTTP/1.1 200 "), "{said}");
    }
}

/// Bodies that never end and hardly grow, as fast as they can be sent: each is broken off soon,
/// whatever its chunks weigh, and callers have their answers all the while.
#[rstest]
fn bodies_that_hardly_grow_hold_up_no_caller_and_are_broken_off() {
    let (forwarder, _calls, _notices, _) = start_with_stand_ins(0, |_| ());
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
        // What the kernel holds on the way comes on top. The bytes of a body alone would allow 256
        // MiB.
        let written: Vec<usize> = floods
            .into_iter()
            .map(|flood| flood.join().expect("process exits"))
            .collect();
        assert!(written.iter().all(|bytes| *bytes < 32 << 20), "{written:?}");
    });
}
