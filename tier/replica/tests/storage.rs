//! A conformance test of all storage implementations, and tests of the data folder.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;

use arbtest::{arbitrary, arbtest};
use plankhill_chain::{
    Acceptor, Ballot, DurableState, Entry, Identity, Member, RequestNumber, Snapshot, Storage,
    View, ViewNumber, Write,
};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use plankhill_replica::storage::{open_folder, FjallStorage};
use tempfile::TempDir;

/// An in-memory storage.
#[derive(Clone, Debug, Default)]
struct MemoryStorage {
    durable: DurableState,
}

impl Storage for MemoryStorage {
    type Error = Infallible;

    fn load(&mut self) -> Result<DurableState, Infallible> {
        Ok(self.durable.clone())
    }

    fn write(&mut self, changes: &[Write]) -> Result<(), Infallible> {
        for change in changes {
            self.durable.apply(change);
        }
        Ok(())
    }

    fn recover(&mut self) -> Result<(), Infallible> {
        Ok(())
    }

    fn is_transient(error: &Infallible) -> bool {
        match *error {}
    }
}

/// A storage that can be closed and reopened.
trait Reopen: Storage + Sized {
    fn reopen(self, folder: &Path) -> Self;
}

impl Reopen for MemoryStorage {
    fn reopen(self, _: &Path) -> Self {
        self
    }
}

impl Reopen for FjallStorage {
    fn reopen(self, folder: &Path) -> Self {
        drop(self);
        FjallStorage::open(folder).unwrap()
    }
}

fn entry(number: u64) -> Entry {
    let operation = number.to_le_bytes().repeat(1 + number as usize % 40);
    Entry {
        request: RequestNumber(number.into()),
        origin: NodeId::from("a"),
        operation: operation.into(),
    }
}

fn view(number: u64) -> View {
    let identity = Identity {
        node: NodeId::from("a"),
        incarnation: Incarnation(number),
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let chain = vec![identity.node.clone()];
    View {
        number: ViewNumber(number),
        voters: vec![Member { identity, address }],
        chain,
        base: Revision(number),
    }
}

/// Generates changes in the order in which a member writes them: operations are appended, the last
/// ones may be truncated, and snapshots replace the first ones.
struct Writer {
    /// The revision of the last snapshot.
    snapshot: u64,
    /// The revision of the last operation.
    last: u64,
}

impl Writer {
    fn change(&mut self, input: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Write> {
        let number = input.int_in_range(0..=1_000_u64)?;
        Ok(match input.int_in_range(0..=9)? {
            0 => Write::View(view(number)),
            1 => {
                let ballot = Ballot {
                    round: number,
                    proposer: NodeId::from("b"),
                };
                let accepted = input
                    .arbitrary::<bool>()?
                    .then(|| (ballot.clone(), view(number)));
                Write::Acceptor(Acceptor {
                    instance: ViewNumber(number),
                    promised: Some(ballot),
                    accepted,
                })
            }
            2 => Write::Committed(Revision(self.last)),
            3 => {
                self.last = input.int_in_range(self.snapshot..=self.last)?;
                Write::Truncate(Revision(self.last))
            }
            4 => {
                self.snapshot = input.int_in_range(self.snapshot..=self.last + 3)?;
                self.last = self.last.max(self.snapshot);
                let outcomes = vec![(RequestNumber(number.into()), vec![1; 9].into())];
                let machine = vec![2; number as usize].into();
                Write::Snapshot(Snapshot {
                    revision: Revision(self.snapshot),
                    machine,
                    outcomes,
                })
            }
            _ => {
                self.last += 1;
                Write::Append {
                    revision: Revision(self.last),
                    entry: entry(number),
                }
            }
        })
    }
}

/// Checks that a storage returns everything that was written, also after it was reopened.
fn assert_returns_what_was_written<S: Reopen>(mut open: impl FnMut(&Path) -> S) {
    arbtest(|input| {
        let folder = TempDir::new().unwrap();
        let mut storage = open(folder.path());
        let mut writer = Writer {
            snapshot: 0,
            last: 0,
        };
        let mut expected = DurableState::default();
        for _ in 0..input.int_in_range(1..=12)? {
            let mut batch = Vec::new();
            for _ in 0..input.int_in_range(1..=8)? {
                batch.push(writer.change(input)?);
            }
            for change in &batch {
                expected.apply(change);
            }
            storage.write(&batch).unwrap();
            if input.ratio(1, 4)? {
                storage = storage.reopen(folder.path());
            }
            assert_eq!(storage.load().unwrap(), expected);
        }
        Ok(())
    })
    .budget_ms(2_000);
}

fn assert_begins_empty<S: Reopen>(open: impl Fn(&Path) -> S) {
    let folder = TempDir::new().unwrap();
    assert_eq!(open(folder.path()).load().unwrap(), DurableState::default());
}

#[test]
fn memory_storage_returns_what_was_written() {
    assert_begins_empty(|_| MemoryStorage::default());
    assert_returns_what_was_written(|_| MemoryStorage::default());
}

#[test]
fn fjall_storage_returns_what_was_written() {
    let open = |folder: &Path| FjallStorage::open(folder).unwrap();
    assert_begins_empty(open);
    assert_returns_what_was_written(open);
}

#[test]
fn a_folder_retains_its_incarnation_and_founders() {
    let folder = TempDir::new().unwrap();
    let founders = vec![SocketAddr::from(([127, 0, 0, 1], 1))];
    let first = open_folder(folder.path(), Incarnation(1), Some(founders.clone())).unwrap();
    assert_eq!(first.durable.incarnation, Some(Incarnation(1)));
    assert_eq!(first.durable.founders, Some(founders.clone()));
    drop(first);
    let again = open_folder(folder.path(), Incarnation(2), None).unwrap();
    assert_eq!(again.durable.incarnation, Some(Incarnation(1)));
    assert_eq!(again.durable.founders, Some(founders));
}

#[test]
fn a_folder_without_its_ready_file_counts_as_empty() {
    let folder = TempDir::new().unwrap();
    drop(open_folder(folder.path(), Incarnation(1), None).unwrap());
    std::fs::remove_file(folder.path().join("chain-ready")).unwrap();
    let again = open_folder(folder.path(), Incarnation(2), None).unwrap();
    assert_eq!(again.durable.incarnation, Some(Incarnation(2)));
}

#[test]
fn a_torn_journal_end_is_dropped() {
    let folder = TempDir::new().unwrap();
    let mut opened = open_folder(folder.path(), Incarnation(1), None).unwrap();
    let append = |number| Write::Append {
        revision: Revision(number),
        entry: entry(number),
    };
    opened.storage.write(&[append(1)]).unwrap();
    opened.storage.write(&[append(2)]).unwrap();
    drop(opened);
    tear_journals(&folder.path().join("chain"));
    let again = open_folder(folder.path(), Incarnation(2), None).unwrap();
    assert_eq!(again.durable.incarnation, Some(Incarnation(1)));
    assert_eq!(
        again.durable.entries.keys().copied().collect::<Vec<_>>(),
        [Revision(1)]
    );
}

/// Overwrites the last non-zero bytes of each journal.
fn tear_journals(folder: &Path) {
    for file in std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path())
    {
        if file.extension().is_some_and(|extension| extension == "jnl") {
            let mut bytes = std::fs::read(&file).unwrap();
            let end = bytes.iter().rposition(|byte| *byte != 0).unwrap();
            bytes[end - 3..=end].fill(0x55);
            std::fs::write(&file, bytes).unwrap();
        }
    }
}
