//! How accounts, turns and hints lie on disk: rows of bytes under keys of bytes, in a few tables.

use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, NodeId, ProgramId, RequestId};
use plankhill_protocol::store_calls::TurnRecord;
use plankhill_protocol::tables::StoreView;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::account::TurnState;

/// The tables of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// Turns with their bytes, by their names.
    Turns,
    /// What budgets hold of each turn, by program and turn.
    Accounts,
    /// What other stores have missed, by store, program and turn.
    Hints,
    /// Turns that are kept longer than they said, by their names.
    Extensions,
    /// The store's own identity and view.
    Own,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 5] = [
        Table::Turns,
        Table::Accounts,
        Table::Hints,
        Table::Extensions,
        Table::Own,
    ];
}

/// A row that changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Where.
    pub table: Table,
    /// Which.
    pub key: Vec<u8>,
    /// What it holds now; None removes it.
    pub value: Option<Vec<u8>>,
}

impl RowChange {
    /// Sets a row.
    pub fn set<T: Serialize>(table: Table, key: Vec<u8>, value: &T) -> Self {
        // Only a type that cannot be serialized at all fails, and none of the rows is one.
        let value = postcard::to_stdvec(value).unwrap_or_default();
        RowChange {
            table,
            key,
            value: Some(value),
        }
    }

    /// Removes a row.
    pub fn remove(table: Table, key: Vec<u8>) -> Self {
        RowChange {
            table,
            key,
            value: None,
        }
    }

    /// Bytes of the row.
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// A row of [`Table::Turns`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRow {
    /// When it may go, by the store's time of day in milliseconds.
    pub expires_ms: u64,
    /// The turn.
    pub record: Arc<TurnRecord>,
}

/// A row of [`Table::Accounts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// What counts.
    pub state: TurnState,
    /// The last change, by the store's time of day in milliseconds.
    pub used_ms: u64,
}

/// Key in [`Table::Own`] of the store's [`Incarnation`].
pub const INCARNATION_KEY: &[u8] = b"incarnation";
/// Key in [`Table::Own`] of the newest [`StoreView`] that the store knows.
pub const VIEW_KEY: &[u8] = b"view";

/// The row that holds the store's incarnation.
pub fn incarnation_row(incarnation: Incarnation) -> RowChange {
    RowChange::set(Table::Own, INCARNATION_KEY.to_vec(), &incarnation)
}

/// The row that holds the newest view.
pub fn view_row(view: &StoreView) -> RowChange {
    RowChange::set(Table::Own, VIEW_KEY.to_vec(), view)
}

/// Key of a turn.
pub fn turn_key(turn: &RequestId) -> Vec<u8> {
    turn.as_str().as_bytes().to_vec()
}

/// Key of what a budget holds of a turn.
pub fn account_key(program: &ProgramId, turn: &RequestId) -> Vec<u8> {
    joined(&[program.as_str(), turn.as_str()])
}

/// Key of a hint.
pub fn hint_key(node: &NodeId, program: &ProgramId, turn: &RequestId) -> Vec<u8> {
    joined(&[node.as_str(), program.as_str(), turn.as_str()])
}

/// The parts of a key of several names; None for bytes that are no such key.
pub fn split_key(key: &[u8]) -> Option<Vec<&str>> {
    let mut parts = Vec::new();
    let mut rest = key;
    while !rest.is_empty() {
        let (length, after) = rest.split_first_chunk::<2>()?;
        let (part, after) = after.split_at_checked(usize::from(u16::from_be_bytes(*length)))?;
        parts.push(std::str::from_utf8(part).ok()?);
        rest = after;
    }
    Some(parts)
}

/// The names of a key, each behind its length. Names come from headers of at most a few kilobytes; a longer
/// one is cut, so that no key can be mistaken for another's parts.
fn joined(parts: &[&str]) -> Vec<u8> {
    let mut key = Vec::with_capacity(parts.iter().map(|part| part.len() + 2).sum());
    for part in parts {
        let length = u16::try_from(part.len()).unwrap_or(u16::MAX);
        key.extend(length.to_be_bytes());
        key.extend(&part.as_bytes()[..usize::from(length)]);
    }
    key
}

/// Reads a row; None for bytes that are none.
pub fn read_row<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
