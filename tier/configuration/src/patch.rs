//! Patches between two documents, which avoid sending large configurations completely: [`diff`]
//! creates a patch, [`apply`] applies it.

mod apply;
mod diff;

use serde::{Deserialize, Serialize};

/// The changes that turn the document of one version into that of another.
///
/// List elements (routes, services) that both documents contain are referenced by their index in the
/// old list; all other values are included as JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the document to which the patch applies.
    pub base_version: u64,
    /// Version of the resulting document.
    pub version: u64,
    /// All keys of the resulting document. Keys of the old document that are not listed are removed.
    pub fields: Vec<FieldPatch>,
}

/// The value of one key of the resulting document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldPatch {
    /// The key.
    pub key: String,
    /// The source of the value.
    pub change: FieldChange,
}

/// The source of the value of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FieldChange {
    /// The unchanged value in the old document.
    Keep,
    /// This JSON text.
    Value(String),
    /// A list of elements of the old document's list and of new elements.
    List(Vec<ListSegment>),
}

/// A segment of a list: consecutive elements, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListSegment {
    /// Consecutive elements of the old list.
    Keep {
        /// Index of the first one.
        first: u32,
        /// Number of elements.
        count: u32,
    },
    /// A new element, as JSON text.
    Add(String),
}

impl Patch {
    /// Returns the number of bytes of JSON text in the patch.
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
            FieldChange::List(segments) => segments.iter().map(ListSegment::text_bytes).sum(),
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
