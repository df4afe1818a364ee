//! Deduplication within a zone, outside of which an event's fingerprint is not known: an event that
//! may have run in a zone that is no longer configured is not sent again.

mod peers;

use std::sync::mpsc::Receiver;

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

/// Starts a forwarder with two zones, a target in zone `z`, and orders that are deduplicated per
/// zone. Returns it with the target's calls, the notices and its configuration.
fn start_with_zone_deduplication(
    window: u64,
) -> (Forwarder, Receiver<ReceivedRequest>, Receiver<Value>, Value) {
    let (target, calls) = stub_server();
    let (discovery, _watches, notices) = discovery_stub(0);
    let mut config = config(discovery, target);
    config["settings"]["zones"] = json!(["y", "z"]);
    config["settings"]["profiles"][1]["dedupScope"] = json!("zone");
    config["settings"]["profiles"][1]["windowUs"] = json!(window);
    (Forwarder::start(&config), calls, notices, config)
}

/// Between the two processes the zone of the first call is removed from the settings; its target is
/// listed in another zone, the first of the new settings.
#[rstest]
fn an_event_that_may_have_run_in_a_removed_zone_is_not_resent_to_another() {
    let (mut forwarder, calls, notices, mut config) = start_with_zone_deduplication(4_000_000);
    forwarder.submit("a", "order", "");
    let in_flight = receive(&calls);
    forwarder.signal("-KILL");
    forwarder.child.wait().expect("process exits");
    config["settings"]["zones"] = json!(["y", "x"]);
    config["settings"]["zone"] = json!("y");
    config["known"]["members"][0]["locality"] = json!("y");
    // The stored list is older than the one in the configuration.
    config["known"]["revision"] = json!(50);
    std::fs::write(forwarder.folder.join("config.json"), config.to_string()).expect("written");
    let forwarder = Forwarder::start_in(std::mem::take(&mut forwarder.folder));
    drop(in_flight);
    assert_eq!(
        receive(&notices),
        given_up_notice("a"),
        "its zone is not known, and another may run it a second time"
    );
    assert!(calls.try_recv().is_err());
    // A new event is sent to the target.
    forwarder.submit("b", "order", "");
    assert_eq!(receive(&calls).id(), "b");
}

/// If the zone only moves to another position in the settings, the event is sent again.
#[rstest]
fn an_event_that_may_have_run_in_a_reordered_zone_is_resent_there() {
    let (mut forwarder, calls, _notices, mut config) = start_with_zone_deduplication(30_000_000);
    forwarder.submit("a", "order", "");
    let in_flight = receive(&calls);
    forwarder.signal("-KILL");
    forwarder.child.wait().expect("process exits");
    config["settings"]["zones"] = json!(["z", "x", "y"]);
    std::fs::write(forwarder.folder.join("config.json"), config.to_string()).expect("written");
    let _forwarder = Forwarder::start_in(std::mem::take(&mut forwarder.folder));
    drop(in_flight);
    assert_eq!(receive(&calls).id(), "a");
}
