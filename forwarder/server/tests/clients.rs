//! Client connections with valid, invalid, incomplete or no requests.

mod peers;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use peers::*;

#[rstest]
#[case(
    "POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nX-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case(
    "POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case(
    "POST /job HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    400
)]
#[case("POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 2\r\n\r\nbody", 400)]
#[case("POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 9\r\n\r\nbody", 408)]
#[case("POST /job HTTP/1.1\r\nHost: x\r\n", 408)]
#[case("nonsense\r\n\r\n", 400)]
#[case("POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404)]
#[case("GET /job HTTP/1.1\r\nHost: x\r\n\r\n", 405)]
#[case("POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405)]
#[case(
    "POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 65537\r\n\r\n",
    413
)]
fn invalid_input_is_rejected_and_affects_no_other_client(
    #[case] request: &str,
    #[case] status: u16,
) {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    assert_eq!(forwarder.exchange(request.as_bytes()).0, status);
    forwarder.submit("good", "job", "");
    assert_eq!(receive(&calls).id(), "good");
}

/// Closes the connection; returns once the other side's socket is in `CLOSE_WAIT`, which may take a
/// moment on a busy machine.
fn close_and_wait(stream: TcpStream) {
    let port = stream.local_addr().expect("connected").port();
    drop(stream);
    // In /proc/net/tcp: the peer's address and port, then CLOSE_WAIT.
    let closed = format!(":{port:04X} 08 ");
    let by = Instant::now() + TIMEOUT;
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("Linux")
        .contains(&closed)
    {
        assert!(Instant::now() < by, "the connection is not closed");
        thread::sleep(Duration::from_millis(1));
    }
}

#[rstest]
fn a_client_that_closes_before_its_response_withdraws_its_event() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let mut stream = TcpStream::connect(forwarder.address).expect("connects");
    stream
        .write_all(&event_request("warm", "job", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut stream).0, 202);
    receive(&calls).respond(OK);
    forwarder.suspend();
    stream
        .write_all(&event_request("left", "job", ""))
        .expect("the kernel accepts it");
    close_and_wait(stream);
    forwarder.signal("-CONT");
    forwarder.submit("stays", "job", "");
    assert_eq!(receive(&calls).id(), "stays");
}

/// Guards other clients against any number of connections without a request or with an incomplete
/// one: those are closed at once when the limit is reached, before any other client is rejected.
#[rstest]
#[case("")]
#[case("POST /job HTTP/1.1\r\n")]
fn connections_without_a_request_are_closed_for_others(#[case] sent: &str) {
    let (forwarder, calls, _notices, _) =
        start_with_stubs(0, |config| config["limits"]["sockets"] = json!(64));
    let mut idle: Vec<_> = (0..100)
        .map(|_| TcpStream::connect(forwarder.address).expect("connects"))
        .collect();
    for stream in &mut idle {
        let _ = stream.write_all(sent.as_bytes());
    }
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&calls).id(), "a");
    for mut stream in idle {
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        while !matches!(stream.read(&mut [0; 256]), Ok(0) | Err(_)) {}
    }
}

/// Guards against incident rd2f32b, in which each of many clients sent one request and kept its
/// connection open: a client that keeps sending requests is still served.
#[rstest]
fn connections_with_one_request_are_closed_before_one_with_more() {
    let (forwarder, calls, _notices, _) =
        start_with_stubs(0, |config| config["limits"]["sockets"] = json!(64));
    let up = |stream: &mut TcpStream| {
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("write succeeds");
        assert_eq!(read_response(stream).0, 200);
    };
    let mut active = TcpStream::connect(forwarder.address).expect("connects");
    (0..2).for_each(|_| up(&mut active));
    let mut one_request_each = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        up(&mut stream);
        one_request_each.push(stream);
    }
    active
        .write_all(&event_request("a", "job", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut active).0, 202);
    assert_eq!(receive(&calls).id(), "a");
}

/// Guards against connections that stay open after one request, which used up the number that
/// clients may open.
#[rstest]
fn with_many_open_a_connection_with_one_request_is_closed_long_before_one_with_more() {
    let (forwarder, _calls, _notices, _) = start_with_stubs(0, |_| ());
    let up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    let connection_with = |times: usize| {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        for _ in 0..times {
            stream.write_all(up).expect("write succeeds");
            assert_eq!(read_response(&mut stream).0, 200);
        }
        stream
    };
    let one_request_each: Vec<_> = (0..60).map(|_| connection_with(1)).collect();
    let active = connection_with(2);
    let mut last = one_request_each.into_iter().next_back().expect("connected");
    last.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    assert_eq!(last.read(&mut [0]).expect("end of stream"), 0);
    active.set_nonblocking(true).expect("a socket");
    let open = active
        .peek(&mut [0])
        .expect_err("neither data nor end of stream");
    assert_eq!(open.kind(), std::io::ErrorKind::WouldBlock);
}

/// Guards clients while hundreds connect at once: none of them has to wait for the kernel to repeat
/// its SYN.
#[rstest]
fn hundreds_may_connect_while_the_process_is_suspended() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    forwarder.suspend();
    let connect = |_| TcpStream::connect_timeout(&forwarder.address, Duration::from_secs(20));
    let many: Vec<_> = (0..300)
        .map(connect)
        .collect::<Result<_, _>>()
        .expect("all connect");
    forwarder.signal("-CONT");
    drop(many);
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&calls).id(), "a");
}

/// Guards an event's deadline when a client's request arrives in pieces: the time in `Req-Deadline`
/// runs from the first of them.
#[rstest]
#[case::first(false)]
#[case::pipelined(true)]
fn the_deadline_counts_from_the_first_byte_of_a_request(#[case] pipelined: bool) {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let request = String::from_utf8(event_request("a", "job", "Expect: 100-continue\r\n")).unwrap();
    let request = request.replace("Req-Deadline: 60", "Req-Deadline: 1.2");
    let (head, body) = request.split_at(request.len() - 4);
    let mut stream = TcpStream::connect(forwarder.address).expect("connects");
    let before = if pipelined {
        event_request("before", "job", "")
    } else {
        Vec::new()
    };
    stream
        .write_all(&[&before, head.as_bytes()].concat())
        .expect("write succeeds");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let mut answers = BufReader::new(stream.try_clone().expect("a descriptor"));
    let mut status = move || read_message(&mut answers).expect("an answer").0[9..12].to_owned();
    if pipelined {
        assert_eq!(status(), "202");
        receive(&calls).respond(OK);
    }
    assert_eq!(status(), "100", "its head was read");
    thread::sleep(Duration::from_millis(400));
    stream.write_all(body.as_bytes()).expect("write succeeds");
    let call = receive(&calls);
    let remaining: f64 = call
        .field("Req-Deadline")
        .expect("field is present")
        .parse()
        .expect("seconds");
    // However slow the machine is, the deadline sent to the target is not after the client's.
    assert!(remaining > 0.0 && remaining <= 0.8, "{remaining} s");
    assert_eq!(status(), "202");
    call.respond(OK);
}

#[rstest]
fn the_longest_body_in_chunks_of_one_byte_is_accepted() {
    let (forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let head = String::from_utf8(event_request("a", "job", "")).unwrap();
    let head = head.replace(
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    let request = [
        head.as_bytes(),
        &b"1\r\nx\r\n".repeat(64 * 1024),
        b"0\r\n\r\n",
    ]
    .concat();
    assert_eq!(forwarder.exchange(&request).0, 202);
    let call = receive(&calls);
    assert!(call.body == vec![b'x'; 64 * 1024]);
    call.respond(OK);
}
