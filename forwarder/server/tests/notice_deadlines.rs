//! A notice has to be acknowledged 300 ms after its event's deadline, whatever happens to the
//! connection to the agent.

mod peers;

use std::io::Write;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::Value;

use peers::manual_discovery::*;
use peers::*;

const ACKNOWLEDGED: &str = "HTTP/1.1 204 Fine\r\n\r\n";

/// Starts a forwarder with an agent that cannot send the complete endpoint list. Returns the
/// forwarder, its calls, and the notices that the agent receives.
fn start_with_agent() -> (Forwarder, Receiver<ReceivedRequest>, Receiver<Request>) {
    let (target, calls) = stub_server();
    let (discovery, requests) = manual_discovery();
    let (notice, notices) = channel();
    thread::spawn(move || {
        for mut request in requests {
            if request.head.starts_with("POST /status ") {
                let _ = notice.send(request);
            } else if !request.is_watch() {
                let _ = request.stream.write_all(ERROR.as_bytes());
            }
        }
    });
    (Forwarder::start(&config(discovery, target)), calls, notices)
}

fn parse_notices(request: &Request) -> Vec<Value> {
    let text = std::str::from_utf8(&request.body).expect("UTF-8");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("one JSON value a line"))
        .collect()
}

/// Submits events that may have run once their call fails and cannot be sent again, so that their
/// notices are due then. Returns their calls.
fn start_calls<const N: usize>(
    forwarder: &Forwarder,
    calls: &Receiver<ReceivedRequest>,
    ids: [&str; N],
) -> [ReceivedRequest; N] {
    ids.map(|id| {
        forwarder.submit(id, "charge", "");
        let call = receive(calls);
        assert_eq!(call.id(), id);
        call
    })
}

#[derive(Clone, Copy)]
enum ConnectionFault {
    Mute,
    /// The agent sends the beginning of a response and nothing more.
    Partial,
    /// The agent reads the request and closes the connection.
    Closed,
}

/// Guards the notices of all events that complete while the connection to the agent is stuck.
#[rstest]
#[case::mute(ConnectionFault::Mute)]
#[case::partial(ConnectionFault::Partial)]
#[case::closed(ConnectionFault::Closed)]
fn a_stuck_connection_delays_no_notice(#[case] fault: ConnectionFault) {
    // A busy machine may be late once; a forwarder that waits for the stuck connection is late each
    // time.
    assert!(
        (0..4).any(|_| are_acknowledged_in_time(fault)),
        "too late each time"
    );
}

fn are_acknowledged_in_time(fault: ConnectionFault) -> bool {
    let (forwarder, calls, notices) = start_with_agent();
    let [a, b, c] = start_calls(&forwarder, &calls, ["a", "b", "c"]);
    a.respond(ERROR);
    let mut first = receive(&notices);
    first.write(ACKNOWLEDGED);
    b.respond(ERROR);
    let mut stuck = receive(&notices);
    assert_eq!(
        stuck.connection, first.connection,
        "the connection is kept open"
    );
    match fault {
        ConnectionFault::Mute => (),
        ConnectionFault::Partial => stuck.write("HTTP/1.1 204 Fi"),
        ConnectionFault::Closed => stuck.disconnect(),
    }
    let began = Instant::now();
    c.respond(ERROR);
    let mut acknowledged = Vec::new();
    while !acknowledged.contains(&given_up_notice("c")) {
        let mut retry = receive(&notices);
        assert_ne!(
            retry.connection, stuck.connection,
            "the stuck connection is not used again"
        );
        acknowledged.extend(parse_notices(&retry));
        retry.write(ACKNOWLEDGED);
    }
    assert!(acknowledged.contains(&given_up_notice("b")));
    began.elapsed() < Duration::from_millis(300)
}

/// Guards notices that become due while the agent answers on no connection for a while.
#[rstest]
fn notices_due_while_the_agent_is_unresponsive_are_sent_with_the_next_retry() {
    let (forwarder, calls, notices) = start_with_agent();
    let [a, b] = start_calls(&forwarder, &calls, ["a", "b"]);
    a.respond(ERROR);
    let first = receive(&notices);
    b.respond(ERROR);
    let mut both = std::iter::repeat_with(|| receive(&notices))
        .take(20)
        .find(|request| {
            let all = parse_notices(request);
            assert_eq!(all[0], given_up_notice("a"));
            all.len() == 2
        });
    let both = both.as_mut().expect("a request with both notices");
    assert_eq!(parse_notices(both)[1], given_up_notice("b"));
    both.write(ACKNOWLEDGED);
    drop(first);
}
