//! Failed requests to discovery: whichever failed, a change counts as reported 6 s after discovery
//! had it and could be reached.

mod peers;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{json, Value};

use peers::manual_discovery::*;
use peers::*;

/// The longest wait of a watch after a failed request, in milliseconds.
const MAX_SHORT_WAIT_MS: u64 = 2_000;

/// Returns the next watch; requests for the complete list fail until then.
fn watch(requests: &Receiver<Request>) -> Request {
    loop {
        let mut request = receive(requests);
        if request.is_watch() {
            return request;
        }
        request.write(ERROR);
    }
}

fn start(
    discovery: SocketAddr,
    target: SocketAddr,
    discovery_mode: &str,
    forwarders: u64,
) -> (Forwarder, Value) {
    let mut config = config(discovery, target);
    config["settings"]["discovery"] = json!(discovery_mode);
    config["settings"]["balancers"] = json!(forwarders);
    if discovery_mode == "on_request" {
        config["settings"]["rules"]["askWithinUs"] = json!(10_000_000);
    }
    (Forwarder::start(&config), config)
}

#[derive(Clone, Copy)]
enum Failure {
    Disconnects,
    /// Part of a response, then the end of the connection.
    PartialResponse,
    Unavailable,
    NotJson,
    NoList,
    ContentLength3Gb,
    /// The head of the response arrives byte by byte.
    Trickling,
    OlderRevision,
}

