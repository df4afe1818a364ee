//! Serializes shared bytes as one block, with the same encoding as a sequence of bytes that are
//! serialized one by one. For fields with `#[serde(with = "plankhill_protocol::shared_bytes")]`.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserializer, Serializer};

/// Maximum initial capacity for a sequence, in bytes; the length in the input may be wrong.
const MAX_INITIAL_CAPACITY: usize = 4 * 1_024;

/// Serializes `bytes` as one block.
///
/// # Errors
/// Errors of the serializer.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes bytes.
///
/// # Errors
/// Errors of the deserializer.
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
