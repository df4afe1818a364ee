//! The file formats of an instance's folder: its identity, the known starts, the groups' logs and their contents.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use plankhill_raft_groups::disk::group_files;
use plankhill_raft_groups::disk::group_log::GroupLog;
use plankhill_raft_groups::disk::identity::{self, Identity};
use plankhill_raft_groups::disk::known_starts::{self, KnownStart, KnownStarts};
use plankhill_raft_groups::replica::effects::{
    HardState, Membership, PersistRequest, SnapshotBase,
};
use plankhill_raft_groups::replica::entry_context::{
    CommittedProposals, EntryContext, GroupState, MembershipChange,
};
use plankhill_raft_groups::replica::PersistedState;
use plankhill_raft_groups::wire::frame::{decode_body, decode_header, encode_frame, HEADER_LEN};
use plankhill_raft_groups::wire::message::Start;
use plankhill_raft_groups::{
    CorruptSnapshot, GroupId, Incarnation, InstanceName, Purpose, StateMachine, Term,
};
use raft::eraftpb::{Entry, EntryType};
use serde::de::DeserializeOwned;

const PINNED: &str = include_str!("stored_format/values.txt");

fn pinned(name: &str) -> Vec<u8> {
    let line = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn decode_frame<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let header = decode_header(bytes[..HEADER_LEN].try_into().unwrap(), bytes.len()).unwrap();
    assert_eq!(header.length, bytes.len() - HEADER_LEN);
    decode_body(&bytes[HEADER_LEN..], header.checksum).unwrap()
}

const GROUP: GroupId = GroupId {
    founder: Incarnation(0x0102_0304_0506_0708),
    number: 300,
};

#[test]
fn the_identity_file_is_as_pinned() {
    // Reading: the pinned file is from another disk, so it contains other file numbers.
    let bytes = pinned("Identity");
    let mut identity: Identity = decode_frame(&bytes);
    assert_eq!(identity.incarnation, Incarnation(0xfedc_ba98_7654_3210));
    assert_eq!(
        identity.start,
        Start {
            generation: 5,
            nonce: 0x1122_3344_5566_7788
        }
    );
    assert_eq!(identity.next_group, 301);
    assert_eq!(encode_frame(&identity), bytes);
    // Writing: the result is as pinned up to the file numbers.
    let folder = tempfile::tempdir().unwrap();
    identity::store(folder.path(), &identity).unwrap();
    let path = folder.path().join("instance");
    let file = fs::metadata(&path).unwrap();
    let written = fs::read(&path).unwrap();
    let numbers = postcard::to_stdvec(&(300u64, 1_764_000_000_000_000_123u64)).unwrap();
    let fixed = bytes.len() - numbers.len();
    assert_eq!(written[HEADER_LEN..fixed], bytes[HEADER_LEN..fixed]);
    assert_eq!(bytes[fixed..], numbers);
    // A file system that does not report creation times leaves only the inode number.
    let created_at = file
        .created()
        .ok()
        .and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok());
    let created_at = created_at.map_or(0, |at| at.as_nanos() as u64);
    let own = postcard::to_stdvec(&(file.ino(), created_at)).unwrap();
    assert_eq!(written[fixed..], own);
    // A new start increments the generation and leaves the rest unchanged.
    let before = identity.clone();
    identity = identity::begin_start(folder.path()).unwrap();
    assert_eq!(
        (identity.incarnation, identity.next_group),
        (before.incarnation, before.next_group)
    );
    assert_eq!(identity.start.generation, 6);
}

#[test]
fn the_known_starts_file_is_as_pinned() {
    let mut known = KnownStarts::new();
    known.insert(
        Incarnation(300),
        KnownStart {
            name: InstanceName("one".into()),
            start: Start {
                generation: 4,
                nonce: 500,
            },
        },
    );
    known.insert(
        Incarnation(7),
        KnownStart {
            name: InstanceName("two".into()),
            start: Start {
                generation: 1,
                nonce: 1 << 40,
            },
        },
    );
    let folder = tempfile::tempdir().unwrap();
    known_starts::store(folder.path(), &known).unwrap();
    let path = folder.path().join("met");
    assert_eq!(fs::read(&path).unwrap(), pinned("Met"));
    fs::write(&path, pinned("Met")).unwrap();
    assert_eq!(known_starts::load(folder.path()).unwrap(), known);
}

