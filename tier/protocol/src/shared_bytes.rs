//! Encodes shared bytes as one block, not one by one; the form on the wire is the same.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserializer, Serializer};

/// Bytes set aside at once for a sequence of unknown length.
const FIRST_CAPACITY: usize = 4 * 1_024;

/// For `#[serde(with = "...")]`.
///
/// # Errors
/// Those of the format.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, target: S) -> Result<S::Ok, S::Error> {
    target.serialize_bytes(bytes)
}

/// For `#[serde(with = "...")]`.
///
/// # Errors
/// Those of the format.
pub fn deserialize<'de, D: Deserializer<'de>>(source: D) -> Result<Arc<[u8]>, D::Error> {
    source.deserialize_bytes(BytesVisitor)
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Arc<[u8]>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Arc<[u8]>, E> {
        Ok(Arc::from(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Arc<[u8]>, A::Error> {
        let mut bytes = Vec::with_capacity(sequence.size_hint().unwrap_or(0).min(FIRST_CAPACITY));
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}
