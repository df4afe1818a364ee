//! A notice has to be heard 300 ms after its event's time is up, whatever became of the connection
//! to the agent.

mod peers;

use std::io::Write;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::Value;

use peers::manual_discovery::*;
use peers::*;

const HEARD: &str = "HTTP/1.1 204 Fine\r\n\r\n";

/// A forwarder, the calls it makes, and the notices that its agent gets; the list cannot be had.
fn beside_an_agent() -> (Forwarder, Receiver<Asked>, Receiver<Request>) {
    let (target, calls) = stand_in();
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

fn told(request: &Request) -> Vec<Value> {
    let text = std::str::from_utf8(&request.body).expect("UTF-8");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("one JSON value a line"))
        .collect()
}

/// The calls of events that may have run once one fails, and can't be sent again: their ends are
/// owed then.
fn out<const N: usize>(
    forwarder: &Forwarder,
    calls: &Receiver<Asked>,
    ids: [&str; N],
) -> [Asked; N] {
    ids.map(|id| {
        forwarder.submit(id, "charge", "");
        let call = receive(calls);
        assert_eq!(call.id(), id);
        call
    })
}

#[derive(Clone, Copy)]
enum Falls {
    Mute,
    /// Its answer begins and stays so.
    Half,
    /// The agent reads, and ends the connection.
    Closed,
}

/// Guards the notices of all events that end while the connection to the agent is stuck.
#[rstest]
#[case::mute(Falls::Mute)]
#[case::half(Falls::Half)]
#[case::closed(Falls::Closed)]
fn a_stuck_connection_holds_up_no_notice(#[case] falls: Falls) {
    // A busy machine may be late once; one that waits for the stuck connection is late each time.
    assert!(
        (0..4).any(|_| are_heard_in_time(falls)),
        "each time too late"
    );
}

fn are_heard_in_time(falls: Falls) -> bool {
    let (forwarder, calls, notices) = beside_an_agent();
    let [a, b, c] = out(&forwarder, &calls, ["a", "b", "c"]);
    a.answer(ERROR);
    let mut first = receive(&notices);
    first.write(HEARD);
    b.answer(ERROR);
    let mut stuck = receive(&notices);
    assert_eq!(stuck.connection, first.connection, "it is kept");
    match falls {
        Falls::Mute => (),
        Falls::Half => stuck.write("HTTP/1.1 204 Fi"),
        Falls::Closed => stuck.disconnect(),
    }
    let began = Instant::now();
    c.answer(ERROR);
    let mut heard = Vec::new();
    while !heard.contains(&given_up_notice("c")) {
        let mut again = receive(&notices);
        assert_ne!(
            again.connection, stuck.connection,
            "what is stuck is not used again"
        );
        heard.extend(told(&again));
        again.write(HEARD);
    }
    assert!(heard.contains(&given_up_notice("b")));
    began.elapsed() < Duration::from_millis(300)
}

/// Guards what is owed behind an agent that answers nothing for a while, on any connection.
#[rstest]
fn what_ends_while_nothing_is_answered_goes_along_with_the_next_try() {
    let (forwarder, calls, notices) = beside_an_agent();
    let [a, b] = out(&forwarder, &calls, ["a", "b"]);
    a.answer(ERROR);
    let first = receive(&notices);
    b.answer(ERROR);
    let mut both = std::iter::repeat_with(|| receive(&notices))
        .take(20)
        .find(|request| {
            let all = told(request);
            assert_eq!(all[0], given_up_notice("a"));
            all.len() == 2
        });
    let both = both.as_mut().expect("a request with both notices");
    assert_eq!(told(both)[1], given_up_notice("b"));
    both.write(HEARD);
    drop(first);
}
