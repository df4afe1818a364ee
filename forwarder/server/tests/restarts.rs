//! What ends and starts again over one folder: nothing that was promised is lost.

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
fn a_forwarder_that_ended_still_owes_what_it_took(
    #[case] traffic: &str,
    #[case] signal: &str,
    #[case] again: bool,
) {
    let (mut forwarder, calls, notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.submit("a", traffic, "Cookie: about=5\r\n");
    let out = receive(&calls);
    if !again {
        forwarder.submit("b", traffic, "Cookie: about=5\r\n");
    }
    forwarder.restart(signal);
    drop(out);
    if !again {
        assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    }
    let call = receive(&calls);
    assert_eq!(
        (call.id(), &call.body[..]),
        (if again { "a" } else { "b" }, &b"body"[..])
    );
    call.answer(OK);
    forwarder.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c", "nothing else was owed");
}

/// Ended right after each 202, whatever the calls were doing: every event has an end, no binding
/// one two.
#[rstest]
fn ended_again_and_again_it_loses_nothing_and_repeats_nothing_binding() {
    let (mut forwarder, calls, notices, _) = start_with_stand_ins(0, |_| ());
    let got = Arc::new(Mutex::new(Vec::new()));
    let delivered = got.clone();
    thread::spawn(move || {
        for call in calls {
            delivered.lock().unwrap().push(call.id().to_owned());
            call.answer(OK);
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
        |id: &String, ended: &[String]| ended.contains(id) || got.lock().unwrap().contains(id);
    let by = Instant::now() + LONG;
    while !ids.iter().all(|id| is_over(id, &ended)) {
        assert!(
            Instant::now() < by,
            "of {ids:?} only {ended:?} and {got:?} have an end"
        );
        if let Ok(notice) = notices.recv_timeout(Duration::from_millis(50)) {
            assert_eq!(notice["outcome"], "given_up");
            ended.push(notice["message"].as_str().expect("an id").to_owned());
        }
    }
    for (number, id) in ids.iter().enumerate() {
        let times = got
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
fn a_notice_is_told_until_it_is_heard_also_across_a_restart() {
    let (mut forwarder, calls, notices, _) = start_with_stand_ins(usize::MAX, |_| ());
    forwarder.submit("a", "charge", "Cookie: about=5\r\n");
    receive(&calls).answer(ERROR);
    for _ in 0..3 {
        assert_eq!(receive(&notices), given_up_notice("a"));
    }
    forwarder.submit("b", "charge", "Cookie: about=5\r\n");
    forwarder.restart("-KILL");
    while notices.try_recv().is_ok() {}
    assert_eq!(receive(&notices), given_up_notice("a"));
    assert!(
        calls.try_recv().is_err(),
        "b is behind a, whose end nobody has heard"
    );
}

#[rstest]
fn asked_to_end_it_closes_idle_connections_answers_what_comes_and_ends() {
    let (mut forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let mut idle = TcpStream::connect(forwarder.address).expect("connects");
    forwarder.submit("a", "job", "");
    forwarder.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).expect("closed cleanly"), 0);
    let late = forwarder.exchange(&event_request("b", "job", ""));
    assert!(
        late.0 == 503 && late.1.contains("Connection: close\r\n"),
        "{late:?}"
    );
    receive(&calls).answer(OK);
    assert!(forwarder.child.wait().expect("process exits").success());
    assert!(calls.try_recv().is_err());
}

/// A second after its end was asked for nothing is held and nothing more may come: but for the rest
/// of what has begun.
#[rstest]
fn who_is_half_way_through_a_request_when_it_is_asked_to_end_gets_an_answer() {
    let (mut forwarder, calls, _notices, _) = start_with_stand_ins(0, |_| ());
    let request = event_request("a", "job", "");
    let (mut half, mut said) = (
        TcpStream::connect(forwarder.address).expect("connects"),
        Vec::new(),
    );
    half.write_all(&request[..40]).expect("write succeeds");
    forwarder.signal("-TERM");
    forwarder.wait_for_log("shutdown started");
    // The wait makes sure that all else is over; the verdict does not hang on it.
    thread::sleep(Duration::from_millis(1300));
    // Refused at its end, or told that it took too long: either is an answer.
    let _ = half.write_all(&request[40..]);
    half.set_read_timeout(Some(LONG)).expect("a socket");
    half.read_to_end(&mut said).expect("closed cleanly");
    let said = String::from_utf8_lossy(&said);
    assert!(
        said.starts_with("HTTP/1.1 503 ") || said.starts_with("HTTP/1.1 408 "),
        "{said}"
    );
    assert!(forwarder.child.wait().expect("process exits").success());
    assert!(calls.try_recv().is_err());
}
