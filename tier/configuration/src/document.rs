//! The operator's document in its original bytes.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{has_same_content, Configuration, ConfigurationError};

/// Maximum size of a document in bytes: about 40,000 routes, and a sixteenth of the memory of a small
/// machine.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// The original bytes of a configuration, so that the operator can read back the document as it was
/// sent.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version in the document.
    pub version: u64,
    /// The JSON text.
    #[serde(
        serialize_with = "serialize_bytes",
        deserialize_with = "deserialize_bytes"
    )]
    pub bytes: Arc<[u8]>,
}

impl Document {
    /// Creates a document from `bytes`, which must contain the version `version`. Neither is
    /// validated.
    pub fn new(version: u64, bytes: impl Into<Arc<[u8]>>) -> Document {
        Document {
            version,
            bytes: bytes.into(),
        }
    }

    /// Parses and validates `bytes`.
    ///
    /// # Errors
    /// The same as those of [`Configuration::parse`].
    pub fn parse(
        bytes: impl Into<Arc<[u8]>>,
    ) -> Result<(Document, Configuration), ConfigurationError> {
        let bytes = bytes.into();
        let configuration = Configuration::parse(&bytes)?;
        Ok((
            Document {
                version: configuration.version,
                bytes,
            },
            configuration,
        ))
    }

    /// Returns whether `other` has the same version and the same content ([`has_same_content`]).
    pub fn has_same_content(&self, other: &Document) -> bool {
        self.version == other.version && has_same_content(&self.bytes, &other.bytes)
    }
}

impl fmt::Debug for Document {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Document")
            .field("version", &self.version)
            .field("length", &self.bytes.len())
            .finish()
    }
}

fn serialize_bytes<S: Serializer>(bytes: &Arc<[u8]>, target: S) -> Result<S::Ok, S::Error> {
    target.serialize_bytes(bytes)
}

fn deserialize_bytes<'de, D: Deserializer<'de>>(source: D) -> Result<Arc<[u8]>, D::Error> {
    let bytes = serde_bytes::ByteBuf::deserialize(source)?;
    Ok(bytes.into_vec().into())
}
