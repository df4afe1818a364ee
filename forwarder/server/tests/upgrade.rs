//! A new version starts beside a running process: real processes on one folder, each side ended at each step.

mod peers;

use std::io::Write;
use std::net::TcpStream;

use async_io::block_on;
use plankhill_hot_restart::{Message, PROTOCOL_VERSION};
use rstest::rstest;

use peers::successor::hello;
use peers::*;

#[rstest]
fn order_connections_and_half_read_requests_go_on_in_the_new_process() {
    let (first, calls, _notices, _watches) = all(0, |_| ());
    first.until_ready();
    let mut regular = TcpStream::connect(first.address).expect("listens");
    regular
        .write_all(&event("a", "charge", CHARGE))
        .expect("takes it");
    assert_eq!(answer(&mut regular).0, 202);
    let out = next(&calls);
    first.take("b", "charge", CHARGE);
    let whole = event("c", "charge", CHARGE);
    let mut half = TcpStream::connect(first.address).expect("listens");
    half.write_all(&whole[..40]).expect("takes it");
    let silent = TcpStream::connect(first.address).expect("listens");

    let second = Forwarder::over(first.folder.clone());
    second.until_ready();
    assert_eq!(first.call("GET", "/-/ready"), 503, "one decides");
    assert_eq!(second.address, first.address, "the listener is the same");
    half.write_all(&whole[40..]).expect("takes it");
    assert_eq!(answer(&mut half).0, 202, "read here, decided there");
    // These never had to connect again.
    regular
        .write_all(&event("d", "job", ""))
        .expect("stays open");
    assert_eq!(answer(&mut regular).0, 202);
    let mut silent = silent;
    silent
        .write_all(&event("e", "job", ""))
        .expect("stays open");
    assert_eq!(answer(&mut silent).0, 202);
    let free = [next(&calls), next(&calls)];
    let mut ids = free.each_ref().map(|call| call.id().to_owned());
    ids.sort();
    assert_eq!(
        ids,
        ["d", "e"],
        "nothing of the key goes while its head is out"
    );
    free.into_iter().for_each(|call| call.answer(OK));
    // A copy of an id that the first process has.
    assert_eq!(second.ask(&event("a", "charge", CHARGE)).0, 503);
    out.answer(OK);
    for id in ["b", "c"] {
        let call = next(&calls);
        assert_eq!(call.id(), id);
        call.answer(OK);
    }
    // Nothing is left in the first.
    let mut first = first;
    assert!(first.child.wait().expect("ends by itself").success());
}

/// Most of what may be open: while they go over, each counts once.
#[rstest]
fn regulars_by_the_hundred_keep_their_connections() {
    let (first, _calls, _notices, _watches) = all(0, |_| ());
    first.until_ready();
    let up = |stream: &mut TcpStream| {
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("stays open");
        answer(stream).0
    };
    let mut regulars: Vec<_> = (0..150)
        .map(|_| TcpStream::connect(first.address).expect("listens"))
        .collect();
    for _ in 0..2 {
        assert!(regulars.iter_mut().all(|stream| up(stream) == 200));
    }
    let second = Forwarder::over(first.folder.clone());
    assert!(regulars.iter_mut().all(|stream| up(stream) == 200));
    drop(second);
}

/// What the old process had out when it was killed may have run.
#[rstest]
fn killed_after_the_change_the_old_process_loses_nothing() {
    let (first, calls, notices, _watches) = all(0, |_| ());
    first.until_ready();
    first.take("a", "charge", CHARGE);
    let out = next(&calls);
    first.take("b", "charge", CHARGE);
    let second = Forwarder::over(first.folder.clone());
    second.until_ready();
    first.signal("-KILL");
    assert_eq!(next(&notices), given_up("a"), "it may have run");
    drop(out);
    let call = next(&calls);
    assert_eq!(call.id(), "b");
    call.answer(OK);
}

