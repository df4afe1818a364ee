//! How a client's connection ends: behind an answer that is not broken off, whatever still comes.

mod peers;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use peers::*;

/// What a client gets until the other side closes in order.
fn all_of(mut stream: &TcpStream) -> String {
    let mut said = Vec::new();
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    stream
        .read_to_end(&mut said)
        .expect("closed cleanly, not reset");
    String::from_utf8(said).expect("text")
}

/// Longer than what is read at once, so that some of it surely lies unread when the answer is
/// there.
fn longer_than_a_buffer() -> Vec<u8> {
    [
        b"POST /job HTTP/1.1\r\nX-More: ".to_vec(),
        vec![b'x'; 100 * 1024],
    ]
    .concat()
}

#[rstest]
#[case::the_client_ends_it(event_request("a", "job", "Connection: close\r\n"), "202")]
#[case::it_is_none(b"nonsense\r\n\r\n".to_vec(), "400")]
fn the_last_answer_outlives_what_lies_unread_behind_its_request(
    #[case] asked: Vec<u8>,
    #[case] status: &str,
) {
    let (forwarder, _calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let stream = TcpStream::connect(forwarder.address).expect("connects");
    // All of it lies there before it is read.
    forwarder.suspend();
    let (mut writes, whole) = (
        stream.try_clone().expect("a descriptor"),
        [asked, longer_than_a_buffer()].concat(),
    );
    let written = thread::spawn(move || writes.write_all(&whole));
    while !written.is_finished() {
        thread::sleep(Duration::from_millis(1));
    }
    forwarder.signal("-CONT");
    let _ = written.join();
    let said = all_of(&stream);
    assert!(
        said.starts_with(&format!("HTTP/1.1 {status} ")) && said.contains("Connection: close\r\n"),
        "{said}"
    );
}

/// Guards whoever asks well from those that hold all buffers with half a request each, and these
/// from a reset.
#[rstest]
fn requests_that_stay_half_give_their_buffers_back_and_hear_why() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |config| {
        config["limits"] = json!({"cores": 1, "memory_mb": 16, "sockets": 1024, "disk_mb": 3});
    });
    let request = event_request("half", "job", "Expect: 100-continue\r\n");
    let half = |_| {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        stream
            .write_all(&request[..request.len() - 4])
            .expect("write succeeds");
        // Its buffer is taken, or there was none.
        assert!([100, 503].contains(&read_response(&mut stream).0));
        stream
    };
    // Of 8 MiB for buffers of 72 KiB.
    let halves: Vec<TcpStream> = (0..130).map(half).collect();
    // So long an honest one may take for its rest.
    thread::sleep(Duration::from_millis(300));
    forwarder.submit("good", "job", "");
    assert_eq!(receive(&calls).id(), "good");
    let mut first = halves.into_iter().next().expect("connected");
    // Its answer is there, unread, while it still sends: for as long as a line, the connection
    // takes that.
    let mut seen = [0; 12];
    first.set_read_timeout(Some(LONG)).expect("a socket");
    assert_eq!(first.peek(&mut seen).expect("an answer"), 12);
    first.write_all(b"bo").expect("write succeeds");
    first.shutdown(Shutdown::Write).expect("open");
    assert!(all_of(&first).starts_with("HTTP/1.1 408 "));
}

/// Guards the others from refused clients that never close: those are the first to make room.
#[rstest]
fn who_lingers_behind_a_last_answer_makes_room_first() {
    let (forwarder, calls, _notices, _) =
        start_with_stand_ins(0, |config| config["limits"]["sockets"] = json!(64));
    let mut regular = TcpStream::connect(forwarder.address).expect("connects");
    for id in ["a", "b"] {
        regular
            .write_all(&event_request(id, "job", ""))
            .expect("write succeeds");
        assert_eq!(read_response(&mut regular).0, 202);
        receive(&calls).answer(OK);
    }
    let lingers = |_| {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        stream
            .write_all(b"nonsense\r\n\r\n")
            .expect("write succeeds");
        assert_eq!(read_response(&mut stream).0, 400);
        stream
    };
    let _stay: Vec<TcpStream> = (0..100).map(lingers).collect();
    regular
        .write_all(&event_request("c", "job", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut regular).0, 202);
    assert_eq!(receive(&calls).id(), "c");
}

/// A rest is over, and a request comes, in one turn: the process stands still from before until
/// after.
#[rstest]
#[case::its_time_is_up(None)]
#[case::it_is_asked_to_end(Some("-TERM"))]
fn a_request_in_the_turn_of_an_idle_close_is_answered(#[case] signal: Option<&str>) {
    let (forwarder, _calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let mut rests = TcpStream::connect(forwarder.address).expect("connects");
    rests
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("write succeeds");
    assert_eq!(read_response(&mut rests).0, 200);
    forwarder.suspend();
    match signal {
        Some(signal) => forwarder.signal(signal),
        // Past the two seconds that a connection may rest; it can't be closed meanwhile.
        None => thread::sleep(Duration::from_millis(2200)),
    }
    rests
        .write_all(&event_request("a", "job", ""))
        .expect("the kernel accepts it");
    forwarder.signal("-CONT");
    assert!([202, 503].contains(&read_response(&mut rests).0));
}
