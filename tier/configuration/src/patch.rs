//! What differs between two documents, so that big configurations travel as changes.

use serde::{Deserialize, Serialize};

/// What turns the document of one version into that of another.
///
/// Elements of lists (routes, services) that stand in both are named by their place in the old
/// list; everything else is carried as JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the document that this builds on.
    pub base: u64,
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
    List(Vec<ListPart>),
}

/// Some elements of a list, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListPart {
    /// Elements of the old list.
    Keep {
        /// Place of the first one, from 0.
        first: u32,
        /// How many follow each other.
        count: u32,
    },
    /// One new element, as JSON text.
    Add(String),
}

impl Patch {
    /// Bytes of JSON text that the patch carries.
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
            FieldChange::List(parts) => parts.iter().map(ListPart::text_bytes).sum(),
        }
    }
}

impl ListPart {
    fn text_bytes(&self) -> usize {
        match self {
            ListPart::Keep { .. } => 0,
            ListPart::Add(text) => text.len(),
        }
    }
}
