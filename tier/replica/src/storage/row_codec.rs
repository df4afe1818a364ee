//! Encodes row values with `postcard`, and compresses large values if that makes them smaller.
//!
//! Operations contain configurations of up to 8 MiB, and hundreds of them may follow each other, while
//! the disks of core machines have 128 MB. Compression applies to stored rows only: messages between
//! members stay uncompressed for compatibility with other versions.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Values smaller than this, in bytes, are not compressed.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;
/// Prefix of compressed values. No value written before the introduction of compression begins with
/// this prefix: every large value begins with a variable-length integer, whose last byte
/// comes earlier than byte 20.
/// An earlier version of the program rejects a compressed value, and its member then fetches the
/// complete state again.
const COMPRESSED_PREFIX: [u8; 20] = [0xff; 20];
/// Maximum decompressed length in bytes; a value that declares a greater length is corrupted. The
/// limit allows for a snapshot with the largest configuration, with a margin.
const MAX_VALUE_BYTES: usize = 64 * 1024 * 1024;
/// Size of the little-endian length that precedes the compressed bytes.
const LENGTH_BYTES: usize = 4;

/// The reason why a value cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum RowError {
    /// `postcard` cannot encode or decode the value.
    #[error(transparent)]
    Value(#[from] postcard::Error),
    /// The compressed value declares this decompressed length, which exceeds the maximum.
    #[error("compressed value of {0} bytes; at most {MAX_VALUE_BYTES}")]
    TooLong(usize),
    /// The compressed bytes cannot be decompressed.
    #[error("compressed value: {0}")]
    Corrupted(#[from] lz4_flex::block::DecompressError),
    /// The compressed value is too short to contain its length prefix.
    #[error("compressed value has no length prefix")]
    MissingLength,
}

/// Encodes a value.
///
/// # Errors
/// [`RowError::Value`] if the value cannot be encoded.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, RowError> {
    let plain = postcard::to_allocvec(value)?;
    if plain.len() < MIN_COMPRESSED_BYTES {
        return Ok(plain);
    }
    let mut compressed = COMPRESSED_PREFIX.to_vec();
    compressed.extend(lz4_flex::compress_prepend_size(&plain));
    match compressed.len() < plain.len() {
        true => Ok(compressed),
        false => Ok(plain),
    }
}

/// Decodes a compressed or uncompressed value.
///
/// # Errors
/// [`RowError`] if the bytes are not a valid encoding of the type.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RowError> {
    match bytes.strip_prefix(&COMPRESSED_PREFIX) {
        Some(compressed) => Ok(postcard::from_bytes(&decompress(compressed)?)?),
        None => Ok(postcard::from_bytes(bytes)?),
    }
}

/// Decompresses a value. The declared length is checked before memory is allocated.
fn decompress(compressed: &[u8]) -> Result<Vec<u8>, RowError> {
    let length: [u8; LENGTH_BYTES] = *compressed.first_chunk().ok_or(RowError::MissingLength)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_VALUE_BYTES {
        return Err(RowError::TooLong(length));
    }
    Ok(lz4_flex::decompress_size_prepended(compressed)?)
}
