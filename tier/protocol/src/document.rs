//! The text of a configuration, which is compressed wherever it is sent or stored.
//!
//! Configurations of hundreds of routes repeat themselves. When all machines start together, every
//! subscriber needs one at the same moment, over the links of the machines that run controllers.

use std::fmt;
use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use lz4_flex::block::DecompressError;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::shared_bytes;

/// Shorter documents, in bytes, are not compressed.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// First byte of the compressed form. No JSON document begins with it; a document that does is
/// compressed however short it is.
const COMPRESSED_TAG: u8 = 1;
/// A compressed form that claims to be of a longer document, in bytes, is refused: the longest
/// configuration that the control plane takes.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of the little-endian length that lies before the compressed bytes.
const LENGTH_BYTES: usize = 4;

/// Bytes that are kept as they are and encoded compressed: once, when any clone of them is first
/// encoded.
#[derive(Clone)]
pub struct Document {
    text: Arc<[u8]>,
    /// Shared by all clones; empty until the first of them is encoded.
    encoded: Arc<OnceLock<Arc<[u8]>>>,
}

/// Why an encoded document cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The compressed form lacks its length.
    #[error("document: its length is missing")]
    NoLength,
    /// The compressed form claims to be of a document of this many bytes, longer than any
    /// configuration may be.
    #[error("document: {0} bytes are too many")]
    TooLong(usize),
    /// The compressed bytes are damaged.
    #[error("document: {0}")]
    Damaged(#[from] DecompressError),
}

impl Document {
    /// The bytes.
    pub fn text(&self) -> &Arc<[u8]> {
        &self.text
    }

    fn encoded(&self) -> &Arc<[u8]> {
        self.encoded.get_or_init(|| encode(&self.text))
    }

    /// Reads the encoded form. Documents that were stored before any was compressed are read as
    /// well.
    fn decode(encoded: Arc<[u8]>) -> Result<Self, DocumentError> {
        let text = match encoded.split_first() {
            Some((&COMPRESSED_TAG, compressed)) => decompress(compressed)?.into(),
            _ => encoded.clone(),
        };
        Ok(Document {
            text,
            encoded: Arc::new(OnceLock::from(encoded)),
        })
    }
}

fn encode(text: &Arc<[u8]>) -> Arc<[u8]> {
    let looks_compressed = text.first() == Some(&COMPRESSED_TAG);
    if text.len() < MIN_COMPRESSED_BYTES && !looks_compressed {
        return text.clone();
    }
    let mut encoded = vec![COMPRESSED_TAG];
    encoded.extend(lz4_flex::compress_prepend_size(text));
    encoded.into()
}

/// The length is checked before any memory is reserved for it.
fn decompress(compressed: &[u8]) -> Result<Vec<u8>, DocumentError> {
    let length: [u8; LENGTH_BYTES] = *compressed.first_chunk().ok_or(DocumentError::NoLength)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLong(length));
    }
    Ok(lz4_flex::decompress_size_prepended(compressed)?)
}

impl From<Arc<[u8]>> for Document {
    fn from(text: Arc<[u8]>) -> Self {
        Document {
            text,
            encoded: Arc::default(),
        }
    }
}

impl Deref for Document {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.text
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Document {}

impl fmt::Debug for Document {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Document({} bytes)", self.text.len())
    }
}

impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        shared_bytes::serialize(self.encoded(), serializer)
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Document::decode(shared_bytes::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}
