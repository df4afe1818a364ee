//! Clients' connections: those that ask well, badly or not at all.

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
fn bad_input_is_refused_and_harms_nobody_else(#[case] request: &str, #[case] status: u16) {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    assert_eq!(forwarder.exchange(request.as_bytes()).0, status);
    forwarder.submit("good", "job", "");
    assert_eq!(receive(&calls).id(), "good");
}

/// Returns once the other side's kernel knows: on a busy machine it may take a moment.
fn leave(stream: TcpStream) {
    let port = stream.local_addr().expect("connected").port();
    drop(stream);
    // As /proc has it: the peer's address and port, then CLOSE_WAIT.
    let closed = format!(":{port:04X} 08 ");
    let by = Instant::now() + LONG;
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("Linux")
        .contains(&closed)
    {
        assert!(Instant::now() < by, "the end does not come");
        thread::sleep(Duration::from_millis(1));
    }
}

#[rstest]
fn a_client_that_left_before_its_answer_took_its_event_back() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let mut stream = TcpStream::connect(forwarder.address).expect("connects");
    stream
        .write_all(&event_request("warm", "job", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut stream).0, 202);
    receive(&calls).answer(OK);
    forwarder.suspend();
    stream
        .write_all(&event_request("left", "job", ""))
        .expect("the kernel accepts it");
    leave(stream);
    forwarder.signal("-CONT");
    forwarder.submit("stays", "job", "");
    assert_eq!(receive(&calls).id(), "stays");
}

/// Guards the others from connections that say nothing, or half of something, in any number: they
/// make room at once, and are closed before anyone else is turned away.
#[rstest]
#[case("")]
#[case("POST /job HTTP/1.1\r\n")]
fn connections_that_ask_for_nothing_make_room(#[case] said: &str) {
    let (forwarder, calls, _notices, _) =
        start_with_stand_ins(0, |config| config["limits"]["sockets"] = json!(64));
    let mut idle: Vec<_> = (0..100)
        .map(|_| TcpStream::connect(forwarder.address).expect("connects"))
        .collect();
    for stream in &mut idle {
        let _ = stream.write_all(said.as_bytes());
    }
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&calls).id(), "a");
    for mut stream in idle {
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        while !matches!(stream.read(&mut [0; 256]), Ok(0) | Err(_)) {}
    }
}

/// Met in incident rd2f32b: of a crowd each asks once and stays; who asks again and again is served
/// on.
#[rstest]
fn a_crowd_that_asks_once_and_stays_makes_room_before_a_regular() {
    let (forwarder, calls, _notices, _) =
        start_with_stand_ins(0, |config| config["limits"]["sockets"] = json!(64));
    let up = |stream: &mut TcpStream| {
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("write succeeds");
        assert_eq!(read_response(stream).0, 200);
    };
    let mut regular = TcpStream::connect(forwarder.address).expect("connects");
    (0..2).for_each(|_| up(&mut regular));
    let mut crowd = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        up(&mut stream);
        crowd.push(stream);
    }
    regular
        .write_all(&event_request("a", "job", ""))
        .expect("write succeeds");
    assert_eq!(read_response(&mut regular).0, 202);
    assert_eq!(receive(&calls).id(), "a");
}

/// Met on a day with a crowd: connections that asked once and stayed took all that clients may
/// open.
#[rstest]
fn where_many_are_open_one_that_asked_once_is_closed_long_before_a_regular() {
    let (forwarder, _calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    let asked = |times: usize| {
        let mut stream = TcpStream::connect(forwarder.address).expect("connects");
        for _ in 0..times {
            stream.write_all(up).expect("write succeeds");
            assert_eq!(read_response(&mut stream).0, 200);
        }
        stream
    };
    let crowd: Vec<_> = (0..60).map(|_| asked(1)).collect();
    let regular = asked(2);
    let mut last = crowd.into_iter().next_back().expect("connected");
    last.set_read_timeout(Some(LONG)).expect("a socket");
    assert_eq!(last.read(&mut [0]).expect("end of stream"), 0);
    regular.set_nonblocking(true).expect("a socket");
    let open = regular
        .peek(&mut [0])
        .expect_err("neither data nor end of stream");
    assert_eq!(open.kind(), std::io::ErrorKind::WouldBlock);
}

/// Guards the others while hundreds connect at once: nobody waits for a second try of the kernel's.
#[rstest]
fn hundreds_may_connect_while_it_stands_still() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
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

/// Guards an event's end from a client whose request comes in pieces: its patience began with the
/// first of them.
#[rstest]
#[case::first(false)]
#[case::behind_another(true)]
fn patience_counts_from_the_first_byte_of_a_request(#[case] behind: bool) {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let request = String::from_utf8(event_request("a", "job", "Expect: 100-continue\r\n")).unwrap();
    let request = request.replace("Req-Deadline: 60", "Req-Deadline: 1.2");
    let (head, body) = request.split_at(request.len() - 4);
    let mut stream = TcpStream::connect(forwarder.address).expect("connects");
    let before = if behind {
        event_request("before", "job", "")
    } else {
        Vec::new()
    };
    stream
        .write_all(&[&before, head.as_bytes()].concat())
        .expect("write succeeds");
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    let mut answers = BufReader::new(stream.try_clone().expect("a descriptor"));
    let mut status = move || read_message(&mut answers).expect("an answer").0[9..12].to_owned();
    if behind {
        assert_eq!(status(), "202");
        receive(&calls).answer(OK);
    }
    assert_eq!(status(), "100", "its first byte was seen");
    thread::sleep(Duration::from_millis(400));
    stream.write_all(body.as_bytes()).expect("write succeeds");
    let call = receive(&calls);
    let gives: f64 = call
        .field("Req-Deadline")
        .expect("field is present")
        .parse()
        .expect("seconds");
    // However slow the machine is, the end that is given lies before that of the patience.
    assert!(gives > 0.0 && gives <= 0.8, "{gives} s");
    assert_eq!(status(), "202");
    call.answer(OK);
}

#[rstest]
fn the_longest_body_in_chunks_of_one_byte_is_taken_whole() {
    let (forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
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
    call.answer(OK);
}
