//! The bytes of an instance's folder: its identity, the known starts, the groups' logs and what is in them.

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

fn in_frame<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let header = decode_header(bytes[..HEADER_LEN].try_into().unwrap(), bytes.len()).unwrap();
    assert_eq!(header.length, bytes.len() - HEADER_LEN);
    decode_body(&bytes[HEADER_LEN..], header.checksum).unwrap()
}

const GROUP: GroupId = GroupId {
    founder: Incarnation(0x0102_0304_0506_0708),
    number: 300,
};

#[test]
fn whose_folder_it_is_is_as_pinned() {
    // Read: of a folder on another disk, so its file has numbers of its own.
    let bytes = pinned("Identity");
    let mut identity: Identity = in_frame(&bytes);
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
    // Written: as pinned up to the file's own numbers.
    let place = tempfile::tempdir().unwrap();
    identity::store(place.path(), &identity).unwrap();
    let path = place.path().join("instance");
    let file = fs::metadata(&path).unwrap();
    let written = fs::read(&path).unwrap();
    let numbers = postcard::to_stdvec(&(300u64, 1_764_000_000_000_000_123u64)).unwrap();
    let fixed = bytes.len() - numbers.len();
    assert_eq!(written[HEADER_LEN..fixed], bytes[HEADER_LEN..fixed]);
    assert_eq!(bytes[fixed..], numbers);
    // A file system that does not say when it was made has the number only.
    let made = file
        .created()
        .ok()
        .and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok());
    let made = made.map_or(0, |at| at.as_nanos() as u64);
    let own = postcard::to_stdvec(&(file.ino(), made)).unwrap();
    assert_eq!(written[fixed..], own);
    // Begun on, its start grows by one and the rest stays.
    let before = identity.clone();
    identity = identity::begin_start(place.path()).unwrap();
    assert_eq!(
        (identity.incarnation, identity.next_group),
        (before.incarnation, before.next_group)
    );
    assert_eq!(identity.start.generation, 6);
}

#[test]
fn whom_it_met_is_as_pinned() {
    let mut met = KnownStarts::new();
    met.insert(
        Incarnation(300),
        KnownStart {
            name: InstanceName("one".into()),
            start: Start {
                generation: 4,
                nonce: 500,
            },
        },
    );
    met.insert(
        Incarnation(7),
        KnownStart {
            name: InstanceName("two".into()),
            start: Start {
                generation: 1,
                nonce: 1 << 40,
            },
        },
    );
    let place = tempfile::tempdir().unwrap();
    known_starts::store(place.path(), &met).unwrap();
    let path = place.path().join("met");
    assert_eq!(fs::read(&path).unwrap(), pinned("Met"));
    fs::write(&path, pinned("Met")).unwrap();
    assert_eq!(known_starts::load(place.path()).unwrap(), met);
}

