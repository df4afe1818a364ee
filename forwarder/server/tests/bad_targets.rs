//! Targets that answer what they should not, without an end, or when nothing was asked.

mod peers;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use peers::held::read_until_closed;
use peers::*;

/// An answer that goes on for as long as the connection stands: it ends its connection, frees the
/// one slot there is, and takes no memory and no descriptor.
#[rstest]
#[case::interim_answers("", "HTTP/1.1 100 Go\r\n\r\n", false)]
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
#[case::claimed(
    "HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\n",
    "body",
    false
)]
#[case::many_answers("", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false)]
fn an_answer_without_an_end_frees_its_slot(
    #[case] begins: &str,
    #[case] goes_on: &str,
    #[case] slowly: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery_stand_in(0);
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
    // Each of the two once without an end, and once well.
    for number in 0.. {
        let (mut stream, _) = listener.accept().expect("a new connection");
        let (head, _) = read_message(&mut BufReader::new(&mut stream)).expect("a call");
        // Two that ran into the call's time-out would be followed by a ping.
        assert!(head.starts_with("POST /receive "), "{head}");
        if number < 2 {
            let (begins, goes_on, ended) = (begins.to_owned(), goes_on.to_owned(), ended.clone());
            thread::spawn(move || {
                let _ = stream.write_all(begins.as_bytes());
                while stream.write_all(goes_on.as_bytes()).is_ok() {
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
    // Both were ended from the other side.
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
    // Discovery's two, one for operators, and what the two clients and targets may not have closed
    // yet.
    let more = descriptors() - before;
    assert!(more <= 8, "{more} descriptors more");
}

/// Answers the first call, and hands over its connection.
fn idle(forwarder: &Forwarder, listener: &TcpListener) -> TcpStream {
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    let (mut stream, _) = listener.accept().expect("connection is established");
    read_message(&mut BufReader::new(&mut stream)).expect("a call");
    stream.write_all(OK.as_bytes()).expect("write succeeds");
    stream
}

/// Half a line of nobody's answer lies in an idle connection: the next call does not go there.
#[rstest]
fn a_connection_with_unread_bytes_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, listener.local_addr().expect("bound")));
    let mut first = idle(&forwarder, &listener);
    first
        .write_all(b"HTTP/1.1 200 O")
        .expect("connection is open");
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    let (mut second, _) = listener.accept().expect("a new connection");
    let (head, _) = read_message(&mut BufReader::new(&mut second)).expect("a call");
    assert!(head.contains("Req-Id: b\r\n"), "{head}");
    assert_eq!(read_until_closed(&mut first), "");
}

/// The target closes idle connections after a time, and a request written from then on is lost:
/// ours end before.
#[rstest]
#[case::at_rest(false)]
#[case::over_a_stall(true)]
fn a_connection_that_stood_idle_for_its_time_is_not_used_again(#[case] stalls: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery_stand_in(0);
    let mut config = config(discovery, listener.local_addr().expect("bound"));
    config["settings"]["allowed"]["keepaliveUs"] = json!(1_000_000);
    let forwarder = Forwarder::start(&config);
    let mut first = idle(&forwarder, &listener);
    if !stalls {
        assert_eq!(first.read(&mut [0]).expect("closed cleanly"), 0);
        return;
    }
    // The answer has been read and the connection is back: it was there before either of these two.
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