#[rstest]
#[case(PROTOCOL_VERSION + 1, "another version")]
fn one_that_speaks_otherwise_is_told_no(#[case] version: u32, #[case] why: &str) {
    let (first, calls, _notices, _watches) = all(0, |_| ());
    first.until_ready();
    let (_passage, mut receiver) = hello(&first.folder, version);
    assert!(
        matches!(block_on(receiver.receive()), Ok((Message::Declined { reason: said }, _)) if said.contains(why))
    );
    first.take("a", "job", "");
    assert_eq!(next(&calls).id(), "a");
}

/// The old process dies before it hands over: the new one takes the lock, and starts from the ledger.
#[rstest]
fn an_old_process_that_says_nothing_is_waited_for_until_it_has_gone() {
    let (mut first, calls, _notices, _watches) = all(0, |_| ());
    first.until_ready();
    first.take("a", "job", "");
    drop(next(&calls));
    first.stop();
    let folder = first.folder.clone();
    let second = std::thread::spawn(move || Forwarder::over(folder));
    // It waits beside the one that stands still, and never decides beside it.
    first.signal("-KILL");
    first.child.wait().expect("ends");
    let second = second.join().expect("starts");
    let call = next(&calls);
    assert_eq!(call.id(), "a");
    call.answer(OK);
    second.take("b", "job", "");
    assert_eq!(next(&calls).id(), "b");
}

#[rstest]
fn a_folder_that_another_holds_and_does_not_hand_over_ends_the_start_with_one_line() {
    let (first, _calls, _notices, _watches) = all(0, |_| ());
    first.until_ready();
    std::fs::remove_file(first.folder.join("handover")).expect("there");
    let said = refused_start(&first.folder.join("config.json"), &first.folder);
    assert!(
        said.contains("PROXY_STATE") && said.contains("hands nothing over"),
        "{said}"
    );
    first.take("a", "job", "");
}

#[rstest]
fn a_drain_and_a_ban_go_to_the_new_process_and_operators_at_the_old_one_are_heard() {
    let (first, calls, _notices, _watches) = all(0, |_| ());
    first.until_ready();
    assert_eq!(first.call("POST", "/-/targets/t/disable"), 200);
    // A request half read keeps the first process there.
    let whole = event("a", "job", "");
    let mut half = TcpStream::connect(first.address).expect("listens");
    half.write_all(&whole[..40]).expect("takes it");
    assert_eq!(first.call("POST", "/-/drain"), 200);
    let second = Forwarder::over(first.folder.clone());
    second.until_ready();
    assert_eq!(
        second.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0,
        503,
        "it is still being emptied"
    );
    assert_eq!(
        first.call("POST", "/-/resume"),
        200,
        "asked at the old address, done in the new process"
    );
    assert_eq!(second.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0, 200);
    half.write_all(&whole[40..]).expect("takes it");
    assert_eq!(answer(&mut half).0, 202);
    second.take("b", "job", "");
    assert!(calls.try_recv().is_err(), "the target is still left out");
    assert_eq!(second.call("POST", "/-/targets/t/enable"), 200);
    let mut ids = [next(&calls), next(&calls)].map(|call| call.id().to_owned());
    ids.sort();
    assert_eq!(ids, ["a", "b"]);
}

/// Where the platform gives no Unix socket, or no lock on the folder, or nobody ever comes: a plain start with one line
/// in the log, and a plain restart. A folder in the way of the file stands for such a platform.
#[rstest]
#[case::no_socket(Some("handover"), Some("hot restart not possible"))]
#[case::no_lock(Some("lock"), Some("state folder cannot be locked"))]
#[case::nobody_comes(None, None)]
fn without_a_way_to_hand_over_it_starts_and_ends_as_one_alone(
    #[case] in_the_way: Option<&str>,
    #[case] said: Option<&str>,
) {
    let (target, calls) = stand_in();
    let (discovery, _watches, _notices) = discovery(0);
    let mut forwarder = Forwarder::start_with(&config(discovery, target), |folder| {
        if let Some(name) = in_the_way {
            std::fs::create_dir(folder.join(name)).expect("made");
        }
    });
    for id in ["a", "b"] {
        said.into_iter().for_each(|said| forwarder.logged(said));
        forwarder.until_ready();
        forwarder.take(id, "charge", "");
        let call = next(&calls);
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
