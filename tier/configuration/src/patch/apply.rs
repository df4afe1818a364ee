//! Applies a patch to its base document.

use serde_json::value::RawValue;

use crate::patch::diff::{raw_elements, raw_fields, RawFields};
use crate::{
    Document, FieldChange, FieldPatch, ListSegment, Patch, PatchError, MAX_DOCUMENT_BYTES,
};

impl Patch {
    /// Applies the patch to `old` and returns the resulting document.
    ///
    /// The result has the same content as the new document from which the patch was created; white
    /// space and the order of keys may differ.
    ///
    /// # Errors
    /// [`PatchError`] if `old` has another version, lacks values that the patch retains, or cannot be
    /// parsed, or if the result is too large.
    pub fn apply(&self, old: &Document) -> Result<Document, PatchError> {
        if old.version != self.base_version {
            return Err(PatchError::OtherBase {
                expected: self.base_version,
                found: old.version,
            });
        }
        let old_fields = raw_fields(&old.bytes)?;
        let mut writer = Writer::new(old.bytes.len() + self.text_bytes());
        writer.push("{")?;
        for (index, field) in self.fields.iter().enumerate() {
            writer.separate(index)?;
            write_field(field, &old_fields, &mut writer)?;
        }
        writer.push("}")?;
        Ok(Document::new(self.version, writer.text.into_bytes()))
    }
}

fn write_field(
    field: &FieldPatch,
    old: &RawFields<'_>,
    writer: &mut Writer,
) -> Result<(), PatchError> {
    writer.push(&quote_key(&field.key)?)?;
    writer.push(":")?;
    match &field.change {
        FieldChange::Keep => writer.push(retained_field(&field.key, old)?.get()),
        FieldChange::Value(text) => writer.push(text),
        FieldChange::List(segments) => {
            let elements = raw_elements(retained_field(&field.key, old)?)?;
            write_list(&field.key, segments, &elements, writer)
        }
    }
}

fn quote_key(key: &str) -> Result<String, PatchError> {
    serde_json::to_string(key).map_err(|error| PatchError::Document(error.to_string()))
}

fn retained_field<'a>(key: &str, old: &RawFields<'a>) -> Result<&'a RawValue, PatchError> {
    old.get(key)
        .copied()
        .ok_or_else(|| PatchError::MissingKey(key.to_owned()))
}

fn write_list(
    key: &str,
    segments: &[ListSegment],
    old: &[&RawValue],
    writer: &mut Writer,
) -> Result<(), PatchError> {
    let mut written = 0;
    writer.push("[")?;
    for segment in segments {
        match segment {
            ListSegment::Add(text) => {
                writer.separate(written)?;
                writer.push(text)?;
                written += 1;
            }
            ListSegment::Keep { first, count } => {
                for element in retained_elements(key, old, *first, *count)? {
                    writer.separate(written)?;
                    writer.push(element.get())?;
                    written += 1;
                }
            }
        }
    }
    writer.push("]")
}

fn retained_elements<'a, 'b>(
    key: &str,
    old: &'b [&'a RawValue],
    first: u32,
    count: u32,
) -> Result<&'b [&'a RawValue], PatchError> {
    let first = first as usize;
    let end = first.saturating_add(count as usize);
    old.get(first..end)
        .ok_or_else(|| PatchError::MissingElements(key.to_owned()))
}

/// A writer of JSON text whose size is limited to [`MAX_DOCUMENT_BYTES`].
struct Writer {
    text: String,
}

impl Writer {
    fn new(expected_bytes: usize) -> Writer {
        Writer {
            text: String::with_capacity(expected_bytes.min(MAX_DOCUMENT_BYTES)),
        }
    }

    fn push(&mut self, text: &str) -> Result<(), PatchError> {
        if self.text.len() + text.len() > MAX_DOCUMENT_BYTES {
            return Err(PatchError::TooLarge);
        }
        self.text.push_str(text);
        Ok(())
    }

    /// Writes a comma unless `index` is 0.
    fn separate(&mut self, index: usize) -> Result<(), PatchError> {
        if index == 0 {
            Ok(())
        } else {
            self.push(",")
        }
    }
}
