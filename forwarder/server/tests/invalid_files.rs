//! Unusable state folders end the start with one line that names the key and the file, and are not
//! changed. Invalid configurations on a reload are logged, and the previous one stays in use.

mod peers;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;
use serde_json::json;

use peers::*;

/// A valid log with a truncated record at its end, which a start would cut off.
const TRUNCATED_LOG: &[u8] = b"plankhill ledger 1\ntorn";

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder for the test")
}

/// The content of the folder, except the lock file, which any start may create and which holds no
/// state.
fn content(folder: &Path) -> BTreeMap<PathBuf, Option<Vec<u8>>> {
    let entries = fs::read_dir(folder)
        .expect("folder exists")
        .map(|entry| entry.expect("a directory entry").path());
    entries
        .filter(|path| !path.ends_with("lock"))
        .map(|path| (path.clone(), fs::read(path).ok()))
        .collect()
}

fn start_fails(state: &Path) -> String {
    let config_folder = folder();
    let (target, _calls) = stub_server();
    let file = config_folder.path().join("config.json");
    fs::write(&file, config(target, target).to_string()).expect("written");
    expect_start_error(&file, state)
}

#[rstest]
#[case::not_a_log("ledger", b"something else", "is not a ledger")]
#[case::log_of_another_version("ledger", b"plankhill ledger 2\nmore", "is not a ledger")]
#[case::disabled_targets_without_checksum("bans", b"t", "it has no checksum")]
#[case::damaged_disabled_targets(
    "bans",
    b"plankhill bans 1\nt\n00000000\n",
    "its checksum differs"
)]
#[case::disabled_targets_not_text("bans", b"\xff\xfe", "cannot be read")]
#[case::truncated_list(
    "list",
    b"{\"revision\":7,\"complete\":true,\"mem",
    "is not a list of targets"
)]
#[case::not_a_list("list", b"[1,2]", "is not a list of targets")]
#[case::partial_list("list", b"{\"revision\":7,\"members\":[]}", "is not a list of targets")]
fn an_invalid_file_ends_the_start_with_one_line_and_changes_nothing(
    #[case] file: &str,
    #[case] bytes: &[u8],
    #[case] message: &str,
) {
    let folder = folder();
    fs::write(folder.path().join("ledger"), TRUNCATED_LOG).expect("written");
    fs::write(folder.path().join("ledger.new"), b"half").expect("written");
    fs::write(folder.path().join(file), bytes).expect("written");
    let before = content(folder.path());
    let output = start_fails(folder.path());
    assert!(
        output.contains("PROXY_STATE: ") && output.contains(file) && output.contains(message),
        "{output}"
    );
    assert!(
        output.contains(&folder.path().display().to_string()),
        "{output}"
    );
    assert_eq!(content(folder.path()), before);
}

#[rstest]
#[case("ledger")]
#[case("bans")]
#[case("list")]
fn a_folder_in_place_of_a_file_ends_the_start_with_one_line(#[case] file: &str) {
    let folder = folder();
    fs::create_dir(folder.path().join(file)).expect("created");
    let before = content(folder.path());
    let output = start_fails(folder.path());
    assert!(
        output.contains("PROXY_STATE: ") && output.contains(file),
        "{output}"
    );
    assert_eq!(content(folder.path()), before);
}

#[rstest]
fn a_missing_folder_or_a_file_in_its_place_ends_the_start_with_one_line() {
    let folder = folder();
    let (none, file) = (folder.path().join("none"), folder.path().join("file"));
    fs::write(&file, b"something").expect("written");
    for state in [&none, &file] {
        let output = start_fails(state);
        assert!(
            output.contains("PROXY_STATE: ") && output.contains(&state.display().to_string()),
            "{output}"
        );
    }
    assert!(!none.exists() && fs::read(&file).expect("file exists") == b"something");
}

/// The events of one customer's forwarder name that customer's destinations, by numbers that
/// another customer uses as well.
#[rstest]
#[case::running(true)]
#[case::ended(false)]
fn the_folder_of_another_forwarder_is_neither_used_nor_taken_over(#[case] runs: bool) {
    let (mut first, calls, _notices, _watches) = start_with_stubs(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "job", "");
    let in_flight = receive(&calls);
    if !runs {
        first.signal("-KILL");
        first.child.wait().expect("process exits");
    }
    let before = content(&first.folder);
    let (config_folder, (other, other_calls)) = (folder(), stub_server());
    let file = config_folder.path().join("config.json");
    let mut config = config(other, other);
    config["name"] = json!("n1");
    fs::write(&file, config.to_string()).expect("written");
    let output = expect_start_error(&file, &first.folder);
    assert!(
        output.contains("PROXY_STATE: ") && output.contains("owner") && output.contains("\"n0\"'s"),
        "{output}"
    );
    assert_eq!(content(&first.folder), before);
    let at_targets = |asked: ReceivedRequest| asked.head.starts_with("POST /receive");
    assert!(
        !other_calls.try_iter().any(at_targets),
        "no event of one forwarder is sent to the other's targets"
    );
    if runs {
        in_flight.respond(OK);
        first.submit("b", "job", "");
    } else {
        first = Forwarder::start_in(std::mem::take(&mut first.folder));
    }
    assert_eq!(receive(&calls).id(), if runs { "b" } else { "a" });
    drop(first);
}

/// A machine that failed may leave an empty file in place of a new one.
#[rstest]
fn an_empty_list_file_counts_as_missing() {
    let (forwarder, calls, _notices, _watches) = {
        let (target, calls) = stub_server();
        let (discovery, watches, notices) = discovery_stub(0);
        let empty = |folder: &Path| fs::write(folder.join("list"), b"").expect("written");
        (
            Forwarder::start_prepared(&config(discovery, target), empty),
            calls,
            notices,
            watches,
        )
    };
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&calls).id(), "a");
}

#[rstest]
#[case::not_json(Some("{\"name\":"), "not JSON")]
#[case::incomplete(Some("{}"), "is missing")]
#[case::missing(None, "cannot be read")]
#[case::unknown_word(Some("semantics"), "semantics: unknown word")]
fn a_reload_of_an_invalid_file_changes_nothing(#[case] text: Option<&str>, #[case] message: &str) {
    let (forwarder, calls, notices, _watches) = start_with_stubs(0, |_| ());
    forwarder.wait_until_ready();
    let file = forwarder.folder.join("config.json");
    match text {
        Some("semantics") => {
            let (elsewhere, _) = stub_server();
            let mut config = config(elsewhere, elsewhere);
            config["settings"]["profiles"][2]["semantics"] = json!("twice");
            fs::write(&file, config.to_string()).expect("written");
        }
        Some(text) => fs::write(&file, text).expect("written"),
        None => fs::remove_file(&file).expect("file exists"),
    }
    forwarder.signal("-HUP");
    forwarder.wait_for_log("configuration not reloaded");
    assert!(
        forwarder.log.lock().unwrap().contains(message),
        "the log names the fault"
    );
    // The address of discovery and the semantics of `charge` are unchanged.
    forwarder.submit("a", "charge", "");
    receive(&calls).respond(ERROR);
    assert_eq!(receive(&notices), given_up_notice("a"));
}
