//! Opens `stored_format/state`, a state folder (`PROXY_STATE`) that the version in service wrote.
//! The folder holds pending events (untried, rejected before they ran, attempted, with a call in
//! flight, with an unacknowledged outcome), the endpoint list, the disabled targets and the
//! folder's owner.

mod peers;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use plankhill_event_log::{EventLog, Outcome};
use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

/// The address of target `t` in the fixture; copies of the folder contain another one.
const ADDRESS: &str = "127.0.0.1:1\"";
const FILES: [&str; 4] = ["bans", "ledger", "list", "owner"];

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_format/state")
}

/// Copies the folder, with `address` as the target's address.
fn copy(to: &Path, address: SocketAddr) {
    for file in FILES {
        fs::copy(fixture().join(file), to.join(file)).expect("copied");
    }
    fs::write(to.join("list"), list_at(address)).expect("written");
}

fn list_at(address: SocketAddr) -> String {
    let list = fs::read_to_string(fixture().join("list")).expect("file exists");
    assert_eq!(list.matches(ADDRESS).count(), 1);
    list.replace(ADDRESS, &format!("{address}\""))
}

/// An event in the log: the number of attempts, the time of the first attempt that may have run,
/// the time of the last attempt if it had no outcome, and the outcome with its retry advice in ms.
type Row = (
    u32,
    Option<f64>,
    Option<f64>,
    Option<(Outcome, Option<f64>)>,
);

#[rstest]
fn the_log_contains_exactly_the_pending_events() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    copy(folder.path(), "127.0.0.1:9".parse().expect("an address"));
    let (_, pending) = EventLog::open(folder.path(), 3_000_000).expect("opens");
    let at = |of: Option<(f64, String)>| {
        of.map(|(at, zone)| {
            assert_eq!(zone, "z");
            at
        })
    };
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for pending in pending {
        let id = pending.event.id.to_string();
        assert_eq!(pending.event.destination, 1);
        assert_eq!(pending.event.deadline, 4e12);
        // The log drops the body and the attempts of an event with an outcome.
        let body = if pending.outcome.is_some() {
            String::new()
        } else {
            format!("body of {id}")
        };
        assert_eq!(&*pending.event.body, body.as_bytes());
        let row = (
            pending.attempts,
            at(pending.may_have_run),
            at(pending.in_flight),
            pending.outcome,
        );
        assert!(
            rows.insert(id, row).is_none(),
            "the log contains an event twice"
        );
    }
    let expected = [
        ("untried", (0, None, None, None)),
        ("refused", (1, None, None, None)),
        ("failed-once", (2, Some(1_700_000_000_001.5), None, None)),
        ("out", (1, None, Some(1_700_000_000_003.5), None)),
        ("order", (0, None, None, None)),
        ("charge-out", (1, None, Some(1_700_000_000_004.5), None)),
        ("charge-behind", (0, None, None, None)),
        ("unheard", (0, None, None, Some((Outcome::Abandoned, None)))),
        (
            "unheard-wait",
            (0, None, None, Some((Outcome::Rejected, Some(1_500.0)))),
        ),
    ];
    let expected: BTreeMap<String, Row> = expected.map(|(id, row)| (id.to_owned(), row)).into();
    assert_eq!(rows, expected);
}

struct Running {
    forwarder: Forwarder,
    target: SocketAddr,
    calls: Receiver<ReceivedRequest>,
    notices: Receiver<Value>,
    _watches: Receiver<ReceivedRequest>,
}

/// Starts a forwarder in a copy of the folder, with a discovery that cannot send the complete list.
fn start_in_copy() -> Running {
    let (target, calls) = stub_server();
    let (discovery, _watches, notices) = discovery_stub(0);
    let mut config = config(discovery, target);
    // Older than the stored list.
    config["known"]["revision"] = json!(1);
    let forwarder = Forwarder::start_prepared(&config, |folder| copy(folder, target));
    Running {
        forwarder,
        target,
        calls,
        notices,
        _watches,
    }
}

/// The notice to the platform of a rejected event.
fn handed_back_notice(id: &str, wait: u64) -> Value {
    json!({"message": id, "outcome": "handed_back", "retry_in_ms": wait})
}

#[rstest]
fn exactly_the_pending_events_are_sent_or_reported() {
    let running = start_in_copy();
    let (mut called, mut notices) = (BTreeMap::new(), Vec::new());
    let by = Instant::now() + TIMEOUT;
    // A notice is sent again until its acknowledgement has arrived.
    let distinct = |notices: &[Value]| {
        let messages = notices.iter().map(|notice| notice["message"].to_string());
        messages.collect::<BTreeSet<_>>().len()
    };
    while called.len() < 6 || distinct(&notices) < 3 {
        assert!(Instant::now() < by, "only {called:?} and {notices:?}");
        if let Ok(call) = running.calls.recv_timeout(Duration::from_millis(10)) {
            let id = call.id().to_owned();
            assert_eq!(call.body, format!("body of {id}").as_bytes());
            let key = call.field("Idempotency-Key").map(str::to_owned);
            call.respond(OK);
            assert!(
                called.insert(id, key).is_none(),
                "a delivered event is called again"
            );
        }
        notices.extend(running.notices.try_iter());
    }
    let ids = [
        "charge-behind",
        "failed-once",
        "order",
        "out",
        "refused",
        "untried",
    ];
    let key = |id| (id == "order").then(|| "f-order".to_owned());
    assert_eq!(called, ids.map(|id| (id.to_owned(), key(id))).into());
    let expected = [
        given_up_notice("charge-out"),
        given_up_notice("unheard"),
        handed_back_notice("unheard-wait", 1_500),
    ];
    let only_expected = |notices: &[Value]| notices.iter().all(|notice| expected.contains(notice));
    assert!(only_expected(&notices), "{notices:?}");
    assert!(
        expected.iter().all(|notice| notices.contains(notice)),
        "{notices:?}"
    );
    running.forwarder.submit("fresh", "job", "");
    let call = receive(&running.calls);
    assert_eq!(call.id(), "fresh", "no other event was pending");
    call.respond(OK);
    let later: Vec<Value> = running.notices.try_iter().collect();
    assert!(only_expected(&later), "{later:?}");
}

#[rstest]
fn list_disabled_targets_and_owner_keep_their_format() {
    let running = start_in_copy();
    running.forwarder.wait_until_ready();
    let read =
        |file: &str| fs::read_to_string(running.forwarder.folder.join(file)).expect("file exists");
    // The list is rewritten at the start.
    assert_eq!(read("list"), list_at(running.target));
    assert_eq!(read("owner"), "n0");
    let bans = fs::read_to_string(fixture().join("bans")).expect("file exists");
    assert_eq!(read("bans"), bans);
    // `u` is disabled in the fixture; enabling and disabling it again yields the same file.
    assert_eq!(
        running.forwarder.call_admin("POST", "/-/targets/u/enable"),
        200
    );
    assert_ne!(read("bans"), bans);
    assert_eq!(
        running.forwarder.call_admin("POST", "/-/targets/u/disable"),
        200
    );
    assert_eq!(read("bans"), bans);
}

#[rstest]
fn the_folder_of_another_forwarder_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let unused: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    copy(folder.path(), unused);
    let mut config = config(unused, unused);
    config["name"] = json!("n1");
    let file = folder.path().join("config.json");
    fs::write(&file, config.to_string()).expect("written");
    let output = expect_start_error(&file, folder.path());
    assert!(
        output.contains("the folder is \"n0\"'s, and PROXY_NAME is \"n1\""),
        "{output}"
    );
}
