//! Changes of the endpoint list by discovery.

mod peers;

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use peers::*;

#[rstest]
fn an_event_is_sent_once_its_target_is_reachable() {
    // The test holds the port on 127.0.0.1, and nothing listens on it at 127.0.0.2.
    let reserved = TcpListener::bind("127.0.0.1:0").expect("a port");
    let unreachable =
        SocketAddr::from(([127, 0, 0, 2], reserved.local_addr().expect("bound").port()));
    let (discovery, watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, unreachable));
    forwarder.submit("a", "charge", "Cookie: about=5\r\n");
    let (target, calls) = stub_server();
    let watch = receive(&watches);
    assert!(watch
        .head
        .starts_with("GET /discovery/hosts?since=41&timeout_ms="));
    watch.respond(&changes_response(&[member("t", target, "up")]));
    let call = std::iter::repeat_with(|| receive(&calls))
        .find(|call| !call.head.starts_with("GET /alive"));
    assert_eq!(call.expect("iterator is endless").id(), "a");
    assert!(receive(&watches).head.contains("since=42"));
}

#[rstest]
#[case("draining")]
#[case("removed")]
fn no_new_event_is_sent_to_a_leaving_target(#[case] phase: &str) {
    let (old, old_calls) = stub_server();
    let (new, new_calls) = stub_server();
    let (discovery, watches, _notices) = discovery_stub(0);
    let mut forwarder = Forwarder::start(&config(discovery, old));
    forwarder.submit("a", "job", "");
    receive(&old_calls).respond(OK);
    receive(&watches).respond(&changes_response(&[
        member("t", old, phase),
        member("u", new, "up"),
        json!({"id": "odd"}),
    ]));
    // The next watch is sent once the page was passed on.
    receive(&watches);
    // Events whose responses were not read before the process was killed: a retriable event is sent
    // again, once.
    let mut unread = Vec::new();
    for id in ["b", "c", "d", "e"] {
        if id == "d" {
            // Discovery has no complete list after the restart, and the configured one is older.
            forwarder.restart("-KILL");
            unread = vec!["b", "c"];
        }
        forwarder.submit(id, "job", "");
        let mut call = receive(&new_calls);
        while let Some(at) = unread.iter().position(|id| *id == call.id()) {
            unread.remove(at);
            call.respond(OK);
            call = receive(&new_calls);
        }
        assert_eq!(call.id(), id);
        call.respond(OK);
    }
    assert!(old_calls.try_recv().is_err());
}

/// Guards the endpoint list and the notices when the configuration file names another discovery
/// under load. An invalid file does not end the process.
#[rstest]
fn on_sighup_the_watch_and_notices_move_and_no_event_is_lost() {
    let (target, calls) = stub_server();
    let (old, old_watches, old_notices) = discovery_stub(0);
    let (new, watches, notices) = discovery_stub(0);
    let mut config_value = config(old, target);
    let forwarder = Forwarder::start(&config_value);
    let _open_watch = receive(&old_watches);
    let file = forwarder.folder.join("config.json");
    std::fs::write(&file, "{").expect("written");
    forwarder.signal("-HUP");
    forwarder.wait_for_log("configuration not reloaded");
    forwarder.submit("a", "charge", "");
    let in_flight = receive(&calls);
    config_value["discovery"] = json!(new.to_string());
    config_value["limits"]["sockets"] = json!(128);
    std::fs::write(&file, config_value.to_string()).expect("written");
    forwarder.signal("-HUP");
    forwarder.wait_for_log("configuration change needs a restart, key: limits");
    in_flight.respond(ERROR);
    assert_eq!(receive(&notices), given_up_notice("a"));
    let watch = receive(&watches);
    assert!(watch.head.contains("since=41"), "{}", watch.head);
    let (other, other_calls) = stub_server();
    watch.respond(&changes_response(&[
        member("t", target, "removed"),
        member("u", other, "up"),
    ]));
    receive(&watches);
    forwarder.submit("b", "job", "");
    assert_eq!(receive(&other_calls).id(), "b");
    assert!(old_notices.try_recv().is_err() && calls.try_recv().is_err());
}

/// Guards drains and requested waits: after a suspension the sockets hold unread updates, and a
/// call could be sent before those are read.
#[rstest]
fn after_a_suspension_all_updates_are_processed_before_any_call() {
    let by = Instant::now() + TIMEOUT;
    while !backoff_ends_during_a_suspension() {
        assert!(
            Instant::now() < by,
            "the machine is too busy to stop a process in time"
        );
    }
}

/// Whether the suspension began before the event's backoff could end; otherwise the run proves
/// nothing.
fn backoff_ends_during_a_suspension() -> bool {
    // Half a second less the jitter.
    const MIN_BACKOFF: Duration = Duration::from_millis(375);
    let (old, old_calls) = stub_server();
    let (new, new_calls) = stub_server();
    let (discovery, watches, _notices) = discovery_stub(0);
    let forwarder = Forwarder::start(&config(discovery, old));
    let watch = receive(&watches);
    forwarder.submit("a", "job", "");
    let call = receive(&old_calls);
    let before_backoff = Instant::now();
    call.respond(ERROR);
    // The backoff ends and the watch's response arrives during the suspension; the call of b shows
    // that the error was processed.
    forwarder.submit("b", "job", "");
    receive(&old_calls).respond(OK);
    forwarder.suspend();
    if before_backoff.elapsed() >= MIN_BACKOFF {
        return false;
    }
    watch.respond(&changes_response(&[
        member("t", old, "draining"),
        member("u", new, "up"),
    ]));
    thread::sleep(Duration::from_millis(1000));
    forwarder.signal("-CONT");
    assert_eq!(receive(&new_calls).id(), "a");
    assert_eq!(old_calls.try_recv().map(|call| call.head).ok(), None);
    true
}
