//! Tests the stored format of a member's database against recorded rows
//! (`tests/stored_format/rows.txt`) and a folder that an earlier build wrote
//! (`tests/stored_format/folder`). Stored data has to stay readable: neither fixture may be
//! regenerated for a changed build.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use fjall::{Database, KeyspaceCreateOptions};
use plankhill_chain::{
    Acceptor, Ballot, DurableState, Entry, Identity, Member, RequestNumber, Snapshot, Storage,
    View, ViewNumber, Write,
};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use plankhill_replica::storage::{open_folder, FjallStorage};
use tempfile::TempDir;

const RECORDED: &str = include_str!("stored_format/rows.txt");

const INCARNATION: Incarnation = Incarnation(0x0102_0304_0506_0708);

fn member(number: u8) -> Member {
    let node = NodeId::from(format!("core-{number}").as_str());
    let identity = Identity {
        node,
        incarnation: Incarnation(0x0102_0304_0506_0700 + u64::from(number)),
    };
    Member {
        identity,
        address: SocketAddr::from(([10, 0, 0, number], 7_000 + u16::from(number))),
    }
}

fn member_on_ipv6() -> Member {
    let address = SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, 7], 7_009));
    Member {
        address,
        ..member(9)
    }
}

fn founders() -> Vec<SocketAddr> {
    vec![
        member(1).address,
        member(2).address,
        member_on_ipv6().address,
    ]
}

fn view(number: u64) -> View {
    View {
        number: ViewNumber(number),
        voters: vec![member(1), member(2), member_on_ipv6()],
        chain: vec![NodeId::from("core-2"), NodeId::from("core-1")],
        base: Revision(512),
    }
}

fn acceptor() -> Acceptor {
    let ballot = |round, proposer| Ballot {
        round,
        proposer: NodeId::from(proposer),
    };
    Acceptor {
        instance: ViewNumber(301),
        promised: Some(ballot(129, "core-2")),
        accepted: Some((ballot(128, "core-1"), view(301))),
    }
}

fn entry(number: u8) -> Entry {
    Entry {
        request: RequestNumber(u128::MAX - u128::from(number)),
        origin: NodeId::from("core-3"),
        operation: Arc::from([number, 0, 255]),
    }
}

fn append(revision: u64) -> Write {
    Write::Append {
        revision: Revision(revision),
        entry: entry(revision as u8),
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        revision: Revision(512),
        machine: Arc::from([7, 8, 9]),
        outcomes: vec![
            (RequestNumber(5), Arc::from([1])),
            (RequestNumber(1 << 100), Arc::from([2, 3])),
        ],
    }
}

/// Returns the change that follows `previous` in a sequence with one change per [`Write`] variant, in
/// the order of the variants. The exhaustive match makes the compiler reject a new variant until it is
/// part of this sequence, and thereby of the recorded rows.
fn change_after(previous: Option<&Write>) -> Option<Write> {
    let next = match previous {
        None => Write::Incarnation(INCARNATION),
        Some(Write::Incarnation(_)) => Write::Founders(founders()),
        Some(Write::Founders(_)) => Write::Acceptor(acceptor()),
        Some(Write::Acceptor(Acceptor {
            instance: _,
            promised: _,
            accepted: _,
        })) => Write::View(view(300)),
        Some(Write::View(_)) => append(513),
        Some(Write::Append {
            revision: _,
            entry: _,
        }) => Write::Truncate(Revision(513)),
        Some(Write::Truncate(_)) => Write::Committed(Revision(511)),
        Some(Write::Committed(_)) => Write::Snapshot(snapshot()),
        Some(Write::Snapshot(_)) => return None,
    };
    Some(next)
}

/// Returns a change of each kind, and two more operations that do not remain: one that the snapshot
/// contains and one that is truncated.
fn changes() -> Vec<Write> {
    let mut changes = Vec::new();
    let mut next = change_after(None);
    while let Some(change) = next {
        next = change_after(Some(&change));
        if matches!(change, Write::Append { .. }) {
            changes.push(append(512));
        }
        let truncated = matches!(change, Write::Append { .. }).then(|| append(514));
        changes.push(change);
        changes.extend(truncated);
    }
    changes
}

/// The durable state after [`changes`].
fn durable() -> DurableState {
    DurableState {
        incarnation: Some(INCARNATION),
        founders: Some(founders()),
        acceptor: acceptor(),
        view: view(300),
        committed: Revision(511),
        snapshot: snapshot(),
        entries: BTreeMap::from([(Revision(513), entry(513_u64 as u8))]),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns all rows of the database in this folder, with key and value in hex.
fn rows(folder: &Path) -> Vec<String> {
    let database = Database::builder(folder.join("chain")).open().unwrap();
    let rows = database
        .keyspace("chain", KeyspaceCreateOptions::default)
        .unwrap();
    let row = |row: fjall::Guard| {
        let (key, value) = row.into_inner().unwrap();
        format!("{} {}", hex(&key), hex(&value))
    };
    rows.iter().map(row).collect()
}

/// Returns all rows after [`changes`], followed by the acceptor row after it was replaced by a fresh
/// acceptor.
fn written_rows(folder: &Path) -> Vec<String> {
    let mut storage = open_folder(folder, INCARNATION, None).unwrap().storage;
    storage.write(&changes()).unwrap();
    drop(storage);
    let mut lines = rows(folder);
    let mut storage = FjallStorage::open(&folder.join("chain")).unwrap();
    storage
        .write(&[Write::Acceptor(Acceptor::new(ViewNumber(301)))])
        .unwrap();
    drop(storage);
    lines.extend(
        rows(folder)
            .into_iter()
            .filter(|row| row.starts_with("61 ")),
    );
    lines
}

#[test]
fn every_row_is_written_as_recorded() {
    let folder = TempDir::new().unwrap();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(written_rows(folder.path()), recorded);
    assert!(folder.path().join("chain-ready").exists());
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap().map(Result::unwrap) {
        let target: PathBuf = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy(&entry.path(), &target),
            false => drop(fs::copy(entry.path(), target).unwrap()),
        }
    }
}

#[test]
fn a_folder_of_an_earlier_build_is_read_completely() {
    let folder = TempDir::new().unwrap();
    let recorded = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_format/folder");
    copy(&recorded, folder.path());
    // This folder is empty, so that version control does not contain it.
    fs::create_dir_all(folder.path().join("chain/keyspaces/1/tables")).unwrap();
    let opened = open_folder(folder.path(), Incarnation(1), None).unwrap();
    assert_eq!(opened.durable, durable());
}

#[test]
fn written_changes_are_read_back() {
    let folder = TempDir::new().unwrap();
    let mut storage = open_folder(folder.path(), INCARNATION, None)
        .unwrap()
        .storage;
    storage.write(&changes()).unwrap();
    assert_eq!(storage.load().unwrap(), durable());
    let mut applied = DurableState::default();
    for change in changes() {
        applied.apply(&change);
    }
    assert_eq!(applied, durable());
}
