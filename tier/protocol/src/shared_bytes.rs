//! Encodes shared bytes as one block; the bytes on the wire are those of a sequence encoded one by
//! one. For fields with `#[serde(with = "plankhill_protocol::shared_bytes")]`.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserializer, Serializer};

/// Most bytes that are reserved at once for a sequence, whose claimed length may be wrong.
const MAX_INITIAL_CAPACITY: usize = 4 * 1_024;

/// Encodes `bytes`.
///
/// # Errors
/// The serializer's.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Decodes bytes.
///
/// # Errors
/// The deserializer's.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<[u8]>, D::Error> {
    deserializer.deserialize_bytes(BytesVisitor)
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
        let mut bytes =
            Vec::with_capacity(sequence.size_hint().unwrap_or(0).min(MAX_INITIAL_CAPACITY));
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}
