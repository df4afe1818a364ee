//! A state folder that cannot be gone on from: one plain line that names the key and the file, and
//! nothing in the folder is changed. A faulty configuration that is read again: logged, and all
//! stays as it was.

mod peers;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;
use serde_json::json;

use peers::*;

/// Whole, and with a torn end that a start would cut off.
const LEDGER: &[u8] = b"plankhill ledger 1\ntorn";

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder for the test")
}

/// What the folder holds, but for the lock, which says who looks and nothing else.
fn held(folder: &Path) -> BTreeMap<PathBuf, Option<Vec<u8>>> {
    let entries = fs::read_dir(folder)
        .expect("file exists")
        .map(|entry| entry.expect("file exists").path());
    entries
        .filter(|path| !path.ends_with("lock"))
        .map(|path| (path.clone(), fs::read(path).ok()))
        .collect()
}

fn start_fails(state: &Path) -> String {
    let beside = folder();
    let (target, _calls) = stand_in();
    let file = beside.path().join("config.json");
    fs::write(&file, config(target, target).to_string()).expect("written");
    expect_start_error(&file, state)
}

#[rstest]
#[case::no_ledger("ledger", b"something else", "is not a ledger")]
#[case::ledger_of_another_form("ledger", b"plankhill ledger 2\nmore", "is not a ledger")]
#[case::no_bans("bans", b"t", "it has no checksum")]
#[case::damaged_bans("bans", b"plankhill bans 1\nt\n00000000\n", "its checksum differs")]
#[case::bans_that_are_no_text("bans", b"\xff\xfe", "cannot be read")]
#[case::torn_list(
    "list",
    b"{\"revision\":7,\"complete\":true,\"mem",
    "is not a list of targets"
)]
#[case::something_else_for_a_list("list", b"[1,2]", "is not a list of targets")]
#[case::part_of_a_list("list", b"{\"revision\":7,\"members\":[]}", "is not a list of targets")]
fn a_faulty_file_ends_the_start_with_one_line_and_changes_nothing(
    #[case] file: &str,
    #[case] holds: &[u8],
    #[case] says: &str,
) {
    let folder = folder();
    fs::write(folder.path().join("ledger"), LEDGER).expect("written");
    fs::write(folder.path().join("ledger.new"), b"half").expect("written");
    fs::write(folder.path().join(file), holds).expect("written");
    let before = held(folder.path());
    let said = start_fails(folder.path());
    assert!(
        said.contains("PROXY_STATE: ") && said.contains(file) && said.contains(says),
        "{said}"
    );
    assert!(
        said.contains(&folder.path().display().to_string()),
        "{said}"
    );
    assert_eq!(held(folder.path()), before);
}

#[rstest]
#[case("ledger")]
#[case("bans")]
#[case("list")]
fn a_folder_in_the_place_of_a_file_ends_the_start_with_one_line(#[case] file: &str) {
    let folder = folder();
    fs::create_dir(folder.path().join(file)).expect("created");
    let before = held(folder.path());
    let said = start_fails(folder.path());
    assert!(
        said.contains("PROXY_STATE: ") && said.contains(file),
        "{said}"
    );
    assert_eq!(held(folder.path()), before);
}

#[rstest]
fn no_folder_or_a_file_in_its_place_ends_the_start_with_one_line() {
    let folder = folder();
    let (none, file) = (folder.path().join("none"), folder.path().join("file"));
    fs::write(&file, b"something").expect("written");
    for state in [&none, &file] {
        let said = start_fails(state);
        assert!(
            said.contains("PROXY_STATE: ") && said.contains(&state.display().to_string()),
            "{said}"
        );
    }
    assert!(!none.exists() && fs::read(&file).expect("file exists") == b"something");
}

/// What one customer's forwarder took names destinations of that customer, under numbers that
/// another has too.
#[rstest]
#[case::it_runs(true)]
#[case::it_has_ended(false)]
fn the_folder_of_another_forwarder_is_neither_gone_on_from_nor_taken_over(#[case] runs: bool) {
    let (mut first, calls, _notices, _watches) = start_with_stand_ins(0, |_| ());
    first.wait_until_ready();
    first.submit("a", "job", "");
    let out = receive(&calls);
    if !runs {
        first.signal("-KILL");
        first.child.wait().expect("process exits");
    }
    let before = held(&first.folder);
    let (beside, (other, called)) = (folder(), stand_in());
    let file = beside.path().join("config.json");
    let mut config = config(other, other);
    config["name"] = json!("n1");
    fs::write(&file, config.to_string()).expect("written");
    let said = expect_start_error(&file, &first.folder);
    assert!(
        said.contains("PROXY_STATE: ") && said.contains("owner") && said.contains("\"n0\"'s"),
        "{said}"
    );
    assert_eq!(held(&first.folder), before);
    let at_targets = |asked: Asked| asked.head.starts_with("POST /receive");
    assert!(
        !called.try_iter().any(at_targets),
        "nothing of the one goes to the other's targets"
    );
    if runs {
        out.answer(OK);
        first.submit("b", "job", "");
    } else {
        first = Forwarder::start_in(std::mem::take(&mut first.folder));
    }
    assert_eq!(receive(&calls).id(), if runs { "b" } else { "a" });
    drop(first);
}

/// A machine that failed may leave an empty file where one was put in place.
#[rstest]
fn an_empty_list_is_none() {
    let (forwarder, calls, _notices, _watches) = {
        let (target, calls) = stand_in();
        let (discovery, watches, notices) = discovery_stand_in(0);
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
#[case::a_part_of_it(Some("{}"), "is missing")]
#[case::gone(None, "cannot be read")]
#[case::a_word_nobody_knows(Some("semantics"), "semantics: unknown word")]
fn a_faulty_file_that_is_read_again_leaves_all_as_it_was(
    #[case] text: Option<&str>,
    #[case] says: &str,
) {
    let (forwarder, calls, notices, _watches) = start_with_stand_ins(0, |_| ());
    forwarder.wait_until_ready();
    let file = forwarder.folder.join("config.json");
    match text {
        Some("semantics") => {
            let (elsewhere, _) = stand_in();
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
        forwarder.log.lock().unwrap().contains(says),
        "names what is faulty"
    );
    // Discovery and what a binding event is are those of before.
    forwarder.submit("a", "charge", "");
    receive(&calls).answer(ERROR);
    assert_eq!(receive(&notices), given_up_notice("a"));
}
