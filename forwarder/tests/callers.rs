//! The operators' address under callers that come all at once or hold on to their answered connections.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;

use rstest::rstest;

use peers::*;

/// More than there are places, several times over.
const MANY: usize = 60;

#[rstest]
fn each_of_many_callers_that_come_at_once_gets_an_answer() {
    let (forwarder, _calls, _notices, _) = all(0, |_| ());
    forwarder.until_ready();
    forwarder.stop();
    let call = |_| {
        let mut caller = TcpStream::connect(forwarder.mgmt).expect("the kernel takes it");
        caller.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("the kernel takes it");
        caller
    };
    let callers: Vec<TcpStream> = (0..MANY).map(call).collect();
    forwarder.signal("-CONT");
    // None of them closes before all have their answer.
    for mut caller in &callers {
        let mut said = String::new();
        caller.set_read_timeout(Some(LONG)).expect("a socket");
        caller.read_to_string(&mut said).expect("closed in order, not reset");
        assert!(said.starts_with("HTTP/1.1 200 "), "{said}");
    }
}
