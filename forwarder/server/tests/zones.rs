//! A fingerprint that only its group knows: what may have run in a zone that is not known any more
//! is sent nowhere.

mod peers;

use std::sync::mpsc::Receiver;

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

/// Two targets of one destination, each in a zone of its own, and a forwarder that binds orders to
/// one zone.
fn grouped(window: u64) -> (Forwarder, Receiver<Asked>, Receiver<Value>, Value) {
    let (target, calls) = stand_in();
    let (discovery, _watches, notices) = discovery_stand_in(0);
    let mut config = config(discovery, target);
    config["settings"]["zones"] = json!(["y", "z"]);
    config["settings"]["profiles"][1]["dedupScope"] = json!("zone");
    config["settings"]["profiles"][1]["windowUs"] = json!(window);
    (Forwarder::start(&config), calls, notices, config)
}

/// Between the two lives the zone of the first send is struck from the settings: its target is
/// listed in another, which is the first of those that are known now.
#[rstest]
fn what_may_have_run_in_a_zone_that_is_struck_is_not_resent_to_another() {
    let (mut forwarder, calls, notices, mut config) = grouped(4_000_000);
    forwarder.submit("a", "order", "");
    let out = receive(&calls);
    forwarder.signal("-KILL");
    forwarder.child.wait().expect("process exits");
    config["settings"]["zones"] = json!(["y", "x"]);
    config["settings"]["zone"] = json!("y");
    config["known"]["members"][0]["locality"] = json!("y");
    // The list that the folder keeps is older than the configuration's.
    config["known"]["revision"] = json!(50);
    std::fs::write(forwarder.folder.join("config.json"), config.to_string()).expect("written");
    let forwarder = Forwarder::start_in(std::mem::take(&mut forwarder.folder));
    drop(out);
    assert_eq!(
        receive(&notices),
        given_up_notice("a"),
        "its group is not known, and another may do it twice"
    );
    assert!(calls.try_recv().is_err());
    // What is new goes there.
    forwarder.submit("b", "order", "");
    assert_eq!(receive(&calls).id(), "b");
}

/// The counterpart: where its zone is known by another place in the settings, it is sent again.
#[rstest]
fn what_may_have_run_in_a_zone_that_moved_in_the_settings_is_resent_there() {
    let (mut forwarder, calls, _notices, mut config) = grouped(30_000_000);
    forwarder.submit("a", "order", "");
    let out = receive(&calls);
    forwarder.signal("-KILL");
    forwarder.child.wait().expect("process exits");
    config["settings"]["zones"] = json!(["z", "x", "y"]);
    std::fs::write(forwarder.folder.join("config.json"), config.to_string()).expect("written");
    let _forwarder = Forwarder::start_in(std::mem::take(&mut forwarder.folder));
    drop(out);
    assert_eq!(receive(&calls).id(), "a");
}
