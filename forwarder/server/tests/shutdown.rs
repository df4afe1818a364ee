//! Asked to end: whoever comes until then gets an answer, and nothing is sent on.

mod peers;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use async_io::block_on;
use plankhill_hot_restart::{Message, PROTOCOL_VERSION};
use rstest::rstest;
use serde_json::Value;

use peers::successor::send_hello;
use peers::*;

/// A connection whose request was half read before the end was asked for; its body has not come.
fn half_read(forwarder: &Forwarder, id: &str) -> TcpStream {
    let mut half = TcpStream::connect(forwarder.address).expect("connects");
    let request = event_request(id, "job", "Expect: 100-continue\r\n");
    half.write_all(&request[..request.len() - 4])
        .expect("write succeeds");
    assert_eq!(read_response(&mut half).0, 100, "its head was read");
    half
}

fn ends(mut forwarder: Forwarder) {
    assert!(forwarder.child.wait().expect("process exits").success());
}

#[rstest]
fn every_request_that_lies_behind_another_is_answered_and_none_sent_on() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let mut stream = half_read(&forwarder, "a");
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    let behind = [event_request("b", "job", ""), event_request("c", "job", "")].concat();
    stream
        .write_all(&[&b"body"[..], &behind].concat())
        .expect("write succeeds");
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    let mut from = BufReader::new(stream);
    let heads: Vec<String> = std::iter::from_fn(|| read_message(&mut from))
        .map(|(head, _)| head)
        .collect();
    assert!(
        heads.len() == 3 && heads.iter().all(|head| head.starts_with("HTTP/1.1 503 ")),
        "{heads:?}"
    );
    let closes: Vec<bool> = heads
        .iter()
        .map(|head| head.contains("Connection: close\r\n"))
        .collect();
    assert_eq!(closes, [false, false, true]);
    ends(forwarder);
    assert!(calls.try_recv().is_err());
}

/// The end is due in the very turn in which a client has come: the process stands still from before
/// until after.
#[rstest]
fn who_comes_in_the_turn_of_the_end_gets_an_answer() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    forwarder.suspend();
    // Past the second that it stays at least; it cannot end meanwhile.
    thread::sleep(Duration::from_millis(1200));
    let mut late = TcpStream::connect(forwarder.address).expect("the kernel accepts it");
    late.write_all(&event_request("late", "job", ""))
        .expect("the kernel accepts it");
    forwarder.signal("-CONT");
    let (status, head) = read_response(&mut late);
    assert!(
        status == 503 && head.contains("Connection: close\r\n"),
        "{head}"
    );
    assert_eq!(late.read(&mut [0]).expect("closed cleanly"), 0);
    ends(forwarder);
    assert!(calls.try_recv().is_err());
}

/// Ends that nobody has heard are told where discovery is by then; and to be told twice to end is
/// nothing new.
#[rstest]
fn signals_are_heeded_while_it_ends() {
    let (forwarder, calls, notices, _) = start_with_stand_ins(usize::MAX, |_| ());
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    receive(&calls).answer(ERROR);
    assert_eq!(receive(&notices), given_up_notice("a"));
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    forwarder.signal("-TERM");
    let (moved, _watches, heard) = discovery_stand_in(0);
    let path = forwarder.folder.join("config.json");
    let mut config: Value =
        serde_json::from_slice(&std::fs::read(&path).expect("file exists")).expect("JSON");
    config["discovery"] = moved.to_string().into();
    std::fs::write(&path, config.to_string()).expect("written");
    forwarder.signal("-HUP");
    assert_eq!(receive(&heard), given_up_notice("a"));
    ends(forwarder);
}

/// Some clients rest until they are ended: nothing waits for them, nor for one whose answer they
/// have not read.
#[rstest]
fn it_ends_beside_clients_that_rest_and_targets_that_hang() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let mut rests = TcpStream::connect(forwarder.address).expect("connects");
    rests
        .write_all(&event_request("a", "order", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut rests).0, 202);
    let hangs = receive(&calls);
    let mut half = half_read(&forwarder, "b");
    forwarder.signal("-TERM");
    rests.set_read_timeout(Some(LONG)).expect("a socket");
    assert_eq!(rests.read(&mut [0]).expect("closed cleanly"), 0);
    half.write_all(b"body").expect("write succeeds");
    assert_eq!(read_response(&mut half).0, 503);
    let late = forwarder.exchange(&event_request("c", "job", ""));
    assert!(
        late.0 == 503 && late.1.contains("Connection: close\r\n"),
        "{late:?}"
    );
    ends(forwarder);
    drop(hangs);
    assert!(calls.try_recv().is_err());
}

/// A new process had asked, and takes over after the old one was asked to end: who comes then is
/// the new one's.
#[rstest]
fn one_that_takes_over_in_the_end_has_all_that_come_from_then_on() {
    let (forwarder, _calls, _notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.wait_until_ready();
    let (sender, mut receiver) = send_hello(&forwarder.folder, PROTOCOL_VERSION);
    let Ok((Message::State(_), Some(listener))) = block_on(receiver.receive()) else {
        panic!("the decisions stand still")
    };
    block_on(sender.send(&Message::Prepared, None)).expect("message sent");
    assert!(matches!(
        block_on(receiver.receive()),
        Ok((Message::Ownership, Some(_)))
    ));
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    block_on(sender.send(&Message::Activated, None)).expect("message sent");
    forwarder.wait_for_log("handed over to successor");
    let mut client = TcpStream::connect(forwarder.address).expect("connects");
    client
        .write_all(&event_request("a", "job", ""))
        .expect("write succeeds");
    ends(forwarder);
    // It lies in the queue all the while.
    let (stream, _) = TcpListener::from(listener)
        .accept()
        .expect("connection is left to the new process");
    stream.set_nonblocking(false).expect("a socket");
    let (head, _) = read_message(&mut BufReader::new(stream)).expect("the request");
    assert!(head.contains("Req-Id: a\r\n"), "{head}");
}