#[test]
fn group_file_names_are_as_pinned() {
    let folder = tempfile::tempdir().unwrap();
    identity::begin_start(folder.path()).unwrap();
    GroupLog::create(
        folder.path(),
        GROUP,
        Purpose::EventLog,
        &PersistedState::default(),
    )
    .unwrap();
    let log = folder.path().join("groups/0102030405060708-300.log");
    assert!(log.exists());
    assert_eq!(group_files::log_path(folder.path(), GROUP), log);
    assert_eq!(group_files::groups(folder.path()).unwrap(), [GROUP]);
    group_files::remove_dissolved(folder.path(), GROUP).unwrap();
    assert!(!log.exists());
    assert!(folder
        .path()
        .join("groups/0102030405060708-300.gone")
        .exists());
    assert_eq!(
        group_files::dissolved_groups(folder.path()).unwrap(),
        [GROUP]
    );
}

fn voters() -> Membership {
    Membership {
        voters: vec![1, 200],
        learners: vec![3],
        outgoing_voters: vec![4, 5],
        next_learners: vec![6],
        auto_leave: true,
    }
}

fn entry(index: u64, change: bool) -> Entry {
    let mut entry = Entry::default();
    if change {
        entry.set_entry_type(EntryType::EntryConfChangeV2);
    }
    entry.index = index;
    entry.term = 12;
    entry.data = vec![index as u8; 3].into();
    entry.context = vec![9, 8].into();
    entry
}

fn base_state() -> PersistedState {
    PersistedState {
        base: SnapshotBase {
            index: 11,
            term: 12,
            members: voters(),
            state: pinned("Whole"),
        },
        hard_state: HardState {
            term: 13,
            vote: 14,
            commit: 11,
        },
        entries: vec![entry(12, false), entry(13, true)],
        is_restart: false,
    }
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/stored_format")
        .join(name)
}

fn name_of(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::EventLog => "record.log",
        Purpose::Control => "control.log",
    }
}

/// A batch of two requests, the second without a hard state.
fn batches() -> Vec<PersistRequest> {
    let hard_state = Some(HardState {
        term: 15,
        vote: 16,
        commit: 12,
    });
    vec![
        PersistRequest {
            number: 1,
            hard_state,
            entries: vec![entry(14, false)],
            base: None,
        },
        PersistRequest {
            number: 2,
            hard_state: None,
            entries: vec![entry(15, false), entry(16, true)],
            base: None,
        },
    ]
}

#[test]
fn a_groups_log_is_written_as_pinned() {
    for purpose in [Purpose::EventLog, Purpose::Control] {
        let folder = tempfile::tempdir().unwrap();
        identity::begin_start(folder.path()).unwrap();
        let mut log = GroupLog::create(folder.path(), GROUP, purpose, &base_state()).unwrap();
        log.persist(&batches()).unwrap();
        log.persist(&[PersistRequest {
            number: 3,
            hard_state: None,
            entries: vec![entry(15, true)],
            base: None,
        }])
        .unwrap();
        let written = fs::read(group_files::log_path(folder.path(), GROUP)).unwrap();
        assert_eq!(written, fs::read(fixture(name_of(purpose))).unwrap());
    }
}

/// After a compaction, the file is rewritten with all remaining data.
#[test]
fn a_compacted_log_is_written_as_pinned() {
    let folder = tempfile::tempdir().unwrap();
    identity::begin_start(folder.path()).unwrap();
    let mut log = GroupLog::create(folder.path(), GROUP, Purpose::EventLog, &base_state()).unwrap();
    log.persist(&batches()).unwrap();
    let base = SnapshotBase {
        index: 14,
        term: 12,
        members: voters(),
        state: vec![5, 6, 7],
    };
    let hard_state = Some(HardState {
        term: 17,
        vote: 18,
        commit: 14,
    });
    let compaction = PersistRequest {
        number: 0,
        hard_state,
        entries: vec![entry(15, false)],
        base: Some(base),
    };
    log.persist(&[compaction]).unwrap();
    let written = fs::read(group_files::log_path(folder.path(), GROUP)).unwrap();
    assert_eq!(written, fs::read(fixture("cut.log")).unwrap());
}

fn open_fixture(name: &str) -> (GroupLog, PersistedState) {
    let folder = tempfile::tempdir().unwrap();
    identity::begin_start(folder.path()).unwrap();
    fs::copy(fixture(name), group_files::log_path(folder.path(), GROUP)).unwrap();
    GroupLog::open(folder.path(), GROUP).unwrap()
}

