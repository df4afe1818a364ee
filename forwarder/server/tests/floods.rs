//! Clients that send as fast as they can, or read nothing: others are served on.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;

use rstest::rstest;
use serde_json::json;

use peers::*;

const UP: &[u8] = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// Guards the others from one whose requests never run out: each of them is answered without a wait
/// for anything.
#[rstest]
fn who_asks_without_an_end_does_not_keep_others_waiting() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let flood = TcpStream::connect(forwarder.address).expect("connects");
    let (mut writes, mut reads) = (
        flood.try_clone().expect("a descriptor"),
        flood.try_clone().expect("a descriptor"),
    );
    thread::spawn(move || while writes.write_all(&UP.repeat(1000)).is_ok() {});
    let (begins, begun) = channel();
    thread::spawn(move || {
        let mut bytes = vec![0; 64 * 1024];
        while reads.read(&mut bytes).is_ok_and(|read| read > 0) {
            let _ = begins.send(());
        }
    });
    // Under way, with a buffer of requests behind it.
    (0..10).for_each(|_| receive(&begun));
    for id in ["a", "b", "c"] {
        forwarder.submit(id, "job", "");
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.answer(OK);
    }
    assert_eq!(forwarder.call_admin("GET", "/-/ready"), 200);
    let _ = flood.shutdown(std::net::Shutdown::Both);
}

/// They hold all places, and none of them ever waits for a request.
#[rstest]
#[case::its_answers_are_read(true)]
#[case::nor_reads_its_answers(false)]
fn who_asks_again_before_its_answer_makes_room(#[case] reads: bool) {
    let (forwarder, calls, _notices, _) =
        start_with_stand_ins(0, |config| config["limits"]["sockets"] = json!(64));
    let (begins, begun) = channel();
    for _ in 0..16 {
        let mut asks = TcpStream::connect(forwarder.address).expect("connects");
        let (mut answers, begins) = (asks.try_clone().expect("a descriptor"), begins.clone());
        thread::spawn(move || {
            while asks.write_all(&UP.repeat(1000)).is_ok() {
                let _ = begins.send(());
            }
        });
        if reads {
            thread::spawn(
                move || while answers.read(&mut [0; 65536]).is_ok_and(|read| read > 0) {},
            );
        }
    }
    // Under way, more than what the kernel holds for one that is not accepted.
    (0..16).for_each(|_| receive(&begun));
    for id in ["a", "b", "c"] {
        forwarder.submit(id, "job", "");
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.answer(OK);
    }
}
