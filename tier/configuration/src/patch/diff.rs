//! Computes the patch between two documents.

use std::collections::{BTreeMap, HashMap};

use serde_json::value::RawValue;

use crate::{Document, FieldChange, FieldPatch, ListSegment, Patch, PatchError};

/// The keys of a document with their JSON text.
pub(crate) type RawFields<'a> = BTreeMap<String, &'a RawValue>;

impl Patch {
    /// Returns the patch that turns `old` into `new`.
    ///
    /// # Errors
    /// [`PatchError::Document`] if one of the documents is not a JSON object.
    pub fn between(old: &Document, new: &Document) -> Result<Patch, PatchError> {
        let old_fields = raw_fields(&old.bytes)?;
        let new_fields = raw_fields(&new.bytes)?;
        let mut fields = Vec::with_capacity(new_fields.len());
        for (key, value) in new_fields {
            let change = match old_fields.get(&key) {
                Some(old_value) => change_between(old_value, value)?,
                None => FieldChange::Value(value.get().to_owned()),
            };
            fields.push(FieldPatch { key, change });
        }
        Ok(Patch {
            base_version: old.version,
            version: new.version,
            fields,
        })
    }
}

/// Parses a document into its keys and the JSON text of each value.
pub(crate) fn raw_fields(bytes: &[u8]) -> Result<RawFields<'_>, PatchError> {
    serde_json::from_slice(bytes).map_err(|error| PatchError::Document(error.to_string()))
}

/// Parses a list into the JSON text of each element.
pub(crate) fn raw_elements(list: &RawValue) -> Result<Vec<&RawValue>, PatchError> {
    serde_json::from_str(list.get()).map_err(|error| PatchError::Document(error.to_string()))
}

fn change_between(old: &RawValue, new: &RawValue) -> Result<FieldChange, PatchError> {
    if old.get() == new.get() {
        Ok(FieldChange::Keep)
    } else if is_list(old) && is_list(new) {
        Ok(FieldChange::List(list_segments(
            &raw_elements(old)?,
            &raw_elements(new)?,
        )))
    } else {
        Ok(FieldChange::Value(new.get().to_owned()))
    }
}

fn is_list(value: &RawValue) -> bool {
    value.get().starts_with('[')
}

fn list_segments(old: &[&RawValue], new: &[&RawValue]) -> Vec<ListSegment> {
    let mut indexes: HashMap<&str, u32> = HashMap::with_capacity(old.len());
    for (index, element) in (0_u32..).zip(old) {
        indexes.entry(element.get()).or_insert(index);
    }
    let mut segments: Vec<ListSegment> = Vec::new();
    for element in new {
        if extend_last_run(&mut segments, old, element) {
            continue;
        }
        segments.push(match indexes.get(element.get()) {
            Some(first) => ListSegment::Keep {
                first: *first,
                count: 1,
            },
            None => ListSegment::Add(element.get().to_owned()),
        });
    }
    segments
}

/// Extends the last segment if it is a run of old elements and `element` is the next one in the old
/// list. Returns whether it was extended.
fn extend_last_run(segments: &mut [ListSegment], old: &[&RawValue], element: &RawValue) -> bool {
    let Some(ListSegment::Keep { first, count }) = segments.last_mut() else {
        return false;
    };
    let next = (*first + *count) as usize;
    let continues = old
        .get(next)
        .is_some_and(|candidate| candidate.get() == element.get());
    if continues {
        *count += 1;
    }
    continues
}
