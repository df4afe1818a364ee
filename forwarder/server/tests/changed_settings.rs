//! Changed settings: the guarantees given to an event when it was accepted hold after a restart,
//! and some changes prevent one process from taking over from another.

mod peers;

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

/// Kills the forwarder and starts it again in its folder with changed settings.
fn restart_with(mut forwarder: Forwarder, change: impl FnOnce(&mut Value)) -> Forwarder {
    forwarder.signal("-KILL");
    forwarder.child.wait().expect("process exits");
    rewrite_config(&forwarder, change);
    Forwarder::start_in(std::mem::take(&mut forwarder.folder))
}

fn rewrite_config(forwarder: &Forwarder, change: impl FnOnce(&mut Value)) {
    let file = forwarder.folder.join("config.json");
    let mut config: Value =
        serde_json::from_slice(&std::fs::read(&file).expect("file exists")).expect("JSON");
    change(&mut config);
    std::fs::write(file, config.to_string()).expect("written");
}

fn semantics(config: &mut Value, at: usize, value: &str) {
    config["settings"]["profiles"][at]["semantics"] = json!(value);
}

/// Profile 2 is `charge`, ordered and with side effects when its events were accepted.
#[rstest]
#[case::pure(|config: &mut Value| semantics(config, 2, "pure"))]
#[case::token(|config: &mut Value| semantics(config, 2, "token"))]
#[case::removed(|config: &mut Value| config["settings"]["profiles"] = json!([config["settings"]["profiles"][0]]))]
#[case::renamed(|config: &mut Value| {
    config["settings"]["profiles"][0]["name"] = json!("charge");
    config["settings"]["profiles"][2]["name"] = json!("job");
})]
fn an_event_accepted_with_side_effects_is_not_repeated_and_its_order_is_kept(
    #[case] change: fn(&mut Value),
) {
    let (forwarder, calls, notices, _) = start_with_stubs(0, |_| ());
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    forwarder.submit("c", "charge", ORDER_KEY_COOKIE);
    let _forwarder = restart_with(forwarder, change);
    drop(in_flight);
    assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    // The untried events are still sent, one after the other.
    for id in ["b", "c"] {
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        assert!(
            calls.try_recv().is_err(),
            "the next event of the order key waits for the response"
        );
        call.respond(OK);
    }
}

/// The current semantics apply as well: an event of a type that has gained side effects might take
/// effect twice if it were sent again.
#[rstest]
fn an_event_whose_type_has_gained_side_effects_is_not_repeated() {
    let (forwarder, calls, notices, _) = start_with_stubs(0, |_| ());
    forwarder.submit("a", "job", "");
    let in_flight = receive(&calls);
    let _forwarder = restart_with(forwarder, |config| semantics(config, 0, "side_effect"));
    drop(in_flight);
    assert_eq!(receive(&notices), given_up_notice("a"));
    assert!(calls.try_recv().is_err());
}

/// The shorter window applies: the longer one ends after the event's deadline, for which the test
/// does not wait.
#[rstest]
#[case(4_000_000, 600_000_000)]
#[case(600_000_000, 4_000_000)]
fn after_a_change_the_shorter_window_applies(#[case] before: u64, #[case] after: u64) {
    let window = |window_us: u64| {
        move |config: &mut Value| {
            config["settings"]["profiles"][1]["windowUs"] = json!(window_us);
            config["settings"]["allowed"]["attemptsCap"] = json!(1000);
        }
    };
    let (forwarder, calls, notices, _) = start_with_stubs(0, window(before));
    forwarder.submit("a", "order", "");
    // The event is sent again within the window, and gets no response there.
    let _in_flight = receive(&calls);
    let _forwarder = restart_with(forwarder, window(after));
    assert_eq!(receive(&notices)["message"], "a");
}

#[rstest]
fn a_successor_with_weaker_guarantees_does_not_take_over_pending_events() {
    let (first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    rewrite_config(&first, |config| semantics(config, 2, "pure"));
    let output = expect_start_error(&first.folder.join("config.json"), &first.folder);
    assert!(
        output.contains("PROXY_STATE") && output.contains("\"charge\""),
        "{output}"
    );
    // The predecessor continues.
    in_flight.respond(OK);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.respond(OK);
}

/// Pending events of earlier settings are not handed over; once they have completed, a successor
/// may take over.
#[rstest]
fn a_process_hands_over_once_its_events_of_earlier_settings_have_completed() {
    let (forwarder, calls, notices, _) = start_with_stubs(0, |_| ());
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    let in_flight = receive(&calls);
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    let second = restart_with(forwarder, |config| semantics(config, 2, "pure"));
    drop(in_flight);
    assert_eq!(receive(&notices), given_up_notice("a"));
    let call = receive(&calls);
    let output = expect_start_error(&second.folder.join("config.json"), &second.folder);
    assert!(output.contains("hands nothing over"), "{output}");
    call.respond(OK);
    second.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c", "b has completed");
    let third = Forwarder::start_in(second.folder.clone());
    third.wait_until_ready();
    assert_eq!(third.address, second.address, "the listener is the same");
}
