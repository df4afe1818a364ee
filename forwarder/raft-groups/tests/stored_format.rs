//! The bytes of an instance's folder: whose it is, whom it met, the groups' logs and what is in them.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use plankhill_raft_groups::core::effects::{Base, Hard, Persist, Voters};
use plankhill_raft_groups::core::stamp::{Change, Counted, Stamp, Whole};
use plankhill_raft_groups::core::Kept;
use plankhill_raft_groups::disk::folder::{self, Identity, Met};
use plankhill_raft_groups::disk::log::Log;
use plankhill_raft_groups::wire::frame::{body, frame, head, HEAD};
use plankhill_raft_groups::wire::said::StartOptions;
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
    let (length, sum) = head(bytes[..HEAD].try_into().unwrap(), bytes.len()).unwrap();
    assert_eq!(length, bytes.len() - HEAD);
    body(&bytes[HEAD..], sum).unwrap()
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
        StartOptions {
            generation: 5,
            draw: 0x1122_3344_5566_7788
        }
    );
    assert_eq!(identity.next_group, 301);
    assert_eq!(frame(&identity), bytes);
    // Written: as pinned up to the file's own numbers.
    let place = tempfile::tempdir().unwrap();
    folder::note_identity(place.path(), &identity).unwrap();
    let path = place.path().join("instance");
    let file = fs::metadata(&path).unwrap();
    let written = fs::read(&path).unwrap();
    let numbers = postcard::to_stdvec(&(300u64, 1_764_000_000_000_000_123u64)).unwrap();
    let fixed = bytes.len() - numbers.len();
    assert_eq!(written[HEAD..fixed], bytes[HEAD..fixed]);
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
    identity = folder::begin(place.path()).unwrap();
    assert_eq!(
        (identity.incarnation, identity.next_group),
        (before.incarnation, before.next_group)
    );
    assert_eq!(identity.start.generation, 6);
}

#[test]
fn whom_it_met_is_as_pinned() {
    let mut met = Met::new();
    met.insert(
        Incarnation(300),
        (
            InstanceName("one".into()),
            StartOptions {
                generation: 4,
                draw: 500,
            },
        ),
    );
    met.insert(
        Incarnation(7),
        (
            InstanceName("two".into()),
            StartOptions {
                generation: 1,
                draw: 1 << 40,
            },
        ),
    );
    let place = tempfile::tempdir().unwrap();
    folder::note_met(place.path(), &met).unwrap();
    let path = place.path().join("met");
    assert_eq!(fs::read(&path).unwrap(), pinned("Met"));
    fs::write(&path, pinned("Met")).unwrap();
    assert_eq!(folder::met(place.path()).unwrap(), met);
}

#[test]
fn groups_files_are_named_as_before() {
    let place = tempfile::tempdir().unwrap();
    folder::begin(place.path()).unwrap();
    Log::make(place.path(), GROUP, Purpose::EventLog, &Kept::default()).unwrap();
    let log = place.path().join("groups/0102030405060708-300.log");
    assert!(log.exists());
    assert_eq!(folder::log_path(place.path(), GROUP), log);
    assert_eq!(folder::groups(place.path()).unwrap(), [GROUP]);
    folder::bury(place.path(), GROUP).unwrap();
    assert!(!log.exists());
    assert!(place
        .path()
        .join("groups/0102030405060708-300.gone")
        .exists());
    assert_eq!(folder::gone(place.path()).unwrap(), [GROUP]);
}