/// Guards a change that comes just after a failed request: a watch with a long wait that gets no
/// response would report it too late.
#[rstest]
fn after_a_failed_request_watches_have_a_short_wait_until_one_is_answered(
    #[values("pushed", "on_request")] discovery_mode: &str,
    #[values(
        Failure::Disconnects,
        Failure::PartialResponse,
        Failure::Unavailable,
        Failure::NotJson,
        Failure::NoList,
        Failure::ContentLength3Gb,
        Failure::Trickling,
        Failure::OlderRevision
    )]
    failure: Failure,
) {
    let ((old, old_calls), (new, new_calls)) = (stub_server(), stub_server());
    let (discovery, requests) = manual_discovery();
    let (forwarder, _) = start(discovery, old, discovery_mode, 1);
    let mut first = watch(&requests);
    assert!(
        first.query_number("timeout_ms") <= MAX_SHORT_WAIT_MS,
        "the list was not available at the start"
    );
    first.write(&list_response(42, false, &[]));
    let mut second = watch(&requests);
    assert!(
        second.query_number("timeout_ms") > MAX_SHORT_WAIT_MS,
        "a watch after a response has a long wait"
    );
    match failure {
        Failure::Disconnects => second.disconnect(),
        Failure::PartialResponse => {
            second.write(&list_response(43, false, &[member("t", old, "up")])[..80]);
            second.disconnect();
        }
        Failure::Unavailable => second.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        Failure::NotJson => second.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[{"),
        Failure::NoList => second.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        Failure::ContentLength3Gb => {
            second.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{")
        }
        Failure::Trickling => send_byte_by_byte(&second),
        Failure::OlderRevision => {
            second.write(&list_response(40, false, &[member("t", old, "up")]))
        }
    }
    let mut after_failure = watch(&requests);
    assert_eq!(after_failure.query_number("since"), 42);
    assert!(
        after_failure.query_number("timeout_ms") <= MAX_SHORT_WAIT_MS,
        "{}",
        after_failure.head
    );
    after_failure.write(&list_response(
        43,
        false,
        &[member("t", old, "draining"), member("u", new, "up")],
    ));
    assert!(watch(&requests).query_number("timeout_ms") > MAX_SHORT_WAIT_MS);
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&new_calls).id(), "a");
    assert!(old_calls.try_recv().is_err());
}

fn send_byte_by_byte(to: &Request) {
    use std::io::Write;
    let mut stream = to.stream.try_clone().expect("a socket");
    thread::spawn(move || {
        for byte in std::iter::repeat(b"HTTP/1.1 200 OK\r\nX: y\r\nX: y\r\n").flatten() {
            if stream.write_all(&[*byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    });
}

/// Guards drains: a response that was delayed, or one of a discovery that is behind, does not undo
/// them. A discovery whose revisions have started again is followed when it answers a request for
/// the complete list.
#[rstest]
fn an_older_revision_is_ignored_unless_it_is_a_requested_complete_list() {
    let ((old, old_calls), (new, new_calls)) = (stub_server(), stub_server());
    let (discovery, requests) = manual_discovery();
    let (forwarder, _) = start(discovery, old, "pushed", 1);
    watch(&requests).write(&list_response(
        45,
        true,
        &[member("t", old, "draining"), member("u", new, "up")],
    ));
    for complete in [false, true] {
        let mut stale = receive(&requests);
        assert_eq!(stale.query_number("since"), 45);
        stale.write(&list_response(
            44,
            complete,
            &[member("t", old, "up"), member("u", new, "draining")],
        ));
        let mut list_request = receive(&requests);
        assert!(!list_request.is_watch(), "{}", list_request.head);
        list_request.write(ERROR);
    }
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&new_calls).id(), "a");
    let mut stale = receive(&requests);
    assert_eq!(stale.query_number("since"), 45);
    stale.write(&list_response(2, false, &[]));
    receive(&requests).write(&list_response(3, true, &[member("v", old, "up")]));
    assert_eq!(receive(&requests).query_number("since"), 3);
    forwarder.submit("b", "job", "");
    let call = std::iter::repeat_with(|| receive(&old_calls))
        .find(|call| !call.head.starts_with("GET /alive"));
    assert_eq!(call.expect("iterator is endless").id(), "b");
    assert!(new_calls.try_recv().is_err());
}

/// Guards discovery and the processor: a discovery that answers at once without a change is not
/// asked in a busy loop.
#[rstest]
#[case::changes(false)]
#[case::complete(true)]
fn a_discovery_that_answers_at_once_is_not_asked_in_a_busy_loop(#[case] complete: bool) {
    let (target, _calls) = stub_server();
    let (discovery, requests) = manual_discovery();
    let (_forwarder, _) = start(discovery, target, "pushed", 1);
    let mut first = watch(&requests);
    first.write(&list_response(42, true, &[member("t", target, "up")]));
    let began = Instant::now();
    for _ in 0..60 {
        watch(&requests).write(&list_response(42, complete, &[member("t", target, "up")]));
    }
    // The shortest backoff with an agent.
    assert!(
        began.elapsed() >= 59 * Duration::from_millis(15),
        "{:?}",
        began.elapsed()
    );
}

/// Guards the 4 s after SIGHUP: the backoff that limits a fleet's load on a busy discovery does not
/// apply to a new address.
#[rstest]
fn a_new_address_is_asked_at_once_during_a_backoff() {
    assert!(
        (0..4).any(|_| is_new_address_asked_at_once()),
        "only after the backoff each time"
    );
}

fn is_new_address_asked_at_once() -> bool {
    let (target, _calls) = stub_server();
    let ((old, old_requests), (new, requests)) = (manual_discovery(), manual_discovery());
    let (forwarder, mut config_value) = start(old, target, "on_request", 300);
    // The backoff after the third failure is at least 1.5 s.
    for _ in 0..2 {
        receive(&old_requests).write(ERROR);
    }
    let mut refused = receive(&old_requests);
    config_value["discovery"] = json!(new.to_string());
    std::fs::write(
        forwarder.folder.join("config.json"),
        config_value.to_string(),
    )
    .expect("written");
    refused.write(ERROR);
    let began = Instant::now();
    forwarder.signal("-HUP");
    let first = receive(&requests);
    assert!(first.is_watch() && first.query_number("timeout_ms") <= MAX_SHORT_WAIT_MS);
    assert!(old_requests.try_recv().is_err());
    began.elapsed() < Duration::from_millis(1_000)
}

/// Guards the endpoint list when the network loses the first packet to discovery: the kernel
/// repeats an unanswered SYN after one, two, four and eight seconds.
#[rstest]
fn an_unanswered_connect_times_out() {
    // A busy machine may be late once; without a time-out for the connect it is late each time.
    assert!(
        (0..4).any(|_| connect_times_out_soon()),
        "only with the watch's time-out each time"
    );
}

fn connect_times_out_soon() -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = listener.local_addr().expect("bound");
    // No connection is accepted: once the backlog is full, the kernel answers no SYN.
    let short = Duration::from_millis(300);
    let full: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&discovery, short).ok()).collect();
    let (target, _calls) = stub_server();
    let began = Instant::now();
    let (forwarder, _) = start(discovery, target, "on_request", 1);
    forwarder.wait_for_log("discovery failed, error: timed out");
    drop(full);
    // One second; without a time-out for the connect, the complete wait of the watch.
    began.elapsed() < Duration::from_millis(MAX_SHORT_WAIT_MS)
}
