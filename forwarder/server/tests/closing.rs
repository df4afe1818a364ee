//! Closing of client connections: the last response is delivered completely, whatever the client
//! still sends.

mod peers;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use peers::*;

/// Reads all text until the other side closes the connection without a reset.
fn read_until_clean_close(mut stream: &TcpStream) -> String {
    let mut response = Vec::new();
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    stream
        .read_to_end(&mut response)
        .expect("closed cleanly, not reset");
    String::from_utf8(response).expect("text")
}

/// More bytes than are read at once, so that some are unread when the response is written.
fn longer_than_a_buffer() -> Vec<u8> {
    [
        b"POST /job HTTP/1.1\r\nX-More: ".to_vec(),
        vec![b'x'; 100 * 1024],
    ]
    .concat()
}

#[rstest]
#[case::connection_close(event_request("a", "job", "Connection: close\r\n"), "202")]
#[case::invalid_request(b"nonsense\r\n\r\n".to_vec(), "400")]
fn the_last_response_arrives_despite_unread_bytes_behind_its_request(
    #[case] request: Vec<u8>,
    #[case] status: &str,
) {
    let (forwarder, _calls, _notices, _) = start_with_stubs(0, |_| ());
    let stream = TcpStream::connect(forwarder.address).expect("connects");
    // All bytes are sent, as far as the buffers take them, before any is read.
    forwarder.suspend();
    let (mut writes, bytes) = (
        stream.try_clone().expect("a descriptor"),
        [request, longer_than_a_buffer()].concat(),
    );
    let written = thread::spawn(move || writes.write_all(&bytes));
    while !written.is_finished() {
        thread::sleep(Duration::from_millis(1));
    }
    forwarder.signal("-CONT");
    let _ = written.join();
    let response = read_until_clean_close(&stream);
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} "))
            && response.contains("Connection: close\r\n"),
        "{response}"
    );
}

/// Guards valid requests against clients that hold all buffers with an incomplete request each, and
/// those clients against a reset.
#[rstest]
fn incomplete_requests_release_their_buffers_and_get_a_response() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |config| {
        config["limits"] = json!({"cores": 1, "memory_mb": 16, "sockets": 1024, "disk_mb": 3});
    });
    let request = event_request("half", "job", "Expect: 100-continue\r\n");
    let send_incomplete = |_| {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        stream
            .write_all(&request[..request.len() - 4])
            .expect("write succeeds");
        // The request holds a buffer, or none was free.
        assert!([100, 503].contains(&read_response(&mut stream).0));
        stream
    };
    // More than the buffers of 72 KiB in 8 MiB.
    let incomplete: Vec<TcpStream> = (0..130).map(send_incomplete).collect();
    // A valid client may take this long for the rest of its request.
    thread::sleep(Duration::from_millis(300));
    forwarder.submit("good", "job", "");
    assert_eq!(receive(&calls).id(), "good");
    let mut first = incomplete.into_iter().next().expect("connected");
    // The response has arrived, unread, while the client still sends: the connection accepts those
    // bytes while it lingers.
    let mut seen = [0; 12];
    first.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    assert_eq!(first.peek(&mut seen).expect("an answer"), 12);
    first.write_all(b"bo").expect("write succeeds");
    first.shutdown(Shutdown::Write).expect("open");
    assert!(read_until_clean_close(&first).starts_with("HTTP/1.1 408 "));
}

/// Guards other clients against rejected clients that never close: their connections are the first
/// to be closed for new ones.
#[rstest]
fn lingering_connections_are_closed_first_for_others() {
    let (forwarder, calls, _notices, _) =
        start_with_stubs(0, |config| config["limits"]["sockets"] = json!(64));
    let mut active = TcpStream::connect(forwarder.address).expect("connects");
    for id in ["a", "b"] {
        active
            .write_all(&event_request(id, "job", ""))
            .expect("write succeeds");
        assert_eq!(read_response(&mut active).0, 202);
        receive(&calls).respond(OK);
    }
    let send_invalid = |_| {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        stream
            .write_all(b"nonsense\r\n\r\n")
            .expect("write succeeds");
        assert_eq!(read_response(&mut stream).0, 400);
        stream
    };
    let _lingering: Vec<TcpStream> = (0..100).map(send_invalid).collect();
    active
        .write_all(&event_request("c", "job", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut active).0, 202);
    assert_eq!(receive(&calls).id(), "c");
}

/// The idle time ends, or shutdown starts, in the same event loop iteration in which a request
/// arrives: the process is suspended from before until after both.
#[rstest]
#[case::idle_timeout(None)]
#[case::shutdown(Some("-TERM"))]
fn a_request_in_the_iteration_of_an_idle_close_is_answered(#[case] signal: Option<&str>) {
    let (forwarder, _calls, _notices, _) = start_with_stubs(0, |_| ());
    let mut idle = TcpStream::connect(forwarder.address).expect("connects");
    idle.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("write succeeds");
    assert_eq!(read_response(&mut idle).0, 200);
    forwarder.suspend();
    match signal {
        Some(signal) => forwarder.signal(signal),
        // Longer than the two seconds that a connection may be idle; the suspended process cannot
        // close it.
        None => thread::sleep(Duration::from_millis(2200)),
    }
    idle.write_all(&event_request("a", "job", ""))
        .expect("the kernel accepts it");
    forwarder.signal("-CONT");
    assert!([202, 503].contains(&read_response(&mut idle).0));
}