#[test]
fn a_pinned_group_log_is_read_completely() {
    for purpose in [Purpose::EventLog, Purpose::Control] {
        let (log, read) = open_fixture(name_of(purpose));
        assert_eq!(log.purpose(), purpose);
        assert_eq!(
            log.file_length(),
            fs::metadata(fixture(name_of(purpose))).unwrap().len()
        );
        assert_eq!(read.base, base_state().base);
        assert_eq!(
            read.hard_state,
            HardState {
                term: 15,
                vote: 16,
                commit: 12
            }
        );
        let entries = vec![
            entry(12, false),
            entry(13, true),
            entry(14, false),
            entry(15, true),
        ];
        assert_eq!(read.entries, entries);
        assert!(read.is_restart);
    }
    let (_, read) = open_fixture("cut.log");
    assert_eq!(
        read.base,
        SnapshotBase {
            index: 14,
            term: 12,
            members: voters(),
            state: vec![5, 6, 7]
        }
    );
    assert_eq!(
        read.hard_state,
        HardState {
            term: 17,
            vote: 18,
            commit: 14
        }
    );
    assert_eq!(read.entries, [entry(15, false)]);
}

#[test]
fn entry_contexts_are_as_pinned() {
    let changes = vec![
        MembershipChange::AddLearner(Incarnation(300)),
        MembershipChange::AddVoter(Incarnation(1 << 40)),
        MembershipChange::Remove(Incarnation(7)),
    ];
    let all = [
        EntryContext::Command {
            proposer: Incarnation(0xfedc_ba98_7654_3210),
            term: Term(300),
            number: 70_000,
        },
        EntryContext::Dissolve { term: Term(301) },
        EntryContext::Members {
            term: Term(302),
            changes: changes.clone(),
        },
    ];
    for context in all {
        let name = match &context {
            EntryContext::Command { .. } => "Command",
            EntryContext::Dissolve { .. } => "Dissolve",
            EntryContext::Members { .. } => "Voters",
        };
        assert_eq!(context.to_bytes(), pinned(name), "{name}");
        assert_eq!(
            EntryContext::from_bytes(&pinned(name)),
            Some(context),
            "{name}"
        );
    }
    for change in changes {
        let name = match change {
            MembershipChange::AddLearner(_) => "ChangeLearner",
            MembershipChange::AddVoter(_) => "ChangeVoter",
            MembershipChange::Remove(_) => "ChangeRemove",
        };
        let context = EntryContext::Members {
            term: Term(1),
            changes: vec![change],
        };
        assert_eq!(context.to_bytes(), pinned(name), "{name}");
        assert_eq!(
            EntryContext::from_bytes(&pinned(name)),
            Some(context),
            "{name}"
        );
    }
}

#[test]
fn a_groups_complete_state_is_as_pinned() {
    let mut committed = CommittedProposals::default();
    committed.record(Incarnation(300), Term(2), 70_000);
    committed.record(Incarnation(7), Term(301), 1);
    let state = GroupState {
        committed: committed.clone(),
        is_dissolved: true,
        state_machine: vec![1, 2, 3],
    };
    assert_eq!(state.to_bytes(), pinned("Whole"));
    let read: GroupState = GroupState::from_bytes(&pinned("Whole")).unwrap();
    assert_eq!(
        (read.committed, read.is_dissolved, read.state_machine),
        (committed, true, vec![1, 2, 3])
    );
}

struct FixedState(&'static [u8]);

impl StateMachine for FixedState {
    fn apply(&mut self, _: Incarnation, _: Term, _: &[u8]) {}
    fn snapshot(&self) -> Vec<u8> {
        self.0.to_vec()
    }
    fn restore(&mut self, _: &[u8]) -> Result<(), CorruptSnapshot> {
        Ok(())
    }
    fn size(&self) -> usize {
        self.0.len()
    }
}

#[test]
fn a_founded_groups_first_state_is_as_pinned() {
    let founded =
        PersistedState::founded(&[Incarnation(300), Incarnation(7)], &FixedState(b"empty"));
    assert_eq!(founded.base.state, pinned("FoundedWhole"));
    assert_eq!((founded.base.index, founded.base.term), (1, 1));
    assert_eq!(
        founded.base.members,
        Membership {
            voters: vec![300, 7],
            ..Membership::default()
        }
    );
    assert_eq!(
        founded.hard_state,
        HardState {
            term: 1,
            vote: 0,
            commit: 1
        }
    );
    assert!(founded.entries.is_empty());
}
