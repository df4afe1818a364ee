//! Processes that end and start again in one folder: no accepted event is lost.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use peers::*;

#[rstest]
#[case("job", "-KILL", true)]
#[case("job", "-TERM", true)]
#[case("order", "-KILL", true)]
#[case("charge", "-KILL", false)]
fn a_restarted_forwarder_processes_its_accepted_events(
    #[case] traffic: &str,
    #[case] signal: &str,
    #[case] resent: bool,
) {
    let (mut forwarder, calls, notices, _) = start_with_stubs(0, |_| ());
    forwarder.submit("a", traffic, "Cookie: about=5\r\n");
    let in_flight = receive(&calls);
    if !resent {
        forwarder.submit("b", traffic, "Cookie: about=5\r\n");
    }
    forwarder.restart(signal);
    drop(in_flight);
    if !resent {
        assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    }
    let call = receive(&calls);
    assert_eq!(
        (call.id(), &call.body[..]),
        (if resent { "a" } else { "b" }, &b"body"[..])
    );
    call.respond(OK);
    forwarder.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c", "no other event was pending");
}

/// The process ends right after each 202, with its calls in any state: every event completes, and
/// no event of `charge`, which may have side effects, is sent twice.
#[rstest]
fn repeated_restarts_lose_no_event_and_repeat_none_with_side_effects() {
    let (mut forwarder, calls, notices, _) = start_with_stubs(0, |_| ());
    let called = Arc::new(Mutex::new(Vec::new()));
    let delivered = called.clone();
    thread::spawn(move || {
        for call in calls {
            delivered.lock().unwrap().push(call.id().to_owned());
            call.respond(OK);
        }
    });
    let ids: Vec<String> = (0..24).map(|number| format!("e{number}")).collect();
    let traffic = |number: usize| ["charge", "job", "order"][number % 3];
    for (number, id) in ids.iter().enumerate() {
        forwarder.submit(id, traffic(number), "");
        forwarder.restart(if number % 8 == 7 { "-TERM" } else { "-KILL" });
    }
    let mut ended = Vec::new();
    let is_over =
        |id: &String, ended: &[String]| ended.contains(id) || called.lock().unwrap().contains(id);
    let by = Instant::now() + TIMEOUT;
    while !ids.iter().all(|id| is_over(id, &ended)) {
        assert!(
            Instant::now() < by,
            "of {ids:?} only {ended:?} and {called:?} have completed"
        );
        if let Ok(notice) = notices.recv_timeout(Duration::from_millis(50)) {
            assert_eq!(notice["outcome"], "given_up");
            ended.push(notice["message"].as_str().expect("an id").to_owned());
        }
    }
    for (number, id) in ids.iter().enumerate() {
        let times = called
            .lock()
            .unwrap()
            .iter()
            .filter(|call| *call == id)
            .count();
        assert!(
            traffic(number) != "charge" || times <= 1,
            "{id} was sent {times} times"
        );
        assert!(
            traffic(number) == "charge" || !ended.contains(id),
            "{id} could be sent again"
        );
    }
}

#[rstest]
fn a_notice_is_sent_until_acknowledged_also_across_a_restart() {
    let (mut forwarder, calls, notices, _) = start_with_stubs(usize::MAX, |_| ());
    forwarder.submit("a", "charge", "Cookie: about=5\r\n");
    receive(&calls).respond(ERROR);
    for _ in 0..3 {
        assert_eq!(receive(&notices), given_up_notice("a"));
    }
    forwarder.submit("b", "charge", "Cookie: about=5\r\n");
    forwarder.restart("-KILL");
    while notices.try_recv().is_ok() {}
    assert_eq!(receive(&notices), given_up_notice("a"));
    assert!(
        calls.try_recv().is_err(),
        "b waits for a, whose notice is not acknowledged"
    );
}

#[rstest]
fn shutdown_closes_idle_connections_rejects_new_requests_and_exits() {
    let (mut forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let mut idle = TcpStream::connect(forwarder.address).expect("connects");
    forwarder.submit("a", "job", "");
    forwarder.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).expect("closed cleanly"), 0);
    let late = forwarder.exchange(&event_request("b", "job", ""));
    assert!(
        late.0 == 503 && late.1.contains("Connection: close\r\n"),
        "{late:?}"
    );
    receive(&calls).respond(OK);
    assert!(forwarder.child.wait().expect("process exits").success());
    assert!(calls.try_recv().is_err());
}

/// A second after the start of the shutdown no event is pending and no new request may arrive,
/// except the rest of one that has begun.
#[rstest]
fn a_client_in_the_middle_of_a_request_at_shutdown_gets_a_response() {
    let (mut forwarder, calls, _notices, _) = start_with_stubs(0, |_| ());
    let request = event_request("a", "job", "");
    let (mut partial, mut response) = (
        TcpStream::connect(forwarder.address).expect("connects"),
        Vec::new(),
    );
    partial.write_all(&request[..40]).expect("write succeeds");
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    // The wait makes sure that all other work has ended; the result of the test does not depend on
    // it.
    thread::sleep(Duration::from_millis(1300));
    // Either a rejection after its last byte or a time-out is a valid response.
    let _ = partial.write_all(&request[40..]);
    partial.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    partial.read_to_end(&mut response).expect("closed cleanly");
    let response = String::from_utf8_lossy(&response);
    assert!(
        response.starts_with("HTTP/1.1 503 ") || response.starts_with("HTTP/1.1 408 "),
        "{response}"
    );
    assert!(forwarder.child.wait().expect("process exits").success());
    assert!(calls.try_recv().is_err());
}
