//! The rows of a store: values that are encoded with `postcard`, under the keys of [`crate::keys`], in
//! several tables.

use std::sync::Arc;

use plankhill_protocol::ids::Incarnation;
use plankhill_protocol::store_calls::TurnRecord;
use plankhill_protocol::tables::StoreView;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::account::TurnState;
use crate::keys::{INCARNATION_KEY, VIEW_KEY};

/// The tables of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// Retained turns ([`TurnRow`]) by their ids.
    Turns,
    /// States of turns in budget accounts ([`AccountRow`]) by program and turn.
    Accounts,
    /// Updates that other stores have missed, by store, program and turn; the rows are empty.
    Hints,
    /// Extended expiry times of turns, by the ids of the turns: times of day in milliseconds.
    Extensions,
    /// The store's own incarnation and view.
    Metadata,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 5] = [
        Table::Turns,
        Table::Accounts,
        Table::Hints,
        Table::Extensions,
        Table::Metadata,
    ];
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The row's table.
    pub table: Table,
    /// The row's key.
    pub key: Vec<u8>,
    /// The row's new value; None removes the row.
    pub value: Option<Vec<u8>>,
}

impl RowChange {
    /// Sets a row to an encoded value.
    pub fn set<T: Serialize>(table: Table, key: Vec<u8>, value: &T) -> Self {
        // Encoding fails only for types that cannot be serialized at all; no row has such a type.
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

    /// Bytes of the key and of the value.
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// A row of [`Table::Turns`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRow {
    /// When the turn expires: a time of day in milliseconds by the store's clock.
    pub expires_ms: u64,
    /// The turn.
    pub record: Arc<TurnRecord>,
}

/// A row of [`Table::Accounts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// The turn's state.
    pub state: TurnState,
    /// When the state last changed: a time of day in milliseconds by the store's clock.
    pub used_ms: u64,
}

/// The change that stores the store's incarnation.
pub fn incarnation_row(incarnation: Incarnation) -> RowChange {
    RowChange::set(Table::Metadata, INCARNATION_KEY.to_vec(), &incarnation)
}

/// The change that stores the newest view known to the store.
pub fn view_row(view: &StoreView) -> RowChange {
    RowChange::set(Table::Metadata, VIEW_KEY.to_vec(), view)
}

/// Decodes a row; `None` for bytes that are not a valid row of this type.
pub fn decode_row<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
