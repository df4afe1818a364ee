//! The list of targets, as discovery and its news change it.

mod peers;

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use peers::*;

#[rstest]
fn a_target_that_is_not_there_gets_the_event_once_it_is() {
    // The port is ours, and nobody listens there on the other address.
    let ours = TcpListener::bind("127.0.0.1:0").expect("a port");
    let free = SocketAddr::from(([127, 0, 0, 2], ours.local_addr().expect("bound").port()));
    let (discovery, watches, _notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, free));
    forwarder.submit("a", "charge", "Cookie: about=5\r\n");
    let (target, calls) = stand_in();
    let watch = receive(&watches);
    assert!(watch
        .head
        .starts_with("GET /discovery/hosts?since=41&timeout_ms="));
    watch.answer(&changes_response(&[member("t", target, "up")]));
    let call = std::iter::repeat_with(|| receive(&calls))
        .find(|call| !call.head.starts_with("GET /alive"));
    assert_eq!(call.expect("iterator is endless").id(), "a");
    assert!(receive(&watches).head.contains("since=42"));
}

#[rstest]
#[case("draining")]
#[case("removed")]
fn nothing_new_goes_to_a_target_that_leaves(#[case] phase: &str) {
    let (old, old_calls) = stand_in();
    let (new, new_calls) = stand_in();
    let (discovery, watches, _notices) = discovery_stand_in(0);
    let mut forwarder = Forwarder::start(&config(discovery, old));
    forwarder.submit("a", "job", "");
    receive(&old_calls).answer(OK);
    receive(&watches).answer(&changes_response(&[
        member("t", old, phase),
        member("u", new, "up"),
        json!({"id": "odd"}),
    ]));
    receive(&watches); // the next watch comes once the page was handed on
                       // What was answered before the KILL and not read by then: a retriable event
                       // goes again, once.
    let mut unread = Vec::new();
    for id in ["b", "c", "d", "e"] {
        if id == "d" {
            forwarder.restart("-KILL"); // discovery is no help then, and the configuration is older
            unread = vec!["b", "c"];
        }
        forwarder.submit(id, "job", "");
        let mut call = receive(&new_calls);
        while let Some(at) = unread.iter().position(|id| *id == call.id()) {
            unread.remove(at);
            call.answer(OK);
            call = receive(&new_calls);
        }
        assert_eq!(call.id(), id);
        call.answer(OK);
    }
    assert!(old_calls.try_recv().is_err());
}

/// Guards the list and the notices when the file names another discovery under load; a faulty file
/// is no end.
#[rstest]
fn on_sighup_list_watch_and_notices_move_and_nothing_is_lost() {
    let (target, calls) = stand_in();
    let (old, old_watches, old_notices) = discovery_stand_in(0);
    let (new, watches, notices) = discovery_stand_in(0);
    let mut told = config(old, target);
    let forwarder = Forwarder::start(&told);
    let _held = receive(&old_watches);
    let file = forwarder.folder.join("config.json");
    std::fs::write(&file, "{").expect("written");
    forwarder.signal("-HUP");
    forwarder.wait_for_log("configuration not reloaded");
    forwarder.submit("a", "charge", "");
    let out = receive(&calls);
    told["discovery"] = json!(new.to_string());
    told["limits"]["sockets"] = json!(128);
    std::fs::write(&file, told.to_string()).expect("written");
    forwarder.signal("-HUP");
    forwarder.wait_for_log("configuration change needs a restart, key: limits");
    out.answer(ERROR);
    assert_eq!(receive(&notices), given_up_notice("a"));
    let watch = receive(&watches);
    assert!(watch.head.contains("since=41"), "{}", watch.head);
    let (other, other_calls) = stand_in();
    watch.answer(&changes_response(&[
        member("t", target, "removed"),
        member("u", other, "up"),
    ]));
    receive(&watches);
    forwarder.submit("b", "job", "");
    assert_eq!(receive(&other_calls).id(), "b");
    assert!(old_notices.try_recv().is_err() && calls.try_recv().is_err());
}

/// Guards drains and waits: after a stall the sockets are full of news, and a call may go before
/// they are read.
#[rstest]
fn after_a_stall_all_news_are_heard_before_anything_is_sent() {
    let by = Instant::now() + LONG;
    while !the_pause_ends_in_a_stall() {
        assert!(
            Instant::now() < by,
            "the machine is too busy to stop a process in time"
        );
    }
}

/// Whether the stall began before the event's pause could end; if not, nothing is told by what came
/// of it.
fn the_pause_ends_in_a_stall() -> bool {
    // Half a second, less its jitter.
    const LEAST_PAUSE: Duration = Duration::from_millis(375);
    let (old, old_calls) = stand_in();
    let (new, new_calls) = stand_in();
    let (discovery, watches, _notices) = discovery_stand_in(0);
    let forwarder = Forwarder::start(&config(discovery, old));
    let watch = receive(&watches);
    forwarder.submit("a", "job", "");
    let call = receive(&old_calls);
    let before_its_pause = Instant::now();
    call.answer(ERROR);
    // Its pause and the watch's answer both end in the stall; the call of b says that the error was
    // heard.
    forwarder.submit("b", "job", "");
    receive(&old_calls).answer(OK);
    forwarder.suspend();
    if before_its_pause.elapsed() >= LEAST_PAUSE {
        return false;
    }
    watch.answer(&changes_response(&[
        member("t", old, "draining"),
        member("u", new, "up"),
    ]));
    thread::sleep(Duration::from_millis(1000));
    forwarder.signal("-CONT");
    assert_eq!(receive(&new_calls).id(), "a");
    assert_eq!(old_calls.try_recv().map(|call| call.head).ok(), None);
    true
}
