//! Commands of operators at the admin address of a running forwarder.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use peers::*;

/// Time within which operators get a response.
const RESPONSE_LIMIT: Duration = Duration::from_secs(1);

const UP: &[u8] = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

#[rstest]
fn admin_commands_have_expected_statuses_and_may_be_repeated() {
    let (forwarder, _calls, _notices, _watches) = start_with_stubs(0, |_| ());
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

/// Admin callers that keep their connections open, most with an incomplete request, exceed the
/// limit of admin connections several times over; clients use up their own limit.
#[rstest]
fn incomplete_admin_requests_and_many_clients_delay_no_operator() {
    let (forwarder, _calls, _notices, _watches) = start_with_stubs(0, |_| ());
    forwarder.wait_until_ready();
    let crowd: Vec<_> = (0..300)
        .map(|_| TcpStream::connect(forwarder.address).expect("connects"))
        .collect();
    let mut incomplete = Vec::new();
    for number in 0..60 {
        let mut caller = TcpStream::connect(forwarder.mgmt).expect("connects");
        if number % 3 > 0 {
            caller
                .write_all(b"POST /-/drain HTTP/1.1\r\nHo")
                .expect("write succeeds");
        }
        incomplete.push(caller);
        let sent_at = Instant::now();
        assert_eq!(forwarder.call_admin("GET", "/-/ready"), 200);
        assert_eq!(forwarder.call_admin("POST", "/-/targets/t/enable"), 200);
        assert!(
            sent_at.elapsed() < 2 * RESPONSE_LIMIT,
            "two answers took {:?}",
            sent_at.elapsed()
        );
    }
    // The forwarder closes each of these connections.
    for mut caller in incomplete {
        caller.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        let mut output = Vec::new();
        let _ = caller.read_to_end(&mut output);
    }
    drop(crowd);
}

/// The call of a marker event shows that all earlier decisions have been carried out.
#[rstest]
fn a_disabled_target_gets_no_event_across_list_changes_and_kills_until_it_is_enabled() {
    let (other, others) = stub_server();
    let (mut forwarder, calls, _notices, watches) = start_with_stubs(0, |config| {
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
    let removal = json!({"id": "t", "phase": "removed"});
    assert_eq!(forwarder.call_admin("POST", "/-/targets/t/disable"), 200);
    forwarder.submit("a", "job", "");
    let send_marker = |forwarder: &Forwarder, id: &str| {
        let marker = String::from_utf8(event_request(id, "job", ""))
            .unwrap()
            .replace("dest=1", "dest=2");
        assert_eq!(forwarder.exchange(marker.as_bytes()).0, 202);
        let mut call = receive(&others);
        // The process may have been killed before it read the response to the last marker, which is
        // then sent again.
        if call.id() == "l1" && id == "m2" {
            call.respond(OK);
            call = receive(&others);
        }
        assert_eq!(call.id(), id);
        call.respond(OK);
    };
    send_marker(&forwarder, "m1");
    for (number, page_of) in [[removal.clone()], [listed.clone()]].iter().enumerate() {
        receive(&watches).respond(&changes_response(page_of));
        send_marker(&forwarder, &format!("l{number}"));
    }
    forwarder.restart("-KILL");
    send_marker(&forwarder, "m2");
    assert!(
        calls.try_recv().is_err(),
        "no call went to the disabled target"
    );
    assert_eq!(forwarder.call_admin("POST", "/-/targets/t/enable"), 200);
    assert_eq!(receive(&calls).id(), "a");
}

#[rstest]
fn a_damaged_file_of_disabled_targets_ends_the_start() {
    let (mut forwarder, _calls, _notices, _watches) = start_with_stubs(0, |_| ());
    assert_eq!(forwarder.call_admin("POST", "/-/targets/t/disable"), 200);
    forwarder.child.kill().expect("process is running");
    forwarder.child.wait().expect("process exits");
    let record = forwarder.folder.join("bans");
    let text = std::fs::read_to_string(&record).expect("written before the response");
    std::fs::write(&record, text.replace("\nt\n", "\n")).expect("written");
    let output = expect_start_error(&forwarder.folder.join("config.json"), &forwarder.folder);
    assert!(
        output.contains("the record of targets left out is damaged"),
        "{output}"
    );
}

#[rstest]
fn a_drain_closes_idle_clients_accepts_late_events_and_can_be_resumed() {
    let (forwarder, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    let mut idle = TcpStream::connect(forwarder.address).expect("connects");
    idle.write_all(UP).expect("write succeeds");
    assert_eq!(read_response(&mut idle).0, 200);
    for round in 0..2 {
        assert_eq!(forwarder.call_admin("POST", "/-/drain"), 200);
        assert_eq!(forwarder.exchange(UP).0, 503);
        assert_eq!(
            forwarder.call_admin("GET", "/-/ready"),
            200,
            "it still processes accepted events"
        );
        idle.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        assert_eq!(
            idle.read(&mut [0]).expect("end of stream"),
            0,
            "idle connections are closed"
        );
        // An event that the load balancer in front sent before it noticed the drain is accepted and
        // delivered.
        let late = format!("late{round}");
        let (status, head) =
            forwarder.exchange(&event_request(&late, "charge", "Cookie: about=5\r\n"));
        assert_eq!((status, head.contains("Connection: close")), (202, true));
        assert_eq!(forwarder.call_admin("POST", "/-/resume"), 200);
        assert_eq!(forwarder.exchange(UP).0, 200);
        let call = receive(&calls);
        assert_eq!(call.id(), late);
        call.respond(OK);
        idle = TcpStream::connect(forwarder.address).expect("connects");
        for id in ["x", "y"].map(|id| format!("{id}{round}")) {
            idle.write_all(&event_request(&id, "job", ""))
                .expect("stays open");
            assert_eq!(read_response(&mut idle).0, 202);
            let call = receive(&calls);
            assert_eq!(call.id(), id);
            call.respond(OK);
        }
    }
}
