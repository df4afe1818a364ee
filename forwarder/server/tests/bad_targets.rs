//! Targets with invalid, endless or unsolicited responses.

mod peers;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use peers::blocked_target::read_until_closed;
use peers::*;

/// A response that continues for as long as the connection is open: the forwarder closes the
/// connection, frees the only slot, and keeps no memory and no descriptor in use.
#[rstest]
#[case::interim_responses("", "HTTP/1.1 100 Go\r\n\r\n", false)]
#[case::head_byte_by_byte("HTTP/1.1 503 Full\r\n", "a", true)]
#[case::head_of_many_fields("HTTP/1.1 503 Full\r\n", "Field: value\r\n", false)]
#[case::first_line_without_end("HTTP/1.1 503 ", "Full", false)]
#[case::chunks(
    "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n",
    "1\r\na\r\n",
    false
)]
#[case::chunk_by_bytes("HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n", "1", true)]
#[case::trailers(
    "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "A: b\r\n",
    false
)]
#[case::body_until_close("HTTP/1.1 503 Full\r\n\r\n", "body", false)]
#[case::long_content_length(
    "HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\n",
    "body",
    false
)]
#[case::many_responses("", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false)]
fn an_endless_response_frees_its_slot(
    #[case] start: &str,
    #[case] repeated: &str,
    #[case] slowly: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery_stub(0);
    let mut config = config(discovery, listener.local_addr().expect("bound"));
    config["settings"]["familyInfo"]["slots"] = json!(1);
    let forwarder = Forwarder::start(&config);
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", forwarder.child.id()))
            .expect("process is running")
            .count()
    };
    let before = descriptors();
    for id in ["a", "b"] {
        forwarder.submit(id, "job", "");
    }
    let (ended, ends) = channel();
    let mut served = Vec::new();
    // The first two calls get an endless response, each later one a valid response.
    for number in 0.. {
        let (mut stream, _) = listener.accept().expect("a new connection");
        let (head, _) = read_message(&mut BufReader::new(&mut stream)).expect("a call");
        // Two calls that ended by their time-out would be followed by a health check.
        assert!(head.starts_with("POST /receive "), "{head}");
        if number < 2 {
            let (start, repeated, ended) = (start.to_owned(), repeated.to_owned(), ended.clone());
            thread::spawn(move || {
                let _ = stream.write_all(start.as_bytes());
                while stream.write_all(repeated.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(if slowly { 10 } else { 0 }));
                }
                let _ = ended.send(());
            });
            continue;
        }
        stream
            .write_all(
                OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
                    .as_bytes(),
            )
            .expect("write succeeds");
        served.push(head);
        if ["Req-Id: a\r\n", "Req-Id: b\r\n"]
            .iter()
            .all(|id| served.iter().any(|head| head.contains(id)))
        {
            break;
        }
    }
    // The forwarder closed both connections.
    (0..2).for_each(|_| receive(&ends));
    let status = std::fs::read_to_string(format!("/proc/{}/status", forwarder.child.id()))
        .expect("process is running");
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("field is present");
    let kilobytes: u64 = resident
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number");
    assert!(kilobytes < 50_000, "{kilobytes} kB");
    // Two connections to discovery, one admin connection, and those of the two clients and targets
    // that may not be closed yet.
    let more = descriptors() - before;
    assert!(more <= 8, "{more} more descriptors");
}

/// Answers the first call; returns its connection, which stays open.
fn answer_first_call(forwarder: &Forwarder, listener: &TcpListener) -> TcpStream {
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    let (mut stream, _) = listener.accept().expect("connection is established");
    read_message(&mut BufReader::new(&mut stream)).expect("a call");
    stream.write_all(OK.as_bytes()).expect("write succeeds");
    stream
}

/// An idle connection holds half a line of an unsolicited response: the next call uses another
/// connection.
#[rstest]
fn a_connection_with_unread_bytes_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, listener.local_addr().expect("bound")));
    let mut first = answer_first_call(&forwarder, &listener);
    first
        .write_all(b"HTTP/1.1 200 O")
        .expect("connection is open");
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    let (mut second, _) = listener.accept().expect("a new connection");
    let (head, _) = read_message(&mut BufReader::new(&mut second)).expect("a call");
    assert!(head.contains("Req-Id: b\r\n"), "{head}");
    assert_eq!(read_until_closed(&mut first), "");
}

/// A target closes idle connections after a time, and a request written from then on is lost: the
/// forwarder closes its idle connections before.
#[rstest]
#[case::idle(false)]
#[case::suspended(true)]
fn a_connection_past_its_keepalive_time_is_not_used_again(#[case] suspends: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery_stub(0);
    let mut config = config(discovery, listener.local_addr().expect("bound"));
    config["settings"]["allowed"]["keepaliveUs"] = json!(1_000_000);
    let forwarder = Forwarder::start(&config);
    let mut first = answer_first_call(&forwarder, &listener);
    if !suspends {
        assert_eq!(first.read(&mut [0]).expect("closed cleanly"), 0);
        return;
    }
    // The response arrived before either of these two requests: it has been read, and the
    // connection is idle.
    (0..2).for_each(|_| forwarder.wait_until_ready());
    forwarder.suspend();
    thread::sleep(Duration::from_millis(1000));
    let mut client = TcpStream::connect(forwarder.address).expect("connects");
    client
        .write_all(&event_request("b", "charge", ORDER_KEY_COOKIE))
        .expect("write succeeds");
    forwarder.signal("-CONT");
    assert_eq!(read_response(&mut client).0, 202);
    assert_eq!(read_until_closed(&mut first), "");
}
