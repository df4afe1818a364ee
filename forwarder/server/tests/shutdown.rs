//! Shutdown: each request that arrives before the process ends gets a response, and no event is
//! forwarded.

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

/// A connection whose request head the forwarder has read; the body has not been sent.
fn half_read(forwarder: &Forwarder, id: &str) -> TcpStream {
    let mut partial = TcpStream::connect(forwarder.address).expect("connects");
    let request = event_request(id, "job", "Expect: 100-continue\r\n");
    partial
        .write_all(&request[..request.len() - 4])
        .expect("write succeeds");
    assert_eq!(read_response(&mut partial).0, 100, "the head was read");
    partial
}

fn expect_clean_exit(mut forwarder: Forwarder) {
    assert!(forwarder.child.wait().expect("process exits").success());
}

#[rstest]
fn pipelined_requests_are_all_answered_and_none_is_forwarded() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let mut stream = half_read(&forwarder, "a");
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    let pipelined = [event_request("b", "job", ""), event_request("c", "job", "")].concat();
    stream
        .write_all(&[&b"body"[..], &pipelined].concat())
        .expect("write succeeds");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
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
    expect_clean_exit(forwarder);
    assert!(calls.try_recv().is_err());
}

/// The end of the shutdown is due in the same event loop iteration in which a client connects: the
/// process is suspended from before until after both.
#[rstest]
fn a_client_in_the_last_iteration_gets_a_response() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    forwarder.suspend();
    // Longer than the second for which the process stays at least; while suspended it cannot end.
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
    expect_clean_exit(forwarder);
    assert!(calls.try_recv().is_err());
}

/// Unacknowledged notices are sent to the new address of discovery; a second SIGTERM changes
/// nothing.
#[rstest]
fn signals_are_handled_during_shutdown() {
    let (forwarder, calls, notices, _) = start_with_stubs(usize::MAX, |_| ());
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    receive(&calls).respond(ERROR);
    assert_eq!(receive(&notices), given_up_notice("a"));
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    forwarder.signal("-TERM");
    let (new_address, _watches, notices_at_new) = discovery_stub(0);
    let path = forwarder.folder.join("config.json");
    let mut config: Value =
        serde_json::from_slice(&std::fs::read(&path).expect("file exists")).expect("JSON");
    config["discovery"] = new_address.to_string().into();
    std::fs::write(&path, config.to_string()).expect("written");
    forwarder.signal("-HUP");
    assert_eq!(receive(&notices_at_new), given_up_notice("a"));
    expect_clean_exit(forwarder);
}

/// Shutdown waits neither for clients that stay idle until their connections are closed, nor for a
/// target that does not respond.
#[rstest]
fn shutdown_completes_despite_idle_clients_and_unresponsive_targets() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let mut idle = TcpStream::connect(forwarder.address).expect("connects");
    idle.write_all(&event_request("a", "order", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut idle).0, 202);
    let unanswered = receive(&calls);
    let mut partial = half_read(&forwarder, "b");
    forwarder.signal("-TERM");
    idle.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    assert_eq!(idle.read(&mut [0]).expect("closed cleanly"), 0);
    partial.write_all(b"body").expect("write succeeds");
    assert_eq!(read_response(&mut partial).0, 503);
    let late = forwarder.exchange(&event_request("c", "job", ""));
    assert!(
        late.0 == 503 && late.1.contains("Connection: close\r\n"),
        "{late:?}"
    );
    expect_clean_exit(forwarder);
    drop(unanswered);
    assert!(calls.try_recv().is_err());
}

/// A successor connects before the predecessor is asked to end, and takes over after that: clients
/// that connect from then on are the successor's.
#[rstest]
fn a_successor_that_takes_over_during_shutdown_gets_all_later_clients() {
    let (forwarder, _calls, _notices, _) = start_with_stubs(0, |_| ());
    forwarder.wait_until_ready();
    let (sender, mut receiver) = send_hello(&forwarder.folder, PROTOCOL_VERSION);
    let Ok((Message::State(_), Some(listener))) = block_on(receiver.receive()) else {
        panic!("no state was sent")
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
    expect_clean_exit(forwarder);
    // The connection stays in the listener's queue until here.
    let (stream, _) = TcpListener::from(listener)
        .accept()
        .expect("connection is left to the new process");
    stream.set_nonblocking(false).expect("a socket");
    let (head, _) = read_message(&mut BufReader::new(stream)).expect("the request");
    assert!(head.contains("Req-Id: a\r\n"), "{head}");
}