#[test]
fn groups_files_are_named_as_before() {
    let place = tempfile::tempdir().unwrap();
    identity::begin_start(place.path()).unwrap();
    GroupLog::create(
        place.path(),
        GROUP,
        Purpose::EventLog,
        &PersistedState::default(),
    )
    .unwrap();
    let log = place.path().join("groups/0102030405060708-300.log");
    assert!(log.exists());
    assert_eq!(group_files::log_path(place.path(), GROUP), log);
    assert_eq!(group_files::groups(place.path()).unwrap(), [GROUP]);
    group_files::remove_dissolved(place.path(), GROUP).unwrap();
    assert!(!log.exists());
    assert!(place
        .path()
        .join("groups/0102030405060708-300.gone")
        .exists());
    assert_eq!(
        group_files::dissolved_groups(place.path()).unwrap(),
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

fn kept() -> PersistedState {
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

/// One batch of two, one without a vote, and one that replaces the end of the log.
fn batches() -> Vec<PersistRequest> {
    let hard = Some(HardState {
        term: 15,
        vote: 16,
        commit: 12,
    });
    vec![
        PersistRequest {
            number: 1,
            hard_state: hard,
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
        let place = tempfile::tempdir().unwrap();
        identity::begin_start(place.path()).unwrap();
        let mut log = GroupLog::create(place.path(), GROUP, purpose, &kept()).unwrap();
        log.persist(&batches()).unwrap();
        log.persist(&[PersistRequest {
            number: 3,
            hard_state: None,
            entries: vec![entry(15, true)],
            base: None,
        }])
        .unwrap();
        let written = fs::read(group_files::log_path(place.path(), GROUP)).unwrap();
        assert_eq!(written, fs::read(fixture(name_of(purpose))).unwrap());
    }
}

/// A cut log's file begins anew with all that is kept.
#[test]
fn a_cut_log_is_written_as_pinned() {
    let place = tempfile::tempdir().unwrap();
    identity::begin_start(place.path()).unwrap();
    let mut log = GroupLog::create(place.path(), GROUP, Purpose::EventLog, &kept()).unwrap();
    log.persist(&batches()).unwrap();
    let base = SnapshotBase {
        index: 14,
        term: 12,
        members: voters(),
        state: vec![5, 6, 7],
    };
    let hard = Some(HardState {
        term: 17,
        vote: 18,
        commit: 14,
    });
    let cut = PersistRequest {
        number: 0,
        hard_state: hard,
        entries: vec![entry(15, false)],
        base: Some(base),
    };
    log.persist(&[cut]).unwrap();
    let written = fs::read(group_files::log_path(place.path(), GROUP)).unwrap();
    assert_eq!(written, fs::read(fixture("cut.log")).unwrap());
}

fn opened(name: &str) -> (GroupLog, PersistedState) {
    let place = tempfile::tempdir().unwrap();
    identity::begin_start(place.path()).unwrap();
    fs::copy(fixture(name), group_files::log_path(place.path(), GROUP)).unwrap();
    GroupLog::open(place.path(), GROUP).unwrap()
}

#[test]
fn a_groups_log_as_written_before_is_read_entirely() {
    for purpose in [Purpose::EventLog, Purpose::Control] {
        let (log, read) = opened(name_of(purpose));
        assert_eq!(log.purpose(), purpose);
        assert_eq!(
            log.file_length(),
            fs::metadata(fixture(name_of(purpose))).unwrap().len()
        );
        assert_eq!(read.base, kept().base);
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
    let (_, read) = opened("cut.log");
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
fn what_stands_beside_a_command_is_as_pinned() {
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
    for stamp in all {
        let name = match &stamp {
            EntryContext::Command { .. } => "Command",
            EntryContext::Dissolve { .. } => "Dissolve",
            EntryContext::Members { .. } => "Voters",
        };
        assert_eq!(stamp.to_bytes(), pinned(name), "{name}");
        assert_eq!(
            EntryContext::from_bytes(&pinned(name)),
            Some(stamp),
            "{name}"
        );
    }
    for change in changes {
        let name = match change {
            MembershipChange::AddLearner(_) => "ChangeLearner",
            MembershipChange::AddVoter(_) => "ChangeVoter",
            MembershipChange::Remove(_) => "ChangeRemove",
        };
        let stamp = EntryContext::Members {
            term: Term(1),
            changes: vec![change],
        };
        assert_eq!(stamp.to_bytes(), pinned(name), "{name}");
        assert_eq!(
            EntryContext::from_bytes(&pinned(name)),
            Some(stamp),
            "{name}"
        );
    }
}

#[test]
fn a_groups_whole_state_is_as_pinned() {
    let mut counted = CommittedProposals::default();
    counted.record(Incarnation(300), Term(2), 70_000);
    counted.record(Incarnation(7), Term(301), 1);
    let whole = GroupState {
        committed: counted.clone(),
        is_dissolved: true,
        state_machine: vec![1, 2, 3],
    };
    assert_eq!(whole.to_bytes(), pinned("Whole"));
    let read: GroupState = GroupState::from_bytes(&pinned("Whole")).unwrap();
    assert_eq!(
        (read.committed, read.is_dissolved, read.state_machine),
        (counted, true, vec![1, 2, 3])
    );
}

struct Machines(&'static [u8]);

impl StateMachine for Machines {
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
    let kept = PersistedState::founded(&[Incarnation(300), Incarnation(7)], &Machines(b"empty"));
    assert_eq!(kept.base.state, pinned("FoundedWhole"));
    assert_eq!((kept.base.index, kept.base.term), (1, 1));
    assert_eq!(
        kept.base.members,
        Membership {
            voters: vec![300, 7],
            ..Membership::default()
        }
    );
    assert_eq!(
        kept.hard_state,
        HardState {
            term: 1,
            vote: 0,
            commit: 1
        }
    );
    assert!(kept.entries.is_empty());
}
