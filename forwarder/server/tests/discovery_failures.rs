//! Whatever call to discovery failed, a change counts as told 6 s after discovery had it and could
//! be reached.

mod peers;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{json, Value};

use peers::manual_discovery::*;
use peers::*;

/// The longest that a watch may wait behind a call that failed, in milliseconds.
const SHORT: u64 = 2_000;

/// The next watch; that the whole list cannot be had is all that asks for it hear.
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
    told: &str,
    forwarders: u64,
) -> (Forwarder, Value) {
    let mut config = config(discovery, target);
    config["settings"]["discovery"] = json!(told);
    config["settings"]["balancers"] = json!(forwarders);
    if told == "on_request" {
        config["settings"]["rules"]["askWithinUs"] = json!(10_000_000);
    }
    (Forwarder::start(&config), config)
}

#[derive(Clone, Copy)]
enum Fails {
    BreaksOff,
    /// Half an answer, then the end.
    Half,
    Refuses,
    NotJson,
    NoList,
    Claims3Gb,
    /// Its head comes byte by byte.
    Trickles,
    Older,
}

/// Guards the change that comes just behind a failed call: a watch that may stand long, and does so
/// silently, would learn of it too late.
#[rstest]
fn behind_a_failed_call_a_watch_waits_shortly_until_one_was_answered(
    #[values("pushed", "on_request")] told: &str,
    #[values(
        Fails::BreaksOff,
        Fails::Half,
        Fails::Refuses,
        Fails::NotJson,
        Fails::NoList,
        Fails::Claims3Gb,
        Fails::Trickles,
        Fails::Older
    )]
    fails: Fails,
) {
    let ((old, old_calls), (new, new_calls)) = (stand_in(), stand_in());
    let (discovery, requests) = manual_discovery();
    let (forwarder, _) = start(discovery, old, told, 1);
    let mut first = watch(&requests);
    assert!(
        first.query_number("timeout_ms") <= SHORT,
        "it was not had at the start"
    );
    first.write(&list_response(42, false, &[]));
    let mut fine = watch(&requests);
    assert!(
        fine.query_number("timeout_ms") > SHORT,
        "one answered is followed by one that stands"
    );
    match fails {
        Fails::BreaksOff => fine.disconnect(),
        Fails::Half => {
            fine.write(&list_response(43, false, &[member("t", old, "up")])[..80]);
            fine.disconnect();
        }
        Fails::Refuses => fine.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        Fails::NotJson => fine.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[{"),
        Fails::NoList => fine.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        Fails::Claims3Gb => fine.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{"),
        Fails::Trickles => trickles(&fine),
        Fails::Older => fine.write(&list_response(40, false, &[member("t", old, "up")])),
    }
    let mut again = watch(&requests);
    assert_eq!(again.query_number("since"), 42);
    assert!(again.query_number("timeout_ms") <= SHORT, "{}", again.head);
    again.write(&list_response(
        43,
        false,
        &[member("t", old, "draining"), member("u", new, "up")],
    ));
    assert!(watch(&requests).query_number("timeout_ms") > SHORT);
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&new_calls).id(), "a");
    assert!(old_calls.try_recv().is_err());
}

fn trickles(to: &Request) {
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

/// Guards drains: an answer that was under way for long, or one of a discovery that is behind, does
/// not undo them. One that began anew with its numbers is heard when it says the whole.
#[rstest]
fn an_older_revision_undoes_nothing_and_a_whole_list_asked_for_is_taken_whatever_its_number() {
    let ((old, old_calls), (new, new_calls)) = (stand_in(), stand_in());
    let (discovery, requests) = manual_discovery();
    let (forwarder, _) = start(discovery, old, "pushed", 1);
    watch(&requests).write(&list_response(
        45,
        true,
        &[member("t", old, "draining"), member("u", new, "up")],
    ));
    for whole in [false, true] {
        let mut stale = receive(&requests);
        assert_eq!(stale.query_number("since"), 45);
        stale.write(&list_response(
            44,
            whole,
            &[member("t", old, "up"), member("u", new, "draining")],
        ));
        let mut asked = receive(&requests);
        assert!(!asked.is_watch(), "{}", asked.head);
        asked.write(ERROR);
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

/// Guards the discovery and the processor: whoever answers at once that there is nothing new is not
/// asked without end.
#[rstest]
#[case::changes(false)]
#[case::whole(true)]
fn a_discovery_that_does_not_wait_is_not_asked_without_end(#[case] whole: bool) {
    let (target, _calls) = stand_in();
    let (discovery, requests) = manual_discovery();
    let (_forwarder, _) = start(discovery, target, "pushed", 1);
    let mut first = watch(&requests);
    first.write(&list_response(42, true, &[member("t", target, "up")]));
    let began = Instant::now();
    for _ in 0..60 {
        watch(&requests).write(&list_response(42, whole, &[member("t", target, "up")]));
    }
    // The least of a pause beside an agent.
    assert!(
        began.elapsed() >= 59 * Duration::from_millis(15),
        "{:?}",
        began.elapsed()
    );
}

/// Guards the 4 s after SIGHUP: the pause that spares a busy discovery to a fleet is no pause for
/// another one.
#[rstest]
fn a_new_address_is_asked_at_once_in_the_middle_of_a_pause() {
    assert!(
        (0..4).any(|_| is_asked_at_once()),
        "each time only when the pause was over"
    );
}

fn is_asked_at_once() -> bool {
    let (target, _calls) = stand_in();
    let ((old, old_requests), (new, requests)) = (manual_discovery(), manual_discovery());
    let (forwarder, mut told) = start(old, target, "on_request", 300);
    // The pause behind the third failure is of 1.5 s at least.
    for _ in 0..2 {
        receive(&old_requests).write(ERROR);
    }
    let mut refused = receive(&old_requests);
    told["discovery"] = json!(new.to_string());
    std::fs::write(forwarder.folder.join("config.json"), told.to_string()).expect("written");
    refused.write(ERROR);
    let began = Instant::now();
    forwarder.signal("-HUP");
    let first = receive(&requests);
    assert!(first.is_watch() && first.query_number("timeout_ms") <= SHORT);
    assert!(old_requests.try_recv().is_err());
    began.elapsed() < Duration::from_millis(1_000)
}

/// Guards the list of a discovery whose network swallows a first packet: left to the system, a dial
/// that was not answered is tried anew after one, two, four and eight seconds.
#[rstest]
fn a_dial_that_is_not_answered_is_given_up() {
    // A busy machine may be late once; without a bound of its own it is late each time.
    assert!(
        (0..4).any(|_| is_given_up_soon()),
        "each time only with the watch"
    );
}

fn is_given_up_soon() -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = listener.local_addr().expect("bound");
    // Nobody accepts: once its queue is full, the system answers no dial.
    let short = Duration::from_millis(300);
    let full: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&discovery, short).ok()).collect();
    let (target, _calls) = stand_in();
    let began = Instant::now();
    let (forwarder, _) = start(discovery, target, "on_request", 1);
    forwarder.wait_for_log("discovery failed, error: timed out");
    drop(full);
    // A second; with no bound of its own, the watch's whole wait.
    began.elapsed() < Duration::from_millis(SHORT)
}
