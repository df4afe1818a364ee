//! What was promised of an event when it was taken holds after a restart under other settings, and
//! what settings say that one process may not take over from another.

mod peers;

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

/// A new life over the same folder under changed settings.
fn restarted(mut forwarder: Forwarder, change: impl FnOnce(&mut Value)) -> Forwarder {
    forwarder.signal("-KILL");
    forwarder.child.wait().expect("process exits");
    rewritten(&forwarder, change);
    Forwarder::start_in(std::mem::take(&mut forwarder.folder))
}

fn rewritten(forwarder: &Forwarder, change: impl FnOnce(&mut Value)) {
    let file = forwarder.folder.join("config.json");
    let mut config: Value =
        serde_json::from_slice(&std::fs::read(&file).expect("file exists")).expect("JSON");
    change(&mut config);
    std::fs::write(file, config.to_string()).expect("written");
}

fn semantics(config: &mut Value, at: usize, word: &str) {
    config["settings"]["profiles"][at]["semantics"] = json!(word);
}

/// Position 2 is `charge`, binding and ordered when it was taken.
#[rstest]
#[case::may_be_repeated(|config: &mut Value| semantics(config, 2, "pure"))]
#[case::known_by_its_key(|config: &mut Value| semantics(config, 2, "token"))]
#[case::gone(|config: &mut Value| config["settings"]["profiles"] = json!([config["settings"]["profiles"][0]]))]
#[case::another_by_its_name(|config: &mut Value| {
    config["settings"]["profiles"][0]["name"] = json!("charge");
    config["settings"]["profiles"][2]["name"] = json!("job");
})]
fn what_was_taken_as_binding_and_may_have_run_is_not_repeated_and_its_order_holds(
    #[case] change: fn(&mut Value),
) {
    let (forwarder, calls, notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    forwarder.submit("c", "charge", ORDER_KEY_COOKIE);
    let _forwarder = restarted(forwarder, change);
    drop(out);
    assert_eq!(receive(&notices), given_up_notice("a"), "it may have run");
    // Untried, they are still tried, one after the other.
    for id in ["b", "c"] {
        let call = receive(&calls);
        assert_eq!(call.id(), id);
        assert!(
            calls.try_recv().is_err(),
            "the next of its key waits for its answer"
        );
        call.answer(OK);
    }
}

/// The other way round what is known now counts as well: a repeat might do it twice.
#[rstest]
fn what_may_not_be_repeated_any_more_is_not() {
    let (forwarder, calls, notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.submit("a", "job", "");
    let out = receive(&calls);
    let _forwarder = restarted(forwarder, |config| semantics(config, 0, "side_effect"));
    drop(out);
    assert_eq!(receive(&notices), given_up_notice("a"));
    assert!(calls.try_recv().is_err());
}

/// The shorter window counts: the longer one is past its patience, which nobody waits for here.
#[rstest]
#[case(4_000_000, 600_000_000)]
#[case(600_000_000, 4_000_000)]
fn a_window_that_was_changed_is_the_shorter_of_both(#[case] before: u64, #[case] after: u64) {
    let window = |span: u64| {
        move |config: &mut Value| {
            config["settings"]["profiles"][1]["windowUs"] = json!(span);
            config["settings"]["allowed"]["attemptsCap"] = json!(1000);
        }
    };
    let (forwarder, calls, notices, _) = start_with_stand_ins(0, window(before));
    forwarder.submit("a", "order", "");
    // Sent again inside the window, and left without an answer there.
    let _out = receive(&calls);
    let _forwarder = restarted(forwarder, window(after));
    assert_eq!(receive(&notices)["message"], "a");
}

#[rstest]
fn a_new_version_that_promises_less_does_not_take_over_what_is_owed() {
    let (first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    rewritten(&first, |config| semantics(config, 2, "pure"));
    let said = expect_start_error(&first.folder.join("config.json"), &first.folder);
    assert!(
        said.contains("PROXY_STATE") && said.contains("\"charge\""),
        "{said}"
    );
    // The old one went on.
    out.answer(OK);
    first.submit("b", "charge", ORDER_KEY_COOKIE);
    let call = receive(&calls);
    assert_eq!(call.id(), "b");
    call.answer(OK);
}

/// What it owes under earlier settings goes to no other process; once that has ended, all may.
#[rstest]
fn a_process_that_owes_by_earlier_settings_hands_over_once_that_has_ended() {
    let (forwarder, calls, notices, _) = start_with_stand_ins(0, |_| ());
    forwarder.submit("a", "charge", ORDER_KEY_COOKIE);
    let out = receive(&calls);
    forwarder.submit("b", "charge", ORDER_KEY_COOKIE);
    let second = restarted(forwarder, |config| semantics(config, 2, "pure"));
    drop(out);
    assert_eq!(receive(&notices), given_up_notice("a"));
    let call = receive(&calls);
    let said = expect_start_error(&second.folder.join("config.json"), &second.folder);
    assert!(said.contains("hands nothing over"), "{said}");
    call.answer(OK);
    second.submit("c", "job", "");
    assert_eq!(receive(&calls).id(), "c", "b is over");
    let third = Forwarder::start_in(second.folder.clone());
    third.wait_until_ready();
    assert_eq!(third.address, second.address, "the listener is the same");
}
