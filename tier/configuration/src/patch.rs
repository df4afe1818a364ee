//! The difference of two documents, so that large configurations can be sent as changes: [`diff`]
//! finds it, [`apply`] applies it.

mod apply;
mod diff;

use serde::{Deserialize, Serialize};

/// The changes that turn the document of one version into that of another.
///
/// Elements of lists (routes, services) that stand in both are named by their index in the old
/// list; everything else is carried as JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the document to which the patch applies.
    pub base_version: u64,
    /// Version of the document that results.
    pub version: u64,
    /// Every key of the resulting document; the others are dropped.
    pub fields: Vec<FieldPatch>,
}

/// The value of one key of the resulting document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldPatch {
    /// The key.
    pub key: String,
    /// Where its value comes from.
    pub change: FieldChange,
}

/// Where the value of a key comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FieldChange {
    /// From the old document, as it is.
    Keep,
    /// From this JSON text.
    Value(String),
    /// From the old document's list, and from new elements between.
    List(Vec<ListSegment>),
}

/// A segment of a list: consecutive elements, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListSegment {
    /// Elements of the old list.
    Keep {
        /// Index of the first one.
        first: u32,
        /// Number of elements.
        count: u32,
    },
    /// One new element, as JSON text.
    Add(String),
}

impl Patch {
    /// Bytes of JSON text in the patch.
    pub fn text_bytes(&self) -> usize {
        self.fields
            .iter()
            .map(|field| field.key.len() + field.change.text_bytes())
            .sum()
    }
}

impl FieldChange {
    fn text_bytes(&self) -> usize {
        match self {
            FieldChange::Keep => 0,
            FieldChange::Value(text) => text.len(),
            FieldChange::List(parts) => parts.iter().map(ListSegment::text_bytes).sum(),
        }
    }
}

impl ListSegment {
    fn text_bytes(&self) -> usize {
        match self {
            ListSegment::Keep { .. } => 0,
            ListSegment::Add(text) => text.len(),
        }
    }
}
