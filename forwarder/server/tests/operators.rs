//! What operators' staff ask of a running forwarder, at their own address.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use peers::*;

/// Answers are owed to operators within that.
const OWED: Duration = Duration::from_secs(1);

const UP: &[u8] = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

#[rstest]
fn operators_hear_yes_or_no_and_may_repeat_themselves() {
    let (forwarder, _calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    forwarder.wait_until_ready();
    for (method, path, status) in [
        ("GET", "/-/ready", 200),
        ("POST", "/-/ready", 405),
        ("GET", "/-/drain", 405),
        ("GET", "/-/metrics", 404),
        ("POST", "/-/targets/t/disable", 200),
        ("POST", "/-/targets/t/disable", 200),
        ("POST", "/-/targets/t/enable", 200),
        ("POST", "/-/targets/t/enable", 200),
        ("POST", "/-/targets/never/disable", 404),
        ("POST", "/-/targets/never/enable", 404),
        ("POST", "/-/resume", 200),
    ] {
        assert_eq!(
            forwarder.call_admin(method, path),
            status,
            "{method} {path}"
        );
    }
    let mut stream = TcpStream::connect(forwarder.mgmt).expect("connects");
    stream
        .write_all(b"what is this\r\n\r\n")
        .expect("write succeeds");
    assert_eq!(read_response(&mut stream).0, 400);
}

/// Callers that hold on, most with half a call, fill all places several times over; clients take
/// all of theirs.
#[rstest]
fn half_callers_and_a_crowd_of_clients_hold_up_no_operator() {
    let (forwarder, _calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    forwarder.wait_until_ready();
    let crowd: Vec<_> = (0..300)
        .map(|_| TcpStream::connect(forwarder.address).expect("connects"))
        .collect();
    let mut held = Vec::new();
    for number in 0..60 {
        let mut caller = TcpStream::connect(forwarder.mgmt).expect("connects");
        if number % 3 > 0 {
            caller
                .write_all(b"POST /-/drain HTTP/1.1\r\nHo")
                .expect("write succeeds");
        }
        held.push(caller);
        let asked = Instant::now();
        assert_eq!(forwarder.call_admin("GET", "/-/ready"), 200);
        assert_eq!(forwarder.call_admin("POST", "/-/targets/t/enable"), 200);
        assert!(
            asked.elapsed() < 2 * OWED,
            "two answers took {:?}",
            asked.elapsed()
        );
    }
    // Nobody who says half a word stays.
    for mut caller in held {
        caller.set_read_timeout(Some(LONG)).expect("a socket");
        let mut said = Vec::new();
        let _ = caller.read_to_end(&mut said);
    }
    drop(crowd);
}

/// The call of a marker event shows that all decided before it has been carried out.
#[rstest]
fn a_target_left_out_gets_nothing_whatever_the_list_says_over_kills_until_it_may_serve_again() {
    let (other, others) = stand_in();
    let (mut forwarder, calls, _notices, watches) = start_with_stand_ins(0, |config| {
        let mut marker = member("m", other, "up");
        marker["cell"] = json!(2);
        config["known"]["members"]
            .as_array_mut()
            .expect("a list")
            .push(marker);
    });
    let address = forwarder.folder.join("config.json");
    let config: serde_json::Value =
        serde_json::from_slice(&std::fs::read(address).expect("file exists")).expect("JSON");
    let listed = config["known"]["members"][0].clone();
    let gone = json!({"id": "t", "phase": "removed"});
    assert_eq!(forwarder.call_admin("POST", "/-/targets/t/disable"), 200);
    forwarder.submit("a", "job", "");
    let mark = |forwarder: &Forwarder, id: &str| {
        let marker = String::from_utf8(event_request(id, "job", ""))
            .unwrap()
            .replace("dest=1", "dest=2");
        assert_eq!(forwarder.exchange(marker.as_bytes()).0, 202);
        let mut call = receive(&others);
        // The kill may have come before the last marker's answer was read: that one comes again
        // then.
        if call.id() == "l1" && id == "m2" {
            call.answer(OK);
            call = receive(&others);
        }
        assert_eq!(call.id(), id);
        call.answer(OK);
    };
    mark(&forwarder, "m1");
    for (number, page_of) in [[gone.clone()], [listed.clone()]].iter().enumerate() {
        receive(&watches).answer(&changes_response(page_of));
        mark(&forwarder, &format!("l{number}"));
    }
    forwarder.restart("-KILL");
    mark(&forwarder, "m2");
    assert!(calls.try_recv().is_err(), "nothing went there");
    assert_eq!(forwarder.call_admin("POST", "/-/targets/t/enable"), 200);
    assert_eq!(receive(&calls).id(), "a");
}

#[rstest]
fn a_damaged_record_of_bans_is_never_read_as_none() {
    let (mut forwarder, _calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    assert_eq!(forwarder.call_admin("POST", "/-/targets/t/disable"), 200);
    forwarder.child.kill().expect("process is running");
    forwarder.child.wait().expect("process exits");
    let record = forwarder.folder.join("bans");
    let text = std::fs::read_to_string(&record).expect("written before the response");
    std::fs::write(&record, text.replace("\nt\n", "\n")).expect("written");
    let said = expect_start_error(&forwarder.folder.join("config.json"), &forwarder.folder);
    assert!(
        said.contains("the record of targets left out is damaged"),
        "{said}"
    );
}

#[rstest]
fn a_drain_empties_it_of_clients_serves_what_still_comes_and_may_be_taken_back() {
    let (forwarder, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    let mut idle = TcpStream::connect(forwarder.address).expect("connects");
    idle.write_all(UP).expect("write succeeds");
    assert_eq!(read_response(&mut idle).0, 200);
    for round in 0..2 {
        assert_eq!(forwarder.call_admin("POST", "/-/drain"), 200);
        assert_eq!(forwarder.exchange(UP).0, 503);
        assert_eq!(
            forwarder.call_admin("GET", "/-/ready"),
            200,
            "it does its work on what it holds"
        );
        idle.set_read_timeout(Some(LONG)).expect("a socket");
        assert_eq!(
            idle.read(&mut [0]).expect("end of stream"),
            0,
            "idle connections are closed"
        );
        // What the front sent before it knew is taken on and delivered.
        let late = format!("late{round}");
        let (status, head) =
            forwarder.exchange(&event_request(&late, "charge", "Cookie: about=5\r\n"));
        assert_eq!((status, head.contains("Connection: close")), (202, true));
        assert_eq!(forwarder.call_admin("POST", "/-/resume"), 200);
        assert_eq!(forwarder.exchange(UP).0, 200);
        let call = receive(&calls);
        assert_eq!(call.id(), late);
        call.answer(OK);
        idle = TcpStream::connect(forwarder.address).expect("connects");
        for id in ["x", "y"].map(|id| format!("{id}{round}")) {
            idle.write_all(&event_request(&id, "job", ""))
                .expect("stays open");
            assert_eq!(read_response(&mut idle).0, 202);
            let call = receive(&calls);
            assert_eq!(call.id(), id);
            call.answer(OK);
        }
    }
}