fn voters() -> Voters {
    Voters {
        voters: vec![1, 200],
        learners: vec![3],
        outgoing: vec![4, 5],
        learners_next: vec![6],
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

fn kept() -> Kept {
    Kept {
        base: Base {
            index: 11,
            term: 12,
            voters: voters(),
            whole: pinned("Whole"),
        },
        hard: Hard {
            term: 13,
            vote: 14,
            commit: 11,
        },
        entries: vec![entry(12, false), entry(13, true)],
        restarted: false,
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
fn batches() -> Vec<Persist> {
    let hard = Some(Hard {
        term: 15,
        vote: 16,
        commit: 12,
    });
    vec![
        Persist {
            number: 1,
            hard,
            entries: vec![entry(14, false)],
            base: None,
        },
        Persist {
            number: 2,
            hard: None,
            entries: vec![entry(15, false), entry(16, true)],
            base: None,
        },
    ]
}

#[test]
fn a_groups_log_is_written_as_pinned() {
    for purpose in [Purpose::EventLog, Purpose::Control] {
        let place = tempfile::tempdir().unwrap();
        folder::begin(place.path()).unwrap();
        let mut log = Log::make(place.path(), GROUP, purpose, &kept()).unwrap();
        log.take(&batches()).unwrap();
        log.take(&[Persist {
            number: 3,
            hard: None,
            entries: vec![entry(15, true)],
            base: None,
        }])
        .unwrap();
        let written = fs::read(folder::log_path(place.path(), GROUP)).unwrap();
        assert_eq!(written, fs::read(fixture(name_of(purpose))).unwrap());
    }
}

/// A cut log's file begins anew with all that is kept.
#[test]
fn a_cut_log_is_written_as_pinned() {
    let place = tempfile::tempdir().unwrap();
    folder::begin(place.path()).unwrap();
    let mut log = Log::make(place.path(), GROUP, Purpose::EventLog, &kept()).unwrap();
    log.take(&batches()).unwrap();
    let base = Base {
        index: 14,
        term: 12,
        voters: voters(),
        whole: vec![5, 6, 7],
    };
    let hard = Some(Hard {
        term: 17,
        vote: 18,
        commit: 14,
    });
    let cut = Persist {
        number: 0,
        hard,
        entries: vec![entry(15, false)],
        base: Some(base),
    };
    log.take(&[cut]).unwrap();
    let written = fs::read(folder::log_path(place.path(), GROUP)).unwrap();
    assert_eq!(written, fs::read(fixture("cut.log")).unwrap());
}

fn opened(name: &str) -> (Log, Kept) {
    let place = tempfile::tempdir().unwrap();
    folder::begin(place.path()).unwrap();
    fs::copy(fixture(name), folder::log_path(place.path(), GROUP)).unwrap();
    Log::open(place.path(), GROUP).unwrap()
}

#[test]
fn a_groups_log_as_written_before_is_read_entirely() {
    for purpose in [Purpose::EventLog, Purpose::Control] {
        let (log, read) = opened(name_of(purpose));
        assert_eq!(log.purpose(), purpose);
        assert_eq!(
            log.bytes(),
            fs::metadata(fixture(name_of(purpose))).unwrap().len()
        );
        assert_eq!(read.base, kept().base);
        assert_eq!(
            read.hard,
            Hard {
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
        assert!(read.restarted);
    }
    let (_, read) = opened("cut.log");
    assert_eq!(
        read.base,
        Base {
            index: 14,
            term: 12,
            voters: voters(),
            whole: vec![5, 6, 7]
        }
    );
    assert_eq!(
        read.hard,
        Hard {
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
        Change::Learner(Incarnation(300)),
        Change::Voter(Incarnation(1 << 40)),
        Change::Remove(Incarnation(7)),
    ];
    let all = [
        Stamp::Command {
            proposer: Incarnation(0xfedc_ba98_7654_3210),
            term: Term(300),
            number: 70_000,
        },
        Stamp::Dissolve { term: Term(301) },
        Stamp::Voters {
            term: Term(302),
            changes: changes.clone(),
        },
    ];
    for stamp in all {
        let name = match &stamp {
            Stamp::Command { .. } => "Command",
            Stamp::Dissolve { .. } => "Dissolve",
            Stamp::Voters { .. } => "Voters",
        };
        assert_eq!(stamp.bytes(), pinned(name), "{name}");
        assert_eq!(Stamp::read(&pinned(name)), Some(stamp), "{name}");
    }
    for change in changes {
        let name = match change {
            Change::Learner(_) => "ChangeLearner",
            Change::Voter(_) => "ChangeVoter",
            Change::Remove(_) => "ChangeRemove",
        };
        let stamp = Stamp::Voters {
            term: Term(1),
            changes: vec![change],
        };
        assert_eq!(stamp.bytes(), pinned(name), "{name}");
        assert_eq!(Stamp::read(&pinned(name)), Some(stamp), "{name}");
    }
}

#[test]
fn a_groups_whole_state_is_as_pinned() {
    let mut counted = Counted::default();
    counted.note(Incarnation(300), Term(2), 70_000);
    counted.note(Incarnation(7), Term(301), 1);
    let whole = Whole {
        counted: counted.clone(),
        dissolved: true,
        machine: vec![1, 2, 3],
    };
    assert_eq!(postcard::to_stdvec(&whole).unwrap(), pinned("Whole"));
    let read: Whole = postcard::from_bytes(&pinned("Whole")).unwrap();
    assert_eq!(
        (read.counted, read.dissolved, read.machine),
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
    let kept = Kept::founded(&[Incarnation(300), Incarnation(7)], &Machines(b"empty"));
    assert_eq!(kept.base.whole, pinned("FoundedWhole"));
    assert_eq!((kept.base.index, kept.base.term), (1, 1));
    assert_eq!(
        kept.base.voters,
        Voters {
            voters: vec![300, 7],
            ..Voters::default()
        }
    );
    assert_eq!(
        kept.hard,
        Hard {
            term: 1,
            vote: 0,
            commit: 1
        }
    );
    assert!(kept.entries.is_empty());
}
