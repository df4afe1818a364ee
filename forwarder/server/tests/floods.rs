//! Clients that send as fast as they can or read no responses: other clients are still served.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;

use rstest::rstest;
use serde_json::json;

use peers::*;

const UP: &[u8] = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// Guards other clients against one that always has another request buffered, so that its
/// connection never waits.
#[rstest]
fn an_endless_sender_does_not_delay_other_clients() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let flood = TcpStream::connect(forwarder.address).expect("connects");
    let (mut writes, mut reads) = (
        flood.try_clone().expect("a descriptor"),
        flood.try_clone().expect("a descriptor"),
    );
    thread::spawn(move || while writes.write_all(&UP.repeat(1000)).is_ok() {});
    let (progress, progress_reports) = channel();
    thread::spawn(move || {
        let mut bytes = vec![0; 64 * 1024];
        while reads.read(&mut bytes).is_ok_and(|read| read > 0) {
            let _ = progress.send(());
        }
    });
    // The flood has started, with a buffer of pipelined requests.
    (0..10).for_each(|_| receive(&progress_reports));
    for id in ["a", "b", "c"] {
        forwarder.submit(id, "job", "");
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.respond(OK);
    }
    assert_eq!(forwarder.call_admin("GET", "/-/ready"), 200);
    let _ = flood.shutdown(std::net::Shutdown::Both);
}

/// The clients hold all connections that may be open, none of which ever waits for a request.
#[rstest]
#[case::responses_are_read(true)]
#[case::responses_are_not_read(false)]
fn connections_with_pipelined_requests_are_closed_for_others(#[case] reads: bool) {
    let (forwarder, calls, _notices, _) =
        start_with_stubs(0, |config| config["limits"]["sockets"] = json!(64));
    let (progress, progress_reports) = channel();
    for _ in 0..16 {
        let mut writer = TcpStream::connect(forwarder.address).expect("connects");
        let (mut answers, progress) = (writer.try_clone().expect("a descriptor"), progress.clone());
        thread::spawn(move || {
            while writer.write_all(&UP.repeat(1000)).is_ok() {
                let _ = progress.send(());
            }
        });
        if reads {
            thread::spawn(
                move || while answers.read(&mut [0; 65536]).is_ok_and(|read| read > 0) {},
            );
        }
    }
    // The floods have started; each has sent more than the kernel buffers for a connection that is
    // not accepted.
    (0..16).for_each(|_| receive(&progress_reports));
    for id in ["a", "b", "c"] {
        forwarder.submit(id, "job", "");
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.respond(OK);
    }
}
