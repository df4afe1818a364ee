//! The text of a configuration, which is compressed wherever it is sent or written down.
//!
//! Configurations of hundreds of routes repeat themselves. When all machines come back together, every subscriber needs
//! one at the same moment, over links of the machines that serve control.

use std::fmt;
use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::shared_bytes;

/// Shorter documents are not compressed.
const LEAST_BYTES: usize = 1_024;
/// Begins the compressed form. No JSON document begins with it; a document that does is compressed however short it is.
const COMPRESSED: u8 = 1;
/// A compressed form that claims to be of a longer document is refused: twice the longest configuration taken.
const MOST_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of the length that lies before the compressed bytes.
const LENGTH_BYTES: usize = 4;

/// Bytes that are kept as they are and encoded compressed: once, when any clone of them is first encoded.
#[derive(Clone)]
pub struct Document {
    text: Arc<[u8]>,
    encoded: Arc<OnceLock<Arc<[u8]>>>,
}

/// Why an encoded document cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The compressed form lacks its length.
    #[error("document: its length is missing")]
    NoLength,
    /// It claims to be longer than any configuration may be.
    #[error("document: {0} bytes are too many")]
    TooLong(usize),
    /// The compressed bytes are damaged.
    #[error("document: {0}")]
    Damaged(String),
}

impl Document {
    /// The bytes.
    pub fn text(&self) -> &Arc<[u8]> {
        &self.text
    }

    fn encoded(&self) -> &Arc<[u8]> {
        self.encoded.get_or_init(|| {
            let needs_mark = self.text.first() == Some(&COMPRESSED);
            if self.text.len() < LEAST_BYTES && !needs_mark {
                return self.text.clone();
            }
            let mut encoded = vec![COMPRESSED];
            encoded.extend(lz4_flex::compress_prepend_size(&self.text));
            encoded.into()
        })
    }

    /// Reads the encoded form. Documents that were written down before any was compressed are read as well.
    ///
    /// # Errors
    /// [`DocumentError`] if the compressed form is damaged.
    fn decode(encoded: Arc<[u8]>) -> Result<Self, DocumentError> {
        let text = match encoded.split_first() {
            Some((&COMPRESSED, compressed)) => decompress(compressed)?.into(),
            _ => encoded.clone(),
        };
        Ok(Document {
            text,
            encoded: Arc::new(OnceLock::from(encoded)),
        })
    }
}

fn decompress(compressed: &[u8]) -> Result<Vec<u8>, DocumentError> {
    let length: [u8; LENGTH_BYTES] = *compressed.first_chunk().ok_or(DocumentError::NoLength)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MOST_BYTES {
        return Err(DocumentError::TooLong(length));
    }
    lz4_flex::decompress_size_prepended(compressed)
        .map_err(|error| DocumentError::Damaged(error.to_string()))
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
    fn serialize<S: Serializer>(&self, target: S) -> Result<S::Ok, S::Error> {
        shared_bytes::serialize(self.encoded(), target)
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        Document::decode(shared_bytes::deserialize(source)?).map_err(D::Error::custom)
    }
}
