//! A state folder (`PROXY_STATE`) as the version in service wrote it, opened by this one:
//! `stored_format/state`. It holds events still owed (untried, refused before they ran, attempted,
//! with a call that was out, with an outcome that nobody has acknowledged), the endpoint list, the
//! disabled targets and the folder's owner.

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

/// Where target `t` stood; a copy of the folder names another address.
const ADDRESS: &str = "127.0.0.1:1\"";
const FILES: [&str; 4] = ["bans", "ledger", "list", "owner"];

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_format/state")
}

/// A copy of the folder, in which the target stands at `address`.
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

/// An event as the log says it: attempts, when the first was made that may have run, when the last
/// was made that had no outcome, and the outcome with its advice in ms.
type Row = (
    u32,
    Option<f64>,
    Option<f64>,
    Option<(Outcome, Option<f64>)>,
);

#[rstest]
fn the_log_holds_exactly_the_events_that_were_owed() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    copy(folder.path(), "127.0.0.1:9".parse().expect("an address"));
    let (_, owed) = EventLog::open(folder.path(), 3_000_000).expect("opens");
    let at = |of: Option<(f64, String)>| {
        of.map(|(at, zone)| {
            assert_eq!(zone, "z");
            at
        })
    };
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for owed in owed {
        let id = owed.event.id.to_string();
        assert_eq!(owed.event.destination, 1);
        assert_eq!(owed.event.deadline, 4e12);
        // Of an event with an outcome body and attempts are dropped.
        let body = if owed.outcome.is_some() {
            String::new()
        } else {
            format!("body of {id}")
        };
        assert_eq!(&*owed.event.body, body.as_bytes());
        let row = (
            owed.attempts,
            at(owed.may_have_run),
            at(owed.in_flight),
            owed.outcome,
        );
        assert!(rows.insert(id, row).is_none(), "an event stands twice");
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

struct Found {
    forwarder: Forwarder,
    target: SocketAddr,
    calls: Receiver<Asked>,
    notices: Receiver<Value>,
    _watches: Receiver<Asked>,
}

/// A forwarder over a copy of the folder, whose discovery cannot tell the whole list.
fn found() -> Found {
    let (target, calls) = stand_in();
    let (discovery, _watches, notices) = discovery_stand_in(0);
    let mut config = config(discovery, target);
    // Older than the list in the folder.
    config["known"]["revision"] = json!(1);
    let forwarder = Forwarder::start_prepared(&config, |folder| copy(folder, target));
    Found {
        forwarder,
        target,
        calls,
        notices,
        _watches,
    }
}

/// As a notice is told to the platform.
fn handed_back(id: &str, wait: u64) -> Value {
    json!({"message": id, "outcome": "handed_back", "retry_in_ms": wait})
}

#[rstest]
fn exactly_the_owed_events_are_sent_or_told() {
    let found = found();
    let (mut called, mut told) = (BTreeMap::new(), Vec::new());
    let by = Instant::now() + LONG;
    // A notice is sent again until its acknowledgement has arrived.
    let distinct = |told: &[Value]| {
        let messages = told.iter().map(|notice| notice["message"].to_string());
        messages.collect::<BTreeSet<_>>().len()
    };
    while called.len() < 6 || distinct(&told) < 3 {
        assert!(Instant::now() < by, "only {called:?} and {told:?}");
        if let Ok(call) = found.calls.recv_timeout(Duration::from_millis(10)) {
            let id = call.id().to_owned();
            assert_eq!(call.body, format!("body of {id}").as_bytes());
            let key = call.field("Idempotency-Key").map(str::to_owned);
            call.answer(OK);
            assert!(
                called.insert(id, key).is_none(),
                "a call of an event that was delivered"
            );
        }
        told.extend(found.notices.try_iter());
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
        handed_back("unheard-wait", 1_500),
    ];
    let only_expected = |told: &[Value]| told.iter().all(|notice| expected.contains(notice));
    assert!(only_expected(&told), "{told:?}");
    assert!(
        expected.iter().all(|notice| told.contains(notice)),
        "{told:?}"
    );
    found.forwarder.submit("fresh", "job", "");
    let call = receive(&found.calls);
    assert_eq!(call.id(), "fresh", "nothing else was owed");
    call.answer(OK);
    let later: Vec<Value> = found.notices.try_iter().collect();
    assert!(only_expected(&later), "{later:?}");
}

#[rstest]
fn list_disabled_targets_and_owner_stay_as_they_were_written() {
    let found = found();
    found.forwarder.wait_until_ready();
    let read =
        |file: &str| fs::read_to_string(found.forwarder.folder.join(file)).expect("file exists");
    // The list is written anew at the start.
    assert_eq!(read("list"), list_at(found.target));
    assert_eq!(read("owner"), "n0");
    let bans = fs::read_to_string(fixture().join("bans")).expect("file exists");
    assert_eq!(read("bans"), bans);
    // `u` is disabled already; enabled and disabled again, it stands in the same record.
    assert_eq!(
        found.forwarder.call_admin("POST", "/-/targets/u/enable"),
        200
    );
    assert_ne!(read("bans"), bans);
    assert_eq!(
        found.forwarder.call_admin("POST", "/-/targets/u/disable"),
        200
    );
    assert_eq!(read("bans"), bans);
}

#[rstest]
fn the_folder_of_another_forwarder_is_refused() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let away: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    copy(folder.path(), away);
    let mut config = config(away, away);
    config["name"] = json!("n1");
    let file = folder.path().join("config.json");
    fs::write(&file, config.to_string()).expect("written");
    let said = expect_start_error(&file, folder.path());
    assert!(
        said.contains("the folder is \"n0\"'s, and PROXY_NAME is \"n1\""),
        "{said}"
    );
}
