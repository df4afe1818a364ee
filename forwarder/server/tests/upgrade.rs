//! Hot restarts between real processes in one folder.

mod peers;

use std::io::Write;
use std::net::TcpStream;

use async_io::block_on;
use plankhill_hot_restart::{Message, PROTOCOL_VERSION};
use rstest::rstest;

use peers::successor::send_hello;
use peers::*;

#[rstest]
fn order_connections_and_incomplete_requests_continue_in_the_successor() {
    let (first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    let mut active = TcpStream::connect(first.address).expect("connects");
    active
        .write_all(&event_request("a", "charge", ORDER_KEY_COOKIE))
        .expect("write succeeds");
    assert_eq!(read_response(&mut active).0, 202);
    let in_flight = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let whole = event_request("c", "charge", ORDER_KEY_COOKIE);
    let mut partial = TcpStream::connect(first.address).expect("connects");
    partial.write_all(&whole[..40]).expect("write succeeds");
    let unused = TcpStream::connect(first.address).expect("connects");

    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
    assert_eq!(
        first.call_admin("GET", "/-/ready"),
        503,
        "only the successor decides"
    );
    assert_eq!(second.address, first.address, "the listener is the same");
    partial.write_all(&whole[40..]).expect("write succeeds");
    assert_eq!(
        read_response(&mut partial).0,
        202,
        "read by the predecessor, decided by the successor"
    );
    // These clients keep their connections.
    active
        .write_all(&event_request("d", "job", ""))
        .expect("stays open");
    assert_eq!(read_response(&mut active).0, 202);
    let mut unused = unused;
    unused
        .write_all(&event_request("e", "job", ""))
        .expect("stays open");
    assert_eq!(read_response(&mut unused).0, 202);
    let of_no_key = [receive(&calls), receive(&calls)];
    let mut ids = of_no_key.each_ref().map(|call| call.id().to_owned());
    ids.sort();
    assert_eq!(
        ids,
        ["d", "e"],
        "no event of the order key is sent while the first is in flight"
    );
    for call in of_no_key {
        call.respond(OK);
    }
    // The id of an event that is in flight in the first process.
    assert_eq!(
        second
            .exchange(&event_request("a", "charge", ORDER_KEY_COOKIE))
            .0,
        503
    );
    in_flight.respond(OK);
    for id in ["b", "c"] {
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.respond(OK);
    }
    // The first process has no work left.
    let mut first = first;
    assert!(first.child.wait().expect("process exits").success());
}

/// Most of the connections that may be open: during the handover each counts once.
#[rstest]
fn more_than_a_hundred_active_clients_keep_their_connections() {
    let (first, _calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    let up = |stream: &mut TcpStream| {
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("stays open");
        read_response(stream).0
    };
    let mut active: Vec<_> = (0..150)
        .map(|_| TcpStream::connect(first.address).expect("connects"))
        .collect();
    for _ in 0..2 {
        assert!(active.iter_mut().all(|stream| up(stream) == 200));
    }
    let second = Forwarder::start_in(first.folder.clone());
    assert!(active.iter_mut().all(|stream| up(stream) == 200));
    drop(second);
}

/// A call of the predecessor's that is in flight when the predecessor is killed may have run.
#[rstest]
fn a_predecessor_killed_after_the_handover_loses_no_event() {
    let (first, calls, notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
    first.signal("-KILL");
    assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    drop(in_flight);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.respond(OK);
}

#[rstest]
#[case(PROTOCOL_VERSION + 1, "another version")]
fn a_successor_of_another_protocol_version_is_declined(#[case] version: u32, #[case] why: &str) {
    let (first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    let (_sender, mut receiver) = send_hello(&first.folder, version);
    assert!(
        matches!(block_on(receiver.receive()), Ok((Message::Declined { reason: text }, _)) if text.contains(why))
    );
    first.submit("a", "job", "");
    assert_eq!(receive(&calls).id(), "a");
}

/// The predecessor is killed before it hands over: the successor takes the lock and starts from the
/// event log.
#[rstest]
fn an_unresponsive_predecessor_is_awaited_until_it_has_ended() {
    let (mut first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "job", "");
    drop(receive(&calls));
    first.suspend();
    let folder = first.folder.clone();
    let second = std::thread::spawn(move || Forwarder::start_in(folder));
    // The successor waits for the suspended predecessor, and decides nothing until that has ended.
    first.signal("-KILL");
    first.child.wait().expect("process exits");
    let second = second.join().expect("process starts");
    let call = receive(&calls);
    assert_eq!(call.id(), "a");
    call.respond(OK);
    second.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b");
}

#[rstest]
fn a_locked_folder_without_a_handover_ends_the_start_with_one_line() {
    let (first, _calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    std::fs::remove_file(first.folder.join("handover")).expect("file exists");
    let said = expect_start_error(&first.folder.join("config.json"), &first.folder);
    assert!(
        said.contains("PROXY_STATE") && said.contains("hands nothing over"),
        "{said}"
    );
    first.submit("a", "job", "");
}

#[rstest]
fn drains_and_disabled_targets_are_handed_over_and_admin_commands_are_relayed() {
    let (first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    assert_eq!(first.call_admin("POST", "/-/targets/t/disable"), 200);
    // An incomplete request keeps the first process running.
    let whole = event_request("a", "job", "");
    let mut partial = TcpStream::connect(first.address).expect("connects");
    partial.write_all(&whole[..40]).expect("write succeeds");
    assert_eq!(first.call_admin("POST", "/-/drain"), 200);
    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
    assert_eq!(
        second.exchange(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0,
        503,
        "the drain is still in effect"
    );
    assert_eq!(
        first.call_admin("POST", "/-/resume"),
        200,
        "sent to the predecessor, carried out by the successor"
    );
    assert_eq!(
        second.exchange(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0,
        200
    );
    partial.write_all(&whole[40..]).expect("write succeeds");
    assert_eq!(read_response(&mut partial).0, 202);
    second.submit("b", "job", "");
    assert!(calls.try_recv().is_err(), "the target is still disabled");
    assert_eq!(second.call_admin("POST", "/-/targets/t/enable"), 200);
    let mut ids = [receive(&calls), receive(&calls)].map(|call| call.id().to_owned());
    ids.sort();
    assert_eq!(ids, ["a", "b"]);
}

/// On a platform without Unix sockets or file locks, the forwarder logs one warning and starts and
/// restarts alone, as it does without a successor. A folder in place of the file simulates such a
/// platform.
#[rstest]
#[case::no_socket(Some("handover"), Some("hot restart not possible"))]
#[case::no_lock(Some("lock"), Some("state folder cannot be locked"))]
#[case::no_successor(None, None)]
fn without_a_handover_the_forwarder_starts_and_restarts_alone(
    #[case] blocked_file: Option<&str>,
    #[case] said: Option<&str>,
) {
    let (target, calls) = stub_server();
    let (discovery, _watches, _notices) = discovery_stub(0);
    let mut forwarder = Forwarder::start_prepared(&config(discovery, target), |folder| {
        if let Some(name) = blocked_file {
            std::fs::create_dir(folder.join(name)).expect("created");
        }
    });
    for id in ["a", "b"] {
        if let Some(said) = said {
            forwarder.wait_for_log(said);
        }
        forwarder.wait_until_ready();
        forwarder.submit(id, "charge", "");
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.respond(OK);
        let log = forwarder.log.lock().unwrap().clone();
        let warnings = log
            .lines()
            .filter(|line| line.contains(" WARN ") && !line.contains("discovery"));
        assert_eq!(warnings.count(), said.iter().len(), "{log}");
        forwarder.restart("-KILL");
    }
}
