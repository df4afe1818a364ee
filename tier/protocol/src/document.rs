//! A configuration document, compressed on the wire and in storage.
//!
//! Configurations with hundreds of routes are repetitive. When all machines start together, every
//! subscriber fetches the configuration at the same moment over the network links of the machines
//! that run controllers.

use std::fmt;
use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use lz4_flex::block::DecompressError;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::shared_bytes;

/// Documents shorter than this, in bytes, are not compressed unless they begin with
/// [`COMPRESSED_TAG`].
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// First byte of the compressed form. No JSON document begins with this byte; a document that does
/// is compressed whatever its length.
const COMPRESSED_TAG: u8 = 1;
/// Maximum size of a decompressed document, in bytes: the size of the largest configuration that
/// the control plane accepts.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Size of the little-endian length prefix of the compressed data, in bytes.
const LENGTH_BYTES: usize = 4;

/// A document that is uncompressed in memory and compressed when serialized. All clones share one
/// encoded form, which is computed when one of them is first serialized.
#[derive(Clone)]
pub struct Document {
    text: Arc<[u8]>,
    /// The encoded form; empty until a clone is first serialized, unless the document was decoded.
    encoded: Arc<OnceLock<Arc<[u8]>>>,
}

/// An error of decoding a document.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The length prefix of the compressed form is missing or incomplete.
    #[error("document: length prefix is missing or incomplete")]
    NoLength,
    /// The length prefix, in bytes, exceeds the maximum size of a configuration.
    #[error("document: length of {0} bytes exceeds the limit of {MAX_DOCUMENT_BYTES} bytes")]
    TooLong(usize),
    /// The compressed data is invalid.
    #[error("document: {0}")]
    InvalidData(#[from] DecompressError),
}

impl Document {
    /// Returns the uncompressed bytes.
    pub fn text(&self) -> &Arc<[u8]> {
        &self.text
    }

    fn encoded(&self) -> &Arc<[u8]> {
        self.encoded.get_or_init(|| encode(&self.text))
    }

    /// Decodes the encoded form, which may also be an uncompressed document of any length: versions
    /// without compression stored such documents.
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

/// Decompresses data with a length prefix. The length is checked before the output buffer is
/// allocated.
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
