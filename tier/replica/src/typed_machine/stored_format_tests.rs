//! Checks the encoding of typed states, operations and outcomes in the log and snapshots of the chain.

use std::collections::BTreeMap;

use plankhill_chain::{StateMachine, ViewNumber};
use plankhill_protocol::ids::Revision;
use serde::{Deserialize, Serialize};

use super::TypedMachine;
use crate::committed_state::ReplicatedState;

/// Named counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Counts {
    counts: BTreeMap<String, u64>,
    changed_at: Revision,
}

#[derive(Serialize, Deserialize)]
enum Change {
    Clear,
    Add { name: String, amount: u64 },
}

#[derive(Serialize, Deserialize)]
enum Changed {
    Cleared,
    Now(u64),
}

impl ReplicatedState for Counts {
    type Operation = Change;
    type Outcome = Changed;

    fn apply(&mut self, revision: Revision, operation: &Change) -> Changed {
        self.changed_at = revision;
        match operation {
            Change::Clear => {
                self.counts.clear();
                Changed::Cleared
            }
            Change::Add { name, amount } => {
                let count = self.counts.entry(name.clone()).or_default();
                *count += amount;
                Changed::Now(*count)
            }
        }
    }
}

const CLEAR: &[u8] = &[0];
const ADD: &[u8] = &[1, 3, b'o', b'n', b'e', 0xac, 0x02];
const CLEARED: &[u8] = &[0];
const NOW: &[u8] = &[1, 0xac, 0x02];
const SNAPSHOT: &[u8] = &[1, 3, b'o', b'n', b'e', 0xac, 0x02, 0x87, 0x01];

#[test]
fn operations_outcomes_and_snapshots_are_written_as_recorded() {
    let mut machine = TypedMachine::<Counts>::new();
    assert_eq!(machine.apply(Revision(134), CLEAR), CLEARED);
    assert_eq!(machine.apply(Revision(135), ADD), NOW);
    assert_eq!(machine.snapshot(), SNAPSHOT);
    let add = Change::Add {
        name: "one".into(),
        amount: 300,
    };
    assert_eq!(postcard::to_allocvec(&add).unwrap(), ADD);
}

#[test]
fn a_recorded_snapshot_is_read_back() {
    let mut machine = TypedMachine::<Counts>::new();
    machine.restore(Revision(135), SNAPSHOT).unwrap();
    let published = machine.committed(Revision(135), ViewNumber(2));
    let counts = BTreeMap::from([("one".to_owned(), 300)]);
    assert_eq!(
        *published.state,
        Counts {
            counts,
            changed_at: Revision(135)
        }
    );
    assert_eq!(machine.snapshot(), SNAPSHOT);
}

#[test]
fn an_empty_snapshot_is_the_state_before_the_first_operation() {
    let mut machine = TypedMachine::<Counts>::new();
    machine.apply(Revision(1), ADD);
    machine.restore(Revision(0), &[]).unwrap();
    assert_eq!(
        *machine.committed(Revision(0), ViewNumber(0)).state,
        Counts::default()
    );
    assert!(machine.restore(Revision(1), &[]).is_err());
}
