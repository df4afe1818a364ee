//! A new version starts beside a running process: real processes on one folder, each side ended at
//! each step.

mod peers;

use std::io::Write;
use std::net::TcpStream;

use async_io::block_on;
use plankhill_hot_restart::{Message, PROTOCOL_VERSION};
use rstest::rstest;

use peers::successor::send_hello;
use peers::*;

#[rstest]
fn order_connections_and_half_read_requests_go_on_in_the_new_process() {
    let (first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    let mut regular = TcpStream::connect(first.address).expect("connects");
    regular
        .write_all(&event_request("a", "charge", ORDER_KEY_COOKIE))
        .expect("write succeeds");
    assert_eq!(read_response(&mut regular).0, 202);
    let out = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let whole = event_request("c", "charge", ORDER_KEY_COOKIE);
    let mut half = TcpStream::connect(first.address).expect("connects");
    half.write_all(&whole[..40]).expect("write succeeds");
    let silent = TcpStream::connect(first.address).expect("connects");

    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
    assert_eq!(first.call_admin("GET", "/-/ready"), 503, "one decides");
    assert_eq!(second.address, first.address, "the listener is the same");
    half.write_all(&whole[40..]).expect("write succeeds");
    assert_eq!(read_response(&mut half).0, 202, "read here, decided there");
    // These never had to connect again.
    regular
        .write_all(&event_request("d", "job", ""))
        .expect("stays open");
    assert_eq!(read_response(&mut regular).0, 202);
    let mut silent = silent;
    silent
        .write_all(&event_request("e", "job", ""))
        .expect("stays open");
    assert_eq!(read_response(&mut silent).0, 202);
    let free = [receive(&calls), receive(&calls)];
    let mut ids = free.each_ref().map(|call| call.id().to_owned());
    ids.sort();
    assert_eq!(
        ids,
        ["d", "e"],
        "nothing of the key goes while its head is out"
    );
    for call in free {
        call.answer(OK);
    }
    // A copy of an id that the first process has.
    assert_eq!(
        second
            .exchange(&event_request("a", "charge", ORDER_KEY_COOKIE))
            .0,
        503
    );
    out.answer(OK);
    for id in ["b", "c"] {
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        call.answer(OK);
    }
    // Nothing is left in the first.
    let mut first = first;
    assert!(first.child.wait().expect("process exits").success());
}

/// Most of what may be open: while they go over, each counts once.
#[rstest]
fn regulars_by_the_hundred_keep_their_connections() {
    let (first, _calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    let up = |stream: &mut TcpStream| {
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("stays open");
        read_response(stream).0
    };
    let mut regulars: Vec<_> = (0..150)
        .map(|_| TcpStream::connect(first.address).expect("connects"))
        .collect();
    for _ in 0..2 {
        assert!(regulars.iter_mut().all(|stream| up(stream) == 200));
    }
    let second = Forwarder::start_in(first.folder.clone());
    assert!(regulars.iter_mut().all(|stream| up(stream) == 200));
    drop(second);
}

/// What the old process had out when it was killed may have run.
#[rstest]
fn killed_after_the_change_the_old_process_loses_nothing() {
    let (first, calls, notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
    first.signal("-KILL");
    assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    drop(out);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.answer(OK);
}

#[rstest]
#[case(PROTOCOL_VERSION + 1, "another version")]
fn one_that_speaks_otherwise_is_told_no(#[case] version: u32, #[case] why: &str) {
    let (first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    let (_passage, mut receiver) = send_hello(&first.folder, version);
    assert!(
        matches!(block_on(receiver.receive()), Ok((Message::Declined { reason: said }, _)) if said.contains(why))
    );
    first.submit("a", "job", "");
    assert_eq!(receive(&calls).id(), "a");
}

/// The old process dies before it hands over: the new one takes the lock, and starts from the
/// ledger.
#[rstest]
fn an_old_process_that_says_nothing_is_waited_for_until_it_has_gone() {
    let (mut first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "job", "");
    drop(receive(&calls));
    first.suspend();
    let folder = first.folder.clone();
    let second = std::thread::spawn(move || Forwarder::start_in(folder));
    // It waits beside the one that stands still, and never decides beside it.
    first.signal("-KILL");
    first.child.wait().expect("process exits");
    let second = second.join().expect("process starts");
    let call = receive(&calls);
    assert_eq!(call.id(), "a");
    call.answer(OK);
    second.submit("b", "job", "");
    assert_eq!(receive(&calls).id(), "b");
}

#[rstest]
fn a_folder_that_another_holds_and_does_not_hand_over_ends_the_start_with_one_line() {
    let (first, _calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
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
fn a_drain_and_a_ban_go_to_the_new_process_and_operators_at_the_old_one_are_heard() {
    let (first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    assert_eq!(first.call_admin("POST", "/-/targets/t/disable"), 200);
    // A request half read keeps the first process there.
    let whole = event_request("a", "job", "");
    let mut half = TcpStream::connect(first.address).expect("connects");
    half.write_all(&whole[..40]).expect("write succeeds");
    assert_eq!(first.call_admin("POST", "/-/drain"), 200);
    let second = Forwarder::start_in(first.folder.clone());
    second.wait_until_ready();
    assert_eq!(
        second.exchange(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0,
        503,
        "it is still being emptied"
    );
    assert_eq!(
        first.call_admin("POST", "/-/resume"),
        200,
        "asked at the old address, done in the new process"
    );
    assert_eq!(
        second.exchange(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0,
        200
    );
    half.write_all(&whole[40..]).expect("write succeeds");
    assert_eq!(read_response(&mut half).0, 202);
    second.submit("b", "job", "");
    assert!(calls.try_recv().is_err(), "the target is still left out");
    assert_eq!(second.call_admin("POST", "/-/targets/t/enable"), 200);
    let mut ids = [receive(&calls), receive(&calls)].map(|call| call.id().to_owned());
    ids.sort();
    assert_eq!(ids, ["a", "b"]);
}

/// Where the platform gives no Unix socket, or no lock on the folder, or nobody ever comes: a plain
/// start with one line in the log, and a plain restart. A folder in the way of the file stands for
/// such a platform.
#[rstest]
#[case::no_socket(Some("handover"), Some("hot restart not possible"))]
#[case::no_lock(Some("lock"), Some("state folder cannot be locked"))]
#[case::nobody_comes(None, None)]
fn without_a_way_to_hand_over_it_starts_and_ends_as_one_alone(
    #[case] in_the_way: Option<&str>,
    #[case] said: Option<&str>,
) {
    let (target, calls) = stand_in();
    let (discovery, _watches, _notices) = discovery_stand_in(0);
    let mut forwarder = Forwarder::start_prepared(&config(discovery, target), |folder| {
        if let Some(name) = in_the_way {
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
        call.answer(OK);
        let log = forwarder.log.lock().unwrap().clone();
        let trouble = log
            .lines()
            .filter(|line| line.contains(" WARN ") && !line.contains("discovery"));
        assert_eq!(trouble.count(), said.iter().len(), "{log}");
        forwarder.restart("-KILL");
    }
}
